#include <bamboogate/relay/retry_delay.hpp>
#include <bamboogate/relay/upstream_directory.hpp>

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace bamboogate;
using namespace bamboogate::relay;
using namespace std::chrono_literals;

namespace {

struct upstream_pause_fixture
{
    upstream_health health;
    upstream_directory directory{{.own_domain = failure_domain_id("d1")}};
    time_point now{1h};
    service_id service{"s"};

    void announce(const char* id, std::uint64_t started_at = 100)
    {
        static std::uint64_t sequence = 0;
        directory.record_announcement({.id = upstream_id(id),
                                       .service = service,
                                       .address = {id, 80},
                                       .domain = failure_domain_id("d1"),
                                       .slots = 4,
                                       .sequence = ++sequence,
                                       .started_at = started_at},
                                      now);
    }
    void pause(const char* id, duration length)
    {
        directory.health(upstream_id(id)).note_pause(now, length);
    }
};

} // namespace

// Guards against a pause that ends early because another request, sent before
// it, is answered.
TEST_CASE_FIXTURE(upstream_pause_fixture,
                  "pause_outlives_the_answer_of_an_earlier_request")
{
    health.request_started(now);
    CHECK(health.note_pause(now, 2s) == 2s);
    health.note_success(10ms);
    CHECK(health.paused(now + 1999ms));
    CHECK_FALSE(health.paused(now + 2s));
    CHECK(health.note_pause(now, 1s) == 1s);
    CHECK(health.pause_left(now) == 2s);
}

// Guards against all requests at once at the end of a pause.
TEST_CASE_FIXTURE(upstream_pause_fixture,
                  "upstream_after_a_pause_gets_one_request_until_it_answers")
{
    health.note_pause(now, 2s);
    now += 2s;
    health.request_started(now);
    CHECK(health.paused(now + 999ms));
    CHECK_FALSE(health.paused(now + 1s));
    now += 1s;
    health.request_started(now);
    CHECK(health.paused(now));
    health.note_success(10ms);
    CHECK_FALSE(health.paused(now));
    health.request_started(now);
    CHECK_FALSE(health.paused(now));
}

// Guards against upstreams that ask for no requests for ever, or for a time
// that is none.
TEST_CASE_FIXTURE(upstream_pause_fixture, "pause_is_bounded_and_positive")
{
    CHECK(health.note_pause(now, -1s) == 0s);
    CHECK(health.note_pause(now, 0s) == 0s);
    CHECK_FALSE(health.paused(now));
    CHECK(health.note_pause(now, 1000h) == 1h);
    CHECK_FALSE(health.paused(now + 1h));
}

// Guards against requests to a paused upstream because there is no other, and
// against a pause that holds for the next start.
TEST_CASE_FIXTURE(upstream_pause_fixture,
                  "paused_upstream_is_never_chosen_until_it_starts_again")
{
    announce("a");
    announce("b");
    pause("a", 3s);
    CHECK_FALSE(directory.pause_left(service, now));
    CHECK(directory.choose(service, {}, now)->announced.id == upstream_id("b"));
    CHECK(directory.choose(service, {upstream_id("b")}, now) == nullptr);
    pause("b", 2s);
    CHECK(directory.choose(service, {}, now) == nullptr);
    CHECK(directory.pause_left(service, now) == 2s);
    CHECK_FALSE(directory.usable(*directory.find(upstream_id("a")), now));
    announce("a", 200);
    CHECK(directory.choose(service, {}, now)->announced.id == upstream_id("a"));
}

// Guards against callers who all return at the end of a pause.
TEST_CASE("retry_delay_is_spread_over_a_quarter_of_its_length")
{
    duration shortest = 1h;
    duration longest{};
    for (int i = 0; i < 200; ++i) {
        const duration delay =
            spread_retry_delay(4s, request_id(fmt::format("r{}", i)));
        shortest = std::min(shortest, delay);
        longest = std::max(longest, delay);
    }
    CHECK(shortest >= 4s);
    CHECK(shortest < 4100ms);
    CHECK(longest > 4900ms);
    CHECK(longest <= 5s);
}
