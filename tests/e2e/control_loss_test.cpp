#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <optional>
#include <string>
#include <vector>

#include "e2e/support/answer_checks.hpp"
#include "e2e/support/deployment.hpp"
#include "support/loop_runner.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;
using namespace std::chrono_literals;

namespace {

/// The preset that a gate applies to a new request, or an empty text if the
/// gate refuses it.
std::string preset_at(deployment& system, unsigned gate)
{
    auto stream = system.generate(gate, "brief tokens=1", 1);
    run_until(
        system.loop, [&] { return stream->ended; }, 5s);
    return stream->status == 200 ? stream->preset : "";
}

bool wait_for_leader(deployment& system, duration limit)
{
    return run_until(
        system.loop, [&] { return system.leader().has_value(); }, limit);
}

} // namespace

// Guards I8: the leader is killed right after it accepted a preset. The next
// leader must know the preset, and every gate must apply it.
TEST_CASE("control_leader_killed_accepted_preset_stays_in_force")
{
    deployment system({});
    REQUIRE(system.start());
    const char* const presets[] = {"peak", "maintenance", "ordinary"};
    std::string expected;
    for (const char* preset : presets) {
        CAPTURE(preset);
        const auto leader = system.leader();
        REQUIRE(leader);
        const auto accepted =
            system.submit_change("/v1/preset", {{"preset", preset}});
        REQUIRE(accepted.status == 200);
        system.replicas[*leader].kill();
        const time_point killed = system.loop.now();
        REQUIRE(wait_for_leader(system, 5s));
        MESSAGE("leader again after ", to_seconds(system.loop.now() - killed),
                " s");
        for (unsigned gate = 0; gate < 3; ++gate) {
            CHECK(run_until(
                system.loop, [&] { return preset_at(system, gate) == preset; },
                5s));
        }
        system.start_replica(*leader);
        system.run_for(1s);
    }
}

// Guards I4 and I8: without a quorum, gates refuse new requests after their
// lease has expired, and running requests continue.
TEST_CASE("control_quorum_lost_gates_refuse_new_work_running_goes_on")
{
    deployment system({});
    REQUIRE(system.start());
    const std::string prompt = "manifest tokens=1200";
    received_answer answer(prompt);
    auto stream = system.generate(0, prompt);
    REQUIRE(run_until(system.loop, [&] { return stream->texts.size() > 10; }));
    system.replicas[0].kill();
    system.replicas[1].kill();
    system.run_for(2500ms);
    for (unsigned gate = 0; gate < 3; ++gate) {
        const auto refused = system.generate(gate, "brief tokens=1");
        run_until(system.loop, [&] { return refused->ended; });
        CHECK(refused->status == 503);
        CHECK(refused->body.find("\"not_run\"") != std::string::npos);
    }
    system.start_replica(0);
    CHECK(system.wait_ready(0));
    CHECK(run_until(
        system.loop, [&] { return stream->ended; }, 20s));
    answer.add(*stream);
    answer.check();
}

// Guards I8: a gate that was suspended during a change must not serve the old
// preset after it resumes.
TEST_CASE("gate_frozen_through_a_change_never_serves_the_old_preset")
{
    deployment system({});
    REQUIRE(system.start());
    REQUIRE(preset_at(system, 0) == "ordinary");
    system.gates[0].send_signal(SIGSTOP);
    system.run_for(2500ms);
    const auto accepted = system.submit_change(
        "/v1/preset", {{"preset", "peak"}, {"wait_ms", 5000}}, 8s);
    CHECK(accepted.status == 200);
    // The request reaches the socket of the suspended gate.
    auto queued = system.generate(0, "brief tokens=1", 1);
    system.run_for(200ms);
    system.gates[0].send_signal(SIGCONT);
    run_until(system.loop, [&] { return queued->ended; });
    CHECK((queued->status == 503 || queued->preset == "peak"));
    CHECK(run_until(
        system.loop, [&] { return preset_at(system, 0) == "peak"; }, 5s));
}

// Two operators change the preset based on the same revision. If both changes
// were accepted, one operator would overwrite the other's unnoticed; the loser
// must get a conflict that names the winner.
TEST_CASE("operators_race_under_equal_revisions_exactly_one_wins")
{
    deployment system({.gates = 1, .engines = 1, .services = 0});
    REQUIRE(system.start());
    int conflicts = 0;
    for (int round = 0; round < 50; ++round) {
        CAPTURE(round);
        const auto leader = system.leader();
        REQUIRE(leader);
        const auto base = system.status().value("revision", 0);
        std::vector<net::http_client::response> responses;
        std::vector<std::unique_ptr<net::http_transfer>> transfers;
        for (const char* preset : {"peak", "maintenance"}) {
            const json body = {
                {"operation_id", fmt::format("race-{}-{}", round, preset)},
                {"based_on", base},
                {"preset", preset}};
            transfers.push_back(system.client.start(
                {.method = "POST",
                 .url = system.replica_url(*leader) + "/v1/preset",
                 .headers = {{"authorization", std::string("Bearer ") +
                                                   deployment::operator_key}},
                 .body = body.dump(),
                 .total_timeout = 5s},
                {.on_headers = {},
                 .on_data = {},
                 .on_done = [&](net::http_client::outcome_type end) {
                     responses.push_back(end ? std::move(end).value()
                                             : net::http_client::response{});
                 }}));
        }
        REQUIRE(run_until(system.loop, [&] { return responses.size() == 2; }));
        const auto won = [](const auto& response) {
            return response.status == 200;
        };
        const auto lost = [](const auto& response) {
            return response.status == 409;
        };
        CHECK(std::count_if(responses.begin(), responses.end(), won) == 1);
        CHECK(std::count_if(responses.begin(), responses.end(), lost) == 1);
        for (const auto& each : responses) {
            if (lost(each)) {
                ++conflicts;
                CHECK(each.body.find("winner") != std::string::npos);
            }
        }
    }
    CHECK(conflicts == 50);
}

// A resent operation must get the first response and change nothing, also after
// hundreds of changes and a restart of all replicas.
TEST_CASE("operation_resent_after_changes_and_restart_gets_first_answer")
{
    deployment system({.gates = 1, .engines = 0, .services = 0});
    REQUIRE(system.start());
    const json first_change = {{"operation_id", "first"},
                               {"based_on", system.status()["revision"]},
                               {"preset", "peak"}};
    const auto first = system.submit_change("/v1/preset", first_change);
    REQUIRE(first.status == 200);
    for (int i = 0; i < 300; ++i) {
        const auto next = system.submit_change(
            "/v1/preset", {{"preset", i % 2 == 0 ? "maintenance" : "peak"}});
        INFO("change " << i << ": " << next.body);
        REQUIRE(next.status == 200);
    }
    const auto before = system.status();
    for (unsigned i = 0; i < 3; ++i) {
        system.replicas[i].kill();
    }
    for (unsigned i = 0; i < 3; ++i) {
        system.start_replica(i);
    }
    REQUIRE(wait_for_leader(system, 10s));
    const auto again = system.submit_change("/v1/preset", first_change);
    CHECK(again.status == first.status);
    CHECK(json::parse(again.body)["revision"] ==
          json::parse(first.body)["revision"]);
    CHECK(system.status()["revision"] == before["revision"]);
    CHECK(system.status()["preset"] == before["preset"]);
}

// A replica that lost its disk must not vote under its old id. Accepted changes
// must survive that, and the loss of another VM after the repair.
TEST_CASE("control_disk_lost_and_second_vm_lost_accepted_changes_survive")
{
    deployment system({.gates = 1, .engines = 0, .services = 0});
    REQUIRE(system.start());
    REQUIRE(system.submit_change("/v1/preset", {{"preset", "peak"}}).status ==
            200);
    const auto leader = system.leader();
    REQUIRE(leader);
    const unsigned lost = (*leader + 1) % 3;
    const unsigned third = (*leader + 2) % 3;
    system.replicas[lost].kill();
    std::filesystem::remove_all(system.folder() / fmt::format("c{}", lost));
    system.start_replica(lost);
    // Time for the empty replica to catch up or to be refused.
    system.run_for(3s);
    REQUIRE(system.submit_change("/v1/preset", {{"preset", "maintenance"}})
                .status == 200);
    const auto revision = system.status()["revision"];
    system.replicas[*leader].kill();
    system.run_for(1500ms);
    system.start_replica(*leader);
    REQUIRE(wait_for_leader(system, 10s));
    CHECK(system.status()["revision"] == revision);
    CHECK(system.status()["preset"] == "maintenance");
    system.replicas[third].kill();
    system.run_for(1s);
    system.start_replica(third);
    REQUIRE(wait_for_leader(system, 10s));
    CHECK(system.status()["preset"] == "maintenance");
}
