// Requests around the end of the grace period of a gate's planned stop. The
// fixture's gate takes short requests for 0.1 s and stops after 2 s.
#include "platform/support/relay_fixture.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;

namespace {

struct stop_fixture : relay_fixture
{
    bool stopped = false;
    time_point stop_started;

    stop_fixture() { start_system(); }

    void stop_gate()
    {
        stop_started = loop.now();
        gate->stop([this] { stopped = true; });
    }
    /// Lets the service answer one call after `time`, as evidence for the gate.
    void serve_call(duration time)
    {
        const auto call = send_request("/book/x", "earlier");
        REQUIRE(wait([&] { return service.received.size() == 1; }));
        run_until(
            loop, [] { return false; }, time);
        service.answer(0, "done");
        REQUIRE(wait([&] { return call->ended(); }));
        REQUIRE(call->status() == 200);
    }
};

} // namespace

// Guards against calls that are passed on although they cannot end before the
// gate stops: they are cut, and one that runs at most once is lost.
TEST_CASE_FIXTURE(stop_fixture, "planned_stop_refuses_calls_that_outlast_it")
{
    serve_call(1800ms);
    stop_gate();
    const auto late = send_request("/book/x", "late");
    REQUIRE(wait([&] { return late->ended(); }));
    CHECK(late->status() == 503);
    CHECK(late->head->headers.find("Retry-After").has_value());
    CHECK(service.received.size() == 1);
}

// Guards against a gate that refuses everything once its stop has begun: the
// load balancer goes on sending for a while.
TEST_CASE_FIXTURE(stop_fixture, "planned_stop_serves_calls_that_end_in_time")
{
    serve_call(200ms);
    stop_gate();
    const auto late = send_request("/book/x", "late");
    REQUIRE(wait([&] { return service.received.size() == 2; }));
    service.answer(1, "done");
    REQUIRE(wait([&] { return late->ended(); }));
    CHECK(late->status() == 200);
}

// Guards against calls that are still at work when the gate stops and whose
// connections are closed without an answer.
TEST_CASE_FIXTURE(stop_fixture, "planned_stop_answers_calls_before_it_ends")
{
    const auto running = send_request("/book/x", "running");
    REQUIRE(wait([&] { return service.received.size() == 1; }));
    stop_gate();
    REQUIRE(wait([this] { return stopped; }));
    gate.reset();
    REQUIRE(wait([&] { return running->ended(); }));
    CHECK(running->complete);
    CHECK(running->status() == 504);
}

// Guards against a stop that exceeds its limit, after which the platform kills
// the process.
TEST_CASE_FIXTURE(stop_fixture, "planned_stop_with_open_work_ends_at_its_limit")
{
    const auto running = send_request("/book/x", "running");
    REQUIRE(wait([&] { return service.received.size() == 1; }));
    // The gate's periodic checks, every 250 ms, must not decide the end.
    duration offset = 0ms;
    SUBCASE("at one moment between two checks") {}
    SUBCASE("at another one")
    {
        offset = 125ms;
    }
    run_until(
        loop, [] { return false; }, offset);
    stop_gate();
    REQUIRE(wait([this] { return stopped; }));
    constexpr duration limit = 2s;
    CHECK(loop.now() - stop_started <= limit + 20ms);
}
