#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "e2e/support/answer_checks.hpp"
#include "e2e/support/deployment.hpp"
#include "fakes/token_source.hpp"
#include "support/loop_runner.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;
using namespace std::chrono_literals;

namespace {

/// Checks I1 and I2 for one received answer.
void check_whole(const event_stream& stream, const std::string& prompt,
                 unsigned max_tokens = 4096)
{
    CHECK(stream.status == 200);
    CHECK(stream.complete);
    CHECK(stream.failure.is_null());
    CHECK(stream.texts == fakes::expected_answer(prompt, max_tokens));
    for (std::size_t i = 0; i < stream.indices.size(); ++i) {
        REQUIRE(stream.indices[i] == i);
    }
}

} // namespace

// The whole path over separate processes, with the loss of an engine in the
// middle of an answer and a resent non-idempotent call.
TEST_CASE("whole_path_engine_killed_and_call_resent_all_promises_hold")
{
    deployment system({});
    const bool started = system.start();
    INFO(system.problem);
    REQUIRE(started);

    SUBCASE("a generation ends whole although its engine is killed")
    {
        const std::string prompt = "manifest for trek 7 tokens=300";
        auto stream = system.generate(0, prompt, 4096, "manifest");
        REQUIRE(
            run_until(system.loop, [&] { return stream->texts.size() > 50; }));
        system.engines[0].kill();
        system.start_engine(0);
        run_until(
            system.loop, [] { return false; }, 300ms);
        system.engines[1].kill();
        CHECK(run_until(
            system.loop, [&] { return stream->ended; }, 15s));
        check_whole(*stream, prompt);
    }

    SUBCASE("an answer without stream is one document")
    {
        const std::string prompt = "brief for guide 3 tokens=20";
        const auto got = system.fetch(
            {.method = "POST",
             .url = system.gate_url(1) + "/v1/completions",
             .headers = {{"authorization",
                          std::string("Bearer ") + deployment::client_key}},
             .body = json{{"model", "draft"}, {"prompt", prompt}}.dump(),
             .total_timeout = 10s});
        REQUIRE(got.status == 200);
        std::string expected;
        for (const auto& token : fakes::expected_answer(prompt, 256)) {
            expected += token;
        }
        CHECK(json::parse(got.body)["choices"][0]["text"] == expected);
    }

    SUBCASE("a resent booking gets the first answer and runs once")
    {
        const net::http_client::request call{
            .method = "POST",
            .url = system.gate_url(0) + "/v1/services/bookings/book",
            .headers = {{"authorization",
                         std::string("Bearer ") + deployment::client_key},
                        {"idempotency-key", "booking-1"}},
            .body = "mule string 4",
            .total_timeout = 10s};
        const auto first = system.fetch(call);
        CHECK(first.status == 200);
        auto again = call;
        again.url = system.gate_url(2) + "/v1/services/bookings/book";
        const auto second = system.fetch(again);
        CHECK(second.status == 200);
        CHECK(second.body == first.body);
        CHECK(second.headers.find("idempotency-replayed") == "true");
        auto other = call;
        other.body = "mule string 5";
        CHECK(system.fetch(other).status == 422);
        auto missing = call;
        missing.headers = {
            {"authorization", std::string("Bearer ") + deployment::client_key}};
        CHECK(system.fetch(missing).status == 400);
    }

    SUBCASE("a caller without a key is refused before any work")
    {
        auto refused =
            system.fetch({.method = "POST",
                          .url = system.gate_url(0) + "/v1/completions",
                          .body = R"({"model":"draft","prompt":"p"})",
                          .total_timeout = 5s});
        CHECK(refused.status == 401);
    }
}
