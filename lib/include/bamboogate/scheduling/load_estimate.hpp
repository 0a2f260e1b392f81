#ifndef BAMBOOGATE_SCHEDULING_LOAD_ESTIMATE_HPP
#define BAMBOOGATE_SCHEDULING_LOAD_ESTIMATE_HPP

#include <bamboogate/core/time.hpp>

namespace bamboogate::scheduling {

/// Exponentially decaying estimate of a rate, in events per second. Pure. Not
/// thread safe.
class rate_estimate
{
public:
    explicit rate_estimate(duration time_constant)
        : seconds_(to_seconds(time_constant))
    {}

    void count(time_point now) noexcept;

    [[nodiscard]] double per_second(time_point now) const noexcept;

private:
    double seconds_;
    double rate_ = 0.0;
    time_point last_;
};

/// Moving average of the time that a generation holds its slot. Pure. Not
/// thread safe.
class hold_time_estimate
{
public:
    explicit hold_time_estimate(duration initial_value)
        : seconds_(to_seconds(initial_value))
    {}

    void add_sample(duration held) noexcept;

    [[nodiscard]] double seconds() const noexcept { return seconds_; }

private:
    double seconds_;
    unsigned samples_ = 0;
};

/// @brief Number of slots to keep free so that an arrival rarely finds none.
///
/// The number N of arrivals until the next slot release is assumed to be
/// Poisson distributed; the result is the least h with P(N >= h) <= risk.
/// @param arrivals_per_second of the work that the slots are kept for
/// @param releases_per_second of all slots
/// @param risk accepted probability that an arrival finds no free slot
/// @param limit upper bound of the result
[[nodiscard]] unsigned slots_to_keep_free(double arrivals_per_second,
                                          double releases_per_second,
                                          double risk, unsigned limit) noexcept;

} // namespace bamboogate::scheduling

#endif
