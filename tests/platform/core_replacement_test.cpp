// Control replicas that are replaced one after the other by others with empty
// disks, which have started before.
#include "platform/support/relay_fixture.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;

namespace {

struct replacement_fixture : relay_fixture
{
    std::vector<std::unique_ptr<relay::control_node>> successors;

    /// Starts as many replicas as there are, and waits until they have the
    /// configuration.
    void start_successors()
    {
        for (std::size_t i = 0; i < seeds.size(); ++i) {
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
    /// Checks that a successor reads the configuration within some time.
    void check_configuration_is_read()
    {
        std::uint64_t version = 0;
        std::optional<errc> problem;
        for (int tries = 0; tries < 20 && version == 0; ++tries) {
            bool answered = false;
            successors.front()->read_configuration([&](const auto& read) {
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
        bool stopped = false;
        nodes[i]->stop([&] { stopped = true; });
        CHECK(wait([&] { return stopped; }));
        apis[i].reset();
        nodes[i].reset();
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
        apis[i].reset();
        nodes[i].reset();
    }
    check_configuration_is_read();
}

// Guards against a group without a successor that waits for one when it stops.
TEST_CASE_FIXTURE(replacement_fixture,
                  "replica_without_a_successor_stops_at_once")
{
    start_system();
    const std::size_t follower = leader() == 0 ? 1 : 0;
    bool stopped = false;
    nodes[follower]->stop([&] { stopped = true; });
    CHECK(stopped);
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
