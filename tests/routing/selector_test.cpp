#include <bamboogate/routing/selector.hpp>

#include <doctest/doctest.h>

#include <random>
#include <set>

#include "routing/support/announcements.hpp"

using namespace bamboogate;
using namespace bamboogate::routing;
using namespace std::chrono_literals;
using bamboogate::routing::testing::engine_announcement;

namespace {

class selector_fixture
{
public:
    time_point now{1h};
    selector selector_under_test;
    const model_id model{"draft"};

    void report(const announcement& announced,
                table_event event = table_event::updated)
    {
        upstream_record record;
        record.latest = announced;
        record.suspected = event == table_event::suspected;
        selector_under_test.on_table_event(event, record, now);
    }
    void join(const std::string& id)
    {
        report(engine_announcement(id, 1, 1), table_event::joined);
    }
    std::string choose(const engine_request& request, std::uint64_t random = 1)
    {
        const auto choice =
            selector_under_test.choose_engine(request, now, random);
        return choice ? choice.value().upstream.value()
                      : std::string(name_of(choice.error().code));
    }
};

} // namespace

TEST_CASE_FIXTURE(selector_fixture, "selector_no_candidate_reports_error_code")
{
    CHECK(choose({.model = model}) == "not_found");
    join("a");
    CHECK(choose({.model = model}) == "a");
    CHECK(choose({.model = model_id("other")}) == "not_found");
    const upstream_id tried[] = {upstream_id("a")};
    CHECK(choose({.model = model, .exclusions = tried}) == "overloaded");
}

// Guards against new work for an upstream that drains or has left
// (invariant I6).
TEST_CASE_FIXTURE(selector_fixture, "selector_departing_engine_gets_nothing")
{
    join("a");
    announcement announced = engine_announcement("a", 1, 2);
    SUBCASE("draining")
    {
        announced.draining = true;
        report(announced);
        CHECK(choose({.model = model}) == "overloaded");
    }
    SUBCASE("left")
    {
        report(announced, table_event::left);
        CHECK(choose({.model = model}) == "not_found");
    }
}

// Guards against refusing work when the only engine left is suspected.
TEST_CASE_FIXTURE(selector_fixture, "selector_suspected_engine_is_last_resort")
{
    join("a");
    join("b");
    report(engine_announcement("a", 1, 1), table_event::suspected);
    selector_under_test.started(upstream_id("b"), 50'000, now);
    CHECK(choose({.model = model}) == "b");
    const upstream_id tried[] = {upstream_id("b")};
    CHECK(choose({.model = model, .exclusions = tried}) == "a");
}

// Guards against counting own load twice: a report includes the work sent
// before it, but not the work sent within the report lag.
TEST_CASE_FIXTURE(selector_fixture, "selector_report_does_not_double_own_load")
{
    join("a");
    selector_under_test.started(upstream_id("a"), 1000, now);
    now += 1s;
    announcement announced = engine_announcement("a", 1, 2);
    announced.outstanding_tokens = 1400;
    report(announced);
    CHECK(selector_under_test.load(upstream_id("a")) == doctest::Approx(1400));
    selector_under_test.started(upstream_id("a"), 500, now);
    now += 50ms;
    // Unchanged load at the engine: the start is within the report lag.
    announced.sequence = 3;
    report(announced);
    CHECK(selector_under_test.load(upstream_id("a")) == doctest::Approx(1900));
    selector_under_test.tokens_received(upstream_id("a"), 300, now);
    CHECK(selector_under_test.load(upstream_id("a")) == doctest::Approx(1600));
}

TEST_CASE_FIXTURE(selector_fixture, "selector_cached_prefix_beats_small_load")
{
    join("a");
    join("b");
    announcement announced = engine_announcement("b", 1, 2);
    announced.cache_events = {1, {{cache_event::operation::add, 77}}};
    report(announced);
    selector_under_test.started(upstream_id("b"), 100, now);
    const std::uint64_t prefix[] = {77};
    CHECK(choose({.model = model, .tokens = 100}) == "a");
    CHECK(choose({.model = model, .tokens = 100, .prefix = prefix}) == "b");
    selector_under_test.started(upstream_id("b"), 10'000, now);
    CHECK(choose({.model = model, .tokens = 100, .prefix = prefix}) == "a");
}

TEST_CASE_FIXTURE(selector_fixture, "selector_prefers_the_domain_at_equal_load")
{
    join("a");
    announcement announced = engine_announcement("b", 1, 1);
    announced.failure_domain = failure_domain_id("medenine");
    report(announced, table_event::joined);
    for (std::uint64_t random = 0; random < 10; ++random) {
        CHECK(choose({.model = model,
                      .preferred_domain = failure_domain_id("medenine")},
                     random) == "b");
    }
}

// Guards against more streams at an engine than it has slots.
TEST_CASE_FIXTURE(selector_fixture, "selector_stream_limit_is_kept")
{
    join("a");
    for (int i = 0; i < 8; ++i) {
        REQUIRE(choose({.model = model}) == "a");
        selector_under_test.started(upstream_id("a"), 10, now);
    }
    CHECK(choose({.model = model}) == "overloaded");
    selector_under_test.finished(upstream_id("a"), 0,
                                 selector::attempt_end::succeeded, now);
    CHECK(choose({.model = model}) == "a");
}

// Guards against all queued work being sent to an engine that just returned.
TEST_CASE_FIXTURE(selector_fixture, "selector_returning_engine_starts_slowly")
{
    join("a");
    SUBCASE("recovered from silence")
    {
        report(engine_announcement("a", 1, 2), table_event::recovered);
    }
    SUBCASE("restarted")
    {
        report(engine_announcement("a", 2, 1), table_event::joined);
    }
    SUBCASE("removed and returned")
    {
        report(engine_announcement("a", 1, 1), table_event::removed);
        report(engine_announcement("a", 1, 2), table_event::joined);
    }
    selector_under_test.started(upstream_id("a"), 10, now);
    CHECK(choose({.model = model}) == "overloaded");
    now += 5s;
    selector_under_test.started(upstream_id("a"), 10, now);
    CHECK(choose({.model = model}) == "a");
    now += 5s;
    for (int i = 0; i < 5; ++i) {
        selector_under_test.started(upstream_id("a"), 10, now);
    }
    CHECK(choose({.model = model}) == "a");
}

// Guards against work for an engine that fails repeatedly, and against more
// than one trial request after the backoff.
TEST_CASE_FIXTURE(selector_fixture,
                  "selector_failing_engine_opens_circuit_breaker")
{
    join("a");
    for (int i = 0; i < 3; ++i) {
        selector_under_test.started(upstream_id("a"), 10, now);
        selector_under_test.finished(upstream_id("a"), 10,
                                     selector::attempt_end::failed, now);
    }
    CHECK(choose({.model = model}) == "overloaded");
    now += 500ms;
    CHECK(choose({.model = model}) == "a");
    selector_under_test.started(upstream_id("a"), 10, now);
    CHECK(choose({.model = model}) == "overloaded");
}

// Guards against a sample that leaves single engines overloaded.
TEST_CASE_FIXTURE(selector_fixture, "selector_large_fleet_spreads_the_load")
{
    for (int i = 0; i < 200; ++i) {
        join("e" + std::to_string(i));
    }
    std::mt19937_64 random(5);
    for (int i = 0; i < 800; ++i) {
        const auto choice = selector_under_test.choose_engine(
            {.model = model, .tokens = 100}, now, random());
        REQUIRE(choice);
        selector_under_test.started(choice.value().upstream, 100, now);
    }
    unsigned max_streams = 0;
    for (int i = 0; i < 200; ++i) {
        max_streams = std::max(
            max_streams,
            selector_under_test.streams(upstream_id("e" + std::to_string(i))));
    }
    // The mean is 4; a purely random choice puts 10 or more on one engine.
    CHECK(max_streams <= 6);
}

TEST_CASE_FIXTURE(selector_fixture,
                  "selector_service_call_goes_to_least_loaded")
{
    announcement announced = engine_announcement("s1", 1, 1);
    announced.kind = upstream_kind::service;
    announced.service = service_id("booking");
    report(announced, table_event::joined);
    announced.id = upstream_id("s2");
    report(announced, table_event::joined);
    selector_under_test.started(upstream_id("s1"), 0, now);
    const auto choice =
        selector_under_test.choose_service(service_id("booking"), {}, now, 0);
    REQUIRE(choice);
    CHECK(choice.value().upstream == upstream_id("s2"));
    const auto unknown =
        selector_under_test.choose_service(service_id("stock"), {}, now, 0);
    CHECK(unknown.error().code == errc::not_found);
}
