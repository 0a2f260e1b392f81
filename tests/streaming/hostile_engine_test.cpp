// Engines that break the protocol, seen by the product's own gate.
#include <bamboogate/streaming/engine_stream.hpp>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "support/loop_runner.hpp"
#include "support/raw_server.hpp"

using namespace bamboogate;
using namespace bamboogate::streaming;
using namespace std::chrono_literals;
using tests::raw_server;

namespace {

/// An engine whose bytes are chosen by the test.
struct hostile_engine_fixture
{
    net::event_loop loop;
    net::http_client client{loop};
    std::function<void(raw_server::connection&)> respond;
    raw_server engine{loop, [this](raw_server::connection& from) {
                          if (tests::holds_request(from.received, "}")) {
                              last_request = std::exchange(from.received, {});
                              respond(from);
                          }
                      }};
    std::string last_request;
    generation_request request{.model = model_id("m"), .prompt = "p"};
    std::vector<std::string> tokens;
    std::optional<attempt_outcome> outcome;
    bool finished = false;

    std::unique_ptr<engine_stream> start(const char* id)
    {
        return std::make_unique<engine_stream>(
            client,
            engine_stream::attempt_request{.address =
                                               engine.bound_address().text(),
                                           .id = request_id(id),
                                           .attempt = 1,
                                           .request = request,
                                           .resume_tokens = {}},
            engine_stream::callbacks{
                .on_headers = [] {},
                .on_token =
                    [this](std::uint64_t, std::uint64_t, std::string token) {
                        tokens.push_back(std::move(token));
                    },
                .on_finish = [this](const std::string&,
                                    std::uint64_t) { finished = true; },
                .on_end =
                    [this](const engine_stream::stream_end& end) {
                        outcome = end.outcome;
                    }});
    }
    static std::string answer(const std::string& token)
    {
        const std::string body = fmt::format(
            "data: {{\"token\":\"{}\",\"index\":0,\"attempt\":1}}\n\n"
            "data: {{\"finish_reason\":\"stop\",\"count\":1}}\n\n"
            "data: [DONE]\n\n",
            token);
        return fmt::format("HTTP/1.1 200 OK\r\n"
                           "Content-Type: text/event-stream\r\n"
                           "Content-Length: {}\r\n\r\n{}",
                           body.size(), body);
    }
    bool wait(const std::function<bool()>& condition)
    {
        return tests::run_until(loop, condition, 5s);
    }
    [[nodiscard]] std::size_t sent_bytes() const
    {
        std::size_t total = 0;
        for (const auto& each : engine.connections) {
            total += each->sent_bytes();
        }
        return total;
    }
};

} // namespace

// Guards against tokens of another generation: the engine sends a second copy
// of its first answer before the next one on the same connection.
TEST_CASE_FIXTURE(
    hostile_engine_fixture,
    "engine_stream_second_copy_of_an_answer_never_reaches_the_next")
{
    int answers = 0;
    std::map<const void*, std::string> earlier;
    respond = [&](raw_server::connection& to) {
        const std::string own = answer(fmt::format("own{}", ++answers));
        to.send(earlier[&to] + own);
        earlier[&to] = own;
    };
    auto first = start("g1");
    REQUIRE(wait([&] { return finished; }));
    tests::run_until(
        loop, [] { return false; }, 50ms);
    first.reset();
    finished = false;
    tokens.clear();
    auto second = start("g2");
    REQUIRE(wait([&] { return finished; }));
    CHECK(tokens == std::vector<std::string>{"own2"});
}

// Guards against memory and time without a limit.
TEST_CASE_FIXTURE(hostile_engine_fixture,
                  "engine_stream_bytes_without_end_end_the_attempt")
{
    SUBCASE("in the head")
    {
        respond = [](raw_server::connection& to) {
            to.send("HTTP/1.1 200 OK\r\n");
            to.send_without_end("X-Fill: aaaaaaaa\r\n");
        };
    }
    SUBCASE("in interim responses")
    {
        respond = [](raw_server::connection& to) {
            to.send_without_end("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n");
        };
    }
    SUBCASE("in the body of a failure")
    {
        respond = [](raw_server::connection& to) {
            to.send("HTTP/1.1 500 Internal Server Error\r\n\r\n");
            to.send_without_end("aaaaaaaa");
        };
    }
    SUBCASE("in an event")
    {
        respond = [](raw_server::connection& to) {
            to.send("HTTP/1.1 200 OK\r\n"
                    "Content-Type: text/event-stream\r\n\r\ndata: ");
            to.send_without_end("aaaaaaaa");
        };
    }
    auto stream = start("g1");
    REQUIRE(wait([&] { return outcome.has_value(); }));
    stream.reset();
    CHECK(tokens.empty());
    CHECK(wait([&] { return engine.connections.front()->closed(); }));
    CHECK(sent_bytes() < (16u << 20));
}
