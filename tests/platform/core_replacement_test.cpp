// Control replicas that are replaced one after the other by others with empty
// disks, which have started before.
#include "platform/support/relay_fixture.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;

namespace {

/// `catchUpS` of the bounds: a machine that started counts again after it.
constexpr duration catch_up_time = 4s;
/// A leader without a majority answers reads for less than this time.
constexpr duration lease_time = 1500ms;

struct replacement_fixture : relay_fixture
{
    std::vector<std::unique_ptr<relay::control_node>> successors;

    /// Starts further replicas, and waits until they have the configuration.
    void start_successors(std::size_t count = 3)
    {
        for (std::size_t i = 0; i < count; ++i) {
            auto node = std::make_unique<relay::control_node>(
                loop, relay::make_relay_protocol<platform::wire>(),
                relay::control_node::options{
                    .link_address = free_address(),
                    .failure_domain = failure_domain_id("d1"),
                    .incarnation = {100 + i},
                    .shared_secret = secret("s"),
                    .data_folder = folder / fmt::format("successor-{}", i),
                    .seeds = seeds,
                    .tolerated_losses = 1});
            REQUIRE(node->start());
            successors.push_back(std::move(node));
        }
        REQUIRE(run_until(
            loop,
            [&] {
                return std::all_of(
                    successors.begin(), successors.end(),
                    [](const auto& each) { return each->version() == 5; });
            },
            10s));
    }
    void pass(duration time)
    {
        run_until(
            loop, [] { return false; }, time);
    }
    [[nodiscard]] std::size_t leader() const
    {
        const auto found =
            std::find_if(nodes.begin(), nodes.end(), [](const auto& each) {
                return each && each->is_leader();
            });
        return static_cast<std::size_t>(found - nodes.begin());
    }
    /// Ends a replica's process, without a planned stop.
    void kill(std::size_t i)
    {
        apis[i].reset();
        nodes[i].reset();
    }
    void stop(std::size_t i)
    {
        bool stopped = false;
        nodes[i]->stop([&] { stopped = true; });
        CHECK(wait([&] { return stopped; }));
        kill(i);
    }
    [[nodiscard]] std::size_t follower() const { return leader() == 0 ? 1 : 0; }
    /// The replica that is neither `one` nor `other`.
    [[nodiscard]] static std::size_t third(std::size_t one, std::size_t other)
    {
        return 3 - one - other;
    }
    /// Checks that a successor reads the configuration within some time.
    void check_configuration_is_read()
    {
        check_configuration_is_read(*successors.front());
    }
    void check_configuration_is_read(relay::control_node& reader)
    {
        std::uint64_t version = 0;
        std::optional<errc> problem;
        for (int tries = 0; tries < 20 && version == 0; ++tries) {
            bool answered = false;
            reader.read_configuration([&](const auto& read) {
                answered = true;
                if (read) {
                    version = read.value()->version;
                } else {
                    problem = read.error().code;
                }
            });
            REQUIRE(wait([&] { return answered; }));
            pass(250ms);
        }
        CAPTURE(name_of(problem.value_or(errc::internal)));
        CHECK(version == 5);
    }
};

} // namespace

// Guards against a configuration that is lost because replicas that stop for
// good, one after the other, take their votes with them.
TEST_CASE_FIXTURE(replacement_fixture,
                  "replicas_stopped_in_turn_hand_their_votes_to_successors")
{
    start_system();
    start_successors();
    pass(500ms);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        stop(i);
    }
    check_configuration_is_read();
}

// Guards against a leadership that only moves between replicas that all stop,
// until their time is used up and they take their votes with them.
TEST_CASE_FIXTURE(replacement_fixture,
                  "replicas_stopped_at_once_hand_their_votes_to_successors")
{
    start_system();
    start_successors();
    pass(500ms);
    std::size_t stopped = 0;
    for (const auto& node : nodes) {
        node->stop([&] { ++stopped; });
    }
    REQUIRE(wait([&] { return stopped == nodes.size(); }));
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        kill(i);
    }
    check_configuration_is_read();
}

// Guards against a group without a successor that waits for one when it stops.
TEST_CASE_FIXTURE(replacement_fixture,
                  "replica_without_a_successor_stops_at_once")
{
    start_system();
    bool stopped = false;
    nodes[follower()]->stop([&] { stopped = true; });
    CHECK(stopped);
}

// Guards against a restart that takes the successor of a lost voter, which then
// remains in the group: the loss of one more disk ends the majority.
TEST_CASE_FIXTURE(replacement_fixture,
                  "replica_restarts_beside_a_replacement_one_loss_is_tolerated")
{
    start_system();
    const std::size_t first = leader();
    const std::size_t restarted = follower();
    const std::size_t lost = third(first, restarted);
    kill(lost);
    start_successors(1);
    pass(300ms);
    stop(restarted);
    pass(400ms);
    add_node(restarted, false);
    pass(catch_up_time);
    successors.clear();
    pass(lease_time);
    check_configuration_is_read(*nodes[restarted]);
}

// Guards against a replica that may not vote for some time after its restart,
// so that it can't replace a voter that is lost meanwhile.
TEST_CASE_FIXTURE(replacement_fixture,
                  "restarted_replica_replaces_a_lost_one_in_time")
{
    start_system();
    start_successors(1);
    pass(300ms);
    const std::size_t first = leader();
    const std::size_t restarted = follower();
    stop(restarted);
    add_node(restarted, false);
    pass(500ms);
    kill(third(first, restarted));
    pass(catch_up_time);
    successors.clear();
    pass(lease_time);
    check_configuration_is_read(*nodes[restarted]);
}

// Guards against a vote for a learner that is about to stop and has told the
// last leader only, or none because there was no other learner.
TEST_CASE_FIXTURE(replacement_fixture,
                  "stopping_learner_gets_no_vote_from_the_next_leader")
{
    start_system();
    start_successors(1);
    pass(300ms);
    successors.front()->stop([] {});
    pass(100ms);
    kill(leader());
    pass(catch_up_time);
    REQUIRE(leader() < nodes.size());
    const auto replicas = nodes[leader()]->replicas();
    const auto learner =
        std::find_if(replicas.begin(), replicas.end(),
                     [](const auto& each) { return !each.voter; });
    REQUIRE(learner != replicas.end());
    CHECK(learner->leaving);
    CHECK(learner->caught_up);
}

// Guards against a replica that stops before its successor has joined and then
// counts as a voter for as long as one that may only be unreachable.
TEST_CASE_FIXTURE(replacement_fixture,
                  "replica_stopped_without_a_successor_is_replaced_at_once")
{
    start_system();
    const std::size_t first = leader();
    const time_point stopped_at = loop.now();
    stop(follower());
    start_successors(1);
    const auto complete = [&] {
        const auto replicas = nodes[first]->replicas();
        return replicas.size() == 3 && relay::spare_voters(replicas) == 1;
    };
    REQUIRE(wait(complete));
    CHECK(loop.now() - stopped_at < 2s); // a voter that is lost: 2.5 s
}

// Guards against a wait for the replacement of a lost voter that every change
// of the leader restarts.
TEST_CASE_FIXTURE(replacement_fixture,
                  "lost_leader_is_replaced_in_time_by_the_next_leader")
{
    start_system();
    start_successors();
    pass(500ms);
    const std::size_t first = leader();
    nodes[first].reset();
    // The wait is 2.5 s. An election takes about 1 s.
    pass(3200ms);
    nodes[(first + 1) % nodes.size()].reset();
    check_configuration_is_read();
}
