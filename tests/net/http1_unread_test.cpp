// Peers that read slowly or not at all.
#include <bamboogate/net/http1_client.hpp>
#include <bamboogate/net/http1_server.hpp>

#include <doctest/doctest.h>
#include <unistd.h>

#include <optional>

#include "support/loop_runner.hpp"
#include "support/slow_client.hpp"

using namespace bamboogate;
using namespace bamboogate::net;
using namespace std::chrono_literals;
using tests::run_until;
using tests::slow_client;

namespace {

constexpr std::size_t mebibyte = 1u << 20;

struct unread_fixture
{
    event_loop loop;
    std::vector<http1_responder_ptr> responders;
    int disconnects = 0;
    std::unique_ptr<http1_server> server =
        http1_server::start(
            loop,
            {.listen_address = {"127.0.0.1", 0},
             .idle_timeout = 200ms,
             .linger_timeout = 50ms,
             .unread_timeout = 600ms},
            [this](const http1_request&, const http1_responder_ptr& responder) {
                responders.push_back(responder);
                responder->on_client_disconnect([this] { ++disconnects; });
            })
            .value();
    http1_client client{loop, {.send_timeout = 200ms}};
    std::string body;
    bool complete = false;
    std::optional<http1_failure> failure;

    std::unique_ptr<http1_client::exchange> start(const address& to,
                                                  std::string_view sent = {})
    {
        return client.start(
            to,
            {.method = "POST",
             .target = "/",
             .headers = {{"Host", "h"}},
             .body = sent},
            {.on_head = [](const http1_response_head&) { return true; },
             .on_body = [this](std::string_view part) { body += part; },
             .on_complete = [this] { complete = true; },
             .on_failure = [this](const http1_failure& f) { failure = f; }});
    }
    bool wait_for_requests(std::size_t count)
    {
        return run_until(loop, [&] { return responders.size() >= count; });
    }
    void run_for(duration time)
    {
        run_until(
            loop, [] { return false; }, time);
    }
    static std::string requests(int count)
    {
        std::string out;
        for (int i = 0; i < count; ++i) {
            out += "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        }
        return out;
    }
};

} // namespace

// Guards against output without a limit for a client that reads slowly: the
// reader of the response has to be able to stop the server.
TEST_CASE_FIXTURE(unread_fixture, "paused_exchange_reads_nothing_until_resumed")
{
    const auto exchange = start(server->bound_address());
    REQUIRE(wait_for_requests(1));
    responders[0]->begin_stream(200, "OK", {});
    responders[0]->write("a");
    REQUIRE(run_until(loop, [&] { return body == "a"; }));
    exchange->pause_reading();
    const std::string part(3 * mebibyte, 'b');
    std::size_t written = 1;
    // Until the buffers of the sockets are full.
    while (responders[0]->queued_bytes() <= mebibyte) {
        responders[0]->write(part);
        written += part.size();
        run_for(20ms);
    }
    CHECK(body == "a");
    CHECK(server->unread_bytes() == responders[0]->queued_bytes());
    bool drained = false;
    responders[0]->when_output_below(mebibyte, [&] {
        drained = true;
        CHECK(responders[0]->queued_bytes() <= mebibyte);
    });
    exchange->resume_reading();
    CHECK(run_until(loop, [&] { return drained; }));
    responders[0]->finish();
    CHECK(run_until(loop, [&] { return complete; }));
    CHECK(body.size() == written);
    CHECK(server->unread_bytes() == 0);
}

// Guards against output without a limit for a client that sends requests and
// reads no response.
TEST_CASE_FIXTURE(unread_fixture, "next_request_waits_for_unread_output")
{
    slow_client caller(loop, server->bound_address(), requests(3));
    REQUIRE(wait_for_requests(1));
    responders[0]->respond(200, {}, std::string(32 * mebibyte, 'a'));
    run_for(50ms);
    CHECK(responders.size() == 1);
    caller.read();
    REQUIRE(wait_for_requests(2));
    responders[1]->respond(200, {}, {});
    CHECK(wait_for_requests(3));
}

// Guards against a truncated response for a client that reads with pauses that
// are longer than the idle or linger time-out, and against one that never ends.
TEST_CASE_FIXTURE(unread_fixture,
                  "unread_response_is_closed_after_its_time_out")
{
    slow_client caller(loop, server->bound_address(), requests(1));
    REQUIRE(wait_for_requests(1));
    const std::string whole(32 * mebibyte, 'a');
    responders[0]->respond(200, {}, whole);
    SUBCASE("the client reads in time")
    {
        run_for(400ms);
        caller.read();
        CHECK(run_until(
            loop, [&] { return caller.received().size() > whole.size(); }));
    }
    SUBCASE("the client never reads")
    {
        CHECK(run_until(loop, [&] { return server->connections() == 0; }));
        CHECK(server->unread_bytes() == 0);
        caller.read();
        CHECK(run_until(loop, [&] { return caller.closed(); }));
        CHECK(caller.received().size() < whole.size());
    }
}

// Guards against a truncated stream that looks complete.
TEST_CASE_FIXTURE(unread_fixture, "disconnected_client_detects_truncation")
{
    slow_client caller(loop, server->bound_address(), requests(1));
    REQUIRE(wait_for_requests(1));
    responders[0]->begin_stream(200, "OK", {});
    responders[0]->write(std::string(32 * mebibyte, 'a'));
    const auto unread = server->unread_outputs();
    REQUIRE(unread.size() == 1);
    CHECK(unread[0].bytes == server->unread_bytes());
    server->disconnect(unread[0].connection);
    CHECK(disconnects == 1);
    CHECK(responders[0]->disconnected_by_server());
    responders[0]->finish();
    caller.read();
    CHECK(run_until(loop, [&] { return caller.closed(); }));
    CHECK_FALSE(caller.received().ends_with("0\r\n\r\n"));
}

// Guards against requests that wait without end for a server that does not read
// them.
TEST_CASE_FIXTURE(unread_fixture, "request_that_the_server_never_reads_fails")
{
    // The system accepts connections up to the socket buffers' size.
    const int listener = listen_on({"127.0.0.1", 0}).value();
    const auto exchange =
        start(local_address(listener), std::string(16 * mebibyte, 'a'));
    CHECK(run_until(loop, [&] { return failure.has_value(); }));
    CHECK(failure->code == errc::connection_lost);
    CHECK(failure->request_sent);
    CHECK(client.unsent_bytes() == 0);
    ::close(listener);
}
