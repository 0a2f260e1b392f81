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

namespace {

// Sampling engines continue differently in each attempt, so tokens that the
// caller has received must come from the copy.
deployment::options sampled_engines()
{
    return {.engines = 3, .engine_mode = "sampled"};
}

/// Resumes at a gate until the answer is complete. Returns false if the time
/// limit was exceeded first.
bool finish_at(deployment& system, unsigned gate, received_answer& answer,
               const event_stream& earlier, duration limit)
{
    const time_point end = system.loop.now() + limit;
    std::string token = earlier.resume_token;
    std::vector<std::uint64_t> indices = earlier.indices;
    while (system.loop.now() < end) {
        event_stream last;
        last.resume_token = token;
        last.indices = indices;
        auto part = system.resume(gate, last);
        run_until(
            system.loop, [&] { return part->ended; }, 20s);
        answer.add(*part);
        if (part->complete) {
            return true;
        }
        if (!part->indices.empty()) {
            indices = part->indices;
        }
        system.run_for(50ms);
    }
    return false;
}

} // namespace

// Guards I1 and I2: the gate that serves an answer is killed. The caller must
// get the remaining tokens at any other gate, whether it holds the copy or not.
TEST_CASE("gate_killed_mid_stream_caller_finishes_at_another_gate")
{
    deployment system(sampled_engines());
    REQUIRE(system.start());
    for (const unsigned other : {1u, 2u}) {
        CAPTURE(other);
        const std::string prompt =
            "manifest tokens=400 n=" + std::to_string(other);
        received_answer answer(prompt);
        auto stream = system.generate(0, prompt);
        REQUIRE(
            run_until(system.loop, [&] { return stream->texts.size() > 40; }));
        system.gates[0].kill();
        REQUIRE(run_until(system.loop, [&] { return stream->ended; }));
        CHECK_FALSE(stream->complete);
        answer.add(*stream);
        const time_point lost = system.loop.now();
        CHECK(finish_at(system, other, answer, *stream, 20s));
        answer.check(fakes::token_mode::sampled);
        MESSAGE("answer complete after ", to_seconds(system.loop.now() - lost),
                " s, ", answer.size(), " tokens");
        system.start_gate(0);
        REQUIRE(system.wait_ready(0));
        system.run_for(1500ms);
    }
}

// Guards I1 and I2: tokens that no other gate holds must not reach the caller,
// since another engine would continue with different ones. The proxies drop the
// last packets, as if the VM were lost with them.
TEST_CASE("gate_vm_lost_with_its_packets_caller_saw_nothing_that_is_lost")
{
    auto options = sampled_engines();
    options.proxy_gate_zero = true;
    deployment system(options);
    REQUIRE(system.start());
    const std::string prompt = "manifest tokens=400 lost packets";
    received_answer answer(prompt);
    auto stream = system.generate(0, prompt);
    REQUIRE(run_until(system.loop, [&] { return stream->texts.size() > 40; }));
    for (auto& each : system.gate_proxies) {
        each->blackhole(fault_proxy::direction::both);
    }
    // Shorter than the time-outs after which the owner chooses another copy
    // holder.
    system.run_for(250ms);
    system.gates[0].kill();
    REQUIRE(run_until(system.loop, [&] { return stream->ended; }));
    answer.add(*stream);
    CHECK(finish_at(system, 1, answer, *stream, 20s));
    answer.check(fakes::token_mode::sampled);
}

// Guards against an id that the caller was given before another gate held the
// generation: after the loss of the VM every gate would refuse it.
TEST_CASE("gate_vm_lost_before_the_first_copy_caller_was_given_no_id")
{
    auto options = sampled_engines();
    options.proxy_gate_zero = true;
    deployment system(options);
    REQUIRE(system.start());
    for (auto& each : system.gate_proxies) {
        each->blackhole(fault_proxy::direction::both);
    }
    const std::string prompt = "manifest tokens=400 lost before the copy";
    auto stream = system.generate(0, prompt);
    // Shorter than the time-outs after which the owner chooses another copy
    // holder.
    system.run_for(250ms);
    const auto metrics = system.fetch({.url = system.gate_url(0) + "/metrics"});
    CHECK(metrics.body.find("bamboogate_generations_started_total 1\n") !=
          std::string::npos);
    system.gates[0].kill();
    REQUIRE(run_until(system.loop, [&] { return stream->ended; }));
    CHECK(stream->resume_token.empty());
    received_answer answer(prompt);
    auto repeated = system.generate(1, prompt);
    REQUIRE(run_until(
        system.loop, [&] { return repeated->ended; }, 20s));
    answer.add(*repeated);
    answer.check(fakes::token_mode::sampled);
}

// Guards I1 and I2: open connections drop all bytes without being closed, while
// new ones work. The links must be replaced, no token may be lost, and the gate
// must be ready again.
TEST_CASE("gate_links_blackholed_answer_continues_and_gate_stays_in_service")
{
    auto options = sampled_engines();
    options.proxy_gate_zero = true;
    deployment system(options);
    REQUIRE(system.start());
    const std::string prompt = "manifest tokens=1000 silent links";
    received_answer answer(prompt);
    auto stream = system.generate(0, prompt);
    REQUIRE(run_until(system.loop, [&] { return stream->texts.size() > 40; }));
    for (auto* group : {&system.gate_proxies, &system.control_proxies}) {
        for (auto& each : *group) {
            each->blackhole(fault_proxy::direction::both);
        }
    }
    const std::size_t before = stream->texts.size();
    const time_point cut = system.loop.now();
    CHECK(run_until(
        system.loop, [&] { return stream->texts.size() > before + 20; }, 5s));
    MESSAGE("output continues after ", to_seconds(system.loop.now() - cut),
            " s");
    CHECK(system.wait_ready(0, 5s));
    CHECK(run_until(
        system.loop, [&] { return stream->ended; }, 20s));
    answer.add(*stream);
    answer.check(fakes::token_mode::sampled);
}

// Guards I2: a gate that resumes after a freeze must not continue an answer
// that another gate has taken over.
TEST_CASE("gate_frozen_and_resumed_answers_never_mix")
{
    deployment system(sampled_engines());
    REQUIRE(system.start());
    const std::string prompt = "report tokens=600";
    received_answer answer(prompt);
    auto stream = system.generate(0, prompt);
    REQUIRE(run_until(system.loop, [&] { return stream->texts.size() > 40; }));
    system.gates[0].send_signal(SIGSTOP);
    system.run_for(200ms);
    // The caller abandons the silent connection and keeps its tokens.
    const std::size_t held = stream->texts.size();
    event_stream abandoned;
    abandoned.resume_token = stream->resume_token;
    abandoned.indices = stream->indices;
    abandoned.texts = stream->texts;
    answer.add(abandoned);
    auto second = system.resume(1, abandoned);
    REQUIRE(run_until(
        system.loop, [&] { return second->texts.size() > 20; }, 10s));
    system.gates[0].send_signal(SIGCONT);
    CHECK(run_until(
        system.loop, [&] { return second->ended; }, 20s));
    answer.add(*second);
    answer.check(fakes::token_mode::sampled);
    // The old connection may deliver only tokens released before the takeover,
    // and those must be equal.
    system.run_for(500ms);
    CHECK_FALSE(stream->complete);
    const std::size_t late =
        std::min(stream->texts.size() - held, second->texts.size());
    for (std::size_t i = 0; i < late; ++i) {
        CHECK(stream->texts[held + i] == second->texts[i]);
    }
}

// Guards I1 and I2: the serving gate is killed with two of the three engines.
// The answer must continue from the copy on the remaining engine.
TEST_CASE("gate_and_engines_killed_together_answer_is_complete")
{
    deployment system(sampled_engines());
    REQUIRE(system.start());
    const std::string prompt = "manifest tokens=300 both";
    received_answer answer(prompt);
    auto stream = system.generate(0, prompt);
    REQUIRE(run_until(system.loop, [&] { return stream->texts.size() > 30; }));
    system.gates[0].kill();
    system.engines[0].kill();
    system.engines[1].kill();
    REQUIRE(run_until(system.loop, [&] { return stream->ended; }));
    answer.add(*stream);
    CHECK(finish_at(system, 2, answer, *stream, 20s));
    answer.check(fakes::token_mode::sampled);
}

// Guards I1 and I2: a gate, a control replica and an engine of one failure
// domain are killed together. Running and new answers must complete, and the
// remaining control replicas must accept changes.
TEST_CASE("failure_domain_lost_running_and_new_answers_are_complete")
{
    deployment system(sampled_engines());
    REQUIRE(system.start());
    const std::string prompt = "manifest tokens=300 domain";
    received_answer answer(prompt);
    auto stream = system.generate(0, prompt);
    REQUIRE(run_until(system.loop, [&] { return stream->texts.size() > 30; }));
    system.gates[0].kill();
    system.replicas[0].kill();
    system.engines[0].kill();
    REQUIRE(run_until(system.loop, [&] { return stream->ended; }));
    answer.add(*stream);
    CHECK(finish_at(system, 1, answer, *stream, 20s));
    answer.check(fakes::token_mode::sampled);

    REQUIRE(system.wait_ready(1, 5s));
    const std::string next = "brief tokens=50 after";
    received_answer after(next);
    auto fresh = system.generate(1, next);
    REQUIRE(run_until(
        system.loop, [&] { return fresh->ended; }, 10s));
    after.add(*fresh);
    after.check(fakes::token_mode::sampled);
    CHECK(system.submit_change("/v1/preset", {{"preset", "peak"}}).status ==
          200);
}

// Guards I7: a gate stopped by SIGTERM finishes its running requests, refuses
// new ones as not run, and exits with code 0.
TEST_CASE("gate_terminated_running_requests_finish_new_are_not_run")
{
    deployment system({.engines = 3});
    REQUIRE(system.start());
    std::vector<std::unique_ptr<event_stream>> streams;
    streams.reserve(20);
    for (int i = 0; i < 20; ++i) {
        streams.push_back(
            system.generate(0, "brief tokens=200 number " + std::to_string(i)));
    }
    REQUIRE(run_until(system.loop, [&] {
        return std::all_of(
            streams.begin(), streams.end(),
            [](const auto& each) { return each->texts.size() > 5; });
    }));
    system.gates[0].send_signal(SIGTERM);
    system.run_for(100ms);
    const auto refused = system.generate(0, "brief too late");
    run_until(system.loop, [&] { return refused->ended; });
    CHECK(refused->status == 503);
    CHECK(refused->body.find("not_run") != std::string::npos);
    CHECK(run_until(
        system.loop,
        [&] {
            return std::all_of(streams.begin(), streams.end(),
                               [](const auto& each) { return each->ended; });
        },
        20s));
    for (int i = 0; i < 20; ++i) {
        received_answer answer("brief tokens=200 number " + std::to_string(i));
        answer.add(*streams[static_cast<std::size_t>(i)]);
        answer.check();
    }
    CHECK(run_until(
        system.loop, [&] { return !system.gates[0].running(); }, 10s));
    CHECK(system.gates[0].exit_code() == 0);
}
