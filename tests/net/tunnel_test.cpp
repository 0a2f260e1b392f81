// Connections to servers over another process. A listener that is full takes
// the place of a server behind a partition: connections to it hang.
#include <bamboogate/net/http1_client.hpp>
#include <bamboogate/net/http1_server.hpp>
#include <bamboogate/net/path_dialer.hpp>
#include <bamboogate/net/tunnel_server.hpp>

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/loop_runner.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;
using namespace std::chrono_literals;

namespace {

const net::address any_port{"127.0.0.1", 0};

/// A server that answers after the test says so, a tunnel server that may lead
/// there, and a client whose direct way can be taken from it.
struct tunnel_fixture
{
    net::event_loop loop;
    std::vector<net::http1_responder_ptr> requests;
    std::size_t clients_left = 0;
    std::unique_ptr<net::http1_server> server =
        net::http1_server::start(
            loop, {.listen_address = any_port},
            [this](const net::http1_request&,
                   const net::http1_responder_ptr& responder) {
                requests.push_back(responder);
                responder->on_client_disconnect([this] { ++clients_left; });
            })
            .value();
    net::address target = server->bound_address();
    net::address allowed = target;
    std::unique_ptr<net::tunnel_server> tunnels = start_tunnels();
    /// Nothing listens there.
    net::address closed = closed_address();
    std::vector<net::network_path> paths{{.via = tunnels->bound_address()}};
    std::vector<std::pair<net::network_path, net::dial_result>> results;
    net::path_dialer dialer{
        loop,
        {.shared_secret = secret("s")},
        {.paths = [this](const auto&) { return paths; },
         .on_result =
             [this](const auto&, const auto& path, net::dial_result outcome) {
                 results.emplace_back(path, outcome);
             }}};
    net::http1_client client{loop, {.dialer = &dialer}};
    std::optional<std::string> body;
    std::optional<net::http1_failure> failure;

    std::unique_ptr<net::tunnel_server> start_tunnels()
    {
        return net::tunnel_server::start(
                   loop, {.listen_address = any_port,
                          .shared_secret = secret("s"),
                          .resolve =
                              [this](const net::address& requested) {
                                  return requested == allowed
                                             ? std::optional(requested)
                                             : std::nullopt;
                              }})
            .value();
    }
    static net::address closed_address()
    {
        const int descriptor = net::listen_on(any_port).value();
        net::address out = net::local_address(descriptor);
        ::close(descriptor);
        return out;
    }
    std::unique_ptr<net::http1_client::exchange>
    send(const net::address& to, std::string_view content = "")
    {
        body.reset();
        failure.reset();
        return client.start(
            to,
            {.method = "POST", .target = "/x", .headers = {}, .body = content},
            {.on_head =
                 [this](const net::http1_response_head&) {
                     body.emplace();
                     return true;
                 },
             .on_body = [this](std::string_view part) { body->append(part); },
             .on_complete = [] {},
             .on_failure =
                 [this](const net::http1_failure& problem) {
                     failure = problem;
                 }});
    }
    bool wait(const std::function<bool()>& condition)
    {
        return run_until(loop, condition, 3s);
    }
};

} // namespace

TEST_CASE_FIXTURE(tunnel_fixture, "tunnel_request_and_large_answer_pass_whole")
{
    const std::string content(300'000, 'q');
    const auto exchange = send(target, content);
    REQUIRE(wait([&] { return requests.size() == 1; }));
    const std::string answer(1'000'000, 'a');
    requests[0]->respond(200, {}, answer);
    CHECK(wait([&] { return body && body->size() == answer.size(); }));
    CHECK(*body == answer);
    CHECK(tunnels->counts().opened == 1);
}

// Guards against a connection in a tunnel for each request.
TEST_CASE_FIXTURE(tunnel_fixture, "tunnel_is_kept_for_the_next_request")
{
    for (std::size_t i = 0; i < 3; ++i) {
        const auto exchange = send(target);
        REQUIRE(wait([&] { return requests.size() == i + 1; }));
        requests[i]->respond(200, {}, "ok");
        REQUIRE(wait([&] { return body == "ok"; }));
    }
    CHECK(tunnels->counts().opened == 1);
    client.close_idle_paths(true);
    CHECK(client.idle_connections() == 1);
    client.close_idle_paths(false);
    CHECK(client.idle_connections() == 0);
}

// Guards against callers that wait for the whole time limit of a connection
// although another path works.
TEST_CASE_FIXTURE(tunnel_fixture, "dialer_uses_the_next_path_when_one_fails")
{
    paths = {{.via = closed}, {.via = tunnels->bound_address()}};
    const auto exchange = send(target);
    REQUIRE(wait([&] { return requests.size() == 1; }));
    REQUIRE(results.size() == 2);
    CHECK(results[0].second == net::dial_result::unavailable);
    CHECK(results[1].second == net::dial_result::connected);
}

// Guards against a request that counts as sent although no path was open.
TEST_CASE_FIXTURE(tunnel_fixture, "tunnel_to_a_refusing_server_sends_nothing")
{
    allowed = closed;
    const auto exchange = send(closed);
    REQUIRE(wait([&] { return failure.has_value(); }));
    CHECK(failure->code == errc::connection_failed);
    CHECK_FALSE(failure->request_sent);
    CHECK(failure->reset);
    CHECK(results[0].second == net::dial_result::refused);
}

// Guards against tunnels to addresses that are no upstream.
TEST_CASE_FIXTURE(tunnel_fixture, "tunnel_to_another_address_is_not_opened")
{
    allowed = closed;
    const auto exchange = send(target);
    REQUIRE(wait([&] { return failure.has_value(); }));
    CHECK(results[0].second == net::dial_result::unavailable);
    CHECK(tunnels->counts().refused == 1);
    CHECK(requests.empty());
}

TEST_CASE_FIXTURE(tunnel_fixture, "tunnel_with_another_secret_is_not_opened")
{
    net::path_dialer stranger(loop, {.shared_secret = secret("other")});
    std::optional<net::dial_result> outcome;
    const auto dial =
        stranger.start(target, {{.via = tunnels->bound_address()}},
                       [&](const net::path_dialer::connection& dialled) {
                           outcome = dialled.outcome;
                           CHECK(dialled.descriptor < 0);
                       });
    REQUIRE(wait([&] { return outcome.has_value(); }));
    CHECK(tunnels->counts().refused == 1);
}

// Guards against upstreams that go on with work whose caller has left.
TEST_CASE_FIXTURE(tunnel_fixture, "cancelled_request_closes_its_tunnel")
{
    auto exchange = send(target);
    REQUIRE(wait([&] { return requests.size() == 1; }));
    exchange.reset();
    CHECK(wait([&] { return clients_left == 1; }));
    CHECK(wait([&] { return tunnels->open_tunnels() == 0; }));
}

// Guards against an answer without a length that looks complete because the
// process between has ended.
TEST_CASE_FIXTURE(tunnel_fixture, "answer_cut_by_the_end_of_a_tunnel_is_lost")
{
    const int listener = net::listen_on(any_port).value();
    const net::address plain = net::local_address(listener);
    allowed = plain;
    const auto exchange = send(plain);
    int accepted = -1;
    REQUIRE(wait([&] {
        if (accepted < 0) {
            accepted = ::accept(listener, nullptr, nullptr);
        }
        return accepted >= 0;
    }));
    const std::string_view part = "HTTP/1.1 200 OK\r\n\r\nhalf";
    REQUIRE(::send(accepted, part.data(), part.size(), 0) ==
            static_cast<ssize_t>(part.size()));
    REQUIRE(wait([&] { return body == "half"; }));
    tunnels.reset();
    REQUIRE(wait([&] { return failure.has_value(); }));
    CHECK(failure->code == errc::connection_lost);
    CHECK(failure->request_sent);
    ::close(accepted);
    ::close(listener);
}

// Guards against a planned stop that cuts a request in a tunnel.
TEST_CASE_FIXTURE(tunnel_fixture, "drained_tunnel_server_closes_quiet_tunnels")
{
    const auto exchange = send(target);
    REQUIRE(wait([&] { return requests.size() == 1; }));
    tunnels->begin_drain(300ms);
    requests[0]->respond(200, {}, "late");
    REQUIRE(wait([&] { return body == "late"; }));
    CHECK(wait([&] { return tunnels->open_tunnels() == 0; }));
    const auto next = send(target);
    CHECK(wait([&] { return failure.has_value(); }));
}

// Guards against kept connections that hang unnoticed when the path is lost.
TEST_CASE_FIXTURE(tunnel_fixture, "quiet_request_on_a_direct_connection_fails")
{
    paths = {{}};
    const auto exchange = send(target);
    REQUIRE(wait([&] { return requests.size() == 1; }));
    CHECK_FALSE(client.quiet_server(200ms));
    CHECK(wait([&] { return client.quiet_server(200ms) == target; }));
    client.fail_quiet_exchanges(200ms);
    REQUIRE(failure);
    CHECK(failure->code == errc::connection_lost);
    CHECK(failure->request_sent);
}
