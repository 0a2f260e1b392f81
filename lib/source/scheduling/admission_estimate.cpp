#include <algorithm>

#include "admission_state.hpp"

namespace bamboogate::scheduling {

double admission::state::release_rate() const
{
    return static_cast<double>(capacity) / hold.seconds();
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
    const double rank_rate = std::max(slots_for(rank), 0.5) / hold.seconds();
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
            who.weight / std::max(mean_tokens, 1.0);
        const auto own = static_cast<double>(who.items.size());
        starts_before = std::min(waiting, (own + ahead) * others);
    }
    const double seconds = (starts_before + 1.0) / class_rate;
    constexpr double longest = 3600.0;
    return duration(
        static_cast<duration::rep>(std::min(seconds, longest) * 1e9));
}

bool admission::state::is_large(const class_state& service_class,
                                const queue::account& who) const
{
    if (service_class.active_weight <= who.weight) {
        return false;
    }
    const double fair_part = static_cast<double>(service_class.running) *
                             who.weight / service_class.active_weight;
    return who.running > 1.0 + settings.large_account_factor * fair_part;
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
    const auto limit = static_cast<unsigned>(settings.max_headroom *
                                             static_cast<double>(capacity));
    urgent_headroom =
        slots_to_keep_free(ranks.front()->arrivals.per_second(now),
                           release_rate(), settings.headroom_risk, limit);
    light_headroom =
        slots_to_keep_free(light_arrivals.per_second(now), release_rate(),
                           settings.headroom_risk, limit);
}

void admission::state::forget_idle_accounts(time_point now)
{
    if (now < sweep_due) {
        return;
    }
    sweep_due = now + std::chrono::seconds(1);
    for (auto& item : classes) {
        item->active_weight = 0.0;
        for (auto& [id, who] : item->accounts.accounts()) {
            who.active = who.running > 0 || !who.items.empty() ||
                         now - who.last_active < settings.account_memory;
            item->active_weight += who.active ? who.weight : 0.0;
        }
    }
}

} // namespace bamboogate::scheduling
