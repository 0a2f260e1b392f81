#include <doctest/doctest.h>

#include <string>

#include "support/samples.hpp"

using namespace bamboogate;
using namespace bamboogate::control;
using bamboogate::tests::log_driver;
using bamboogate::tests::sample_declarations;

namespace {

class machine_fixture
{
public:
    state_machine state;
    log_driver log{state};

    machine_fixture() { REQUIRE(log.apply(sample_declarations()).ok); }

    [[nodiscard]] std::string preset_in_force() const
    {
        return state.current().preset_in_force.value();
    }
};

} // namespace

TEST_CASE_FIXTURE(machine_fixture, "state_machine_first_apply_sets_preset")
{
    CHECK(state.current().revision == revision{1});
    CHECK(preset_in_force() == "ordinary");
    CHECK(state.history().size() == 1);
    CHECK(state.history().front().operator_id == "ana");
}

// Guards against two winners, or none, when both offices write the same
// revision.
TEST_CASE_FIXTURE(machine_fixture,
                  "state_machine_two_operators_equal_revision_one_wins")
{
    const char* presets[] = {"ordinary", "peak", "maintenance"};
    for (std::uint64_t round = 0; round < 500; ++round) {
        const std::uint64_t based_on = state.current().revision.value;
        const std::string first = "a" + std::to_string(round);
        const std::string second = "b" + std::to_string(round);
        const std::string wanted = presets[round % 3];
        const bool swap = round % 2 == 1;
        const auto won = log.use(wanted, swap ? second : first, based_on,
                                 swap ? "ben" : "ana");
        const auto lost =
            log.use(presets[(round + 1) % 3], swap ? first : second, based_on,
                    swap ? "ana" : "ben");
        REQUIRE(won.ok);
        REQUIRE_FALSE(lost.ok);
        CHECK(lost.code == errc::conflict);
        CHECK(lost.body["winner"]["operation"] == (swap ? second : first));
        CHECK(lost.body["winner"]["operator_id"] == (swap ? "ben" : "ana"));
        CHECK(state.current().revision.value == based_on + 1);
        CHECK(preset_in_force() == wanted);
    }
}

// Guards against a second effect, or another answer, when an operator resends
// after a lost answer, hundreds of changes and a restart from a snapshot.
TEST_CASE_FIXTURE(machine_fixture,
                  "state_machine_resend_after_many_changes_first_answer")
{
    const auto first = log.use("peak", "early", 1);
    const auto refused = log.use("ordinary", "early-loser", 1, "ben");
    REQUIRE(first.ok);
    REQUIRE_FALSE(refused.ok);
    for (std::uint64_t i = 0; i < 600; ++i) {
        REQUIRE(log.use(i % 2 == 0 ? "ordinary" : "peak",
                        "change" + std::to_string(i),
                        state.current().revision.value)
                    .ok);
    }
    state_machine restored;
    REQUIRE(restored.restore(state.snapshot()));
    log_driver after(restored);
    after.index = log.index;
    const auto revision_before = restored.current().revision;
    auto resent = use_preset{.origin = log_driver::origin("early", 1),
                             .preset = preset_id("peak")};
    // The wall time of a resend differs.
    resent.origin.wall_time_ms = 77;
    const auto again = after.run(resent);
    CHECK(again.ok);
    CHECK(again.body == first.body);
    const auto refused_again = after.use("ordinary", "early-loser", 1, "ben");
    CHECK_FALSE(refused_again.ok);
    CHECK(refused_again.body == refused.body);
    CHECK(restored.current().revision == revision_before);
    CHECK(restored.snapshot().size() > 0);
}

TEST_CASE_FIXTURE(machine_fixture,
                  "state_machine_operation_id_for_other_change_refused")
{
    REQUIRE(log.use("peak", "one", 1).ok);
    const auto reused = log.use("ordinary", "one", 2);
    CHECK(reused.code == errc::key_reused);
    CHECK(log.use("peak", "one", 1, "ben").code == errc::key_reused);
    CHECK(preset_in_force() == "peak");
}

// Guards against unbounded growth, and against refusals that push out the
// answers of accepted changes.
TEST_CASE_FIXTURE(machine_fixture, "state_machine_operations_stay_bounded")
{
    auto declared = sample_declarations();
    declared.limits.operations = 256;
    declared.limits.refused_operations = 64;
    declared.limits.history = 16;
    REQUIRE(log.apply(declared, "bounds", 1).ok);
    const auto accepted = log.use("peak", "kept", 2);
    for (int i = 0; i < 1000; ++i) {
        CHECK_FALSE(log.use("peak", "refused" + std::to_string(i), 1).ok);
    }
    CHECK(log.use("peak", "kept", 2).body == accepted.body);
    CHECK(state.operation_count() <= 256 + 64);
    for (std::uint64_t i = 0; i < 300; ++i) {
        REQUIRE(log.use("peak", "more" + std::to_string(i), 3 + i).ok);
    }
    CHECK(state.operation_count() <= 256 + 64);
    CHECK(state.history().size() == 16);
    // Its answer is gone, but the revision still refuses a second effect.
    CHECK(log.use("peak", "kept", 2).code == errc::conflict);
}

TEST_CASE_FIXTURE(machine_fixture, "state_machine_bad_changes_are_refused")
{
    CHECK(log.use("night", "n1", 1).code == errc::not_found);
    auto without_preset = sample_declarations();
    without_preset.presets.erase(without_preset.presets.begin());
    CHECK(log.apply(without_preset, "n2", 1).code == errc::invalid_argument);
    CHECK(log.use("peak", "", 1).code == errc::invalid_argument);
    const auto garbage = decode_response(state.apply({1, 99}, "\xff\x01"));
    REQUIRE(garbage);
    CHECK(garbage.value().code == errc::malformed_input);
    CHECK(state.current().revision == revision{1});
}

TEST_CASE_FIXTURE(machine_fixture, "state_machine_same_commands_same_state")
{
    state_machine other;
    log_driver other_log(other);
    REQUIRE(other_log.apply(sample_declarations()).ok);
    for (auto* each : {&log, &other_log}) {
        each->use("peak", "p", 1);
        each->run(call_begin{.ticket = {.account = client_account_id("small"),
                                        .idempotency_key = "k",
                                        .gate = node_id("g1"),
                                        .gate_incarnation = {1},
                                        .call_number = 1},
                             .service = service_id("booking"),
                             .body_digest = "d"});
        each->run(advance_time{.elapsed_ms = 5000});
    }
    CHECK(state.snapshot() == other.snapshot());
    state_machine restored;
    REQUIRE(restored.restore(state.snapshot()));
    CHECK(restored.snapshot() == state.snapshot());
}

TEST_CASE("state_machine_damaged_snapshot_changes_nothing")
{
    state_machine state;
    log_driver log(state);
    REQUIRE(log.apply(sample_declarations()).ok);
    const std::string good = state.snapshot();
    for (std::size_t size = 0; size < good.size(); size += 97) {
        CHECK_FALSE(state.restore(good.substr(0, size)));
    }
    CHECK(state.snapshot() == good);
}

namespace {

record_order order_to(const std::string& upstream, const std::string& operation)
{
    return {.origin = log_driver::origin(operation, 1),
            .upstream = upstream_id(upstream),
            .address = "127.0.0.1:1",
            .order = {{"load", "draft"}},
            .deadline_ms = 1000};
}

} // namespace

// Guards against two orders under way to one upstream, which an upstream that
// ignores tokens could run in the wrong order.
TEST_CASE_FIXTURE(machine_fixture, "state_machine_one_open_order_per_upstream")
{
    const auto first = log.run(order_to("e1", "o1"));
    REQUIRE(first.ok);
    const auto token = first.body["token"].get<std::uint64_t>();
    CHECK(token == log.index);
    CHECK(log.run(order_to("e1", "o2")).code == errc::in_progress);
    const auto elsewhere = log.run(order_to("e2", "o3"));
    REQUIRE(elsewhere.ok);
    CHECK(elsewhere.body["token"].get<std::uint64_t>() > token);
    CHECK(log.run(order_to("e1", "o1")).body == first.body);
    CHECK(log.run(finish_order{upstream_id("e1"), token + 1, "accepted", 200})
              .code == errc::not_found);
    CHECK(log.run(finish_order{upstream_id("e1"), token, "accepted", 200}).ok);
    const auto next = log.run(order_to("e1", "o4"));
    REQUIRE(next.ok);
    CHECK(next.body["token"].get<std::uint64_t>() > token);
    CHECK(state.ended_orders().size() == 1);
    CHECK(state.open_orders().size() == 2);
}
