#ifndef BAMBOOGATE_CORE_TIME_HPP
#define BAMBOOGATE_CORE_TIME_HPP

#include <chrono>

namespace bamboogate {

using duration = std::chrono::nanoseconds;

/// A monotonic clock that includes the time the machine was suspended
/// (CLOCK_BOOTTIME), so that a lease does not outlive a suspend.
struct monotonic_clock
{
    using rep = bamboogate::duration::rep;
    using period = bamboogate::duration::period;
    using duration = bamboogate::duration;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;

    /// @brief Reads the clock. Thread safe.
    [[nodiscard]] static time_point now() noexcept;
};

using time_point = monotonic_clock::time_point;

/// @brief Seconds as a floating-point number, for metrics and logs.
[[nodiscard]] constexpr double to_seconds(duration d) noexcept
{
    return std::chrono::duration<double>(d).count();
}

/// @brief Milliseconds as a floating-point number, for metrics and logs.
[[nodiscard]] constexpr double to_milliseconds(duration d) noexcept
{
    return std::chrono::duration<double, std::milli>(d).count();
}

} // namespace bamboogate

#endif
