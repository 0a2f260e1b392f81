// Streams that have begun while the retries are used up.
#include "platform/support/relay_fixture.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;

namespace {

struct stream_retry_fixture : relay_fixture
{
    /// The gate has one retry per request.
    explicit stream_retry_fixture(double reserve_slack = 0.0)
        : relay_fixture({.ratio = 1.0, .slack = 0.0, .safety_factor = 1.0},
                        {.slack = reserve_slack})
    {}
    std::unique_ptr<caller> request;
    fake_upstream* first = nullptr; ///< runs the stream
    fake_upstream* other = nullptr;
    fake_upstream engine3{loop, "e3"}; ///< joins after the stream has begun

    void begin_stream()
    {
        request = send_request("/gen/x", "g1");
        REQUIRE(wait([&] {
            return engine1.received.size() + engine2.received.size() == 1;
        }));
        first = engine1.received.empty() ? &engine2 : &engine1;
        other = engine1.received.empty() ? &engine1 : &engine2;
        first->begin_stream(0);
        first->event(0, 1);
        REQUIRE(wait([&] { return !request->body.empty(); }));
    }
    /// Breaks the stream off twice, after its first and second event.
    void break_off_twice()
    {
        begin_stream();
        announce(engine3, "gen", "d3");
        run_until(
            loop, [] { return false; }, 50ms);
        first->received[0].responder->abort();
        REQUIRE(wait([&] { return other->received.size() == 1; }));
        other->begin_stream(0);
        other->event(0, 2);
        REQUIRE(wait(
            [&] { return request->body.find("e2") != std::string::npos; }));
        other->received[0].responder->abort();
    }
    /// The index of the third attempt at the third engine.
    std::optional<std::size_t> third_attempt()
    {
        for (std::size_t i = 0; i < engine3.received.size(); ++i) {
            if (engine3.header(i, "Last-Event-Id") == "2") {
                return i;
            }
        }
        return std::nullopt;
    }
    /// Completes the stream at its third attempt.
    void complete()
    {
        REQUIRE(wait([&] { return third_attempt().has_value(); }));
        const std::size_t at = *third_attempt();
        engine3.begin_stream(at);
        engine3.event(at, 3);
        engine3.received[at].responder->finish();
        REQUIRE(wait([&] { return request->ended(); }));
        CHECK(request->complete);
        CHECK(request->body == "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
                               "id: 3\ndata: e3\n\n");
    }
};

} // namespace

// Guards against a begun stream that is cut because its engine refuses a new
// connection and no further attempt is allowed.
TEST_CASE_FIXTURE(stream_retry_fixture,
                  "stream_without_a_retry_left_stays_at_a_suspected_engine")
{
    start_system();
    std::string document = configuration(6);
    const std::string allowed = "\"maxAttempts\":3";
    document.replace(document.find(allowed), allowed.size(),
                     "\"maxAttempts\":1");
    REQUIRE(control_call(1, "POST", "/Config.Replace", document)->status() ==
            200);
    run_until(
        loop, [] { return false; }, 200ms);
    begin_stream();
    first->refuse_connections();
    for (int i = 2; i <= 20; ++i) {
        first->event(0, i);
        run_until(
            loop, [&] { return request->ended(); }, 50ms);
    }
    REQUIRE_FALSE(request->ended());
    first->received[0].responder->finish();
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->complete);
    CHECK(request->body.find("id: 20\n") != std::string::npos);
    CHECK(other->received.empty());
}

// Guards against a begun stream that is cut because the limit of retries is
// used up for a moment.
TEST_CASE_FIXTURE(stream_retry_fixture,
                  "begun_stream_waits_for_the_limit_of_retries")
{
    start_system();
    break_off_twice();
    run_until(
        loop, [&] { return request->ended(); }, 500ms);
    REQUIRE_FALSE(request->ended());
    CHECK_FALSE(third_attempt());
    SUBCASE("another request renews the limit")
    {
        const auto another = send_request("/gen/x", "g2");
        complete();
    }
    SUBCASE("caller leaves")
    {
        request.reset();
        CHECK(wait([&] { return gate->active_requests() == 0; }));
        const auto another = send_request("/gen/x", "g2");
        run_until(
            loop, [] { return false; }, 500ms);
        CHECK_FALSE(third_attempt());
    }
}

// Guards against a begun stream that waits for its gate's part of the limit of
// retries while most of the whole limit is free.
TEST_CASE("begun_stream_beyond_the_part_of_its_gate_uses_the_reserve")
{
    stream_retry_fixture system(150.0);
    system.start_system();
    // The reserve starts empty with the leadership.
    run_until(
        system.loop, [] { return false; }, 1s);
    system.break_off_twice();
    CHECK(run_until(
        system.loop, [&] { return system.third_attempt().has_value(); },
        200ms));
    system.complete();
}
