#include <bamboogate/routing/upstream_table.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "routing/support/announcements.hpp"

using namespace bamboogate;
using namespace bamboogate::routing;
using namespace std::chrono_literals;
using bamboogate::routing::testing::engine_announcement;

namespace {

const std::vector<node_id> three_gates{node_id("g1"), node_id("g2"),
                                       node_id("g3")};

class table_fixture
{
public:
    time_point now{1h};
    upstream_table table{{.self = node_id("g1"), .gates = three_gates}};
    const upstream_id engine{"e"};

    upstream_table make(const std::string& self) const
    {
        return upstream_table({.self = node_id(self), .gates = three_gates});
    }
};

} // namespace

// Guards against an older announcement replacing a newer one, in any order of
// arrival.
TEST_CASE_FIXTURE(table_fixture, "upstream_table_newest_announcement_wins")
{
    struct step
    {
        std::uint64_t engine_incarnation;
        std::uint64_t sequence;
        update_result expected;
    };
    const step steps[] = {
        {2, 5, update_result::accepted}, {2, 5, update_result::stale},
        {2, 4, update_result::stale},    {1, 900, update_result::stale},
        {2, 6, update_result::accepted}, {3, 1, update_result::accepted},
        {2, 7, update_result::stale},
    };
    for (const step& item : steps) {
        CAPTURE(item.engine_incarnation);
        CAPTURE(item.sequence);
        CHECK(table.announce(engine_announcement("e", item.engine_incarnation,
                                                 item.sequence),
                             now) == item.expected);
    }
    CHECK(table.find(engine)->position() == announcement_position{{3}, 1});
}

// Guards against an upstream that left getting work again because of an
// announcement that arrives after its leave.
TEST_CASE_FIXTURE(table_fixture, "upstream_table_leave_covers_the_incarnation")
{
    table.announce(engine_announcement("e", 2, 5), now);
    CHECK(table.leave(engine, incarnation{2}, now) == update_result::accepted);
    CHECK(table.find(engine) == nullptr);
    CHECK(table.announce(engine_announcement("e", 2, 99), now) ==
          update_result::stale);
    CHECK(table.announce(engine_announcement("e", 1, 99), now) ==
          update_result::stale);
    CHECK(table.announce(engine_announcement("e", 3, 1), now) ==
          update_result::accepted);
}

// Guards against a late leave removing an upstream that has restarted.
TEST_CASE_FIXTURE(table_fixture,
                  "upstream_table_leave_of_old_incarnation_keeps_new")
{
    table.announce(engine_announcement("e", 3, 1), now);
    table.leave(engine, incarnation{2}, now);
    REQUIRE(table.find(engine) != nullptr);
    CHECK(table.find(engine)->latest.incarnation == incarnation{3});
}

// Guards against an upstream that left being added by an announcement that was
// sent before the leave and arrives after it.
TEST_CASE_FIXTURE(table_fixture,
                  "upstream_table_leave_before_announcement_rejects_it")
{
    table.leave(engine, incarnation{2}, now);
    CHECK(table.announce(engine_announcement("e", 2, 1), now) ==
          update_result::stale);
}

// Guards against memory that grows with the number of departures.
TEST_CASE_FIXTURE(table_fixture, "upstream_table_tombstones_are_bounded")
{
    table.leave(engine, incarnation{1}, now);
    CHECK(table.tombstones() == 1);
    table.expire(now + 11min);
    CHECK(table.tombstones() == 0);
    upstream_table small(
        {.self = node_id("g1"), .gates = three_gates, .max_tombstones = 4});
    for (int i = 0; i < 10; ++i) {
        small.leave(upstream_id(std::to_string(i)), incarnation{1}, now);
    }
    CHECK(small.tombstones() == 4);
}

// Guards against an announcement created before the drain that undoes it.
TEST_CASE_FIXTURE(table_fixture,
                  "upstream_table_drain_lasts_for_the_incarnation")
{
    announcement draining = engine_announcement("e", 1, 2);
    draining.draining = true;
    table.announce(engine_announcement("e", 1, 1), now);
    CHECK(table.find(engine)->accepts_work());
    table.announce(draining, now);
    CHECK_FALSE(table.find(engine)->accepts_work());
    table.announce(engine_announcement("e", 1, 3), now);
    CHECK_FALSE(table.find(engine)->accepts_work());
    table.announce(engine_announcement("e", 2, 1), now);
    CHECK(table.find(engine)->accepts_work());
}

// Guards against an isolated gate removing all upstreams.
TEST_CASE_FIXTURE(table_fixture, "upstream_table_isolated_gate_keeps_its_table")
{
    table.announce(engine_announcement("e", 1, 1), now);
    for (int i = 0; i < 100; ++i) {
        now += 1s;
        table.expire(now);
    }
    REQUIRE(table.find(engine) != nullptr);
    CHECK(table.find(engine)->suspected);
}

TEST_CASE_FIXTURE(table_fixture, "upstream_table_majority_suspicion_removes")
{
    table.announce(engine_announcement("e", 1, 1), now);
    now += 3s;
    table.expire(now);
    REQUIRE(table.find(engine) != nullptr);
    table.receive_suspicions(node_id("g2"), {{engine, {{1}, 1}}}, now);
    table.expire(now);
    CHECK(table.find(engine) == nullptr);
    // The same incarnation may return with a newer announcement, for example
    // after it was paused.
    CHECK(table.announce(engine_announcement("e", 1, 1), now) ==
          update_result::stale);
    CHECK(table.announce(engine_announcement("e", 1, 2), now) ==
          update_result::accepted);
}

// Guards against counting votes that are outdated, withdrawn, expired or from
// unknown gates.
TEST_CASE_FIXTURE(table_fixture, "upstream_table_invalid_votes_remove_nothing")
{
    table.announce(engine_announcement("e", 1, 5), now);
    SUBCASE("an upstream that announces itself to this gate")
    {
        table.receive_suspicions(node_id("g2"), {{engine, {{1}, 5}}}, now);
        table.receive_suspicions(node_id("g3"), {{engine, {{1}, 5}}}, now);
        table.expire(now + 1s);
    }
    SUBCASE("a vote on an older announcement")
    {
        now += 3s;
        const auto newer =
            table.receive_suspicions(node_id("g2"), {{engine, {{1}, 4}}}, now);
        CHECK(newer == std::vector<upstream_id>{engine});
        table.expire(now);
    }
    SUBCASE("a gate that is not configured")
    {
        now += 3s;
        table.receive_suspicions(node_id("x"), {{engine, {{1}, 5}}}, now);
        table.expire(now);
    }
    SUBCASE("a vote that was withdrawn")
    {
        now += 3s;
        table.receive_suspicions(node_id("g2"), {{engine, {{1}, 5}}}, now);
        table.receive_suspicions(node_id("g2"), {}, now);
        table.expire(now);
    }
    SUBCASE("a vote that expired")
    {
        table.receive_suspicions(node_id("g2"), {{engine, {{1}, 5}}}, now);
        now += 4s;
        table.expire(now);
    }
    CHECK(table.find(engine) != nullptr);
}

// Guards against an isolated gate's table restoring upstreams that the other
// gates have removed.
TEST_CASE_FIXTURE(table_fixture,
                  "upstream_table_merge_ignores_expired_unknown_upstream")
{
    upstream_table other = make("g2");
    other.announce(engine_announcement("e", 1, 1), now);
    now += 5s;
    CHECK(table.merge(other.changes_since(0, now), now) == 0);
    CHECK(table.find(engine) == nullptr);
}

// Guards against forwarded state extending the time until suspicion.
TEST_CASE_FIXTURE(table_fixture, "upstream_table_merge_keeps_the_age")
{
    upstream_table other = make("g2");
    other.announce(engine_announcement("e", 1, 1), now);
    now += 2s;
    table.merge(other.changes_since(0, now), now);
    table.expire(now + 500ms);
    CHECK_FALSE(table.find(engine)->suspected);
    table.expire(now + 1s);
    CHECK(table.find(engine)->suspected);
}

// Guards against a full table rejecting updates of known upstreams.
TEST_CASE_FIXTURE(table_fixture, "upstream_table_full_refuses_unknown_only")
{
    upstream_table small(
        {.self = node_id("g1"), .gates = three_gates, .max_upstreams = 1});
    small.announce(engine_announcement("e", 1, 1), now);
    CHECK(small.announce(engine_announcement("f", 1, 1), now) ==
          update_result::table_full);
    CHECK(small.announce(engine_announcement("e", 1, 2), now) ==
          update_result::accepted);
}

// Guards against permanent divergence after deltas were concurrent, lost,
// repeated or reordered: after one full exchange all tables are equal.
TEST_CASE_FIXTURE(table_fixture, "upstream_table_concurrent_deltas_converge")
{
    for (unsigned seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        std::vector<upstream_table> tables;
        tables.reserve(three_gates.size());
        for (const node_id& gate : three_gates) {
            tables.push_back(make(gate.value()));
        }
        std::vector<table_delta> in_flight;
        for (int i = 0; i < 300; ++i) {
            now += 1ms;
            upstream_table& chosen_table = tables[random() % 3];
            const std::string id = std::to_string(random() % 6);
            const std::uint64_t engine_incarnation = 1 + random() % 3;
            switch (random() % 4) {
            case 0:
                chosen_table.leave(upstream_id(id),
                                   incarnation{engine_incarnation}, now);
                break;
            case 1:
                in_flight.push_back(chosen_table.changes_since(
                    random() % (chosen_table.version() + 1), now));
                break;
            case 2:
                if (!in_flight.empty()) {
                    chosen_table.merge(in_flight[random() % in_flight.size()],
                                       now);
                }
                break;
            default:
                chosen_table.announce(
                    engine_announcement(id, engine_incarnation, random() % 50),
                    now);
            }
        }
        std::vector<table_delta> full;
        full.reserve(tables.size());
        for (const upstream_table& item : tables) {
            full.push_back(item.changes_since(0, now));
        }
        for (upstream_table& item : tables) {
            std::shuffle(full.begin(), full.end(), random);
            for (const table_delta& delta : full) {
                item.merge(delta, now);
            }
        }
        for (const upstream_table& item : tables) {
            REQUIRE(item.records().size() == tables[0].records().size());
            for (const auto& [id, record] : item.records()) {
                const auto* reference = tables[0].find(id);
                REQUIRE(reference != nullptr);
                CHECK(reference->position() == record.position());
                CHECK(reference->latest.draining == record.latest.draining);
            }
        }
    }
}
