// What upstreams state about themselves in their responses.
#include "platform/support/relay_fixture.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;

namespace {

struct upstream_statement_fixture : relay_fixture
{
    fake_upstream service2{loop, "s2"};
    std::vector<std::unique_ptr<caller>> callers;
    int sequence = 1;

    caller& send(const char* target, const std::string& attempt)
    {
        callers.push_back(send_request(target, attempt.c_str()));
        return *callers.back();
    }
    /// Sends plain requests one after the other, which the services answer.
    void send_plain(int count, const net::header_list& statement = {})
    {
        for (int i = 0; i < count; ++i) {
            const caller& request =
                send("/book/x", fmt::format("b{}", callers.size()));
            REQUIRE(wait([&] {
                answer_pending(service, statement);
                answer_pending(service2, statement);
                return request.ended();
            }));
        }
    }
    static void answer_pending(fake_upstream& from,
                               const net::header_list& statement)
    {
        for (std::size_t i = 0; i < from.received.size(); ++i) {
            const auto& responder = from.received[i].responder;
            if (responder->ended()) {
                continue;
            }
            net::header_list headers{
                {"X-Response-Seal", "seal-" + from.id},
                {"X-Attempt-Id", from.header(i, "X-Attempt-Id")}};
            for (const auto& [name, value] : statement) {
                headers.set(name, value);
            }
            responder->respond(200, headers, "ok");
        }
    }
    /// Sends streams, which the engines begin and complete.
    void send_streams(int count)
    {
        for (int i = 0; i < count; ++i) {
            const caller& request =
                send("/gen/x", fmt::format("g{}", callers.size()));
            REQUIRE(wait([&] {
                complete_pending(engine1);
                complete_pending(engine2);
                return request.ended();
            }));
        }
    }
    static void complete_pending(fake_upstream& engine)
    {
        for (std::size_t i = 0; i < engine.received.size(); ++i) {
            const auto& responder = engine.received[i].responder;
            if (!responder->begun() && !responder->ended()) {
                engine.begin_stream(i);
                engine.event(i, 1);
                responder->finish();
            }
        }
    }
    /// The upstreams keep announcing that they are ready.
    void announce_all()
    {
        ++sequence;
        announce(engine1, "gen", "d1", sequence);
        announce(engine2, "gen", "d2", sequence);
        announce(service, "book", "d1", sequence);
        announce(service2, "book", "d2", sequence);
    }
};

} // namespace

// Guards against requests to a plain upstream that has stated that it leaves,
// although its announcements still say that it is ready.
TEST_CASE_FIXTURE(upstream_statement_fixture,
                  "service_that_states_its_leave_gets_no_further_request")
{
    start_system();
    announce_all();
    const caller& first = send("/book/x", "first");
    REQUIRE(wait([&] {
        return service.received.size() + service2.received.size() == 1;
    }));
    fake_upstream& leaver = service.received.empty() ? service2 : service;
    answer_pending(leaver, {{"Server-Leaving", "1"}});
    REQUIRE(wait([&] { return first.ended(); }));
    CHECK(first.status() == 200);
    announce_all();
    send_plain(6);
    CHECK(leaver.received.size() == 1);
    // Another process learns it from the control replicas.
    gate.reset();
    start_gate();
    REQUIRE(run_until(loop, [&] { return gate->ready(); }));
    run_until(
        loop, [] { return false; }, 100ms);
    send_plain(6);
    CHECK(leaver.received.size() == 1);
    // A new start of the same upstream is another one.
    announce(leaver, "book", "d1", 1, "ready", 2000);
    run_until(
        loop, [] { return false; }, 50ms);
    fake_upstream& other = &leaver == &service ? service2 : service;
    answer_pending(other, {});
    announce(other, "book", "d2", ++sequence, "draining");
    run_until(
        loop, [] { return false; }, 50ms);
    send_plain(1);
    CHECK(leaver.received.size() == 2);
}

// Guards against streams that the leader places on an engine whose statement
// only the gate has seen, in the head of a stream that runs on.
TEST_CASE_FIXTURE(upstream_statement_fixture,
                  "engine_that_states_its_leave_gets_no_further_stream")
{
    start_system();
    const caller& first = send("/gen/x", "first");
    REQUIRE(wait([&] {
        return engine1.received.size() + engine2.received.size() == 1;
    }));
    fake_upstream& leaver = engine1.received.empty() ? engine2 : engine1;
    leaver.received[0].responder->begin_stream(200, "OK",
                                               {{"X-Response-Seal", "seal"},
                                                {"X-Attempt-Id", "first"},
                                                {"Server-Leaving", "1"}});
    leaver.event(0, 1);
    REQUIRE(wait([&] { return !first.body.empty(); }));
    send_streams(6);
    announce_all();
    send_streams(3);
    CHECK(leaver.received.size() == 1);
    leaver.event(0, 2);
    leaver.received[0].responder->finish();
    REQUIRE(wait([&] { return first.ended(); }));
    CHECK(first.complete);
    CHECK(first.body.find("id: 2") != std::string::npos);
}

// Guards against a departure that another upstream at the address states.
TEST_CASE_FIXTURE(upstream_statement_fixture,
                  "misdirected_response_is_no_statement_of_the_upstream")
{
    start_system();
    send("/book/x", "first");
    REQUIRE(wait([&] { return service.received.size() == 1; }));
    service.received[0].responder->respond(
        421, {{"Server-Leaving", "1"}, {"X-Attempt-Id", "first"}}, {});
    REQUIRE(wait([&] { return callers[0]->ended(); }));
    run_until(
        loop, [] { return false; }, 500ms);
    send_plain(1);
    CHECK(service.received.size() == 2);
}

// Guards against a new start that is never used, because the response of the
// start before it arrives after its announcement.
TEST_CASE_FIXTURE(upstream_statement_fixture,
                  "statement_of_an_earlier_start_does_not_bind_the_next_one")
{
    start_system();
    send("/book/x", "first");
    REQUIRE(wait([&] { return service.received.size() == 1; }));
    announce(service, "book", "d1", 1, "ready", 2000);
    run_until(
        loop, [] { return false; }, 50ms);
    answer_pending(service, {{"Server-Leaving", "1"}});
    REQUIRE(wait([&] { return callers[0]->ended(); }));
    send_plain(1);
    CHECK(service.received.size() == 2);
}

// Guards against requests that wait for their deadline after the last upstream
// of a service has stated that it leaves.
TEST_CASE_FIXTURE(upstream_statement_fixture,
                  "service_without_another_upstream_refuses_at_once")
{
    start_system();
    send_plain(1, {{"Server-Leaving", "1"}});
    const caller& request = send("/book/x", "second");
    REQUIRE(run_until(
        loop, [&] { return request.ended(); }, 200ms));
    CHECK(request.status() == 503);
    CHECK(request.head->headers.find("Retry-After"));
    CHECK(service.received.size() == 1);
}

// Guards against requests to an upstream that has asked for a pause, and
// against all of them at once at its end.
TEST_CASE_FIXTURE(upstream_statement_fixture,
                  "paused_service_gets_no_request_and_then_one_at_a_time")
{
    start_system();
    const caller& first = send("/book/x", "first");
    REQUIRE(wait([&] { return service.received.size() == 1; }));
    service.received[0].responder->respond(503,
                                           {{"X-Not-Executed", "1"},
                                            {"X-Attempt-Id", "first"},
                                            {"Retry-After", "1.5"}},
                                           {});
    REQUIRE(wait([&] { return first.ended(); }));
    CHECK(first.status() == 503);
    const time_point refused_at = loop.now();
    for (int i = 0; i < 10; ++i) {
        const caller& request = send("/book/x", fmt::format("p{}", i));
        REQUIRE(run_until(
            loop, [&] { return request.ended(); }, 100ms));
        CHECK(request.status() == 503);
        const auto delay = request.head->headers.find("Retry-After");
        REQUIRE(delay);
        const double expected = to_seconds(refused_at + 1500ms - loop.now());
        CHECK(std::stod(std::string(*delay)) > expected - 0.1);
        CHECK(std::stod(std::string(*delay)) < expected * 1.25 + 0.1);
    }
    CHECK(service.received.size() == 1);
    run_until(
        loop, [] { return false; }, 1600ms);
    for (int i = 0; i < 5; ++i) {
        send("/book/x", fmt::format("q{}", i));
    }
    REQUIRE(wait([&] { return service.received.size() == 2; }));
    run_until(
        loop, [] { return false; }, 200ms);
    CHECK(service.received.size() == 2);
    answer_pending(service, {});
    run_until(
        loop, [] { return false; }, 50ms);
    for (int i = 0; i < 5; ++i) {
        send("/book/x", fmt::format("s{}", i));
    }
    CHECK(wait([&] { return service.received.size() == 7; }));
}

// Guards against streams that the leader places on an engine that has asked
// another gate for a pause.
TEST_CASE_FIXTURE(upstream_statement_fixture,
                  "paused_engine_gets_no_stream_from_any_gate")
{
    start_system();
    send("/gen/x", "first");
    REQUIRE(wait([&] {
        return engine1.received.size() + engine2.received.size() == 1;
    }));
    fake_upstream& full = engine1.received.empty() ? engine2 : engine1;
    full.received[0].responder->respond(503,
                                        {{"X-Not-Executed", "1"},
                                         {"X-Attempt-Id", "first"},
                                         {"Retry-After", "2"}},
                                        {});
    const time_point paused_until = loop.now() + 2s;
    send_streams(4);
    CHECK(full.received.size() == 1);
    gate.reset();
    start_gate();
    REQUIRE(run_until(loop, [&] { return gate->ready(); }));
    run_until(
        loop, [] { return false; }, 100ms);
    REQUIRE(loop.now() < paused_until);
    send_streams(4);
    REQUIRE(loop.now() < paused_until);
    CHECK(full.received.size() == 1);
    run_until(
        loop, [] { return false; }, paused_until - loop.now() + 200ms);
    send_streams(12);
    CHECK(full.received.size() > 1);
}

// Guards against streams that wait until their deadline for engines that have
// all asked for a pause.
TEST_CASE_FIXTURE(upstream_statement_fixture,
                  "streams_are_refused_at_once_while_all_engines_are_paused")
{
    start_system();
    const caller& first = send("/gen/x", "first");
    REQUIRE(wait([&] {
        for (auto* engine : {&engine1, &engine2}) {
            for (const auto& each : engine->received) {
                if (!each.responder->ended()) {
                    each.responder->respond(503,
                                            {{"X-Not-Executed", "1"},
                                             {"X-Attempt-Id", "first"},
                                             {"Retry-After", "20"}},
                                            {});
                }
            }
        }
        return first.ended();
    }));
    CHECK(first.status() == 503);
    CHECK(engine1.received.size() == 1);
    CHECK(engine2.received.size() == 1);
    const caller& second = send("/gen/x", "second");
    REQUIRE(run_until(
        loop, [&] { return second.ended(); }, 300ms));
    CHECK(second.status() == 503);
    const auto delay = second.head->headers.find("Retry-After");
    REQUIRE(delay);
    CHECK(std::stod(std::string(*delay)) > 15.0);
    CHECK(engine1.received.size() + engine2.received.size() == 2);
}
