#include <bamboogate/rollout/trial_selector.hpp>

#include <algorithm>

namespace bamboogate::rollout {

bool trial_selector::admit(std::string_view route, time_point now)
{
    auto saved = saved_.find(route);
    if (saved == saved_.end()) {
        saved = saved_.emplace(std::string(route), settings_.offset).first;
    }
    // Requests without a lease save nothing up: the trial would make up for
    // them in a burst.
    if (now >= leased_until_) {
        return false;
    }
    saved->second += settings_.share;
    if (saved->second < 1.0) {
        return false;
    }
    saved->second -= 1.0;
    return true;
}

double trial_offset(double position, double slack, std::size_t gates,
                    std::size_t routes)
{
    const auto counters = static_cast<double>(std::max<std::size_t>(gates, 1) *
                                              std::max<std::size_t>(routes, 1));
    // The mean of evenly spread positions is one half.
    return position * std::min(1.0, slack / 2.0 / counters);
}

} // namespace bamboogate::rollout
