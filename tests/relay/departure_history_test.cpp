#include <bamboogate/relay/configuration_store.hpp>

#include <doctest/doctest.h>

#include <vector>

using namespace bamboogate;
using namespace bamboogate::relay;

namespace {

struct departure_fixture
{
    configuration_store store;
    std::vector<departed_starts> reported;

    departure_fixture()
    {
        store.departures().on_added([this](const departed_starts& added) {
            reported.push_back(added);
        });
    }
    void apply(const std::string& command) { store.apply({}, command); }
    void add(const char* id, std::uint64_t started_at)
    {
        apply(departure_history::encode_add(upstream_id(id), started_at));
    }
    [[nodiscard]] bool contains(const char* id, std::uint64_t started_at) const
    {
        return store.departures().contains(upstream_id(id), started_at);
    }
};

} // namespace

// Guards against a later start of an upstream that counts as departed, and
// against an earlier one that doesn't.
TEST_CASE_FIXTURE(departure_fixture,
                  "departure_history_covers_the_start_and_earlier_ones")
{
    add("e1", 20);
    add("e1", 10);
    CHECK(contains("e1", 20));
    CHECK(contains("e1", 10));
    CHECK_FALSE(contains("e1", 21));
    CHECK_FALSE(contains("e2", 1));
    CHECK(reported.size() == 1);
}

// Guards against a removal that takes the departure of a later start with it.
TEST_CASE_FIXTURE(departure_fixture,
                  "departure_history_removal_keeps_later_starts")
{
    add("e1", 10);
    add("e2", 10);
    add("e2", 20);
    apply(departure_history::encode_remove(
        {{upstream_id("e1"), 10}, {upstream_id("e2"), 10}}));
    CHECK_FALSE(contains("e1", 10));
    CHECK(contains("e2", 20));
}

// Guards against departures that are lost with the log that a snapshot
// replaces.
TEST_CASE_FIXTURE(departure_fixture,
                  "departure_history_is_restored_from_a_snapshot")
{
    add("e1", 10);
    const std::string snapshot = store.snapshot();
    departure_fixture other;
    REQUIRE(other.store.restore(snapshot));
    CHECK(other.contains("e1", 10));
    CHECK(other.reported ==
          std::vector<departed_starts>{{{upstream_id("e1"), 10}}});
    // Another part of the state is not affected.
    CHECK(other.store.current()->version == 0);
}
