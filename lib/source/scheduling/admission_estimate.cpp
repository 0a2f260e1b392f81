#include <algorithm>

#include "admission_state.hpp"

namespace bamboogate::scheduling {

double admission::state::release_rate() const
{
    if (running == 0) {
        return static_cast<double>(capacity) / ranks.back()->hold.seconds();
    }
    double releases = 0.0;
    for (const auto& rank : ranks) {
        releases += rank->running / rank->hold.seconds();
    }
    return releases * capacity / running;
}

/// Slots that the rank can count on while the others keep their demand.
double admission::state::slots_for(const rank_state& rank) const
{
    const double all = capacity;
    if (!settings.ranks) {
        return all;
    }
    double left = all;
    for (const auto& other : ranks) {
        if (other.get() == &rank) {
            continue;
        }
        double demand = static_cast<double>(other->running) +
                        static_cast<double>(other->waiting.size());
        if (other->policy.priority >= rank.policy.priority) {
            const double floor =
                settings.floors ? other->policy.floor_share * all : 0.0;
            demand = std::min(demand, floor);
        }
        left -= demand;
    }
    const double own_floor =
        settings.floors ? rank.policy.floor_share * all : 0.0;
    return std::clamp(std::max(left, own_floor), 0.0, all);
}

duration admission::state::expected_wait(const class_state& service_class,
                                         const queue::account& who) const
{
    const rank_state& rank = *service_class.rank;
    // Without capacity the estimate has no base: the queue limits and the
    // deadlines have to do until engines appear.
    if (capacity == 0 || (rank.waiting.empty() && running < capacity)) {
        return duration::zero();
    }
    const double rank_rate =
        std::max(slots_for(rank), 0.5) / rank.hold.seconds();
    double shares = 0.0;
    double own_share = 0.0;
    for (const auto& item : classes) {
        const double share = std::max(item->share, undeclared_share);
        if (item.get() == &service_class) {
            own_share = share;
            shares += share;
        } else if (item->rank == &rank && !item->accounts.empty()) {
            shares += share;
        }
    }
    const double class_rate = rank_rate * own_share / shares;
    const auto waiting = static_cast<double>(service_class.accounts.size());
    double starts_before = waiting;
    if (settings.fair_accounts) {
        const double others = std::max<double>(
            static_cast<double>(service_class.accounts.backlogged_accounts()),
            1.0);
        const double ahead =
            std::max(0.0, who.tag - service_class.accounts.virtual_now()) *
            who.weight / std::max(service_class.mean_tokens, 1.0);
        const auto own = static_cast<double>(who.items.size());
        starts_before = std::min(waiting, (own + ahead) * others);
    }
    const double seconds = (starts_before + 1.0) / class_rate;
    constexpr double longest = 3600.0;
    return duration(
        static_cast<duration::rep>(std::min(seconds, longest) * 1e9));
}

/// Finds each class's level L such that the accounts get min(demand, L *
/// weight) of the slots that the class runs in or that are free. An account
/// that asks for more is a large one: its waits are its own doing.
void admission::state::refresh_fair_levels(unsigned free_slots, time_point now)
{
    if (now < levels_due) {
        return;
    }
    // A small account's wait is judged by the level, so it must be recent
    // compared with the targets; each refresh visits all active accounts.
    // The interval grows with them to bound the cost per decision.
    std::size_t visited = 0;
    for (const auto& item : classes) {
        visited += item->active_accounts.size();
    }
    levels_due = now + std::chrono::milliseconds(20) +
                 visited * std::chrono::microseconds(100);
    for (auto& item : classes) {
        // Free slots count: they are kept for small accounts, and leaving them
        // out would make an account large for want of the slots kept for it.
        double slots = item->running + static_cast<double>(free_slots);
        double weight = 0.0;
        level_scratch.clear();
        for (const queue::account* who : item->active_accounts) {
            const double demand = demand_of(*who);
            if (demand > 0.0) {
                level_scratch.emplace_back(demand / who->weight, who->weight);
                weight += who->weight;
            }
        }
        double level = std::numeric_limits<double>::infinity();
        std::sort(level_scratch.begin(), level_scratch.end());
        for (const auto& [demand, account_weight] : level_scratch) {
            if (demand * weight > slots) {
                level = slots / weight;
                break;
            }
            slots -= demand * account_weight;
            weight -= account_weight;
        }
        // With less than one slot each, nobody is large for having one.
        item->fair_level = std::max(level, 1.0);
    }
}

void admission::state::refresh_headroom(time_point now)
{
    if (now < headroom_due) {
        return;
    }
    headroom_due = now + std::chrono::milliseconds(100);
    urgent_headroom = 0;
    light_headroom = 0;
    if (!settings.headroom) {
        return;
    }
    const auto limit = static_cast<unsigned>(settings.max_urgent_headroom *
                                             static_cast<double>(capacity));
    const auto light_limit = static_cast<unsigned>(
        settings.max_small_account_headroom * static_cast<double>(capacity));
    urgent_headroom =
        slots_to_keep_free(ranks.front()->arrivals.per_second(now),
                           release_rate(), settings.headroom_risk, limit);
    light_headroom =
        slots_to_keep_free(light_arrivals.per_second(now), release_rate(),
                           settings.headroom_risk, light_limit);
}

void admission::state::forget_idle_accounts(time_point now)
{
    if (now < sweep_due) {
        return;
    }
    sweep_due = now + std::chrono::seconds(1);
    for (auto& item : classes) {
        item->active_accounts.clear();
        for (auto& [id, who] : item->accounts.accounts()) {
            who.active = who.running > 0 || !who.items.empty() ||
                         now - who.last_active < settings.account_idle_timeout;
            if (who.active) {
                item->active_accounts.push_back(&who);
            }
        }
    }
}

} // namespace bamboogate::scheduling
