#include <bamboogate/streaming/generation.hpp>

#include <doctest/doctest.h>

#include <random>

using namespace bamboogate;
using namespace bamboogate::streaming;
using event_result = generation::event_result;

namespace {

const node_id owner("gate-1");
const node_id other("gate-2");

class generation_fixture
{
public:
    generation state{first_epoch(owner)};

    std::uint64_t begin() { return state.begin_attempt(state.tokens().size()); }

    void generate(std::uint64_t attempt, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            REQUIRE(state.on_token(attempt, state.tokens().size(), "t") ==
                    event_result::accepted);
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(generation_fixture, "generation_gap_or_repeat_is_refused")
{
    const auto attempt = begin();
    generate(attempt, 3);
    CHECK(state.on_token(attempt, 4, "x") == event_result::out_of_order);
    CHECK(state.on_token(attempt, 2, "x") == event_result::out_of_order);
    CHECK(state.tokens().size() == 3);
}

// Guards against tokens of a cancelled attempt that arrive late.
TEST_CASE_FIXTURE(generation_fixture, "generation_older_attempt_is_dropped")
{
    const auto first = begin();
    generate(first, 3);
    const auto second = begin();
    CHECK(second > first);
    CHECK(state.on_token(first, 3, "old") == event_result::stale);
    CHECK(state.on_finish(first, "stop", 3) == event_result::stale);
    generate(second, 1);
    CHECK(state.tokens().size() == 4);
    state.end_attempt();
    CHECK(state.on_token(second, 4, "late") == event_result::stale);
}

TEST_CASE_FIXTURE(generation_fixture, "generation_wrong_count_is_no_finish")
{
    const auto attempt = begin();
    generate(attempt, 3);
    CHECK(state.on_finish(attempt, "stop", 4) == event_result::out_of_order);
    CHECK_FALSE(state.finish());
    CHECK(state.on_finish(attempt, "stop", 3) == event_result::accepted);
    CHECK(state.finish()->checksum == checksum_of(state.tokens()));
    CHECK(state.on_token(attempt, 3, "late") == event_result::stale);
}

TEST_CASE_FIXTURE(generation_fixture, "generation_releases_only_acknowledged")
{
    state.require_buddy(true);
    const auto attempt = begin();
    generate(attempt, 4);
    CHECK_FALSE(state.has_releasable());
    state.on_ack(2, false);
    CHECK(state.releasable() == 2);
    // An acknowledgement of tokens that do not exist counts for none.
    state.on_ack(9, true);
    CHECK(state.releasable() == 4);
    CHECK(state.fully_acknowledged());
    state.release_next();
    REQUIRE(state.on_finish(attempt, "stop", 4) == event_result::accepted);
    while (state.has_releasable()) {
        state.release_next();
    }
    CHECK_FALSE(state.may_finish());
    state.on_ack(4, true);
    CHECK(state.may_finish());
}

TEST_CASE_FIXTURE(generation_fixture, "generation_new_buddy_starts_at_nothing")
{
    state.require_buddy(true);
    generate(begin(), 4);
    state.on_ack(4, false);
    state.release_next();
    state.require_buddy(true);
    CHECK_FALSE(state.has_releasable());
    state.on_ack(4, false);
    CHECK(state.has_releasable());
    CHECK(state.released() == 1);
}

TEST_CASE_FIXTURE(generation_fixture, "generation_superseded_releases_nothing")
{
    state.require_buddy(true);
    const auto attempt = begin();
    generate(attempt, 4);
    REQUIRE(state.on_finish(attempt, "stop", 4) == event_result::accepted);
    state.on_ack(4, true);
    state.supersede();
    CHECK_FALSE(state.has_releasable());
    CHECK_FALSE(state.may_finish());
    CHECK(state.on_token(attempt, 4, "late") == event_result::stale);
}

TEST_CASE("epochs_grow_and_differ_between_gates")
{
    const auto first = first_epoch(owner);
    CHECK(first != first_epoch(other));
    CHECK(next_epoch(first, owner) > first);
    CHECK(next_epoch(first, other) > first);
    CHECK(next_epoch(first, owner) != next_epoch(first, other));
    CHECK(first_attempt(first) == 1);
    CHECK(first_attempt(next_epoch(first, other)) > 4000);
}

// Guards I2 for callers that go back and forth between two owners.
TEST_CASE("lineage_rejects_tokens_that_were_not_taken_over")
{
    const auto e1 = first_epoch(owner);
    const auto e2 = next_epoch(e1, other);
    const lineage own{{e1, 0}, {e2, 10}};
    CHECK(check_lineage(own, 10, e1));
    CHECK(check_lineage(own, 3, e1));
    CHECK(check_lineage(own, 40, e2));
    CHECK(check_lineage(own, 40, 0));
    CHECK_FALSE(check_lineage(own, 11, e1));
    CHECK_FALSE(check_lineage(own, 5, next_epoch(e2, owner)));
}

TEST_CASE("taken_over_generation_numbers_attempts_above_the_owner")
{
    generation before(first_epoch(owner));
    for (int i = 0; i < 50; ++i) {
        before.begin_attempt(0);
    }
    generation after(before.history(), next_epoch(before.epoch(), other), {},
                     {});
    CHECK(after.begin_attempt(0) > before.attempt());
}

// Random events in any order: what is released is a prefix, once, and held by
// the buddy at that time.
TEST_CASE("generation_random_events_release_each_token_once")
{
    for (unsigned seed = 0; seed < 300; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        generation state(first_epoch(owner));
        state.require_buddy(true);
        std::vector<std::string> released;
        std::uint64_t held = 0;
        for (int step = 0; step < 400; ++step) {
            switch (random() % 6) {
            case 0:
                state.begin_attempt(state.tokens().size());
                break;
            case 1:
                state.on_token(random() % 4 + state.attempt() - 2,
                               state.tokens().size() + random() % 3 - 1,
                               std::to_string(random()));
                break;
            case 2:
                state.on_token(state.attempt(), state.tokens().size(),
                               std::to_string(random()));
                break;
            case 3:
                held = random() % (state.tokens().size() + 1);
                state.on_ack(held, false);
                break;
            case 4:
                if (random() % 20 == 0) {
                    state.require_buddy(true);
                }
                break;
            default:
                if (state.has_releasable()) {
                    CHECK(state.released() == released.size());
                    CHECK(state.released() < state.acknowledged());
                    released.emplace_back(state.release_next());
                }
            }
        }
        CHECK(std::equal(released.begin(), released.end(),
                         state.tokens().begin()));
    }
}
