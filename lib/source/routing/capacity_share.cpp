#include <bamboogate/routing/capacity_share.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bamboogate::routing {

namespace {

/// Deals `slots` one by one in equal parts to the listed gates, first to
/// those with the lowest index, up to each gate's limit.
unsigned deal(unsigned slots, std::vector<unsigned>& parts,
              const std::vector<unsigned>& limits)
{
    while (slots > 0) {
        std::vector<std::size_t> open;
        for (std::size_t i = 0; i < parts.size(); ++i) {
            if (parts[i] < limits[i]) {
                open.push_back(i);
            }
        }
        if (open.empty()) {
            return slots;
        }
        const auto count = static_cast<unsigned>(open.size());
        const unsigned each = slots / count;
        if (each == 0) {
            for (std::size_t k = 0; k < slots; ++k) {
                ++parts[open[k]];
            }
            return 0;
        }
        for (const std::size_t i : open) {
            const unsigned given = std::min(each, limits[i] - parts[i]);
            parts[i] += given;
            slots -= given;
        }
    }
    return 0;
}

} // namespace

std::vector<unsigned> divide_capacity(unsigned capacity,
                                      std::span<const slot_demand> demands)
{
    std::vector<unsigned> parts(demands.size(), 0);
    if (demands.empty()) {
        return parts;
    }
    auto whole = [&](double demand) {
        return static_cast<unsigned>(
            std::clamp(std::ceil(demand), 0.0, static_cast<double>(capacity)));
    };
    std::vector<unsigned> limits(demands.size(), 0);
    for (std::size_t i = 0; i < demands.size(); ++i) {
        limits[i] = whole(demands[i].urgent);
    }
    unsigned left = deal(capacity, parts, limits);
    // Every gate gets to the same level where its total demand allows.
    for (unsigned level = 1; left > 0 && level <= capacity; ++level) {
        for (std::size_t i = 0; i < demands.size() && left > 0; ++i) {
            if (parts[i] < level && parts[i] < whole(demands[i].total)) {
                ++parts[i];
                --left;
            }
        }
    }
    std::vector<unsigned> surplus(demands.size(), 0);
    deal(left, surplus, std::vector<unsigned>(demands.size(), capacity));
    for (std::size_t i = 0; i < parts.size(); ++i) {
        parts[i] += surplus[i];
    }
    return parts;
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
        demands_[gate] = {demand, now};
    }
}

bool capacity_share::all_reports_recent(time_point now) const
{
    return std::all_of(settings_.gates.begin(), settings_.gates.end(),
                       [&](const node_id& gate) {
                           const auto found = demands_.find(gate);
                           return gate == settings_.self ||
                                  (found != demands_.end() &&
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
    // Equal parts in whole slots, the rest to the first gates by id.
    const std::vector<slot_demand> alike(count);
    const std::vector<unsigned> equal = divide_capacity(capacity, alike);

    // Silent gates keep their equal part; the others divide the rest. Without
    // any news this leaves exactly the own equal part.
    unsigned rest = capacity;
    std::vector<slot_demand> demands;
    std::size_t own = 0;
    for (std::size_t i = 0; i < count; ++i) {
        const node_id& gate = settings_.gates[i];
        const auto found = demands_.find(gate);
        const bool recent = found != demands_.end() &&
                            now - found->second.received < settings_.report_ttl;
        if (i == index) {
            own = demands.size();
        }
        if (recent || i == index) {
            demands.push_back(
                recent ? found->second.demand
                       : slot_demand{.total = static_cast<double>(equal[i])});
        } else {
            rest -= equal[i];
        }
    }
    const unsigned fair = divide_capacity(rest, demands)[own];
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
