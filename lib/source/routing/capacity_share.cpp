#include <bamboogate/routing/capacity_share.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bamboogate::routing {

namespace {

/// Distributes `slots` evenly over the gates, up to each gate's limit; the
/// remainder goes to the gates with the lowest index.
/// @return slots that no gate can take
unsigned distribute_evenly(unsigned slots, std::vector<unsigned>& shares,
                           const std::vector<unsigned>& limits)
{
    while (slots > 0) {
        std::vector<std::size_t> below_limit;
        for (std::size_t i = 0; i < shares.size(); ++i) {
            if (shares[i] < limits[i]) {
                below_limit.push_back(i);
            }
        }
        if (below_limit.empty()) {
            return slots;
        }
        const auto count = static_cast<unsigned>(below_limit.size());
        const unsigned per_gate = slots / count;
        if (per_gate == 0) {
            for (std::size_t k = 0; k < slots; ++k) {
                ++shares[below_limit[k]];
            }
            return 0;
        }
        for (const std::size_t i : below_limit) {
            const unsigned granted = std::min(per_gate, limits[i] - shares[i]);
            shares[i] += granted;
            slots -= granted;
        }
    }
    return 0;
}

} // namespace

std::vector<unsigned> divide_capacity(unsigned capacity,
                                      std::span<const slot_demand> demands)
{
    std::vector<unsigned> shares(demands.size(), 0);
    if (demands.empty()) {
        return shares;
    }
    auto to_whole_slots = [&](double demand) {
        return static_cast<unsigned>(
            std::clamp(std::ceil(demand), 0.0, static_cast<double>(capacity)));
    };
    std::vector<unsigned> limits(demands.size(), 0);
    for (std::size_t i = 0; i < demands.size(); ++i) {
        limits[i] = to_whole_slots(demands[i].urgent);
    }
    unsigned left = distribute_evenly(capacity, shares, limits);
    // Raise all gates to the same level, up to their total demand.
    for (unsigned level = 1; left > 0 && level <= capacity; ++level) {
        for (std::size_t i = 0; i < demands.size() && left > 0; ++i) {
            if (shares[i] < level &&
                shares[i] < to_whole_slots(demands[i].total)) {
                ++shares[i];
                --left;
            }
        }
    }
    std::vector<unsigned> surplus(demands.size(), 0);
    distribute_evenly(left, surplus,
                      std::vector<unsigned>(demands.size(), capacity));
    for (std::size_t i = 0; i < shares.size(); ++i) {
        shares[i] += surplus[i];
    }
    return shares;
}

capacity_share::capacity_share(options settings)
    : settings_(std::move(settings))
{
    std::sort(settings_.gates.begin(), settings_.gates.end());
}

void capacity_share::receive(const node_id& gate, const slot_demand& demand,
                             time_point now)
{
    const bool known = std::binary_search(settings_.gates.begin(),
                                          settings_.gates.end(), gate);
    if (known && std::isfinite(demand.total) && std::isfinite(demand.urgent)) {
        reports_[gate] = {demand, now};
    }
}

bool capacity_share::all_reports_recent(time_point now) const
{
    return std::all_of(settings_.gates.begin(), settings_.gates.end(),
                       [&](const node_id& gate) {
                           const auto found = reports_.find(gate);
                           return gate == settings_.self ||
                                  (found != reports_.end() &&
                                   now - found->second.received <
                                       settings_.report_ttl);
                       });
}

unsigned capacity_share::slots(unsigned capacity, time_point now)
{
    const std::size_t count = settings_.gates.size();
    const auto self = std::lower_bound(settings_.gates.begin(),
                                       settings_.gates.end(), settings_.self);
    if (self == settings_.gates.end() || *self != settings_.self) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(self - settings_.gates.begin());
    // Equal shares in whole slots; the remainder goes to the first gates by
    // id.
    const std::vector<slot_demand> no_demands(count);
    const std::vector<unsigned> equal = divide_capacity(capacity, no_demands);

    // Gates without a recent report keep their equal share; the others divide
    // the rest. Without any report this leaves exactly the own equal share.
    unsigned remaining = capacity;
    std::vector<slot_demand> demands;
    std::size_t own = 0;
    for (std::size_t i = 0; i < count; ++i) {
        const node_id& gate = settings_.gates[i];
        const auto found = reports_.find(gate);
        const bool recent = found != reports_.end() &&
                            now - found->second.received < settings_.report_ttl;
        if (i == index) {
            own = demands.size();
        }
        if (recent || i == index) {
            demands.push_back(
                recent ? found->second.demand
                       : slot_demand{.total = static_cast<double>(equal[i])});
        } else {
            remaining -= equal[i];
        }
    }
    const unsigned fair = divide_capacity(remaining, demands)[own];
    const auto cap =
        static_cast<unsigned>(std::ceil(settings_.max_factor * equal[index]));
    const unsigned target = std::min(fair, std::max(cap, equal[index]));

    if (!has_value_ || target <= value_ || capacity != capacity_) {
        has_value_ = true;
        capacity_ = capacity;
        value_ = target;
        rising_ = false;
        return value_;
    }
    if (!rising_) {
        rising_ = true;
        rise_since_ = now;
    }
    if (now - rise_since_ >= settings_.rise_delay) {
        value_ = target;
        rising_ = false;
    }
    return value_;
}

} // namespace bamboogate::routing
