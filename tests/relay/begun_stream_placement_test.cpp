// Placement of streams that have begun, while engines of two versions serve.
#include <bamboogate/relay/stream_scheduler.hpp>

#include <doctest/doctest.h>

using namespace bamboogate;
using namespace bamboogate::relay;
using namespace std::chrono_literals;

namespace {

const software_version v1("v1");
const software_version v2("v2");

struct begun_stream_fixture
{
    stream_scheduler scheduler;
    time_point now{1h};

    begun_stream_fixture()
    {
        add_engine("old1", v1, 1);
        for (const char* id : {"new1", "new2", "new3"}) {
            add_engine(id, v2, 2);
        }
        scheduler.planner().reserve_scarce_versions();
        scheduler.set_continuing_versions({v1, v2});
    }
    void add_engine(const char* id, const software_version& version,
                    unsigned slots)
    {
        scheduler.planner().update_engine({.id = upstream_id(id),
                                           .domain = failure_domain_id("d"),
                                           .kv_capacity_tokens = 88000,
                                           .slots = slots,
                                           .version = version});
    }
    std::vector<stream_decision> place(const char* id,
                                       std::optional<software_version> begun_at,
                                       std::set<upstream_id> excluded = {})
    {
        scheduler.submit({.run = {.id = request_id(id),
                                  .prompt_tokens = 1000,
                                  .output_tokens = 100,
                                  .begun_at = begun_at},
                          .account = client_account_id("a"),
                          .excluded = std::move(excluded),
                          .resuming = begun_at.has_value(),
                          .arrived = now,
                          .latest_start = now + 5s});
        return scheduler.decide(now);
    }
};

} // namespace

// Guards against a stream that goes on at another version because its own
// engines are full or have failed it.
TEST_CASE_FIXTURE(begun_stream_fixture,
                  "placement_begun_stream_goes_on_only_at_its_version")
{
    const auto first = place("a", v1, {upstream_id("old1")});
    REQUIRE(first.size() == 1);
    CHECK(first[0].target->engine == upstream_id("old1"));
    CHECK_FALSE(first[0].target->copy_holder);
    CHECK(place("b", v1).empty());
    CHECK(scheduler.waiting() == 1);
    // A stream that waits for v1 doesn't keep a smaller one of v2 waiting.
    CHECK(place("c", v2).size() == 1);
}

// Guards against a caller that waits for a version without engines.
TEST_CASE_FIXTURE(begun_stream_fixture,
                  "placement_begun_stream_without_its_version_refused_at_once")
{
    scheduler.set_continuing_versions({v2});
    const auto decided = place("a", v1);
    REQUIRE(decided.size() == 1);
    CHECK(decided[0].abandoned);
    CHECK_FALSE(decided[0].target);
}

// Guards against new streams that fill the last engines of a version.
TEST_CASE_FIXTURE(begun_stream_fixture,
                  "placement_new_streams_leave_scarce_version_free")
{
    for (const char* id : {"a", "b", "c", "d", "e", "f"}) {
        const auto decided = place(id, std::nullopt);
        REQUIRE(decided.size() == 1);
        CHECK(decided[0].target->engine != upstream_id("old1"));
    }
    const auto last = place("g", std::nullopt);
    REQUIRE(last.size() == 1);
    CHECK(last[0].target->engine == upstream_id("old1"));
}
