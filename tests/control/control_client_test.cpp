#include <doctest/doctest.h>

#include "support/loopback.hpp"

using namespace bamboogate;
using namespace bamboogate::control;
using namespace std::chrono_literals;
using bamboogate::tests::loopback_fixture;
using bamboogate::tests::sample_declarations;

TEST_CASE_FIXTURE(loopback_fixture,
                  "control_client_no_declarations_no_valid_lease")
{
    start_nodes(1);
    auto& gate = start_gate("g1");
    run_for(200ms);
    CHECK_FALSE(gate.client->lease_valid());
    CHECK_FALSE(gate.client->current());
    driver.apply(sample_declarations());
    CHECK(until([&] { return gate.client->lease_valid(); }));
    CHECK(gate.client->current()->preset_in_force == preset_id("ordinary"));
}

// Guards against gates that learn of a change only with their next renewal,
// and against revisions that go back.
TEST_CASE_FIXTURE(loopback_fixture,
                  "control_client_change_is_pushed_and_reported_in_force")
{
    driver.apply(sample_declarations());
    start_nodes(3);
    for (const char* name : {"g1", "g2", "g3"}) {
        start_gate(name);
    }
    REQUIRE(until([&] {
        return std::all_of(gates.begin(), gates.end(), [](const auto& each) {
            return each.second.client->lease_valid();
        });
    }));
    auto& server = *nodes[0].server;
    REQUIRE(until([&] { return server.in_force({1}); }));
    for (std::uint64_t i = 1; i <= 20; ++i) {
        std::optional<bool> reached;
        server.submit(
            use_preset{.origin = tests::log_driver::origin(
                           "change" + std::to_string(i), i),
                       .preset = preset_id(i % 2 == 0 ? "peak" : "ordinary")},
            [&, i](const result<command_response>& response) {
                REQUIRE(response);
                REQUIRE(response.value().ok);
                CHECK_FALSE(server.in_force({i + 1}));
                server.wait_in_force({i + 1}, 2s,
                                     [&](bool is) { reached = is; });
            });
        REQUIRE(until([&] { return reached.has_value(); }));
        CHECK(*reached);
        for (const auto& [name, gate] : gates) {
            CHECK(gate.client->current()->revision.value == i + 1);
        }
    }
    for (const auto& [name, gate] : gates) {
        CHECK(std::is_sorted(gate.revisions.begin(), gate.revisions.end()));
        CHECK(gate.revisions.size() == 21);
    }
}

// Guards against a gate that admits work under an old preset after it lost
// contact, and against a report "in force" before that lease is over.
TEST_CASE_FIXTURE(loopback_fixture,
                  "control_client_cut_off_lease_ends_before_in_force")
{
    driver.apply(sample_declarations());
    start_nodes(1);
    auto& cut = start_gate("g1");
    auto& served = start_gate("g2");
    REQUIRE(until([&] {
        return cut.client->lease_valid() && served.client->lease_valid() &&
               nodes[0].server->in_force({1});
    }));
    cut.hub->remove_peer(node_id("c1"));
    driver.use("peak", "change", 1);
    bool valid_when_in_force = true;
    bool reached = false;
    nodes[0].server->wait_in_force({2}, 3s, [&](bool is) {
        reached = is;
        valid_when_in_force = cut.client->lease_valid();
    });
    REQUIRE(until([&] { return reached; }));
    CHECK_FALSE(valid_when_in_force);
    CHECK(cut.client->current()->revision.value == 1);
    CHECK(served.client->current()->revision.value == 2);
    CHECK(served.client->lease_valid());
}

TEST_CASE_FIXTURE(loopback_fixture,
                  "control_client_leader_without_lease_grants_nothing")
{
    driver.apply(sample_declarations());
    start_nodes(1);
    nodes[0].log->lease = false;
    auto& gate = start_gate("g1");
    run_for(300ms);
    CHECK_FALSE(gate.client->lease_valid());
    CHECK_FALSE(nodes[0].server->leads());
}

TEST_CASE_FIXTURE(loopback_fixture,
                  "control_client_leadership_moves_lease_goes_on")
{
    driver.apply(sample_declarations());
    start_nodes(3);
    auto& gate = start_gate("g1");
    REQUIRE(until([&] { return gate.client->lease_valid(); }));
    int round = 0;
    for (std::size_t to : {1u, 2u, 0u, 2u}) {
        move_leadership(to);
        const auto name = node_id("c" + std::to_string(to + 1));
        CHECK(until([&] { return gate.client->leader() == name; }));
        CHECK(gate.client->lease_valid());
        CHECK(decide(gate, "key" + std::to_string(++round)) ==
              decision_kind::run);
    }
}

TEST_CASE_FIXTURE(loopback_fixture,
                  "control_client_call_runs_once_then_answers")
{
    driver.apply(sample_declarations());
    start_nodes(3);
    auto& g1 = start_gate("g1");
    auto& g2 = start_gate("g2");
    const auto first = begin(g1, "k");
    REQUIRE(first);
    REQUIRE(first.value().kind == decision_kind::run);
    CHECK(first.value().ticket.gate == node_id("g1"));
    CHECK(decide(g2, "k") == decision_kind::in_progress);
    CHECK(decide(g1, "k") == decision_kind::in_progress);
    REQUIRE(complete(g1, first.value().ticket));
    const auto again = begin(g2, "k");
    REQUIRE(again);
    CHECK(again.value().kind == decision_kind::answered);
    CHECK(again.value().answer == stored_answer{201, {}, "booked"});
    const auto foreign = complete(g2, again.value().ticket);
    CHECK_FALSE(foreign);
    control::call_begin undeclared;
    undeclared.service = service_id("hotel");
    std::optional<errc> refused;
    g1.client->begin_call(undeclared, 1s, [&](result<call_decision> r) {
        refused = r.error().code;
    });
    CHECK(until([&] { return refused == errc::not_found; }));
}

// Guards against "not run" for a call whose intent was committed before its
// answer got lost: the resend must find its own intent.
TEST_CASE_FIXTURE(loopback_fixture,
                  "control_client_answer_lost_resend_gets_same_decision")
{
    driver.apply(sample_declarations());
    start_nodes(2);
    auto& gate = start_gate("g1");
    REQUIRE(until([&] { return gate.client->lease_valid(); }));
    nodes[0].log->lose_answers = true;
    net::timer repair(loop, [&] { nodes[0].log->lose_answers = false; });
    repair.start_once(150ms);
    const auto decision = begin(gate, "k");
    REQUIRE(decision);
    CHECK(decision.value().kind == decision_kind::run);
    nodes[0].log->lose_answers = true;
    net::timer move(loop, [&] { move_leadership(1); });
    move.start_once(150ms);
    CHECK(complete(gate, decision.value().ticket));
    CHECK(decide(gate, "k") == decision_kind::answered);
}

// Guards against a key that stays open for ever because the gate gave up
// while the leader was away.
TEST_CASE_FIXTURE(loopback_fixture,
                  "control_client_deadline_passed_attempt_is_aborted")
{
    driver.apply(sample_declarations());
    start_nodes(1);
    auto& gate = start_gate("g1");
    auto& other = start_gate("g2");
    REQUIRE(until([&] { return gate.client->lease_valid(); }));
    nodes[0].log->lose_answers = true;
    const auto lost = begin(gate, "k", 200ms);
    REQUIRE_FALSE(lost);
    CHECK(lost.error().code == errc::deadline_exceeded);
    nodes[0].log->lose_answers = false;
    auto decided = decision_kind::in_progress;
    CHECK(until([&] {
        if (decided == decision_kind::in_progress) {
            decided = decide(other, "k");
        }
        return decided != decision_kind::in_progress;
    }));
    CHECK(decided == decision_kind::run);
}

TEST_CASE_FIXTURE(loopback_fixture,
                  "control_client_no_replica_reports_deadline")
{
    start_nodes(1);
    auto& gate = start_gate("g1");
    REQUIRE(until([&] { return gate.hub->is_up(node_id("c1")); }));
    gate.hub->remove_peer(node_id("c1"));
    const auto missing = begin(gate, "k", 100ms);
    REQUIRE_FALSE(missing);
    CHECK(missing.error().code == errc::deadline_exceeded);
}

// Guards against a second dispatch after the loss of the gate that held the
// intent.
TEST_CASE_FIXTURE(loopback_fixture,
                  "control_server_lost_gate_calls_are_unknown")
{
    driver.apply(sample_declarations());
    start_nodes(1);
    auto& g1 = start_gate("g1", 1);
    auto& g2 = start_gate("g2");
    REQUIRE(decide(g1, "silent") == decision_kind::run);
    SUBCASE("silent")
    {
        stop_gate("g1");
        CHECK(decide(g2, "silent") == decision_kind::in_progress);
        CHECK(until(
            [&] { return decide(g2, "silent") == decision_kind::unknown; }));
    }
    SUBCASE("restarted")
    {
        stop_gate("g1");
        auto& restarted = start_gate("g1", 2);
        CHECK(until(
            [&] {
                return decide(restarted, "silent") == decision_kind::unknown;
            },
            300ms));
    }
    SUBCASE("new leader")
    {
        stop_gate("g1");
        nodes[0].log->set_leader(false);
        nodes[0].log->set_leader(true);
        CHECK(until(
            [&] { return decide(g2, "silent") == decision_kind::unknown; }));
    }
}

// Guards against one gate that acts for another.
TEST_CASE_FIXTURE(loopback_fixture, "control_server_foreign_gate_is_refused")
{
    driver.apply(sample_declarations());
    start_nodes(1);
    auto& g1 = start_gate("g1");
    start_gate("g2");
    REQUIRE(until([&] { return g1.client->lease_valid(); }));
    std::optional<errc> renewal;
    std::optional<errc> journal_call;
    gates.at("g2").hub->call<gate_renew, gate_grant>(
        node_id("c1"), {node_id("g1"), {1}, {1}}, 1s,
        [&](const result<gate_grant>& r) { renewal = r.error().code; });
    call_begin request;
    request.ticket.gate = node_id("g1");
    gates.at("g2").hub->call<call_begin, call_decision>(
        node_id("c1"), request, 1s,
        [&](const result<call_decision>& r) { journal_call = r.error().code; });
    CHECK(until([&] { return renewal && journal_call; }));
    CHECK(renewal == errc::permission_denied);
    CHECK(journal_call == errc::permission_denied);
}

TEST_CASE_FIXTURE(loopback_fixture, "control_server_time_advances_with_entries")
{
    driver.apply(sample_declarations());
    start_nodes(1);
    run_for(150ms);
    CHECK(state.time_ms() == 0);
    auto& gate = start_gate("g1");
    REQUIRE(decide(gate, "k") == decision_kind::run);
    CHECK(until([&] { return state.time_ms() > 100; }));
}
