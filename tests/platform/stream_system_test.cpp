#include <thread>

#include "platform/support/relay_fixture.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;

namespace {

struct stream_fixture : relay_fixture
{
    std::unique_ptr<caller> request;
    fake_upstream* first = nullptr; ///< runs the stream
    fake_upstream* other = nullptr; ///< holds its copy

    /// Starts a stream and waits until its first two events are forwarded.
    void start_stream()
    {
        start_system();
        request = send_request("/gen/x", "g1");
        REQUIRE(wait([&] {
            return engine1.received.size() + engine2.received.size() == 1;
        }));
        first = engine1.received.empty() ? &engine2 : &engine1;
        other = engine1.received.empty() ? &engine1 : &engine2;
        CHECK(first->header(0, "X-Kv-Backup") ==
              other->server->bound_address().text());
        first->begin_stream(0);
        first->event(0, 1);
        first->event(0, 2);
        REQUIRE(wait(
            [&] { return request->body.find("e2") != std::string::npos; }));
    }
    /// Checks that the stream resumes on the other engine, from its copy.
    void check_resumed()
    {
        REQUIRE(wait([&] { return other->received.size() == 1; }));
        CHECK(other->header(0, "Last-Event-Id") == "2");
        CHECK(other->header(0, "X-Attempt-Id") == "g1");
        CHECK(other->header(0, "Kv-From") ==
              other->server->bound_address().text() + "/g1");
        other->begin_stream(0);
        other->event(0, 3);
        other->received[0].responder->finish();
        REQUIRE(wait([&] { return request->ended(); }));
        CHECK(request->complete);
        CHECK(request->body == "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
                               "id: 3\ndata: e3\n\n");
        CHECK(request->head->headers.find("X-Response-Seal") ==
              "seal-" + first->id);
    }
};

} // namespace

// Guards against a redundant prefill after a leader change: after a restart of
// all processes only the engines know which prompts they cache.
TEST_CASE_FIXTURE(relay_fixture,
                  "retried_stream_goes_to_the_engine_that_caches_its_prompt")
{
    fake_upstream* caching_engine = nullptr;
    SUBCASE("first engine")
    {
        caching_engine = &engine1;
    }
    SUBCASE("second engine")
    {
        caching_engine = &engine2;
    }
    caching_engine->cache_events = R"([4,"+","","beef",600,"m"])";
    start_system();
    REQUIRE(
        wait([&] { return engine1.cache_calls + engine2.cache_calls == 2; }));
    run_until(
        loop, [] { return false; }, 50ms);
    const auto request = call(gate->bound_address(), "POST", "/gen/x",
                              {{"Host", "h.example"},
                               {"X-Attempt-Id", "g2"},
                               {"X-Deadline-Ms", "3000"},
                               {"X-Token-Count", "800,100"},
                               {"X-Prefix-Hash", "aa:200,beef:600"},
                               {"Authorization", "Bearer k1"}},
                              "prompt");
    REQUIRE(wait([&] {
        return engine1.received.size() + engine2.received.size() == 1;
    }));
    CHECK(caching_engine->received.size() == 1);
}

// Guards against missing or repeated events after an engine was lost, and
// against a partial event that reaches the caller.
TEST_CASE_FIXTURE(stream_fixture,
                  "stream_of_a_lost_engine_resumes_from_its_copy")
{
    start_stream();
    first->received[0].responder->write("id: 3\nda");
    run_until(
        loop, [] { return false; }, 20ms);
    first->received[0].responder->abort();
    check_resumed();
}

// Guards against an engine that stalls and keeps its connections open.
TEST_CASE_FIXTURE(stream_fixture, "stream_of_a_stalled_engine_resumes_in_time")
{
    start_stream();
    const time_point stalled_at = loop.now();
    REQUIRE(wait([&] { return other->received.size() == 1; }));
    CHECK(loop.now() - stalled_at < 700ms);
    // The previous attempt is closed first.
    CHECK(wait([&] { return first->disconnected_callers == 1; }));
    check_resumed();
}

// Guards against a stream that fails, or starts over from its first event,
// when the holder refuses to resume from the copy.
TEST_CASE_FIXTURE(stream_fixture, "stream_without_a_copy_is_prefilled_again")
{
    start_stream();
    first->received[0].responder->abort();
    REQUIRE(wait([&] { return other->received.size() == 1; }));
    other->received[0].responder->respond(503, {{"X-Not-Executed", "1"}}, {});
    REQUIRE(wait(
        [&] { return first->received.size() + other->received.size() == 3; }));
    auto& third = first->received.size() == 2 ? *first : *other;
    const std::size_t at = third.received.size() - 1;
    CHECK(third.header(at, "Kv-From").empty());
    CHECK(third.header(at, "Last-Event-Id") == "2");
}

// Guards against a redundant prefill when the copy holder of a stream was lost
// some time before its engine.
TEST_CASE_FIXTURE(stream_fixture,
                  "stream_whose_copy_was_lost_resumes_from_an_on_demand_copy")
{
    start_stream();
    const std::string holder_domain = other == &engine1 ? "d1" : "d2";
    fake_upstream third(loop, "e3");
    announce(third, "gen", "d3");
    SUBCASE("another upstream at the holder's address")
    {
        other->id = "e9";
        announce(*other, "gen", holder_domain.c_str(), 1, "ready", 2000);
    }
    SUBCASE("the holder started again under its id")
    {
        announce(*other, "gen", holder_domain.c_str(), 1, "ready", 2000);
    }
    int last_event = 2;
    // Events keep the stream from being detected as stalled.
    const auto send_events_until = [&](const std::function<bool()>& condition) {
        const time_point start = loop.now();
        while (!condition() && loop.now() - start < 3s) {
            first->event(0, ++last_event);
            run_until(
                loop, [] { return false; }, 50ms);
        }
        return condition();
    };
    // Requested once, then renewed within the copy's lifetime.
    REQUIRE(send_events_until([&] { return first->copy_targets.size() >= 3; }));
    const std::string target = first->copy_targets.back();
    auto& holder =
        target == third.server->bound_address().text() ? third : *other;
    // The engine is lost during a renewal: the copy is still usable.
    first->drops_copy_calls = true;
    REQUIRE(send_events_until([&] { return first->dropped_copy_calls > 0; }));
    first->received[0].responder->abort();
    REQUIRE(wait([&] { return holder.received.size() == 1; }));
    CHECK(holder.header(0, "Kv-From") ==
          first->server->bound_address().text() + "/h1");
    CHECK(holder.header(0, "Last-Event-Id") == std::to_string(last_event));
    CHECK(holder.header(0, "X-Attempt-Id") == "g1");
    holder.begin_stream(0);
    holder.event(0, last_event + 1);
    holder.received[0].responder->finish();
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->complete);
}

// Guards against copy calls for a stream that has already ended.
TEST_CASE_FIXTURE(stream_fixture, "ended_stream_requests_no_copies")
{
    start_stream();
    first->received[0].responder->finish();
    REQUIRE(wait([&] { return request->ended(); }));
    const std::string holder_domain = other == &engine1 ? "d1" : "d2";
    announce(*other, "gen", holder_domain.c_str(), 1, "ready", 2000);
    run_until(
        loop, [] { return false; }, 700ms);
    CHECK(first->copy_targets.empty());
}

// Guards against work for a caller that has disconnected.
TEST_CASE_FIXTURE(stream_fixture,
                  "stream_of_a_disconnected_caller_is_cancelled")
{
    start_stream();
    const time_point disconnected_at = loop.now();
    request.reset();
    REQUIRE(wait([&] { return first->disconnected_callers == 1; }));
    CHECK(loop.now() - disconnected_at < 200ms);
    CHECK(gate->active_requests() == 0);
    run_until(
        loop, [] { return false; }, 400ms);
    CHECK(other->received.empty());
}

// Guards against a planned stop that cuts running streams, or that accepts
// streams which would be cut at its limit.
TEST_CASE_FIXTURE(stream_fixture, "stop_finishes_streams_and_refuses_new_ones")
{
    start_stream();
    bool stopped = false;
    gate->stop([&] { stopped = true; });
    CHECK_FALSE(gate->ready());
    auto refused = send_request("/gen/x", "g2");
    REQUIRE(wait([&] { return refused->ended(); }));
    CHECK(refused->status() == 503);
    first->event(0, 3);
    first->received[0].responder->finish();
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->complete);
    CHECK(wait([&] { return stopped; }));
}

// Guards against a begun stream that is cut although its caller still waits,
// because the leader refuses to place it again.
TEST_CASE_FIXTURE(stream_fixture,
                  "stream_that_has_begun_waits_until_an_engine_can_take_it")
{
    start_system();
    request = call(gate->bound_address(), "POST", "/gen/x",
                   {{"Host", "h.example"},
                    {"X-Attempt-Id", "g1"},
                    {"X-Deadline-Ms", "3000"},
                    {"X-Token-Count", "20000,100"},
                    {"Authorization", "Bearer k1"}},
                   "prompt");
    REQUIRE(wait([&] {
        return engine1.received.size() + engine2.received.size() == 1;
    }));
    first = engine1.received.empty() ? &engine2 : &engine1;
    other = engine1.received.empty() ? &engine1 : &engine2;
    first->begin_stream(0);
    first->event(0, 1);
    REQUIRE(
        wait([&] { return request->body.find("e1") != std::string::npos; }));
    announce(engine1, "gen", "d1", 2, "draining");
    announce(engine2, "gen", "d2", 2, "draining");
    first->received[0].responder->abort();
    REQUIRE(wait([&] { return !other->received.empty(); }));
    other->received[0].responder->respond(503, {{"X-Not-Executed", "1"}}, {});
    run_until(
        loop, [&] { return request->ended(); }, 300ms);
    REQUIRE_FALSE(request->ended());
    fake_upstream engine3(loop, "e3");
    announce(engine3, "gen", "d1");
    REQUIRE(wait([&] { return !engine3.received.empty(); }));
    CHECK(engine3.header(0, "Last-Event-Id") == "1");
    engine3.begin_stream(0);
    engine3.event(0, 2);
    engine3.received[0].responder->finish();
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->complete);
    CHECK(request->body == "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n");
}

// Guards against a begun stream that is cut because its engine is silent for a
// moment and no further attempt is allowed.
TEST_CASE_FIXTURE(stream_fixture,
                  "stream_without_a_retry_left_outlasts_the_silence")
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
    request = send_request("/gen/x", "g1");
    REQUIRE(wait([&] {
        return engine1.received.size() + engine2.received.size() == 1;
    }));
    first = engine1.received.empty() ? &engine2 : &engine1;
    first->begin_stream(0);
    first->event(0, 1);
    run_until(
        loop, [&] { return request->ended(); }, 1200ms);
    REQUIRE_FALSE(request->ended());
    first->event(0, 2);
    first->received[0].responder->finish();
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->complete);
    CHECK(request->body == "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n");
}

// Guards against a stream that is taken from a sound engine because this
// process stood still and had not read its events.
TEST_CASE_FIXTURE(stream_fixture,
                  "stream_whose_events_are_unread_does_not_count_as_silent")
{
    start_stream();
    net::timer other_work(loop, [&] { first->event(0, 3); });
    other_work.start_once(10ms);
    std::this_thread::sleep_for(600ms);
    REQUIRE(
        wait([&] { return request->body.find("e3") != std::string::npos; }));
    CHECK(other->received.empty());
    CHECK(first->disconnected_callers == 0);
    first->received[0].responder->finish();
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->complete);
}
