#include <bamboogate/routing/upstream_table.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "routing/support/announcements.hpp"

using namespace bamboogate;
using namespace bamboogate::routing;
using namespace std::chrono_literals;
using bamboogate::routing::testing::engine_news;

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

// Guards against old news overwriting newer news, in every order of arrival.
TEST_CASE_FIXTURE(table_fixture, "upstream_table_news_order_newest_prevails")
{
    struct step
    {
        std::uint64_t life;
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
        CAPTURE(item.life);
        CAPTURE(item.sequence);
        CHECK(table.announce(engine_news("e", item.life, item.sequence), now) ==
              item.expected);
    }
    CHECK(table.find(engine)->position() == announcement_position{{3}, 1});
}

// Guards against an upstream that left getting work again because a late
// announcement arrives after its leave.
TEST_CASE_FIXTURE(table_fixture, "upstream_table_leave_voids_the_incarnation")
{
    table.announce(engine_news("e", 2, 5), now);
    CHECK(table.leave(engine, incarnation{2}, now) == update_result::accepted);
    CHECK(table.find(engine) == nullptr);
    CHECK(table.announce(engine_news("e", 2, 99), now) == update_result::stale);
    CHECK(table.announce(engine_news("e", 1, 99), now) == update_result::stale);
    CHECK(table.announce(engine_news("e", 3, 1), now) ==
          update_result::accepted);
}

TEST_CASE_FIXTURE(table_fixture, "upstream_table_leave_of_old_life_keeps_new")
{
    table.announce(engine_news("e", 3, 1), now);
    table.leave(engine, incarnation{2}, now);
    REQUIRE(table.find(engine) != nullptr);
    CHECK(table.find(engine)->latest.incarnation == incarnation{3});
}

TEST_CASE_FIXTURE(table_fixture, "upstream_table_leave_before_news_still_voids")
{
    table.leave(engine, incarnation{2}, now);
    CHECK(table.announce(engine_news("e", 2, 1), now) == update_result::stale);
}

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

// Guards against an announcement that was built before the drain undoing it.
TEST_CASE_FIXTURE(table_fixture, "upstream_table_drain_lasts_for_the_life")
{
    announcement draining = engine_news("e", 1, 2);
    draining.draining = true;
    table.announce(engine_news("e", 1, 1), now);
    CHECK(table.find(engine)->accepts_work());
    table.announce(draining, now);
    CHECK_FALSE(table.find(engine)->accepts_work());
    table.announce(engine_news("e", 1, 3), now);
    CHECK_FALSE(table.find(engine)->accepts_work());
    table.announce(engine_news("e", 2, 1), now);
    CHECK(table.find(engine)->accepts_work());
}

// Guards against a gate that is cut off emptying its table.
TEST_CASE_FIXTURE(table_fixture, "upstream_table_cut_off_gate_keeps_its_table")
{
    table.announce(engine_news("e", 1, 1), now);
    for (int i = 0; i < 100; ++i) {
        now += 1s;
        table.expire(now);
    }
    REQUIRE(table.find(engine) != nullptr);
    CHECK(table.find(engine)->suspected);
}

TEST_CASE_FIXTURE(table_fixture, "upstream_table_majority_suspicion_removes")
{
    table.announce(engine_news("e", 1, 1), now);
    now += 3s;
    table.expire(now);
    REQUIRE(table.find(engine) != nullptr);
    table.receive_suspicions(node_id("g2"), {{engine, {{1}, 1}}}, now);
    table.expire(now);
    CHECK(table.find(engine) == nullptr);
    // The same life may return with newer news: it was only paused.
    CHECK(table.announce(engine_news("e", 1, 1), now) == update_result::stale);
    CHECK(table.announce(engine_news("e", 1, 2), now) ==
          update_result::accepted);
}

// Guards against each kind of vote that must not count.
TEST_CASE_FIXTURE(table_fixture, "upstream_table_void_votes_remove_nothing")
{
    table.announce(engine_news("e", 1, 5), now);
    SUBCASE("an upstream that this gate hears")
    {
        table.receive_suspicions(node_id("g2"), {{engine, {{1}, 5}}}, now);
        table.receive_suspicions(node_id("g3"), {{engine, {{1}, 5}}}, now);
        table.expire(now + 1s);
    }
    SUBCASE("a vote on older news")
    {
        now += 3s;
        const auto newer =
            table.receive_suspicions(node_id("g2"), {{engine, {{1}, 4}}}, now);
        CHECK(newer == std::vector<upstream_id>{engine});
        table.expire(now);
    }
    SUBCASE("a gate outside the settings")
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
    SUBCASE("a vote that lapsed with its gate")
    {
        table.receive_suspicions(node_id("g2"), {{engine, {{1}, 5}}}, now);
        now += 4s;
        table.expire(now);
    }
    CHECK(table.find(engine) != nullptr);
}

// Guards against the table of a gate that was cut off bringing back upstreams
// that the others have removed.
TEST_CASE_FIXTURE(table_fixture, "upstream_table_merge_ignores_aged_unknowns")
{
    upstream_table other = make("g2");
    other.announce(engine_news("e", 1, 1), now);
    now += 5s;
    CHECK(table.merge(other.changes_since(0, now), now) == 0);
    CHECK(table.find(engine) == nullptr);
}

TEST_CASE_FIXTURE(table_fixture, "upstream_table_merge_carries_silence_over")
{
    upstream_table other = make("g2");
    other.announce(engine_news("e", 1, 1), now);
    now += 2s;
    table.merge(other.changes_since(0, now), now);
    table.expire(now + 500ms);
    CHECK_FALSE(table.find(engine)->suspected);
    table.expire(now + 1s);
    CHECK(table.find(engine)->suspected);
}

TEST_CASE_FIXTURE(table_fixture, "upstream_table_full_refuses_unknown_only")
{
    upstream_table small(
        {.self = node_id("g1"), .gates = three_gates, .max_upstreams = 1});
    small.announce(engine_news("e", 1, 1), now);
    CHECK(small.announce(engine_news("f", 1, 1), now) ==
          update_result::table_full);
    CHECK(small.announce(engine_news("e", 1, 2), now) ==
          update_result::accepted);
}

// Guards against gates that differ for ever after deltas crossed, were lost,
// repeated or reordered: after one full exchange all tables are alike.
TEST_CASE_FIXTURE(table_fixture, "upstream_table_crossing_deltas_converge")
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
            upstream_table& table_here = tables[random() % 3];
            const std::string id = std::to_string(random() % 6);
            const std::uint64_t life = 1 + random() % 3;
            switch (random() % 4) {
            case 0:
                table_here.leave(upstream_id(id), incarnation{life}, now);
                break;
            case 1:
                in_flight.push_back(table_here.changes_since(
                    random() % (table_here.version() + 1), now));
                break;
            case 2:
                if (!in_flight.empty()) {
                    table_here.merge(in_flight[random() % in_flight.size()],
                                     now);
                }
                break;
            default:
                table_here.announce(engine_news(id, life, random() % 50), now);
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
                const auto* same = tables[0].find(id);
                REQUIRE(same != nullptr);
                CHECK(same->position() == record.position());
                CHECK(same->latest.draining == record.latest.draining);
            }
        }
    }
}
