#include <bamboogate/relay/membership_plan.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace bamboogate;
using namespace bamboogate::relay;
using namespace std::chrono_literals;

namespace {

using action = membership_step::action;

struct membership_fixture
{
    std::vector<replica_status> replicas;
    node_id self{"a"};
    membership_policy policy{.voters = 5};

    void add_voters(const char* names)
    {
        for (const char* each = names; *each != '\0'; ++each) {
            replicas.push_back({.node = node_id(std::string(1, *each)),
                                .voter = true,
                                .caught_up = true});
        }
    }
    void add_learner(const char* name, bool caught_up)
    {
        replicas.push_back({.node = node_id(name), .caught_up = caught_up});
    }
    [[nodiscard]] auto next() const
    {
        return next_membership_step(replicas, self, policy);
    }
    [[nodiscard]] auto next_hand_over(const char* leaving) const
    {
        return next_hand_over_step(replicas, node_id(leaving), policy);
    }
    void apply(const membership_step& step)
    {
        const auto found = std::find_if(
            replicas.begin(), replicas.end(),
            [&](const auto& each) { return each.node == step.node; });
        REQUIRE(found != replicas.end());
        if (step.kind == action::promote) {
            found->voter = true;
        } else {
            replicas.erase(found);
        }
    }
};

} // namespace

// Guards against a group that stays too small to tolerate the configured
// losses, and against voters that have not caught up.
TEST_CASE_FIXTURE(membership_fixture,
                  "seed_group_grows_to_the_target_size_and_no_further")
{
    add_voters("abc");
    add_learner("d", false);
    CHECK_FALSE(next());
    replicas.back().caught_up = true;
    CHECK(next() == membership_step{action::promote, node_id("d")});
    replicas.back().voter = true;
    add_learner("e", true);
    CHECK(next() == membership_step{action::promote, node_id("e")});
    replicas.back().voter = true;
    add_learner("f", true);
    CHECK_FALSE(next());
}

// Guards against a group that shrinks while machines are only unreachable, so
// that the loss of further disks loses acknowledged changes.
TEST_CASE_FIXTURE(membership_fixture,
                  "unreachable_voter_is_removed_only_for_a_caught_up_learner")
{
    add_voters("abcde");
    replicas[4].unreachable = 60s;
    CHECK_FALSE(next());
    add_learner("f", false);
    CHECK_FALSE(next());
    replicas.back().caught_up = true;
    CHECK(next() == membership_step{action::remove, node_id("e")});
    replicas.erase(replicas.begin() + 4);
    CHECK(next() == membership_step{action::promote, node_id("f")});
}

// Guards against membership changes for each restart of a replica.
TEST_CASE_FIXTURE(membership_fixture, "restarting_voter_keeps_its_place")
{
    add_voters("abcde");
    add_learner("f", true);
    replicas[3].unreachable = 1s;
    CHECK_FALSE(next());
}

// Guards against a machine that is replaced as planned but remains a voter for
// longer than its successor needs to catch up, because no learner could take
// its vote when it stopped.
TEST_CASE_FIXTURE(membership_fixture,
                  "stopped_voter_is_replaced_without_a_wait")
{
    add_voters("abcde");
    add_learner("f", true);
    replicas[3].leaving = true;
    CHECK_FALSE(next());
    replicas[3].unreachable = 100ms;
    CHECK(next() == membership_step{action::remove, node_id("d")});
    replicas[4].unreachable = 1s;
    CHECK(next() == membership_step{action::remove, node_id("e")});
}

// Guards against a group that keeps a lost voter beside its successor, because
// the lost one stopped before it was removed.
TEST_CASE_FIXTURE(membership_fixture,
                  "unreachable_voter_above_the_target_size_is_removed")
{
    add_voters("abcdef");
    CHECK_FALSE(next());
    replicas[5].unreachable = 3s;
    CHECK(next() == membership_step{action::remove, node_id("f")});
}

// Guards against a vote that goes to a replica that is about to stop, has not
// caught up or cannot be reached.
TEST_CASE_FIXTURE(membership_fixture,
                  "successor_is_a_reachable_learner_that_has_caught_up")
{
    add_voters("abcde");
    CHECK(find_successor(replicas) == nullptr);
    add_learner("f", false);
    add_learner("g", true);
    replicas.back().leaving = true;
    add_learner("h", true);
    replicas.back().unreachable = 1s;
    CHECK(find_successor(replicas) == nullptr);
    add_learner("i", true);
    REQUIRE(find_successor(replicas) != nullptr);
    CHECK(find_successor(replicas)->node == node_id("i"));
}

// Guards against a stop that takes its vote along because no learner has caught
// up yet, and against one that waits for learners that are gone.
TEST_CASE_FIXTURE(membership_fixture,
                  "successor_is_expected_while_a_learner_is_in_contact")
{
    add_voters("abc");
    CHECK_FALSE(is_successor_expected(replicas, policy));
    add_learner("d", true);
    replicas.back().leaving = true;
    add_learner("e", true);
    replicas.back().unreachable = 4s;
    CHECK_FALSE(is_successor_expected(replicas, policy));
    add_learner("f", false);
    CHECK(find_successor(replicas) == nullptr);
    CHECK(is_successor_expected(replicas, policy));
}

// Guards against a replaced machine that remains a learner forever.
TEST_CASE_FIXTURE(membership_fixture, "unreachable_learner_is_removed")
{
    add_voters("abc");
    add_learner("d", true);
    replicas.back().unreachable = 20s;
    CHECK(next() == membership_step{action::remove, node_id("d")});
}

// Guards against a vote that is handed over while the learner is needed in
// place of a lost voter: afterwards the group still has the lost one.
TEST_CASE_FIXTURE(membership_fixture,
                  "learner_replaces_a_lost_voter_before_a_leaving_one")
{
    add_voters("abcde");
    replicas[4].unreachable = 1s;
    CHECK_FALSE(next_hand_over("d"));
    add_learner("f", true);
    REQUIRE(next_hand_over("d") ==
            membership_step{action::promote, node_id("f")});
    replicas.back().voter = true;
    CHECK(next_hand_over("d") == membership_step{action::remove, node_id("e")});
    apply({action::remove, node_id("e")});
    CHECK_FALSE(next_hand_over("d"));
    add_learner("g", true);
    CHECK(next_hand_over("d") ==
          membership_step{action::promote, node_id("g")});
    replicas.back().voter = true;
    CHECK(next_hand_over("d") == membership_step{action::remove, node_id("d")});
}

// Guards against a stop that shrinks a group below its target size.
TEST_CASE_FIXTURE(membership_fixture,
                  "learner_completes_the_group_before_a_leaving_voter_goes")
{
    add_voters("abcd");
    add_learner("f", true);
    REQUIRE(next_hand_over("d") ==
            membership_step{action::promote, node_id("f")});
    replicas.back().voter = true;
    CHECK_FALSE(next_hand_over("d"));
}

// Guards against a group that shows more spare voters than it can lose.
TEST_CASE_FIXTURE(membership_fixture,
                  "spare_voters_are_the_reachable_ones_above_the_majority")
{
    add_voters("abcde");
    add_learner("f", true);
    CHECK(spare_voters(replicas) == 2);
    replicas[4].unreachable = 1s;
    CHECK(spare_voters(replicas) == 1);
    replicas.back().voter = true;
    CHECK(spare_voters(replicas) == 1);
    replicas[3].unreachable = replicas[2].unreachable = 1s;
    CHECK(spare_voters(replicas) == 0);
}

// Guards against a step after which fewer disks may be lost than before, and
// against a group that lacks spare voters although enough machines are there,
// once the stopped replica is back: for all groups of up to seven members.
TEST_CASE_FIXTURE(membership_fixture,
                  "stop_and_restart_in_any_group_keeps_the_spare_voters")
{
    constexpr unsigned max_members = 7;
    constexpr unsigned states = 4; // lost or reachable, voter or learner
    for (unsigned members = 1; members <= max_members; ++members) {
        unsigned groups = 1;
        for (unsigned i = 1; i < members; ++i) {
            groups *= states;
        }
        for (unsigned group = 0; group < groups; ++group) {
            CAPTURE(members);
            CAPTURE(group);
            replicas.clear();
            unsigned rest = group;
            for (unsigned i = 0; i < members; ++i) {
                // The last one is about to stop.
                const unsigned state = i + 1 < members ? rest % states : 3;
                rest /= states;
                replicas.push_back(
                    {.node = node_id(std::string(1, char('a' + i))),
                     .voter = state % 2 == 1,
                     .caught_up = true,
                     .unreachable = state / 2 == 1 ? 0s : 3s});
            }
            const node_id leaving = replicas.back().node;
            replicas.back().leaving = true;
            const auto voters = static_cast<std::size_t>(
                std::count_if(replicas.begin(), replicas.end(),
                              [](const auto& each) { return each.voter; }));
            const auto reachable = static_cast<std::size_t>(std::count_if(
                replicas.begin(), replicas.end(), [](const auto& each) {
                    return each.unreachable == duration::zero();
                }));
            if (voters > policy.voters || reachable < voters / 2 + 1) {
                continue;
            }
            self = leaving;
            unsigned steps = 0;
            const auto run = [&](const auto& plan) {
                for (auto step = plan(); step; step = plan()) {
                    const std::size_t before = spare_voters(replicas);
                    apply(*step);
                    REQUIRE(spare_voters(replicas) >= before);
                    REQUIRE(++steps < 50);
                }
            };
            run([&]() -> std::optional<membership_step> {
                const bool votes = std::any_of(
                    replicas.begin(), replicas.end(), [&](const auto& each) {
                        return each.node == leaving && each.voter;
                    });
                return votes ? next_hand_over_step(replicas, leaving, policy)
                             : std::nullopt;
            });
            self = node_id("none");
            const auto is_leaving = [&](const auto& each) {
                return each.node == leaving;
            };
            auto stopped =
                std::find_if(replicas.begin(), replicas.end(), is_leaving);
            if (stopped != replicas.end()) {
                stopped->unreachable = 100ms;
                run([&] { return next(); });
                stopped =
                    std::find_if(replicas.begin(), replicas.end(), is_leaving);
            }
            if (stopped == replicas.end()) {
                replicas.push_back({.node = leaving, .caught_up = true});
            } else {
                stopped->leaving = false;
                stopped->unreachable = 0s;
            }
            run([&] { return next(); });
            if (reachable >= policy.voters) {
                CHECK(spare_voters(replicas) == policy.voters / 2);
            }
        }
    }
}
