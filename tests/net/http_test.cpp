#include <bamboogate/net/http_client.hpp>
#include <bamboogate/net/http_server.hpp>

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "support/loop_runner.hpp"

using namespace bamboogate;
using namespace bamboogate::net;
using namespace std::chrono_literals;

namespace {

class http_fixture
{
public:
    event_loop loop;
    http_client client{loop};
    std::unique_ptr<http_server> server;

    void serve(http_server::handler handler, http_server::options settings = {})
    {
        settings.listen_address = {"127.0.0.1", 0};
        auto started = http_server::start(loop, settings, std::move(handler));
        REQUIRE(started);
        server = std::move(started).value();
    }

    [[nodiscard]] std::string url(const std::string& path) const
    {
        return "http://" + server->bound_address().text() + path;
    }

    http_client::outcome_type fetch(http_client::request what)
    {
        std::optional<http_client::outcome_type> end;
        const auto transfer = client.start(
            std::move(what), {.on_headers = {},
                              .on_data = {},
                              .on_done = [&](http_client::outcome_type r) {
                                  end.emplace(std::move(r));
                              }});
        REQUIRE(run_until([&] { return end.has_value(); }));
        return *end;
    }

    template <typename Condition>
    bool run_until(Condition condition)
    {
        return tests::run_until(loop, condition);
    }
};

} // namespace

TEST_CASE_FIXTURE(http_fixture, "http_server_whole_answer_arrives")
{
    serve(
        [](const http_request& request, const std::shared_ptr<responder>& out) {
            CHECK(request.method == "POST");
            CHECK(request.path == "/echo");
            CHECK(request.query == "q=1");
            out->respond(201, {{"x-seen", "yes"}}, request.body);
        });
    const auto end = fetch({.method = "POST",
                            .url = url("/echo?q=1"),
                            .body = std::string(100'000, 'b')});
    REQUIRE(end);
    CHECK(end.value().status == 201);
    CHECK(end.value().body.size() == 100'000);
    CHECK(end.value().headers.find("x-seen") == "yes");
}

// Guards against a path that changes on its way to an upstream.
TEST_CASE_FIXTURE(http_fixture, "http_server_encoded_path_stays_encoded")
{
    std::string path;
    std::string query;
    serve([&](const http_request& request,
              const std::shared_ptr<responder>& out) {
        path = request.path;
        query = request.query;
        out->respond(204, {}, {});
    });
    REQUIRE(fetch({.url = url("/a%20b/c%2Fd?q=%26x&q=2")}));
    CHECK(path == "/a%20b/c%2Fd");
    CHECK(query == "q=%26x&q=2");
}

TEST_CASE_FIXTURE(http_fixture, "http_server_stream_delivers_in_pieces")
{
    std::shared_ptr<responder> held;
    serve([&](const http_request&, const std::shared_ptr<responder>& out) {
        held = out;
        out->begin_stream(200, {{"content-type", "text/event-stream"}});
    });
    std::string received;
    bool done = false;
    const auto transfer = client.start(
        {.url = url("/stream")},
        {.on_headers = {},
         .on_data = [&](std::string_view bytes) { received.append(bytes); },
         .on_done =
             [&](http_client::outcome_type r) {
                 CHECK(r);
                 done = true;
             }});
    REQUIRE(run_until([&] { return held != nullptr; }));
    for (int i = 0; i < 10; ++i) {
        held->write("piece;");
        const std::size_t expected = 6 * (static_cast<std::size_t>(i) + 1);
        REQUIRE(run_until([&] { return received.size() == expected; }));
    }
    held->finish();
    CHECK(run_until([&] { return done; }));
}

TEST_CASE_FIXTURE(http_fixture, "http_server_aborted_stream_is_seen_as_cut")
{
    serve([&](const http_request&, const std::shared_ptr<responder>& out) {
        out->begin_stream(200, {});
        out->write("half");
        loop.post([out] { out->abort(); });
    });
    const auto end = fetch({.url = url("/")});
    REQUIRE_FALSE(end);
    CHECK(end.error().request_may_have_been_sent);
}

TEST_CASE_FIXTURE(http_fixture, "http_server_oversized_body_is_refused")
{
    bool called = false;
    serve([&](const http_request&,
              const std::shared_ptr<responder>&) { called = true; },
          {.max_body_bytes = 1000});
    const auto end = fetch(
        {.method = "POST", .url = url("/"), .body = std::string(50'000, 'b')});
    REQUIRE(end);
    CHECK(end.value().status == 413);
    CHECK_FALSE(called);
}

TEST_CASE_FIXTURE(http_fixture, "http_server_header_flood_is_refused")
{
    bool called = false;
    serve([&](const http_request&, const std::shared_ptr<responder>&) {
        called = true;
    });
    http_headers many;
    for (int i = 0; i < 500; ++i) {
        many.add("x-flood-" + std::to_string(i), std::string(100, 'h'));
    }
    const auto end = fetch({.url = url("/"), .headers = many});
    CHECK_FALSE(called);
    if (end) {
        CHECK(end.value().status == 431);
    }
}

TEST_CASE_FIXTURE(http_fixture, "http_server_caller_leaves_handler_is_told")
{
    std::shared_ptr<responder> held;
    bool closed = false;
    serve([&](const http_request&, const std::shared_ptr<responder>& out) {
        held = out;
        out->begin_stream(200, {});
        out->write("start");
        out->on_closed([&](bool complete) {
            CHECK_FALSE(complete);
            closed = true;
        });
    });
    bool some = false;
    auto transfer = client.start(
        {.url = url("/")}, {.on_headers = {},
                            .on_data = [&](std::string_view) { some = true; },
                            .on_done = {}});
    REQUIRE(run_until([&] { return some; }));
    transfer.reset();
    timer ping(loop, [&] { held->write(":\n\n"); });
    ping.start_periodic(5ms);
    CHECK(run_until([&] { return closed; }));
    CHECK(held->closed());
}

// Guards I4: only a failed connect proves that no byte has left.
TEST_CASE_FIXTURE(http_fixture, "http_client_connect_refused_sent_nothing")
{
    const auto socket = listen_on({"127.0.0.1", 0});
    REQUIRE(socket);
    const auto where = local_address(socket.value());
    // A bound port without a listener is refused at once.
    serve([](const http_request&, const std::shared_ptr<responder>&) {});
    const auto free_port = server->bound_address();
    server.reset();
    const auto end = fetch({.url = "http://" + free_port.text() + "/"});
    REQUIRE_FALSE(end);
    CHECK(end.error().reason.code == errc::connection_failed);
    CHECK_FALSE(end.error().request_may_have_been_sent);

    // This socket accepts in the kernel and never answers.
    const auto silent =
        fetch({.url = "http://" + where.text() + "/", .total_timeout = 100ms});
    REQUIRE_FALSE(silent);
    CHECK(silent.error().reason.code == errc::deadline_exceeded);
    CHECK(silent.error().request_may_have_been_sent);
}

// Guards against libmicrohttpd ending the process when the server is stopped
// while requests wait for their answer.
TEST_CASE_FIXTURE(http_fixture, "http_server_destroyed_open_requests_are_cut")
{
    std::vector<std::shared_ptr<responder>> held;
    serve([&](const http_request& request,
              const std::shared_ptr<responder>& out) {
        held.push_back(out);
        if (request.path == "/stream") {
            out->begin_stream(200, {});
            out->write("start");
        }
    });
    int cut = 0;
    std::vector<std::unique_ptr<http_transfer>> transfers;
    for (const char* path : {"/stream", "/waiting"}) {
        transfers.push_back(client.start(
            {.url = url(path)}, {.on_headers = {},
                                 .on_data = {},
                                 .on_done = [&](http_client::outcome_type end) {
                                     cut += end ? 0 : 1;
                                 }}));
    }
    REQUIRE(run_until([&] { return held.size() == 2; }));
    server.reset();
    CHECK(run_until([&] { return cut == 2; }));
    for (const auto& each : held) {
        CHECK(each->closed());
        each->write("late");
    }
}
