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

/// Slots available to the rank at the current demand of the other ranks.
double admission::state::slots_for(const rank_state& rank) const
{
    const double total = capacity;
    if (!settings.ranks) {
        return total;
    }
    double available = total;
    for (const auto& other : ranks) {
        if (other.get() == &rank) {
            continue;
        }
        double demand = static_cast<double>(other->running) +
                        static_cast<double>(other->waiting.size());
        if (other->policy.priority >= rank.policy.priority) {
            const double floor =
                settings.floors ? other->policy.floor_share * total : 0.0;
            demand = std::min(demand, floor);
        }
        available -= demand;
    }
    const double own_floor =
        settings.floors ? rank.policy.floor_share * total : 0.0;
    return std::clamp(std::max(available, own_floor), 0.0, total);
}

duration admission::state::expected_wait(const class_state& service_class,
                                         const queue::account& client) const
{
    const rank_state& rank = *service_class.rank;
    // Without capacity no estimate is possible: until engines join, only the
    // queue limits and the deadlines apply.
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
            std::max(0.0, client.tag - service_class.accounts.virtual_now()) *
            client.weight / std::max(service_class.mean_tokens, 1.0);
        const auto own = static_cast<double>(client.items.size());
        starts_before = std::min(waiting, (own + ahead) * others);
    }
    const double seconds = (starts_before + 1.0) / class_rate;
    constexpr double max_seconds = 3600.0;
    return duration(
        static_cast<duration::rep>(std::min(seconds, max_seconds) * 1e9));
}

/// Computes each class's max-min fair level L: accounts are entitled to
/// min(demand, L * weight) of the slots that the class uses or that are free.
/// An account with a higher demand is large; its waits are caused by its own
/// load.
void admission::state::refresh_fair_levels(unsigned free_slots, time_point now)
{
    if (now < next_level_refresh) {
        return;
    }
    // The level decides which accounts count as small, so it must be recent
    // relative to the wait targets. Each refresh visits all active accounts;
    // the interval grows with their number to bound the cost per decision.
    std::size_t visited = 0;
    for (const auto& item : classes) {
        visited += item->active_accounts.size();
    }
    next_level_refresh = now + std::chrono::milliseconds(20) +
                         visited * std::chrono::microseconds(100);
    for (auto& item : classes) {
        // Free slots are included: they are kept for small accounts, which
        // would otherwise count as large because they do not use them yet.
        double slots = item->running + static_cast<double>(free_slots);
        double weight = 0.0;
        level_buffer.clear();
        for (const queue::account* client : item->active_accounts) {
            const double demand = demand_of(*client);
            if (demand > 0.0) {
                level_buffer.emplace_back(demand / client->weight,
                                          client->weight);
                weight += client->weight;
            }
        }
        double level = std::numeric_limits<double>::infinity();
        std::sort(level_buffer.begin(), level_buffer.end());
        for (const auto& [demand, account_weight] : level_buffer) {
            if (demand * weight > slots) {
                level = slots / weight;
                break;
            }
            slots -= demand * account_weight;
            weight -= account_weight;
        }
        // With less than one slot per account, one slot does not make an
        // account large.
        item->fair_level = std::max(level, 1.0);
    }
}

void admission::state::refresh_headroom(time_point now)
{
    if (now < next_headroom_refresh) {
        return;
    }
    next_headroom_refresh = now + std::chrono::milliseconds(100);
    urgent_headroom = 0;
    small_headroom = 0;
    if (!settings.headroom) {
        return;
    }
    const auto limit = static_cast<unsigned>(settings.max_urgent_headroom *
                                             static_cast<double>(capacity));
    const auto small_limit = static_cast<unsigned>(
        settings.max_small_account_headroom * static_cast<double>(capacity));
    urgent_headroom =
        slots_to_keep_free(ranks.front()->arrivals.per_second(now),
                           release_rate(), settings.headroom_risk, limit);
    small_headroom =
        slots_to_keep_free(small_arrivals.per_second(now), release_rate(),
                           settings.headroom_risk, small_limit);
}

void admission::state::forget_idle_accounts(time_point now)
{
    if (now < next_idle_sweep) {
        return;
    }
    next_idle_sweep = now + std::chrono::seconds(1);
    for (auto& item : classes) {
        item->active_accounts.clear();
        for (auto& [id, client] : item->accounts.accounts()) {
            client.active =
                client.running > 0 || !client.items.empty() ||
                now - client.last_active < settings.account_idle_timeout;
            if (client.active) {
                item->active_accounts.push_back(&client);
            }
        }
    }
}

} // namespace bamboogate::scheduling
