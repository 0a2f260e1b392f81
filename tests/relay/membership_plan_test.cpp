#include <bamboogate/relay/membership_plan.hpp>

#include <doctest/doctest.h>

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
