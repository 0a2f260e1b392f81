#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include "e2e/support/answer_checks.hpp"
#include "e2e/support/deployment.hpp"
#include "support/loop_runner.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;
using namespace std::chrono_literals;

// Guards I6 and I7: an engine that deregisters finishes its running requests,
// and after two seconds no gate sends it new ones.
TEST_CASE("engine_leaves_running_streams_finish_and_new_work_goes_elsewhere")
{
    deployment system({});
    REQUIRE(system.start());
    std::vector<std::unique_ptr<event_stream>> streams;
    streams.reserve(8);
    for (unsigned i = 0; i < 8; ++i) {
        streams.push_back(system.generate(i % 3, "brief tokens=500 stream " +
                                                     std::to_string(i)));
    }
    REQUIRE(run_until(system.loop, [&] {
        return std::all_of(
            streams.begin(), streams.end(),
            [](const auto& each) { return each->texts.size() > 5; });
    }));
    system.engines[0].send_signal(SIGTERM);
    system.run_for(2s);
    for (unsigned gate = 0; gate < 3; ++gate) {
        auto fresh = system.generate(gate, "brief tokens=10 fresh");
        REQUIRE(run_until(
            system.loop, [&] { return fresh->ended; }, 10s));
        received_answer answer("brief tokens=10 fresh");
        answer.add(*fresh);
        answer.check();
        // A second attempt would mean that the deregistered engine was chosen.
        CHECK(fresh->finish["integrity"]["attempts"] == 1);
    }
    CHECK(run_until(
        system.loop,
        [&] {
            return std::all_of(streams.begin(), streams.end(),
                               [](const auto& each) { return each->ended; });
        },
        20s));
    for (unsigned i = 0; i < 8; ++i) {
        received_answer answer("brief tokens=500 stream " + std::to_string(i));
        answer.add(*streams[i]);
        answer.check();
        CHECK(streams[i]->finish["integrity"]["attempts"] == 1);
    }
    CHECK(run_until(
        system.loop, [&] { return !system.engines[0].running(); }, 10s));
}

// Guards I7: a gate that an operator drains finishes its running requests and
// exits with code 0.
TEST_CASE("gate_drained_by_operator_running_stream_finishes_and_gate_exits")
{
    deployment system({.services = 0});
    REQUIRE(system.start());
    const std::string prompt = "brief tokens=300 drained";
    auto stream = system.generate(0, prompt);
    REQUIRE(run_until(system.loop, [&] { return stream->texts.size() > 5; }));
    CHECK(system.submit_change("/v1/drain", {{"node", "g0"}}).status == 202);
    CHECK(run_until(
        system.loop, [&] { return stream->ended; }, 10s));
    received_answer answer(prompt);
    answer.add(*stream);
    answer.check();
    CHECK(run_until(
        system.loop, [&] { return !system.gates[0].running(); }, 10s));
    CHECK(system.gates[0].exit_code() == 0);
}
