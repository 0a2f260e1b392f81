#include <bamboogate/routing/selector.hpp>

#include <doctest/doctest.h>

#include <random>
#include <set>

#include "routing/support/announcements.hpp"

using namespace bamboogate;
using namespace bamboogate::routing;
using namespace std::chrono_literals;
using bamboogate::routing::testing::engine_news;

namespace {

class selector_fixture
{
public:
    time_point now{1h};
    selector chooser;
    const model_id model{"draft"};

    void report(const announcement& news,
                table_event event = table_event::updated)
    {
        upstream_record record;
        record.latest = news;
        record.suspected = event == table_event::suspected;
        chooser.on_table_event(event, record, now);
    }
    void join(const std::string& id)
    {
        report(engine_news(id, 1, 1), table_event::joined);
    }
    std::string choose(const engine_request& request, std::uint64_t random = 1)
    {
        const auto choice = chooser.choose_engine(request, now, random);
        return choice ? choice.value().upstream.value()
                      : std::string(name_of(choice.error().code));
    }
};

} // namespace

TEST_CASE_FIXTURE(selector_fixture, "selector_no_candidate_reports_why")
{
    CHECK(choose({.model = model}) == "not_found");
    join("a");
    CHECK(choose({.model = model}) == "a");
    CHECK(choose({.model = model_id("other")}) == "not_found");
    const upstream_id tried[] = {upstream_id("a")};
    CHECK(choose({.model = model, .exclusions = tried}) == "overloaded");
}

// Guards against new work for an upstream that drains or has left (I6).
TEST_CASE_FIXTURE(selector_fixture, "selector_departing_engine_gets_nothing")
{
    join("a");
    announcement news = engine_news("a", 1, 2);
    SUBCASE("draining")
    {
        news.draining = true;
        report(news);
        CHECK(choose({.model = model}) == "overloaded");
    }
    SUBCASE("left")
    {
        report(news, table_event::left);
        CHECK(choose({.model = model}) == "not_found");
    }
}

TEST_CASE_FIXTURE(selector_fixture, "selector_suspected_engine_is_last_resort")
{
    join("a");
    join("b");
    report(engine_news("a", 1, 1), table_event::suspected);
    chooser.started(upstream_id("b"), 50'000, now);
    CHECK(choose({.model = model}) == "b");
    const upstream_id tried[] = {upstream_id("b")};
    CHECK(choose({.model = model, .exclusions = tried}) == "a");
}

// Guards against counting own work twice: a report contains what was sent
// before it, and not what was sent just now.
TEST_CASE_FIXTURE(selector_fixture, "selector_report_does_not_double_own_load")
{
    join("a");
    chooser.started(upstream_id("a"), 1000, now);
    now += 1s;
    announcement news = engine_news("a", 1, 2);
    news.outstanding_tokens = 1400;
    report(news);
    CHECK(chooser.load(upstream_id("a")) == doctest::Approx(1400));
    chooser.started(upstream_id("a"), 500, now);
    now += 50ms;
    // Still the same state at the engine: the start is within the lag.
    news.sequence = 3;
    report(news);
    CHECK(chooser.load(upstream_id("a")) == doctest::Approx(1900));
    chooser.tokens_received(upstream_id("a"), 300, now);
    CHECK(chooser.load(upstream_id("a")) == doctest::Approx(1600));
}

TEST_CASE_FIXTURE(selector_fixture, "selector_cached_prefix_beats_small_load")
{
    join("a");
    join("b");
    announcement news = engine_news("b", 1, 2);
    news.cache_events = {1, {{cache_event::operation::add, 77}}};
    report(news);
    chooser.started(upstream_id("b"), 100, now);
    const std::uint64_t prefix[] = {77};
    CHECK(choose({.model = model, .tokens = 100}) == "a");
    CHECK(choose({.model = model, .tokens = 100, .prefix = prefix}) == "b");
    chooser.started(upstream_id("b"), 10'000, now);
    CHECK(choose({.model = model, .tokens = 100, .prefix = prefix}) == "a");
}

TEST_CASE_FIXTURE(selector_fixture, "selector_prefers_the_domain_at_equal_load")
{
    join("a");
    announcement news = engine_news("b", 1, 1);
    news.failure_domain = failure_domain_id("medenine");
    report(news, table_event::joined);
    for (std::uint64_t random = 0; random < 10; ++random) {
        CHECK(choose({.model = model,
                      .preferred_domain = failure_domain_id("medenine")},
                     random) == "b");
    }
}

TEST_CASE_FIXTURE(selector_fixture, "selector_stream_limit_is_kept")
{
    join("a");
    for (int i = 0; i < 8; ++i) {
        REQUIRE(choose({.model = model}) == "a");
        chooser.started(upstream_id("a"), 10, now);
    }
    CHECK(choose({.model = model}) == "overloaded");
    chooser.finished(upstream_id("a"), 0, selector::attempt_end::succeeded,
                     now);
    CHECK(choose({.model = model}) == "a");
}

// Guards against all waiting work rushing at an engine that just came back.
TEST_CASE_FIXTURE(selector_fixture, "selector_returning_engine_starts_slowly")
{
    join("a");
    SUBCASE("recovered from silence")
    {
        report(engine_news("a", 1, 2), table_event::recovered);
    }
    SUBCASE("restarted")
    {
        report(engine_news("a", 2, 1), table_event::joined);
    }
    SUBCASE("removed and returned")
    {
        report(engine_news("a", 1, 1), table_event::removed);
        report(engine_news("a", 1, 2), table_event::joined);
    }
    chooser.started(upstream_id("a"), 10, now);
    CHECK(choose({.model = model}) == "overloaded");
    now += 5s;
    chooser.started(upstream_id("a"), 10, now);
    CHECK(choose({.model = model}) == "a");
    now += 5s;
    for (int i = 0; i < 5; ++i) {
        chooser.started(upstream_id("a"), 10, now);
    }
    CHECK(choose({.model = model}) == "a");
}

TEST_CASE_FIXTURE(selector_fixture, "selector_failing_engine_is_tripped")
{
    join("a");
    for (int i = 0; i < 3; ++i) {
        chooser.started(upstream_id("a"), 10, now);
        chooser.finished(upstream_id("a"), 10, selector::attempt_end::failed,
                         now);
    }
    CHECK(choose({.model = model}) == "overloaded");
    now += 500ms;
    CHECK(choose({.model = model}) == "a");
    chooser.started(upstream_id("a"), 10, now);
    CHECK(choose({.model = model}) == "overloaded");
}

TEST_CASE_FIXTURE(selector_fixture, "selector_large_fleet_spreads_the_load")
{
    for (int i = 0; i < 200; ++i) {
        join("e" + std::to_string(i));
    }
    std::mt19937_64 random(5);
    for (int i = 0; i < 800; ++i) {
        const auto choice = chooser.choose_engine(
            {.model = model, .tokens = 100}, now, random());
        REQUIRE(choice);
        chooser.started(choice.value().upstream, 100, now);
    }
    unsigned busiest = 0;
    for (int i = 0; i < 200; ++i) {
        busiest = std::max(
            busiest, chooser.streams(upstream_id("e" + std::to_string(i))));
    }
    // The mean is 4; a random choice alone would put 10 or more on one engine.
    CHECK(busiest <= 6);
}

TEST_CASE_FIXTURE(selector_fixture, "selector_service_call_goes_to_least_busy")
{
    announcement news = engine_news("s1", 1, 1);
    news.kind = upstream_kind::service;
    news.service = service_id("booking");
    report(news, table_event::joined);
    news.id = upstream_id("s2");
    report(news, table_event::joined);
    chooser.started(upstream_id("s1"), 0, now);
    const auto choice =
        chooser.choose_service(service_id("booking"), {}, now, 0);
    REQUIRE(choice);
    CHECK(choice.value().upstream == upstream_id("s2"));
    const auto unknown =
        chooser.choose_service(service_id("stock"), {}, now, 0);
    CHECK(unknown.error().code == errc::not_found);
}
