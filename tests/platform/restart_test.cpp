// What a process knows after a restart: upstreams that left and keys that were
// withdrawn stay out of use.
#include <bamboogate/relay/control_feed.hpp>

#include "platform/support/relay_fixture.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;

namespace {

/// Replicas played by link hubs, and the feed of a gate that has restarted.
struct restarted_gate_fixture
{
    net::event_loop loop;
    net::address stale_address = free_address();
    net::address leader_address = free_address();
    std::unique_ptr<net::link_hub> stale;
    std::unique_ptr<net::link_hub> leader;
    std::vector<std::uint64_t> applied;
    std::unique_ptr<relay::control_feed> feed;

    std::unique_ptr<net::link_hub> start_replica(const net::address& address,
                                                 std::uint64_t version)
    {
        auto hub = std::make_unique<net::link_hub>(
            loop, net::link_hub::options{.identity = {node_id(address.text()),
                                                      {1},
                                                      failure_domain_id("d2")},
                                         .shared_secret = secret("s")});
        auto* raw = hub.get();
        hub->serve<relay::fetch_configuration, relay::configuration_document>(
            [version](const net::peer_info&, relay::fetch_configuration,
                      const auto& reply) {
                reply(relay::configuration_document{
                    version,
                    relay_fixture::configuration(static_cast<int>(version))});
            });
        hub->on_peer_state([this, raw, version](const net::peer_info& peer,
                                                bool up) {
            if (up) {
                raw->send(peer.node, relay::control_view{
                                         .replicas = {stale_address.text(),
                                                      leader_address.text()},
                                         .leader = leader_address.text(),
                                         .version = version,
                                         .gates = 1,
                                         .subscribed = 1,
                                         .forwards = true});
            }
        });
        REQUIRE(hub->listen(address));
        return hub;
    }
    void start_feed()
    {
        feed = std::make_unique<relay::control_feed>(
            loop, relay::make_relay_protocol<platform::wire>(),
            relay::control_feed::options{
                .self = node_id("gate"),
                .failure_domain = failure_domain_id("d1"),
                .incarnation = {1},
                .shared_secret = secret("s"),
                .seeds = {stale_address, leader_address}},
            relay::control_feed::observers{
                .on_configuration =
                    [this](const relay::configuration& document) {
                        applied.push_back(document.version);
                    },
                .on_announcement = [](const relay::announcement&) {},
                .on_refresh = [](const relay::upstream_refresh&) {},
                .on_departure = [](const relay::announcement&) {},
                .on_suspicion = [](const upstream_id&) {},
                .on_quarantine = [](const relay::quarantine_update&) {},
                .on_rollouts = [](const relay::rollout_update&) {},
                .on_recorded_versions = [](const relay::recorded_versions&) {},
                .on_rollout_lease = [](const relay::rollout_lease&) {},
                .on_new_leader = [] {}});
    }
    void run_for(duration time)
    {
        run_until(
            loop, [] { return false; }, time);
    }
};

} // namespace

// Guards against a withdrawn key that is in use again: a replica that restarts
// with an old snapshot offers it before the leader's version reaches it.
TEST_CASE_FIXTURE(restarted_gate_fixture,
                  "restarted_gate_does_not_apply_an_older_first_configuration")
{
    stale = start_replica(stale_address, 4);
    start_feed();
    run_for(400ms);
    CHECK(applied.empty());
    leader = start_replica(leader_address, 5);
    CHECK(run_until(
        loop, [&] { return !applied.empty(); }, 3s));
    run_for(500ms);
    CHECK(applied == std::vector<std::uint64_t>{5});
}

// Guards against a gate that stays without a configuration when no leader
// appears.
TEST_CASE_FIXTURE(restarted_gate_fixture,
                  "restarted_gate_without_a_leader_applies_what_is_offered")
{
    stale = start_replica(stale_address, 4);
    start_feed();
    CHECK(run_until(
        loop, [&] { return !applied.empty(); }, 3s));
    CHECK(applied == std::vector<std::uint64_t>{4});
}

// Guards against an upstream that left and is in use again: a replica that
// restarts knows no departure, and an announcement of the upstream arrives
// there late.
TEST_CASE_FIXTURE(relay_fixture,
                  "restarted_replica_learns_departures_from_the_others")
{
    start_system();
    CHECK(
        control_call(0, "POST", "/Instances.Deregister/e1", R"({"born":1000})")
            ->status() == 200);
    run_until(
        loop, [] { return false; }, 100ms);
    nodes[2].reset();
    add_node(2, false);
    REQUIRE(run_until(
        loop, [&] { return !nodes[2]->registry().departures().empty(); }, 3s));
    nodes[2]->on_announcement({.id = upstream_id("e1"),
                               .service = service_id("gen"),
                               .address = engine1.server->bound_address(),
                               .domain = failure_domain_id("d1"),
                               .slots = 8,
                               .sequence = 7,
                               .started_at = 1000},
                              [](const result<void>&) {});
    const auto* left = nodes[2]->registry().find(upstream_id("e1"));
    REQUIRE(left != nullptr);
    CHECK(left->state == relay::instance_state::leaving);
    const auto request = send_request("/gen/x", "g1");
    REQUIRE(wait([&] { return engine2.received.size() == 1; }));
    CHECK(engine1.received.empty());
}

// Guards against a departure that is acknowledged and then lost with the only
// replica that has it: the others keep sending work to the upstream.
TEST_CASE_FIXTURE(relay_fixture,
                  "departure_told_to_a_replica_without_a_majority_is_not_"
                  "acknowledged")
{
    start_system();
    nodes[1].reset();
    nodes[2].reset();
    CHECK(
        control_call(0, "POST", "/Instances.Deregister/e1", R"({"born":1000})")
            ->status() == 503);
    const auto* left = nodes[0]->registry().find(upstream_id("e1"));
    REQUIRE(left != nullptr);
    CHECK(left->state == relay::instance_state::leaving);
    const auto draining = control_call(
        0, "POST", "/Instances.Heartbeat/e2",
        fmt::format(R"({{"service":"gen","address":"{}","zone":"d2",)"
                    R"("slots":8,"state":"draining","coldLeftMs":0,)"
                    R"("version":"","seqNo":2,"born":1000}})",
                    engine2.server->bound_address().text()));
    CHECK(draining->status() == 503);
}

// Guards against a departure that one replica acknowledges before the others
// can know it.
TEST_CASE_FIXTURE(relay_fixture,
                  "departure_that_is_acknowledged_is_known_to_a_majority")
{
    start_system();
    CHECK(
        control_call(0, "POST", "/Instances.Deregister/e1", R"({"born":1000})")
            ->status() == 200);
    const auto known =
        std::count_if(nodes.begin(), nodes.end(), [](const auto& node) {
            const auto* left = node->registry().find(upstream_id("e1"));
            return left != nullptr &&
                   left->state == relay::instance_state::leaving;
        });
    CHECK(known >= 2);
}

// Guards against an upstream whose departure was acknowledged and that is in
// use again: all processes are killed, and a delayed announcement arrives after
// their restart.
TEST_CASE_FIXTURE(relay_fixture,
                  "acknowledged_departure_survives_a_restart_of_all_processes")
{
    start_system();
    CHECK(
        control_call(0, "POST", "/Instances.Deregister/e1", R"({"born":1000})")
            ->status() == 200);
    announce(engine2, "gen", "d2", 2, "draining");
    gate.reset();
    apis.clear();
    nodes.clear();
    for (std::size_t i = 0; i < seeds.size(); ++i) {
        add_node(i, false);
    }
    start_gate();
    wait_for_leader();
    REQUIRE(wait([&] { return gate->ready(); }));
    fake_upstream engine3{loop, "e3"};
    announce(engine3, "gen", "d1", 2);
    announce(engine1, "gen", "d1", 7);
    announce(engine2, "gen", "d2", 1);
    run_until(
        loop, [] { return false; }, 100ms);
    for (const auto& node : nodes) {
        for (const char* id : {"e1", "e2"}) {
            const auto* left = node->registry().find(upstream_id(id));
            CHECK((left == nullptr ||
                   left->state == relay::instance_state::leaving));
        }
    }
    const auto first = send_request("/gen/x", "g1");
    const auto second = send_request("/gen/x", "g2");
    REQUIRE(wait([&] { return engine3.received.size() == 2; }));
    CHECK(engine1.received.empty());
    CHECK(engine2.received.empty());
}

// Guards against a departure that is refused when it is sent again after its
// acknowledgement was lost, and against ids that fill the disks of the
// replicas.
TEST_CASE_FIXTURE(relay_fixture,
                  "repeated_departure_is_acknowledged_and_a_long_id_is_refused")
{
    start_system();
    for (const std::size_t node : {0, 1, 2, 0}) {
        CHECK(control_call(node, "POST", "/Instances.Deregister/e1",
                           R"({"born":1000})")
                  ->status() == 200);
    }
    const std::string long_id(300, 'x');
    CHECK(control_call(0, "POST", "/Instances.Deregister/" + long_id,
                       R"({"born":1000})")
              ->status() == 400);
}

// Guards against requests that are cut off without an answer by a planned stop
// under load: new connections arrive until the gate is gone.
TEST_CASE_FIXTURE(relay_fixture,
                  "planned_stop_under_load_answers_every_accepted_request")
{
    start_system();
    struct attempt
    {
        std::unique_ptr<net::http1_client::exchange> exchange;
        bool answered = false;
        bool cut = false;
        bool refused = false; ///< the connection, so nothing was accepted
    };
    std::vector<std::unique_ptr<attempt>> attempts;
    const net::address address = gate->bound_address();
    net::timer arrivals(loop, [&] {
        attempts.push_back(std::make_unique<attempt>());
        attempt* added = attempts.back().get();
        added->exchange = client.start(
            address,
            {.method = "POST",
             .target = "/book/x",
             .headers = {{"Host", "h.example"},
                         {"X-Attempt-Id", fmt::format("b{}", attempts.size())},
                         {"X-Deadline-Ms", "2000"},
                         {"Authorization", "Bearer k1"}},
             .body = "prompt",
             .fresh_connection = true},
            {.on_head = [](const net::http1_response_head&) { return true; },
             .on_body = [](std::string_view) {},
             .on_complete = [added] { added->answered = true; },
             .on_failure =
                 [added](const net::http1_failure& failure) {
                     added->cut = failure.request_sent;
                     added->refused = !failure.request_sent;
                 }});
    });
    std::size_t answered_by_service = 0;
    net::timer service_work(loop, [&] {
        while (answered_by_service < service.received.size()) {
            service.answer(answered_by_service++, "done");
        }
    });
    arrivals.start_periodic(1ms);
    service_work.start_periodic(30ms);
    run_until(
        loop, [] { return false; }, 100ms);
    bool stopped = false;
    gate->stop([&] { stopped = true; });
    REQUIRE(run_until(
        loop, [&] { return stopped; }, 4s));
    gate.reset();
    run_until(
        loop, [] { return false; }, 100ms);
    arrivals.stop();
    run_until(
        loop, [] { return false; }, 500ms);
    std::size_t answered = 0;
    std::size_t cut = 0;
    for (const auto& each : attempts) {
        answered += each->answered ? 1 : 0;
        cut += each->cut ? 1 : 0;
    }
    CHECK(answered >= 100);
    CHECK(cut == 0);
}
