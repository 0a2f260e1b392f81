#include <bamboogate/core/time.hpp>

#include <ctime>

namespace bamboogate {

time_point monotonic_clock::now() noexcept
{
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return time_point(std::chrono::seconds(ts.tv_sec) +
                      std::chrono::nanoseconds(ts.tv_nsec));
}

} // namespace bamboogate
