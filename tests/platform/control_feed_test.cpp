// What a gate learns while the replicas change their leader or are cut off from
// one another. The replicas are played by link hubs.
#include <bamboogate/relay/control_feed.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <thread>

#include "platform/support/relay_fixture.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;

namespace {

/// A replica that sends the views and configurations of the test.
struct fake_replica
{
    net::address address = free_address();
    net::link_hub hub;
    std::uint64_t version = 0;
    std::string leader;
    int ignored_fetches = 0; ///< that are left unanswered
    duration reply_delay{};  ///< of documents
    std::vector<std::unique_ptr<net::timer>> delayed;
    bool gate_linked = false;
    bool gate_subscribed = false;
    relay::control_view view;

    fake_replica(net::event_loop& loop, const char* domain)
        : hub(loop, {.identity = {node_id(address.text()),
                                  {1},
                                  failure_domain_id(domain)},
                     .shared_secret = secret("s"),
                     .is_control = [](const node_id&) { return true; }})
    {
        hub.serve<relay::fetch_configuration, relay::configuration_document>(
            [this, &loop](const net::peer_info&, relay::fetch_configuration,
                          const auto& reply) {
                if (ignored_fetches > 0) {
                    --ignored_fetches;
                    return;
                }
                const relay::configuration_document document{
                    version,
                    relay_fixture::configuration(static_cast<int>(version))};
                if (reply_delay == duration::zero()) {
                    reply(document);
                    return;
                }
                delayed.push_back(std::make_unique<net::timer>(
                    loop, [reply, document] { reply(document); }));
                delayed.back()->start_once(reply_delay);
            });
        hub.on<relay::subscribe>(
            [this](const net::peer_info&, relay::subscribe subscription) {
                gate_subscribed = subscription.active;
            });
        hub.on_peer_state([this](const net::peer_info&, bool up) {
            gate_linked = up;
            gate_subscribed = gate_subscribed && up;
            if (up) {
                send_view();
            }
        });
        REQUIRE(hub.listen(address));
    }
    void send_view()
    {
        for (const auto& peer : hub.peers_up()) {
            hub.send(peer.node, relay::control_view{.replicas = view.replicas,
                                                    .leader = leader,
                                                    .version = version,
                                                    .gates = 1,
                                                    .subscribed = 1,
                                                    .forwards = true});
        }
    }
};

/// A gate's feed, a replica in the gate's failure domain that leads at first,
/// and one in another domain.
struct control_feed_fixture
{
    net::event_loop loop;
    fake_replica near{loop, "d1"};
    fake_replica far{loop, "d2"};
    std::vector<std::uint64_t> applied;
    std::vector<std::string> departed;
    std::unique_ptr<relay::control_feed> feed;

    control_feed_fixture()
    {
        for (auto* each : {&near, &far}) {
            each->view.replicas = {near.address.text(), far.address.text()};
            each->leader = near.address.text();
            each->version = 5;
        }
        feed = std::make_unique<relay::control_feed>(
            loop, relay::make_relay_protocol<platform::wire>(),
            relay::control_feed::options{.self = node_id("gate"),
                                         .failure_domain =
                                             failure_domain_id("d1"),
                                         .incarnation = {1},
                                         .shared_secret = secret("s"),
                                         .seeds = {near.address, far.address}},
            relay::control_feed::observers{
                .on_configuration =
                    [this](const relay::configuration& document) {
                        applied.push_back(document.version);
                    },
                .on_announcement = [](const relay::announcement&) {},
                .on_refresh = [](const relay::upstream_refresh&) {},
                .on_departure =
                    [this](const relay::announcement& announced) {
                        departed.push_back(announced.id.value());
                    },
                .on_suspicion = [](const upstream_id&) {},
                .on_quarantine = [](const relay::quarantine_update&) {},
                .on_rollouts = [](const relay::rollout_update&) {},
                .on_recorded_versions = [](const relay::recorded_versions&) {},
                .on_rollout_lease = [](const relay::rollout_lease&) {},
                .on_new_leader = [] {}});
    }
    /// Waits until the gate has closed the link that it doesn't need.
    void settle()
    {
        REQUIRE(run_until(
            loop, [&] { return !applied.empty() && far.gate_linked; }, 3s));
        REQUIRE(run_until(
            loop, [&] { return !far.gate_linked; }, 5s));
        REQUIRE(applied == std::vector<std::uint64_t>{5});
    }
    /// The leader is cut off from the other replica, which becomes the leader.
    /// The link of the old leader to the gate stays up.
    void cut_leader_off()
    {
        far.leader = far.address.text();
        near.leader = far.address.text();
        near.send_view();
    }
};

} // namespace

// Guards against a configuration that is in force too late at gates whose only
// link is the one to a leader that was cut off.
TEST_CASE_FIXTURE(control_feed_fixture,
                  "gate_of_a_cut_off_leader_applies_the_next_configuration")
{
    settle();
    cut_leader_off();
    far.version = 6;
    CHECK(run_until(
        loop, [&] { return applied.back() == 6; }, 1s));
}

// Guards against requests to an upstream whose departure was acknowledged while
// the gate's home was cut off.
TEST_CASE_FIXTURE(control_feed_fixture,
                  "gate_of_a_cut_off_leader_learns_departures_from_the_next")
{
    settle();
    cut_leader_off();
    REQUIRE(run_until(
        loop, [&] { return far.gate_subscribed; }, 1s));
    far.hub.send(node_id("gate"),
                 relay::announcement_update{
                     .heard = {},
                     .leaving = {{.id = upstream_id("e1"), .started_at = 1000}},
                     .refreshed = {}});
    CHECK(run_until(
        loop, [&] { return !departed.empty(); }, 1s));
}

// Guards against a configuration that is in force too late because one reply to
// the gate was lost: the smallest bound in use is 2 s.
TEST_CASE_FIXTURE(control_feed_fixture,
                  "gate_whose_fetch_is_not_answered_asks_again_in_time")
{
    settle();
    near.version = 6;
    near.ignored_fetches = 1;
    near.send_view();
    CHECK(run_until(
        loop, [&] { return applied.back() == 6; }, 1500ms));
}

// Guards against documents that are discarded, and requested again, because a
// full link delivers them later than the gate waits: the smallest bound is 2 s.
TEST_CASE_FIXTURE(control_feed_fixture,
                  "gate_whose_replies_are_slow_applies_the_configuration")
{
    settle();
    near.reply_delay = 900ms;
    near.version = 6;
    near.send_view();
    CHECK(run_until(
        loop, [&] { return applied.back() == 6; }, 2s));
}

// Guards against configurations in force too late at gates whose home stores
// none for a while, as with a stalled disk: the smallest bound in use is 2 s.
TEST_CASE_FIXTURE(control_feed_fixture,
                  "gate_whose_home_lags_applies_frequent_changes_in_time")
{
    near.leader = far.address.text();
    far.leader = far.address.text();
    REQUIRE(run_until(
        loop,
        [&] {
            return !applied.empty() &&
                   feed->home().value() == near.address.text() &&
                   feed->leader().value() == far.address.text();
        },
        3s));
    net::timer changes(loop, [&] {
        ++far.version;
        far.send_view();
    });
    changes.start_periodic(100ms);
    CHECK(run_until(
        loop, [&] { return applied.back() > 5; }, 2s));
}

// Guards against a gate that applies a configuration only after its callers'
// requests, for each of the messages that bring it.
TEST_CASE_FIXTURE(control_feed_fixture,
                  "configuration_is_applied_in_time_while_callers_press")
{
    settle();
    std::vector<std::array<int, 2>> callers(400);
    std::vector<std::unique_ptr<net::io_watcher>> requests;
    for (auto& pair : callers) {
        REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, pair.data()) == 0);
        REQUIRE(::send(pair[1], "x", 1, 0) == 1);
        requests.push_back(
            std::make_unique<net::io_watcher>(loop, pair[0], [](net::io_event) {
                std::this_thread::sleep_for(5ms);
            }));
        requests.back()->await(net::io_event::read);
    }
    near.version = 6;
    near.send_view();
    // The platform's bound on an acknowledged configuration is 2 s.
    CHECK(run_until(
        loop, [&] { return applied.back() == 6; }, 2s));
    requests.clear();
    for (const auto& pair : callers) {
        ::close(pair[0]);
        ::close(pair[1]);
    }
}
