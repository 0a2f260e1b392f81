#ifndef BAMBOOGATE_SCHEDULING_LOAD_ESTIMATE_HPP
#define BAMBOOGATE_SCHEDULING_LOAD_ESTIMATE_HPP

#include <bamboogate/core/time.hpp>

namespace bamboogate::scheduling {

/// Events per second, averaged over about one time constant. Pure.
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

/// Mean time that a generation holds its slot. Pure.
class hold_time_estimate
{
public:
    explicit hold_time_estimate(duration first_guess)
        : seconds_(to_seconds(first_guess))
    {}

    void add_sample(duration held) noexcept;

    [[nodiscard]] double seconds() const noexcept { return seconds_; }

private:
    double seconds_;
    unsigned counted_ = 0;
};

/// @brief Slots to keep free so that an arrival seldom finds none.
///
/// Arrivals during the time until the next slot is released are taken as a
/// Poisson number; the result is the least h with P(N >= h) <= risk.
/// @param arrivals_per_second of the work that the slots are kept for
/// @param releases_per_second of all slots
/// @param limit upper bound of the result
[[nodiscard]] unsigned slots_to_keep_free(double arrivals_per_second,
                                          double releases_per_second,
                                          double risk, unsigned limit) noexcept;

} // namespace bamboogate::scheduling

#endif
