#include <bamboogate/net/http1_client.hpp>
#include <bamboogate/net/http1_server.hpp>
#include <bamboogate/net/tcp_stream.hpp>

#include <doctest/doctest.h>

#include <optional>
#include <thread>

#include "support/broken_answers.hpp"
#include "support/loop_runner.hpp"
#include "support/raw_client.hpp"

using namespace bamboogate;
using namespace bamboogate::net;
using namespace std::chrono_literals;
using tests::raw_client;
using tests::run_until;

namespace {

struct http1_fixture
{
    event_loop loop;
    std::vector<http1_request> requests;
    std::vector<http1_responder_ptr> responders;
    int disconnects = 0;
    std::vector<discarded_input> discarded;
    std::unique_ptr<http1_server> server;

    http1_fixture()
    {
        server =
            http1_server::start(
                loop,
                {.listen_address = {"127.0.0.1", 0},
                 .limits = {.header_bytes = 2048, .body_bytes = 1000},
                 .header_timeout = 200ms,
                 .idle_timeout = 300ms,
                 .linger_timeout = 100ms,
                 .on_discarded_input =
                     [this](const discarded_input& input) {
                         discarded.push_back(input);
                     }},
                [this](http1_request request,
                       const http1_responder_ptr& responder) {
                    requests.push_back(std::move(request));
                    responders.push_back(responder);
                    responder->on_client_disconnect([this] { ++disconnects; });
                })
                .value();
    }
    bool wait_for_requests(std::size_t count)
    {
        return run_until(loop, [&] { return requests.size() >= count; });
    }
    static bool contains(const raw_client& client, std::string_view text)
    {
        return client.received().find(text) != std::string::npos;
    }
};

} // namespace

// Guards against work that continues after its client has disconnected:
// libmicrohttpd reports a client that leaves while its request is pending only
// when the server is shut down.
TEST_CASE_FIXTURE(
    http1_fixture,
    "server_client_disconnect_while_request_is_pending_is_detected")
{
    auto client = std::make_unique<raw_client>(loop, server->bound_address());
    client->send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(wait_for_requests(1));
    const time_point left = loop.now();
    client.reset();
    REQUIRE(run_until(
        loop, [&] { return disconnects == 1; }, 1s));
    CHECK(loop.now() - left < 100ms);
    CHECK(server->active_requests() == 0);
}

// Guards against a disconnect that is detected only at the next write.
TEST_CASE_FIXTURE(http1_fixture,
                  "server_client_disconnect_during_idle_stream_is_detected")
{
    auto client = std::make_unique<raw_client>(loop, server->bound_address());
    client->send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(wait_for_requests(1));
    responders[0]->begin_stream(200, "OK", {});
    responders[0]->write("first");
    REQUIRE(run_until(loop, [&] { return contains(*client, "first"); }));
    client.reset();
    CHECK(run_until(
        loop, [&] { return disconnects == 1; }, 1s));
}

// Guards against a second request that is handled before the response to the
// first, or lost from the buffer.
TEST_CASE_FIXTURE(http1_fixture,
                  "server_pipelined_requests_are_answered_in_order")
{
    raw_client client(loop, server->bound_address());
    client.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
                "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(wait_for_requests(1));
    CHECK(requests[0].body == "abc");
    responders[0]->respond(200, {}, "one");
    REQUIRE(wait_for_requests(2));
    CHECK(requests[1].target == "/b");
    responders[1]->respond(200, {}, "two");
    CHECK(run_until(loop, [&] { return contains(client, "two"); }));
}

// Guards against chunk framing in a body and a body that is cut at a segment
// boundary.
TEST_CASE_FIXTURE(http1_fixture, "server_chunked_body_arrives_complete")
{
    raw_client client(loop, server->bound_address());
    client.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
                "\r\n3\r\nabc\r\n");
    client.send("2\r\nde\r\n0\r\n\r\n");
    REQUIRE(wait_for_requests(1));
    CHECK(requests[0].body == "abcde");
}

// Guards against request smuggling: two parsers that find different ends of a
// request.
TEST_CASE_FIXTURE(http1_fixture, "server_ambiguous_request_is_refused")
{
    const char* const bad[] = {
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
        "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
        "Content-Length: 4\r\n\r\nabcd",
        "GET /a HTTP/1.1\r\nHost : h\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n"
        "\r\n0\r\n\r\n",
    };
    for (const char* text : bad) {
        CAPTURE(text);
        raw_client client(loop, server->bound_address());
        client.send(text);
        CHECK(run_until(loop, [&] { return client.closed(); }));
        CHECK(client.received().starts_with("HTTP/1.1 400"));
    }
    CHECK(requests.empty());
}

// Guards against clients that exhaust memory or hold connections open.
TEST_CASE_FIXTURE(http1_fixture, "server_limits_on_head_body_and_time_hold")
{
    raw_client long_head(loop, server->bound_address());
    long_head.send("GET /a HTTP/1.1\r\nHost: h\r\nX: " +
                   std::string(4000, 'x'));
    raw_client long_body(loop, server->bound_address());
    long_body.send(
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n");
    raw_client slow(loop, server->bound_address());
    slow.send("GET /a HTTP/1.1\r\nHo");
    raw_client idle(loop, server->bound_address());
    CHECK(run_until(loop, [&] {
        return long_head.closed() && long_body.closed() && slow.closed() &&
               idle.closed();
    }));
    CHECK(long_head.received().starts_with("HTTP/1.1 431"));
    CHECK(long_body.received().starts_with("HTTP/1.1 413"));
    CHECK(slow.received().starts_with("HTTP/1.1 408"));
    CHECK(idle.received().empty());
}

// Guards against a request that is dropped because the process was busy until
// the idle time-out had passed, although it had arrived before.
TEST_CASE_FIXTURE(
    http1_fixture,
    "server_request_that_arrived_before_the_idle_timeout_is_answered")
{
    raw_client client(loop, server->bound_address());
    client.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(wait_for_requests(1));
    responders[0]->respond(200, {}, "a");
    REQUIRE(run_until(loop, [&] { return contains(client, "\r\n\r\na"); }));
    client.send_now("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(400ms);
    REQUIRE(wait_for_requests(2));
    responders[1]->respond(200, {}, "b");
    CHECK(run_until(loop, [&] { return contains(client, "\r\n\r\nb"); }));
}

// Guards against a request that is dropped because it arrived while the loop
// ran other handlers, just before the idle time-out was handled.
TEST_CASE_FIXTURE(
    http1_fixture,
    "server_request_that_arrived_before_the_idle_close_is_answered")
{
    raw_client client(loop, server->bound_address());
    client.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(wait_for_requests(1));
    timer other_work(
        loop, [&] { client.send_now("GET /b HTTP/1.1\r\nHost: h\r\n\r\n"); });
    other_work.start_once(10ms);
    responders[0]->respond(200, {}, "a");
    std::this_thread::sleep_for(400ms);
    REQUIRE(wait_for_requests(2));
    responders[1]->respond(200, {}, "b");
    CHECK(run_until(loop, [&] { return contains(client, "\r\n\r\nb"); }));
}

// Guards against a request that is dropped because it was still unread when
// the server began to drain.
TEST_CASE_FIXTURE(http1_fixture,
                  "server_request_that_arrived_before_a_drain_is_answered")
{
    raw_client client(loop, server->bound_address());
    client.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(wait_for_requests(1));
    responders[0]->respond(200, {}, "a");
    REQUIRE(run_until(loop, [&] { return contains(client, "\r\n\r\na"); }));
    client.send_now("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
    server->begin_drain();
    REQUIRE(wait_for_requests(2));
    responders[1]->respond(200, {}, "b");
    CHECK(run_until(loop, [&] { return client.closed(); }));
    CHECK(contains(client, "\r\n\r\nb"));
}

// Guards against a refusal of a request whose rest arrived in time, while the
// loop ran other handlers.
TEST_CASE_FIXTURE(
    http1_fixture,
    "server_request_that_was_completed_before_its_timeout_is_handled")
{
    raw_client client(loop, server->bound_address());
    client.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na");
    run_until(
        loop, [] { return false; }, 20ms);
    timer other_work(loop, [&] { client.send_now("bc"); });
    other_work.start_once(10ms);
    std::this_thread::sleep_for(400ms);
    REQUIRE(wait_for_requests(1));
    CHECK(requests[0].body == "abc");
}

// Guards against a connection that is closed while its client may still use it
// under the idle time-out in force.
TEST_CASE_FIXTURE(http1_fixture,
                  "server_longer_idle_timeout_applies_to_idle_connections")
{
    raw_client client(loop, server->bound_address());
    client.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(wait_for_requests(1));
    responders[0]->respond(200, {}, "a");
    REQUIRE(run_until(loop, [&] { return contains(client, "\r\n\r\na"); }));
    const time_point idle_since = loop.now();
    server->change_limits({}, 200ms, 900ms);
    run_until(
        loop, [&] { return client.closed(); }, 600ms);
    CHECK_FALSE(client.closed());
    REQUIRE(run_until(loop, [&] { return client.closed(); }));
    CHECK(loop.now() - idle_since >= 890ms);
}

// Guards against a response that is cut because its client reads it slowly and
// the connection is closed after it.
TEST_CASE_FIXTURE(http1_fixture,
                  "server_last_response_to_a_slow_reader_is_sent_completely")
{
    const int descriptor = start_connect(server->bound_address()).value();
    run_until(
        loop, [] { return false; }, 20ms);
    constexpr std::string_view request =
        "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    REQUIRE(::send(descriptor, request.data(), request.size(), 0) ==
            static_cast<ssize_t>(request.size()));
    REQUIRE(wait_for_requests(1));
    const std::string body(48u << 20, 'x');
    responders[0]->respond(200, {}, body);
    std::size_t received = 0;
    bool ended = false;
    std::vector<char> buffer(512u << 10);
    timer reader(loop, [&] {
        const auto count = ::recv(descriptor, buffer.data(), buffer.size(), 0);
        received += count > 0 ? static_cast<std::size_t>(count) : 0;
        ended = count == 0 || (count < 0 && errno != EAGAIN);
    });
    reader.start_periodic(5ms);
    run_until(
        loop, [&] { return ended; }, 10s);
    ::close(descriptor);
    CHECK(received > body.size());
}

// Guards against lost requests that neither logs nor metrics show.
TEST_CASE_FIXTURE(http1_fixture,
                  "server_input_after_an_idle_close_is_reported_once")
{
    raw_client client(loop, server->bound_address());
    REQUIRE(run_until(loop, [&] { return client.closed(); }));
    CHECK(discarded.empty());
    client.send_now("GET /a HTTP/1.1\r\n");
    run_until(
        loop, [] { return false; }, 10ms);
    client.send_now("Host: h\r\n\r\n");
    run_until(
        loop, [] { return false; }, 10ms);
    REQUIRE(discarded.size() == 1);
    CHECK(discarded[0].cause == server_close::idle);
    CHECK(discarded[0].after_close < 100ms);
    CHECK(requests.empty());
}

// Guards against a truncated stream that looks complete.
TEST_CASE_FIXTURE(http1_fixture, "server_aborted_response_has_no_last_chunk")
{
    raw_client client(loop, server->bound_address());
    client.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(wait_for_requests(1));
    responders[0]->begin_stream(200, "OK", {});
    responders[0]->write("part");
    REQUIRE(run_until(loop, [&] { return contains(client, "part"); }));
    responders[0]->abort();
    REQUIRE(run_until(loop, [&] { return client.closed(); }));
    CHECK_FALSE(contains(client, "\r\n0\r\n"));
}

// Guards against a drain that aborts running requests or waits for idle
// connections.
TEST_CASE_FIXTURE(http1_fixture,
                  "server_drain_closes_idle_and_ends_after_responses")
{
    raw_client idle(loop, server->bound_address());
    raw_client busy(loop, server->bound_address());
    busy.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(wait_for_requests(1));
    server->begin_drain();
    CHECK(run_until(loop, [&] { return idle.closed(); }));
    responders[0]->respond(200, {}, "answer");
    CHECK(run_until(loop, [&] { return busy.closed(); }));
    CHECK(contains(busy, "Connection: close"));
    CHECK(contains(busy, "answer"));
}

namespace {

struct client_fixture : http1_fixture
{
    http1_client client{loop, {.connect_timeout = 200ms}};
    std::optional<http1_failure> failure;
    std::optional<unsigned> status;
    std::string body;
    bool complete = false;
    bool accept = true;

    std::unique_ptr<http1_client::exchange>
    get(const address& server,
        std::shared_ptr<const std::string> shared_body = nullptr)
    {
        failure.reset();
        complete = false;
        body.clear();
        return client.start(
            server,
            {.method = "GET",
             .target = "/x",
             .headers = {{"Host", "h"}},
             .shared_body = std::move(shared_body)},
            {.on_head =
                 [this](const http1_response_head& head) {
                     if (!accept) {
                         accept = true;
                         return false;
                     }
                     status = head.status;
                     return true;
                 },
             .on_body = [this](std::string_view part) { body.append(part); },
             .on_complete = [this] { complete = true; },
             .on_failure = [this](const http1_failure& f) { failure = f; }});
    }
};

/// Accepts one connection and sends exact bytes after a request has arrived.
struct raw_server
{
    event_loop& loop;
    std::string response;
    bool close_after = false;
    int listener;
    io_watcher accept_watcher;
    std::unique_ptr<tcp_stream> stream;
    std::string received;
    int connections = 0;

    raw_server(event_loop& l, std::string text, bool close)
        : loop(l), response(std::move(text)), close_after(close),
          listener(listen_on({"127.0.0.1", 0}).value()),
          accept_watcher(l, listener, [this](io_event) { accept(); })
    {
        accept_watcher.await(io_event::read);
    }
    ~raw_server() { ::close(listener); }
    void accept()
    {
        const int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
        if (fd < 0) {
            return;
        }
        ++connections;
        stream = std::make_unique<tcp_stream>(
            loop, fd, false,
            tcp_stream::callbacks{.on_data =
                                      [this](std::string_view bytes) {
                                          received.append(bytes);
                                          if (received.find("\r\n\r\n") ==
                                              std::string::npos) {
                                              return;
                                          }
                                          received.clear();
                                          stream->write(response);
                                          if (close_after) {
                                              stream->shutdown_output();
                                          }
                                      },
                                  .on_end = [](stream_end) {}});
    }
    [[nodiscard]] address bound_address() const
    {
        return local_address(listener);
    }
};

} // namespace

// Guards against a new connection for each request.
TEST_CASE_FIXTURE(client_fixture, "client_idle_connection_is_reused")
{
    for (std::size_t i = 1; i <= 3; ++i) {
        const auto exchange = get(server->bound_address());
        REQUIRE(wait_for_requests(i));
        responders[i - 1]->respond(200, {}, "body");
        REQUIRE(run_until(loop, [&] { return complete; }));
        CHECK(body == "body");
    }
    CHECK(client.connections_made() == 1);
}

// Guards against accepting a response to an earlier request.
TEST_CASE_FIXTURE(client_fixture,
                  "client_response_to_another_request_is_skipped")
{
    raw_server peer(loop,
                    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
                    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown",
                    false);
    accept = false;
    const auto exchange = get(peer.bound_address());
    REQUIRE(run_until(loop, [&] { return complete; }));
    CHECK(body == "own");
}

// Guards against matching stray bytes to the next request on the connection.
TEST_CASE_FIXTURE(
    client_fixture,
    "client_unsolicited_bytes_after_a_response_close_the_connection")
{
    raw_server peer(
        loop, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nownstray", false);
    const auto first = get(peer.bound_address());
    REQUIRE(run_until(loop, [&] { return complete; }));
    CHECK(body == "own");
    const auto second = get(peer.bound_address());
    REQUIRE(run_until(loop, [&] { return complete; }));
    CHECK(peer.connections == 2);
}

// Guards against a complete response that is reported as truncated.
TEST_CASE_FIXTURE(client_fixture,
                  "client_response_without_length_ends_with_connection")
{
    raw_server peer(loop, "HTTP/1.1 200 OK\r\n\r\nuntil the end", true);
    const auto exchange = get(peer.bound_address());
    REQUIRE(run_until(loop, [&] { return complete; }));
    CHECK(body == "until the end");
}

// Guards against a truncated response that is reported as complete.
TEST_CASE_FIXTURE(client_fixture, "client_truncated_response_is_a_failure")
{
    raw_server peer(loop, "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nhalf",
                    true);
    const auto exchange = get(peer.bound_address());
    REQUIRE(run_until(loop, [&] { return failure.has_value(); }));
    CHECK(failure->code == errc::connection_lost);
    CHECK(failure->request_sent);
    CHECK_FALSE(complete);
}

// Guards against waiting for a response that cannot be parsed.
TEST_CASE_FIXTURE(client_fixture, "client_invalid_response_is_a_failure")
{
    raw_server peer(loop, "\x01\x02 garbage\r\n\r\n", false);
    const auto exchange = get(peer.bound_address());
    REQUIRE(run_until(loop, [&] { return failure.has_value(); }));
    CHECK(failure->code == errc::malformed_input);
}

// Guards against an answer that is no valid HTTP and reaches a caller.
TEST_CASE_FIXTURE(client_fixture, "client_broken_answer_is_a_failure")
{
    for (const auto& each : tests::broken_answers()) {
        CAPTURE(each.name);
        raw_server peer(loop, each.bytes, true);
        status.reset();
        const auto exchange = get(peer.bound_address());
        REQUIRE(run_until(loop, [&] { return complete || failure; }));
        CHECK_FALSE(complete);
        CHECK_FALSE(status);
        CHECK((complete || failure->request_sent));
    }
}

// Guards against reporting `not_run` for a request that was sent.
TEST_CASE_FIXTURE(client_fixture, "client_refused_connection_sent_nothing")
{
    const int closed = listen_on({"127.0.0.1", 0}).value();
    const address endpoint = local_address(closed);
    ::close(closed);
    const auto exchange = get(endpoint);
    REQUIRE(run_until(loop, [&] { return failure.has_value(); }));
    CHECK(failure->code == errc::connection_failed);
    CHECK_FALSE(failure->request_sent);
}

// Guards against work that continues on the server after a cancel.
TEST_CASE_FIXTURE(client_fixture, "client_cancel_closes_the_connection")
{
    auto exchange = get(server->bound_address());
    REQUIRE(wait_for_requests(1));
    exchange.reset();
    CHECK(run_until(
        loop, [&] { return disconnects == 1; }, 1s));
}

// Guards against a body that is damaged or held on while it is sent in parts.
TEST_CASE_FIXTURE(client_fixture, "client_shared_body_arrives_unchanged")
{
    server->change_limits({}, 5s, 5s);
    auto text = std::make_shared<std::string>(3u << 20, 'x');
    for (std::size_t i = 0; i < text->size(); i += 1000) {
        (*text)[i] = static_cast<char>('a' + i / 1000 % 26);
    }
    auto exchange = get(server->bound_address(), text);
    REQUIRE(wait_for_requests(1));
    CHECK(requests[0].body == *text);
    responders[0]->respond(200, {}, {});
    REQUIRE(run_until(loop, [&] { return complete; }));
    exchange.reset();
    CHECK(text.use_count() == 1);
}

// Guards against the rest of a body that a server takes for the next request,
// because it responded before it had read the whole body.
TEST_CASE_FIXTURE(client_fixture,
                  "client_response_before_the_body_ends_the_connection")
{
    raw_server peer(loop, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                    false);
    const auto first = get(peer.bound_address(),
                           std::make_shared<std::string>(32u << 20, 'x'));
    REQUIRE(run_until(loop, [&] { return complete; }));
    const auto second = get(peer.bound_address());
    REQUIRE(run_until(loop, [&] { return complete; }));
    CHECK(peer.connections == 2);
}
