#include <bamboogate/net/http_client.hpp>
#include <bamboogate/net/http_server.hpp>

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "support/broken_answers.hpp"
#include "support/loop_runner.hpp"
#include "support/raw_client.hpp"
#include "support/raw_server.hpp"

using namespace bamboogate;
using namespace bamboogate::net;
using bamboogate::tests::raw_client;
using bamboogate::tests::raw_server;
using namespace std::chrono_literals;

namespace {

class raw_http_fixture
{
public:
    raw_http_fixture()
    {
        auto started =
            http_server::start(loop,
                               {.listen_address = {"127.0.0.1", 0},
                                .max_body_bytes = 10'000,
                                .idle_timeout = 1s},
                               [this](const http_request& request,
                                      const std::shared_ptr<responder>& out) {
                                   ++handled;
                                   out->respond(200, {}, request.body);
                               });
        REQUIRE(started);
        server = std::move(started).value();
    }

    event_loop loop;
    std::unique_ptr<http_server> server;
    int handled = 0;
};

} // namespace

// Guards against input that hangs or crashes the server, and against incomplete
// requests that reach the handler.
TEST_CASE_FIXTURE(raw_http_fixture, "http_server_bad_input_is_refused")
{
    struct fault
    {
        const char* name;
        std::string input;
        const char* status; ///< empty: the connection is closed unanswered
    };
    const fault faults[] = {
        {"not HTTP", "\x16\x03\x01\x02\r\n\r\n", ""},
        {"no method", " / HTTP/1.1\r\n\r\n", ""},
        {"two content lengths",
         "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n"
         "content-length: abc\r\n\r\nabc",
         "400"},
        {"length and chunks",
         "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n"
         "transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
         "400"},
        {"negative content length",
         "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: -5\r\n\r\n", "400"},
        {"huge content length",
         "POST / HTTP/1.1\r\nhost: x\r\n"
         "content-length: 99999999999999999999999\r\n\r\n",
         "413"},
        {"bad chunk size",
         "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
         "zz\r\nabc\r\n0\r\n\r\n",
         "400"},
        {"long request line",
         "GET /" + std::string(40'000, 'a') + " HTTP/1.1\r\n\r\n", "414"},
        {"long header",
         "GET / HTTP/1.1\r\nhost: x\r\nx: " + std::string(40'000, 'h') +
             "\r\n\r\n",
         "431"},
    };
    for (const auto& each : faults) {
        CAPTURE(each.name);
        raw_client client(loop, server->bound_address());
        client.send(each.input);
        REQUIRE(tests::run_until(
            loop, [&] { return client.closed() || !client.received().empty(); },
            4s));
        if (*each.status == '\0') {
            CHECK(client.closed());
            CHECK(client.received().empty());
            continue;
        }
        const std::string expected = std::string("HTTP/1.1 ") + each.status;
        CHECK(client.received().substr(0, expected.size()) == expected);
    }
    CHECK(handled == 0);
}

// Guards against clients that hold connections open without completing a
// request.
TEST_CASE_FIXTURE(raw_http_fixture, "http_server_slow_sender_is_closed")
{
    raw_client client(loop, server->bound_address());
    client.send("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nabc");
    CHECK(tests::run_until(
        loop, [&] { return client.closed(); }, 5s));
    CHECK(handled == 0);
}

// Guards against a request that is lost when it arrives byte by byte.
TEST_CASE_FIXTURE(raw_http_fixture, "http_server_split_request_is_assembled")
{
    raw_client client(loop, server->bound_address());
    const std::string request = "POST /p HTTP/1.1\r\nhost: x\r\n"
                                "content-length: 4\r\n\r\nbody";
    for (const char c : request) {
        client.send(std::string(1, c));
        tests::run_until(
            loop, [] { return false; }, 1ms);
    }
    CHECK(tests::run_until(loop, [&] { return handled == 1; }));
    CHECK(tests::run_until(loop, [&] {
        return client.received().find("body") != std::string::npos;
    }));
}

// Guards against requests left in the input buffer of libmicrohttpd, which its
// epoll descriptor does not report.
TEST_CASE_FIXTURE(raw_http_fixture, "http_server_pipelined_requests_all_run")
{
    raw_client client(loop, server->bound_address());
    std::string input;
    for (int i = 0; i < 5; ++i) {
        input += "GET /p HTTP/1.1\r\nhost: x\r\n\r\n";
    }
    client.send(input);
    CHECK(tests::run_until(loop, [&] { return handled == 5; }));
}

// Guards against an abort of the process when a request arrives while the
// server stops: the request was passed to the handler and its connection was
// suspended, which libmicrohttpd does not allow during a stop.
TEST_CASE("http_server_stopped_with_unread_request_does_not_handle_it")
{
    event_loop server_loop;
    event_loop client_loop;
    unsigned handled = 0;
    auto started = http_server::start(
        server_loop, {.listen_address = {"127.0.0.1", 0}},
        [&](const http_request&, const std::shared_ptr<responder>&) {
            ++handled;
        });
    REQUIRE(started);
    auto server = std::move(started).value();
    raw_client client(client_loop, server->bound_address());
    const auto run = [&](event_loop& loop) {
        const time_point end = loop.now() + 50ms;
        while (loop.now() < end) {
            loop.run_once();
        }
    };
    run(client_loop);
    run(server_loop);
    REQUIRE(server->open_connections() == 1);
    client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    run(client_loop);
    server.reset();
    run(client_loop);
    CHECK(handled == 0);
    CHECK(client.closed());
}

namespace {

/// A client whose server sends bytes of the test's choice once it has the head
/// of a request.
struct broken_answer_fixture
{
    event_loop loop;
    http_client client{loop};
    std::function<void(raw_server::connection&)> respond;
    raw_server server{loop, [this](raw_server::connection& from) {
                          if (tests::holds_request(from.received, "")) {
                              from.received.clear();
                              respond(from);
                          }
                      }};

    http_client::outcome_type fetch(std::string body = {})
    {
        std::optional<http_client::outcome_type> end;
        const auto transfer =
            client.start({.method = "POST",
                          .url = "http://" + server.bound_address().text(),
                          .body = std::move(body),
                          .total_timeout = 1s},
                         {.on_done = [&](http_client::outcome_type outcome) {
                             end.emplace(std::move(outcome));
                         }});
        REQUIRE(tests::run_until(
            loop, [&] { return end.has_value(); }, 3s));
        return std::move(*end);
    }
};

} // namespace

// Guards against an answer that is no valid HTTP and reaches a caller.
TEST_CASE_FIXTURE(broken_answer_fixture,
                  "http_client_broken_answer_is_a_failure")
{
    auto answers = tests::broken_answers();
    answers.push_back({"folded line", "HTTP/1.1 200 OK\r\nX-Odd: a\r\n b: c\r\n"
                                      "Content-Length: 0\r\n\r\n"});
    for (const auto& each : answers) {
        CAPTURE(each.name);
        respond = [&](raw_server::connection& to) {
            to.send(each.bytes);
            to.end_output();
        };
        const auto outcome = fetch();
        CHECK_FALSE(outcome);
        // The server may have run the request.
        CHECK((outcome || outcome.error().request_may_have_been_sent));
    }
}

// Guards against a part of an answer without a length that looks complete,
// because its connection ended while the request was being sent.
TEST_CASE_FIXTURE(broken_answer_fixture,
                  "http_client_answer_cut_in_an_upload_is_a_failure")
{
    std::function<void(raw_server::connection&)> end;
    SUBCASE("reset")
    {
        end = [](raw_server::connection& from) { from.reset(); };
    }
    SUBCASE("closed")
    {
        end = [](raw_server::connection& from) { from.close(); };
    }
    SUBCASE("ended")
    {
        end = [](raw_server::connection& from) { from.end_output(); };
    }
    raw_server::connection* broken = nullptr;
    timer pause(loop, [&] { end(*broken); });
    respond = [&](raw_server::connection& to) {
        to.stop_reading();
        to.send("HTTP/1.1 200 OK\r\n\r\nhello");
        broken = &to;
        pause.start_once(50ms);
    };
    const auto outcome = fetch(std::string(8u << 20, 'u'));
    REQUIRE_FALSE(outcome);
    CHECK(outcome.error().request_may_have_been_sent);
}
