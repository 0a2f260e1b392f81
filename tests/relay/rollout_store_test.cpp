#include <bamboogate/relay/configuration_store.hpp>

#include <doctest/doctest.h>

using namespace bamboogate;
using namespace bamboogate::relay;
using rollout::rollout_phase;
using rollout::rollout_record;

namespace {

struct store_fixture
{
    configuration_store store;
    std::uint64_t index = 0;

    std::string begin(const char* target)
    {
        return store.apply(
            {1, ++index},
            rollout_store::encode_begin({.number = 99,
                                         .service = service_id("gen"),
                                         .target = software_version(target),
                                         .duration_ms = 12000,
                                         .phase = 3,
                                         .trial_share = 0.05,
                                         .reason = "r"}));
    }
    void change(std::uint64_t number, rollout_phase phase)
    {
        (void)store.apply({1, ++index},
                          rollout_store::encode_change(
                              {.service = service_id("gen"),
                               .number = number,
                               .phase = static_cast<std::uint8_t>(phase),
                               .reason = "because",
                               .superseded = {software_version("v1")}}));
    }
    [[nodiscard]] const rollout_record& record() const
    {
        const auto* found = store.rollouts().find(service_id("gen"));
        REQUIRE(found != nullptr);
        return *found;
    }
    [[nodiscard]] rollout_phase phase() const
    {
        return record().current_phase();
    }
};

} // namespace

// Guards against replicas that number or begin the same rollout differently.
TEST_CASE_FIXTURE(store_fixture, "begun_rollout_has_the_index_as_its_number")
{
    index = 6;
    CHECK(begin("v2") == "7");
    CHECK(record().number == 7);
    CHECK(phase() == rollout_phase::trial);
    CHECK(record().reason.empty());
    CHECK(begin("v3") == "7");
    CHECK(record().target == software_version("v2"));
}

// Guards against a decision that comes late, from a replaced leader or on an
// earlier rollout, and reverts an acknowledged one.
TEST_CASE_FIXTURE(store_fixture, "phase_changes_to_legal_successors_only")
{
    begin("v2");
    change(1, rollout_phase::completed);
    change(2, rollout_phase::shifting);
    CHECK(phase() == rollout_phase::trial);
    change(1, rollout_phase::shifting);
    CHECK(phase() == rollout_phase::shifting);
    CHECK(record().superseded == std::vector{software_version("v1")});
    change(1, rollout_phase::trial);
    CHECK(phase() == rollout_phase::shifting);
    change(1, rollout_phase::completed);
    CHECK(record().reason == "because");
    for (const auto next :
         {rollout_phase::rolled_back, rollout_phase::shifting,
          rollout_phase::trial, static_cast<rollout_phase>(9)}) {
        change(1, next);
        CHECK(phase() == rollout_phase::completed);
    }
    const auto number = index + 1;
    begin("v3");
    CHECK(record().number == number);
    CHECK(record().superseded.empty());
    change(1, rollout_phase::rolled_back);
    CHECK(phase() == rollout_phase::trial);
    change(number, rollout_phase::rolled_back);
    CHECK(phase() == rollout_phase::rolled_back);
}

// Guards against a rollout that is lost with the log that a snapshot replaces,
// and against an older snapshot that reverts it.
TEST_CASE_FIXTURE(store_fixture, "snapshot_round_trip_keeps_the_newer_rollouts")
{
    (void)store.apply({1, ++index}, configuration_store::encode_command(
                                        {.version = 3, .text = "three"}));
    begin("v2");
    const std::string older = store.snapshot();
    change(2, rollout_phase::shifting);
    configuration_store copy;
    REQUIRE(copy.restore(store.snapshot()));
    CHECK(copy.current()->text == "three");
    CHECK(copy.rollouts().records() == store.rollouts().records());
    REQUIRE(copy.restore(older));
    CHECK(copy.rollouts().records() == store.rollouts().records());
}

// Guards against an update of the programs that can't read what the earlier
// build has stored, or whose data the earlier build can't read.
TEST_CASE_FIXTURE(store_fixture, "states_of_earlier_builds_are_compatible")
{
    const configuration_document document{.version = 3, .text = "three"};
    const std::string bare = encode_cbor(json(document));
    REQUIRE(store.restore(bare));
    CHECK(store.current()->version == 3);
    CHECK(store.snapshot() == bare);
    begin("v2");
    const auto command = decode_cbor(rollout_store::encode_begin(record()));
    REQUIRE(command);
    CHECK_FALSE(from_document<store_configuration>(command.value()));
    const auto snapshot = decode_cbor(store.snapshot());
    REQUIRE(snapshot);
    const auto read = from_document<configuration_document>(snapshot.value());
    REQUIRE(read);
    CHECK(read.value().text == "three");
}

// Guards against a replica that stops on, or takes over, a broken command.
TEST_CASE_FIXTURE(store_fixture, "malformed_rollout_command_is_ignored")
{
    for (const json& command :
         {json{{"rollout_begin", 7}}, json{{"rollout_change", json::object()}},
          json{{"rollout_begin", {{"target", "v2"}}}}}) {
        CHECK(store.apply({1, ++index}, encode_cbor(command)) == "0");
    }
    CHECK(store.rollouts().records().empty());
}
