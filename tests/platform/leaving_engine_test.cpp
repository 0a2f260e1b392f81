// Work in progress at upstreams that leave and accept no connections any more.
#include "platform/support/relay_fixture.hpp"
#include "platform/support/unanswering_listener.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;

namespace {

struct leaving_engine_fixture : relay_fixture
{
    std::unique_ptr<caller> request;
    fake_upstream* first = nullptr; ///< runs the stream
    fake_upstream* other = nullptr; ///< holds its copy
    int last_event = 0;

    /// Starts the system and a stream.
    void place_stream()
    {
        start_system();
        request = send_request("/gen/x", "g1");
        REQUIRE(wait([&] {
            return engine1.received.size() + engine2.received.size() == 1;
        }));
        first = engine1.received.empty() ? &engine2 : &engine1;
        other = engine1.received.empty() ? &engine1 : &engine2;
    }
    void begin_stream()
    {
        place_stream();
        first->begin_stream(0);
        first->event(0, ++last_event);
        REQUIRE(wait([&] { return !request->body.empty(); }));
    }
    void deregister(const fake_upstream& upstream)
    {
        CHECK(control_call(0, "POST", "/Instances.Deregister/" + upstream.id,
                           R"({"born":1000})")
                  ->status() == 200);
    }
    /// The engine that runs the stream sends events, so that it is not silent.
    bool send_events_until(const std::function<bool()>& condition,
                           duration limit = 3s)
    {
        const time_point start = loop.now();
        while (!condition() && loop.now() - start < limit) {
            first->event(0, ++last_event);
            run_until(
                loop, [] { return false; }, 50ms);
        }
        return condition();
    }
    [[nodiscard]] std::string all_events() const
    {
        std::string text;
        for (int i = 1; i <= last_event; ++i) {
            text += fmt::format("id: {0}\ndata: e{0}\n\n", i);
        }
        return text;
    }
};

} // namespace

// Guards against sound streams that are cut or moved because their engine,
// which leaves, accepts no further connections.
TEST_CASE_FIXTURE(
    leaving_engine_fixture,
    "leaving_engine_that_refuses_connections_finishes_its_streams")
{
    begin_stream();
    const std::string zone = first == &engine1 ? "d1" : "d2";
    SUBCASE("announced")
    {
        announce(*first, "gen", zone.c_str(), 2, "draining");
    }
    SUBCASE("deregistered")
    {
        deregister(*first);
    }
    run_until(
        loop, [] { return false; }, 50ms);
    first->refuse_connections();
    send_events_until([&] { return request->ended(); }, 1500ms);
    first->received[0].responder->finish();
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->complete);
    CHECK(request->body == all_events());
    CHECK(other->received.empty());
    CHECK(first->received.size() == 1);
}

// Guards against a non-idempotent request that is given up while a service that
// leaves still runs it.
TEST_CASE_FIXTURE(
    leaving_engine_fixture,
    "leaving_service_that_refuses_connections_answers_its_requests")
{
    start_system();
    const auto broken = send_request("/book/x", "b1");
    const auto running = send_request("/book/x", "b2");
    REQUIRE(wait([&] { return service.received.size() == 2; }));
    const std::size_t at = service.header(0, "X-Attempt-Id") == "b2" ? 0 : 1;
    deregister(service);
    run_until(
        loop, [] { return false; }, 50ms);
    service.refuse_connections();
    service.received[1 - at].responder->abort();
    REQUIRE(wait([&] { return broken->ended(); }));
    run_until(
        loop, [] { return false; }, 200ms);
    service.answer(at, "done");
    REQUIRE(wait([&] { return running->ended(); }));
    CHECK(running->status() == 200);
    CHECK(running->body == "done");
}

// Guards against a stream that waits for an engine whose host lost its power
// while it was leaving.
TEST_CASE_FIXTURE(leaving_engine_fixture,
                  "stream_of_a_leaving_engine_without_power_is_placed_again")
{
    place_stream();
    deregister(*first);
    run_until(
        loop, [] { return false; }, 50ms);
    const auto address = first->refuse_connections();
    const unanswering_listener dark(address);
    REQUIRE(run_until(
        loop, [&] { return other->received.size() == 1; }, 1500ms));
    CHECK(first->disconnected_callers == 1);
}

// Guards against a resume from a copy at an engine that leaves and refuses the
// connection.
TEST_CASE_FIXTURE(leaving_engine_fixture,
                  "copy_at_a_leaving_engine_that_refuses_is_ordered_elsewhere")
{
    begin_stream();
    fake_upstream third(loop, "e3");
    announce(third, "gen", "d3");
    deregister(*other);
    run_until(
        loop, [] { return false; }, 50ms);
    other->refuse_connections();
    REQUIRE(send_events_until([&] { return !first->copy_targets.empty(); }));
    CHECK(first->copy_targets.back() == third.server->bound_address().text());
    run_until(
        loop, [] { return false; }, 50ms);
    first->received[0].responder->abort();
    REQUIRE(wait([&] { return third.received.size() == 1; }));
    CHECK(third.header(0, "Kv-From").ends_with("/h1"));
    CHECK(third.header(0, "Last-Event-Id") == std::to_string(last_event));
}
