#include <bamboogate/relay/response_times.hpp>

#include <doctest/doctest.h>

using namespace bamboogate;
using namespace bamboogate::relay;
using namespace std::chrono_literals;

// Guards against an estimate that keeps one slow response for good, or forgets
// it before another response has shown the present pace.
TEST_CASE("response_times_slowest_is_kept_for_one_to_two_periods")
{
    response_times times;
    const service_id service("book");
    const time_point start = time_point{} + 1h;
    CHECK_FALSE(times.slowest(service, start));
    times.record(service, 900ms, start);
    times.record(service, 200ms, start + 10s);
    CHECK(times.slowest(service, start + 29s) == 900ms);
    times.record(service, 300ms, start + 31s);
    CHECK(times.slowest(service, start + 32s) == 900ms);
    CHECK(times.slowest(service, start + 62s) == 300ms);
    CHECK_FALSE(times.slowest(service, start + 200s));
    CHECK_FALSE(times.slowest(service_id("other"), start));
}
