#include <bamboogate/scheduling/load_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace bamboogate::scheduling {

void rate_estimate::count(time_point now) noexcept
{
    rate_ = per_second(now) + 1.0 / seconds_;
    last_ = now;
}

double rate_estimate::per_second(time_point now) const noexcept
{
    const double idle = std::max(0.0, to_seconds(now - last_));
    return rate_ * std::exp(-idle / seconds_);
}

void hold_time_estimate::add_sample(duration held) noexcept
{
    // The mean of the first generations, then over about the last 50.
    constexpr double least_weight = 0.02;
    const double weight = std::max(1.0 / ++counted_, least_weight);
    seconds_ += weight * (to_seconds(held) - seconds_);
    constexpr double least = 1e-3;
    seconds_ = std::max(seconds_, least);
}

unsigned slots_to_keep_free(double arrivals_per_second,
                            double releases_per_second, double risk,
                            unsigned limit) noexcept
{
    if (arrivals_per_second <= 0.0 || releases_per_second <= 0.0) {
        return 0;
    }
    const double mean = arrivals_per_second / releases_per_second;
    double term = std::exp(-mean);
    double tail = 1.0 - term; // P(N >= 1)
    unsigned kept = 1;
    while (kept < limit && tail > risk) {
        term *= mean / kept;
        tail -= term;
        ++kept;
    }
    // Less than the risk without any slot: arrivals are that rare.
    constexpr double rare = 1e-3;
    return mean < rare ? 0 : std::min(kept, limit);
}

} // namespace bamboogate::scheduling
