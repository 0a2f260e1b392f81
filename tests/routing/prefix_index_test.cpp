#include <bamboogate/routing/prefix_index.hpp>

#include <doctest/doctest.h>

#include <random>
#include <string>

using namespace bamboogate;
using namespace bamboogate::routing;

namespace {

constexpr auto add = cache_event::operation::add;
constexpr auto removal = cache_event::operation::remove;
const upstream_id engine{"e"};

bool holds(const prefix_index& index, std::uint64_t hash)
{
    const std::uint64_t hashes[] = {hash};
    return !index.find(hashes).empty();
}

} // namespace

TEST_CASE("prefix_hashes_common_prefix_gives_common_hashes")
{
    const std::string common(2 * prefix_block_bytes, 'a');
    const std::string block(prefix_block_bytes, 'b');
    const auto left = prefix_hashes(common + block + "tail");
    const auto right = prefix_hashes(common + std::string(300, 'c'));
    REQUIRE(left.size() == 3);
    REQUIRE(right.size() == 3);
    CHECK(left[0] == right[0]);
    CHECK(left[1] == right[1]);
    CHECK(left[2] != right[2]);
    CHECK(left[0] != left[1]);
    CHECK(prefix_hashes(common, 1).size() == 1);
    CHECK(prefix_hashes("short").empty());
}

// Guards against stale entries after a lost removal event.
TEST_CASE("prefix_index_gap_drops_only_that_engine")
{
    prefix_index index;
    const upstream_id other("f");
    index.apply(other, incarnation{1}, {1, {{add, 7}}});
    CHECK(index.apply(engine, incarnation{1}, {1, {{add, 1}, {add, 2}}}));
    CHECK_FALSE(index.apply(engine, incarnation{1}, {5, {{add, 3}}}));
    CHECK_FALSE(holds(index, 1));
    CHECK(holds(index, 3));
    CHECK(holds(index, 7));
}

// Guards against a repeated announcement that restores removed hashes.
TEST_CASE("prefix_index_repeated_events_are_applied_once")
{
    prefix_index index;
    index.apply(engine, incarnation{1}, {1, {{add, 1}, {removal, 1}}});
    CHECK(index.apply(engine, incarnation{1}, {1, {{add, 1}}}));
    CHECK_FALSE(holds(index, 1));
    CHECK(index.apply(engine, incarnation{1}, {2, {{removal, 1}, {add, 2}}}));
    CHECK(holds(index, 2));
}

// Guards against hashes of a cache that was lost in a restart.
TEST_CASE("prefix_index_new_incarnation_starts_empty")
{
    prefix_index index;
    index.apply(engine, incarnation{1}, {1, {{add, 1}}});
    index.apply(engine, incarnation{2}, {});
    CHECK_FALSE(holds(index, 1));
}

TEST_CASE("prefix_index_longest_match_comes_first")
{
    prefix_index index;
    index.apply(engine, incarnation{1}, {1, {{add, 1}}});
    index.apply(upstream_id("f"), incarnation{1}, {1, {{add, 1}, {add, 2}}});
    const std::uint64_t hashes[] = {1, 2, 3};
    const auto matches = index.find(hashes);
    REQUIRE(matches.size() == 2);
    CHECK(matches[0].engine == upstream_id("f"));
    CHECK(matches[0].blocks == 2);
    CHECK(matches[1].blocks == 1);
}

// Guards against memory that grows with the number of events.
TEST_CASE("prefix_index_random_events_stay_within_bounds")
{
    std::mt19937 random(11);
    prefix_index index({.max_hashes_per_engine = 50, .max_hashes = 120});
    std::uint64_t sequence = 1;
    for (int i = 0; i < 20'000; ++i) {
        const upstream_id id(std::to_string(random() % 4));
        const auto op = random() % 3 == 0 ? removal : add;
        index.apply(id, incarnation{1}, {sequence++, {{op, random() % 500}}});
        REQUIRE(index.size() <= 120);
    }
    for (int i = 0; i < 4; ++i) {
        index.drop(upstream_id(std::to_string(i)));
    }
    CHECK(index.size() == 0);
}
