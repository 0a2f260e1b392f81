#include <bamboogate/relay/version_lag.hpp>

#include <doctest/doctest.h>

using namespace bamboogate;
using namespace bamboogate::relay;
using namespace std::chrono_literals;

namespace {

struct version_lag_fixture
{
    version_lag lag;
    time_point now{1h};
};

} // namespace

// Guards against a wait that starts again with each newer version.
TEST_CASE_FIXTURE(version_lag_fixture,
                  "version_lag_newer_reports_do_not_restart_the_time")
{
    for (std::uint64_t version = 1; version <= 20; ++version) {
        lag.note_reported(version, now);
        now += 100ms;
    }
    CHECK(lag.lag(now) == 2s);
    CHECK(lag.newest() == 20);
}

TEST_CASE_FIXTURE(version_lag_fixture,
                  "version_lag_reached_version_ends_or_shortens_the_time")
{
    lag.note_reported(5, now);
    now += 100ms;
    lag.note_reported(6, now);
    now += 50ms;
    lag.note_reached(5);
    CHECK(lag.lag(now) == 50ms);
    lag.note_reached(6);
    CHECK(lag.lag(now) == 0ms);
    lag.note_reported(6, now);
    CHECK(lag.lag(now + 1s) == 0ms);
}

TEST_CASE_FIXTURE(version_lag_fixture,
                  "version_lag_version_reached_before_its_report_is_no_lag")
{
    lag.note_reached(9);
    lag.note_reported(8, now);
    lag.note_reported(9, now);
    CHECK(lag.lag(now + 1s) == 0ms);
}
