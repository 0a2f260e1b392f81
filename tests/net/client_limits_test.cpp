// A server whose clients together have room for four requests of 1000 bytes,
// beside a reserve, and for eight connections.
#include <bamboogate/net/http1_server.hpp>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>

#include "support/loop_runner.hpp"
#include "support/raw_client.hpp"

using namespace bamboogate;
using namespace bamboogate::net;
using namespace std::chrono_literals;
using tests::raw_client;
using tests::run_until;

namespace {

constexpr std::size_t body_bytes = 100'000;
constexpr std::size_t connection_limit = 8;

struct limits_fixture
{
    event_loop loop;
    std::vector<http1_request> requests;
    std::vector<http1_responder_ptr> responders;
    std::vector<client_limit_action> actions;
    std::vector<std::unique_ptr<raw_client>> clients;
    std::unique_ptr<http1_server> server =
        http1_server::start(
            loop,
            {.listen_address = {"127.0.0.1", 0},
             .max_connections = connection_limit,
             .memory = {.total_bytes = 600'000, .max_wait = 400ms},
             .refusal_fields = {{"Retry-After", "0.25"}},
             .on_client_limit =
                 [this](client_limit_action action) {
                     actions.push_back(action);
                 }},
            [this](http1_request request,
                   const http1_responder_ptr& responder) {
                requests.push_back(std::move(request));
                responders.push_back(responder);
            })
            .value();

    raw_client& connect(std::string_view bytes)
    {
        clients.push_back(
            std::make_unique<raw_client>(loop, server->bound_address()));
        clients.back()->send(bytes);
        return *clients.back();
    }
    static std::string request(std::size_t bytes, std::size_t sent)
    {
        return fmt::format("POST / HTTP/1.1\r\nHost: h\r\n"
                           "Content-Length: {}\r\n\r\n",
                           bytes) +
               std::string(sent, 'x');
    }
    /// Occupies the memory for large requests.
    void fill(std::size_t sent)
    {
        for (int i = 0; i < 4; ++i) {
            connect(request(body_bytes, sent));
        }
        REQUIRE(run_until(loop, [&] {
            return server->request_bytes() >= 4 * body_bytes &&
                   (sent < body_bytes || requests.size() == 4);
        }));
    }
    bool wait_for(const raw_client& client, std::string_view text)
    {
        return run_until(loop, [&] {
            return client.received().find(text) != std::string::npos;
        });
    }
};

} // namespace

// Guards against a burst of large bodies that is refused although the requests
// before it end soon.
TEST_CASE_FIXTURE(limits_fixture, "server_body_without_room_waits_for_it")
{
    fill(body_bytes);
    connect(request(body_bytes, body_bytes));
    run_until(
        loop, [] { return false; }, 50ms);
    CHECK(requests.size() == 4);
    responders[0]->respond(200, {}, {});
    REQUIRE(run_until(loop, [&] { return requests.size() == 5; }));
    CHECK(requests[4].body == std::string(body_bytes, 'x'));
    CHECK(actions.empty());
}

// Guards against a wait without end, and against a refusal that has run.
TEST_CASE_FIXTURE(limits_fixture, "server_body_without_room_is_refused_not_run")
{
    fill(body_bytes);
    auto& late = connect(request(body_bytes, body_bytes));
    REQUIRE(wait_for(late, "HTTP/1.1 503 "));
    CHECK(late.received().find("Retry-After: 0.25") != std::string::npos);
    CHECK(late.received().find("Connection: close") != std::string::npos);
    CHECK(requests.size() == 4);
    CHECK(actions == std::vector{client_limit_action::request_refused});
}

// Guards against senders that stop before the end and keep others out.
TEST_CASE_FIXTURE(limits_fixture, "server_stalled_bodies_make_room_for_others")
{
    fill(body_bytes - 1);
    connect(request(body_bytes, body_bytes));
    REQUIRE(run_until(loop, [&] { return requests.size() == 1; }));
    const auto closed =
        std::count_if(clients.begin(), clients.end(), [](const auto& client) {
            return client->received().starts_with("HTTP/1.1 408 ");
        });
    CHECK(closed == 1);
    CHECK(requests[0].body.size() == body_bytes);
}

// Guards against small requests that wait behind large ones.
TEST_CASE_FIXTURE(limits_fixture, "server_small_request_beside_large_is_served")
{
    fill(body_bytes);
    connect(request(10, 10));
    CHECK(run_until(loop, [&] { return requests.size() == 5; }));
}

// Guards against memory that is counted for requests that have ended.
TEST_CASE_FIXTURE(limits_fixture, "server_ended_requests_hold_no_memory")
{
    fill(body_bytes);
    auto& waiting = connect(request(body_bytes, 100));
    clients.erase(clients.begin());
    for (const auto& each : responders) {
        each->respond(200, {}, {});
    }
    waiting.send(std::string(body_bytes - 100, 'x'));
    REQUIRE(run_until(loop, [&] { return requests.size() == 5; }));
    responders[4]->respond(200, {}, {});
    CHECK(run_until(loop, [&] { return server->request_bytes() == 0; }));
}

// Guards against input of pipelined requests without a bound; the request in
// progress is still answered, and none of the others is run.
TEST_CASE_FIXTURE(limits_fixture,
                  "server_pipelined_input_beyond_room_is_dropped")
{
    auto& client = connect(request(1, 1));
    REQUIRE(run_until(loop, [&] { return requests.size() == 1; }));
    fill(1);
    for (int i = 0; i < 2; ++i) {
        connect(request(50'000, 1));
    }
    run_until(
        loop, [] { return false; }, 20ms);
    client.send(request(60'000, 60'000));
    REQUIRE(run_until(loop, [&] { return !actions.empty(); }));
    CHECK(actions[0] == client_limit_action::input_dropped);
    responders[0]->respond(200, {}, {});
    CHECK(wait_for(client, "Connection: close"));
    CHECK(requests.size() == 1);
}

// Guards against idle connections that keep a new client out, and against a
// connection beyond the limit while all others are served.
TEST_CASE_FIXTURE(limits_fixture, "server_with_all_connections_closes_the_idle")
{
    for (std::size_t i = 0; i < connection_limit; ++i) {
        connect("");
    }
    REQUIRE(run_until(
        loop, [&] { return server->connections() == connection_limit; }));
    for (std::size_t i = 1; i <= connection_limit; ++i) {
        connect(request(1, 1));
        REQUIRE(run_until(loop, [&] { return requests.size() == i; }));
        CHECK(clients[i - 1]->closed());
    }
    CHECK(server->connections() == connection_limit);
    auto& extra = connect("");
    CHECK(wait_for(extra, "HTTP/1.1 503 "));
    CHECK(actions.back() == client_limit_action::connection_refused);
}
