// Gates during a version rollout. The control replicas are played by link hubs
// with a real placement server.
#include <bamboogate/relay/placement_server.hpp>
#include <bamboogate/relay/rollout_messages.hpp>

#include "platform/support/relay_fixture.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;
using rollout::rollout_phase;

namespace {

constexpr std::size_t gate_count = 4;

/// A control replica that sends the gates what the test tells it.
struct rollout_replica
{
    net::address address = free_address();
    net::link_hub hub;
    relay::instance_registry registry{{}};
    bool leads = false;
    relay::placement_server placements;
    relay::control_view view;
    std::vector<rollout::rollout_record> records;
    relay::rollout_lease lease;
    /// Last report of each gate.
    std::map<node_id, relay::rollout_evidence> evidence;
    net::timer lease_timer;

    explicit rollout_replica(net::event_loop& loop)
        : hub(loop, {.identity = {node_id(address.text()),
                                  {1},
                                  failure_domain_id("d1")},
                     .shared_secret = secret("s")}),
          placements(loop, hub, registry, [this] { return leads; }),
          lease_timer(loop, [this] { send(lease); })
    {
        hub.serve<relay::fetch_configuration, relay::configuration_document>(
            [](const net::peer_info&, relay::fetch_configuration,
               const auto& reply) {
                reply(relay::configuration_document{
                    5, relay_fixture::configuration(5)});
            });
        hub.on<relay::subscribe>(
            [this](const net::peer_info& peer, const relay::subscribe&) {
                relay::announcement_update update;
                for (const auto& [id, each] : registry.instances()) {
                    update.heard.push_back(each.announced);
                }
                hub.send(peer.node, update);
                hub.send(peer.node, relay::rollout_update{records});
            });
        hub.on<relay::rollout_evidence>(
            [this](const net::peer_info& peer, relay::rollout_evidence report) {
                evidence[peer.node] = std::move(report);
            });
        hub.on_peer_state([this](const net::peer_info& peer, bool up) {
            if (up) {
                hub.send(peer.node, view);
            }
        });
        REQUIRE(hub.listen(address));
        lease_timer.start_periodic(400ms);
    }
    template <typename Message>
    void send(const Message& message)
    {
        for (const auto& peer : hub.peers_up()) {
            hub.send(peer.node, message);
        }
    }
    [[nodiscard]] std::uint64_t reported(const software_version& version) const
    {
        std::uint64_t total = 0;
        for (const auto& [gate, report] : evidence) {
            for (const auto& each : report.evidence) {
                total += each.version == version ? each.requests : 0;
            }
        }
        return total;
    }
};

/// Several gates, two replicas of which the first leads, and for both services
/// an upstream of the old version and two of the new one.
struct rollout_fixture
{
    net::event_loop loop;
    std::vector<std::unique_ptr<rollout_replica>> replicas;
    std::vector<std::unique_ptr<relay::relay_gate>> gates;
    net::http1_client client{loop, {}};
    fake_upstream old_engine{loop, "e1"};
    fake_upstream new_engine1{loop, "e2"};
    fake_upstream new_engine2{loop, "e3"};
    fake_upstream old_service{loop, "s1"};
    fake_upstream new_service1{loop, "s2"};
    fake_upstream new_service2{loop, "s3"};
    unsigned new_status = 200; ///< of the answers of the new version
    std::map<const fake_upstream*, std::size_t> answered;
    int attempts = 0;

    rollout_fixture()
    {
        for (int i = 0; i < 2; ++i) {
            replicas.push_back(std::make_unique<rollout_replica>(loop));
            announce(old_engine, "gen", "v1", *replicas[i]);
            announce(new_engine1, "gen", "v2", *replicas[i]);
            announce(new_engine2, "gen", "v2", *replicas[i]);
            announce(old_service, "book", "v1", *replicas[i]);
            announce(new_service1, "book", "v2", *replicas[i]);
            announce(new_service2, "book", "v2", *replicas[i]);
        }
        set_leader(0);
        for (std::size_t i = 0; i < gate_count; ++i) {
            gates.push_back(std::make_unique<relay::relay_gate>(
                loop, relay::make_relay_protocol<platform::wire>(),
                relay::relay_gate::options{
                    .caller_address = {"127.0.0.1", 0},
                    .control = {.self = node_id(fmt::format("gate{}", i)),
                                .failure_domain = failure_domain_id("d1"),
                                .incarnation = {1},
                                .shared_secret = secret("s"),
                                .seeds = {replicas[0]->address,
                                          replicas[1]->address}}}));
            REQUIRE(gates.back()->start());
        }
        REQUIRE(run_until(loop, [&] {
            return std::all_of(gates.begin(), gates.end(),
                               [](const auto& each) { return each->ready(); });
        }));
        run_for(100ms);
    }
    void announce(const fake_upstream& upstream, const char* service,
                  const char* version, rollout_replica& replica)
    {
        replica.registry.record_announcement(
            {.id = upstream_id(upstream.id),
             .service = service_id(service),
             .address = upstream.server->bound_address(),
             .domain = failure_domain_id("d1"),
             .slots = 8,
             .sequence = 1,
             .started_at = 1000,
             .version = software_version(version)},
            loop.now());
    }
    void set_leader(std::size_t index)
    {
        for (std::size_t i = 0; i < replicas.size(); ++i) {
            replicas[i]->leads = i == index;
            replicas[i]->view = {.replicas = {replicas[0]->address.text(),
                                              replicas[1]->address.text()},
                                 .leader = replicas[index]->address.text(),
                                 .version = 5,
                                 .gates = gate_count,
                                 .subscribed = gate_count,
                                 .forwards = true};
            replicas[i]->send(replicas[i]->view);
        }
    }
    static rollout::rollout_record record(const char* service,
                                          rollout_phase phase, double share)
    {
        return {.number = 7,
                .service = service_id(service),
                .target = software_version("v2"),
                .phase = static_cast<std::uint8_t>(phase),
                .trial_share = share,
                .superseded = {software_version("v1")}};
    }
    /// Tells the gates, which need some time, and the placement servers.
    void set_phase(const char* service, rollout_phase phase, double share)
    {
        for (auto& each : replicas) {
            each->records = {record(service, phase, share)};
            each->lease.numbers = {7};
            each->placements.on_rollout(each->records[0]);
            each->send(relay::rollout_update{each->records});
            each->send(each->lease);
        }
        run_for(50ms);
    }
    void run_for(duration time)
    {
        run_until(
            loop, [] { return false; }, time);
    }
    std::unique_ptr<caller> send_request(std::size_t gate, const char* target)
    {
        auto out = std::make_unique<caller>();
        auto* raw = out.get();
        out->exchange = client.start(
            gates[gate]->bound_address(),
            {.method = "POST",
             .target = target,
             .headers = {{"Host", "h.example"},
                         {"X-Attempt-Id", fmt::format("a{}", ++attempts)},
                         {"X-Deadline-Ms", "3000"},
                         {"X-Token-Count", "800,100"},
                         {"Authorization", "Bearer k1"}},
             .body = "prompt",
             .fresh_connection = true},
            {.on_head =
                 [raw](const net::http1_response_head& head) {
                     raw->head = head;
                     return true;
                 },
             .on_body = [raw](std::string_view part) { raw->body += part; },
             .on_complete = [raw] { raw->complete = true; },
             .on_failure =
                 [raw](const net::http1_failure&) { raw->failed = true; }});
        return out;
    }
    void answer_all()
    {
        for (auto* each : {&old_service, &new_service1, &new_service2}) {
            auto& done = answered[each];
            while (done < each->received.size()) {
                each->answer(done++, "ok",
                             each == &old_service ? 200 : new_status);
            }
        }
    }
    [[nodiscard]] std::size_t new_requests() const
    {
        return new_service1.received.size() + new_service2.received.size();
    }
    /// Sends short requests to all gates in turn, and expects that callers
    /// notice nothing.
    void serve(int requests)
    {
        for (int i = 0; i < requests; ++i) {
            const auto sent = send_request(
                static_cast<std::size_t>(i) % gate_count, "/stock/x");
            REQUIRE(run_until(
                loop,
                [&] {
                    answer_all();
                    return sent->ended();
                },
                3s));
            REQUIRE(sent->status() == 200);
        }
    }
};

} // namespace

// Guards against an unproved version that gets more than its share from several
// gates together, and against requests to it after the rollback.
TEST_CASE_FIXTURE(rollout_fixture,
                  "gates_bound_the_exposure_to_an_unproved_version")
{
    const rollout::exposure_limits limits;
    constexpr int requests = 400;
    const double share = rollout::trial_share(limits);
    set_phase("book", rollout_phase::trial, share);
    serve(requests);
    const auto on_trial = static_cast<double>(new_requests());
    CHECK(on_trial <= share * requests + limits.slack / 4.0);
    CHECK(on_trial >= share * requests - gate_count);
    set_phase("book", rollout_phase::rolled_back, share);
    serve(requests / 4);
    CHECK(static_cast<double>(new_requests()) == on_trial);
}

// Guards against a rollout whose new leader begins without the evidence of the
// gates.
TEST_CASE_FIXTURE(rollout_fixture, "gates_report_all_evidence_to_a_new_leader")
{
    set_phase("book", rollout_phase::trial, 0.5);
    serve(40);
    const auto complete = [&](const rollout_replica& replica) {
        return replica.reported(software_version("v1")) ==
                   old_service.received.size() &&
               replica.reported(software_version("v2")) == new_requests();
    };
    CHECK(run_until(
        loop, [&] { return complete(*replicas[0]); }, 1s));
    CHECK(replicas[1]->evidence.empty());
    set_leader(1);
    CHECK(run_until(
        loop, [&] { return complete(*replicas[1]); }, 1s));
    CHECK(new_requests() >= 18);
}

// Guards against a gate that is cut off and would never learn of a rollback.
TEST_CASE_FIXTURE(rollout_fixture, "gates_cut_off_from_control_end_their_trial")
{
    set_phase("book", rollout_phase::trial, 0.5);
    serve(40);
    CHECK(new_requests() >= 18);
    replicas.clear();
    run_for(rollout::trial_selector::options().lease + 50ms);
    const auto before = new_requests();
    serve(40);
    CHECK(new_requests() == before);
}

// Guards against callers that meet the faults of the version on trial twice,
// and against failures that the leader is not told of.
TEST_CASE_FIXTURE(rollout_fixture,
                  "gates_repeat_a_failed_request_on_the_old_version")
{
    new_status = 500;
    set_phase("book", rollout_phase::trial, 1.0);
    serve(20);
    CHECK(new_requests() == 20);
    CHECK(old_service.received.size() == 20);
    CHECK(run_until(
        loop,
        [&] {
            return replicas[0]->reported(software_version("v2")) == 20 &&
                   replicas[0]->reported(software_version("v1")) == 20;
        },
        1s));
    for (const auto& [gate, report] : replicas[0]->evidence) {
        for (const auto& each : report.evidence) {
            const bool faulty = each.version == software_version("v2");
            CHECK(each.failures == (faulty ? each.requests : 0));
        }
    }
}

// Guards against a stream that is repeated on the version on trial after a
// failure there, and against a copy on an engine of the other version.
TEST_CASE_FIXTURE(rollout_fixture,
                  "stream_on_trial_is_repeated_on_the_old_version")
{
    set_phase("gen", rollout_phase::trial, 1.0);
    const auto stream = send_request(0, "/gen/x");
    const auto received = [&] {
        return new_engine1.received.size() + new_engine2.received.size();
    };
    REQUIRE(run_until(loop, [&] { return received() == 1; }));
    const bool first = !new_engine1.received.empty();
    fake_upstream& used = first ? new_engine1 : new_engine2;
    fake_upstream& other = first ? new_engine2 : new_engine1;
    CHECK(used.header(0, "X-Kv-Backup") ==
          other.server->bound_address().text());
    used.answer(0, "failed", 500);
    REQUIRE(run_until(loop, [&] { return old_engine.received.size() == 1; }));
    CHECK(old_engine.header(0, "X-Kv-Backup").empty());
    old_engine.begin_stream(0);
    old_engine.event(0, 1);
    old_engine.received[0].responder->finish();
    CHECK(run_until(loop, [&] { return stream->complete; }));
    CHECK(stream->status() == 200);
    CHECK(received() == 1);
}

// Guards against a gate with an old view that sends streams to a version that
// the leader has rolled back, and against one without a leader that does.
TEST_CASE_FIXTURE(rollout_fixture, "stream_on_trial_follows_the_newest_view")
{
    set_phase("gen", rollout_phase::trial, 1.0);
    const auto rolled_back = record("gen", rollout_phase::rolled_back, 1.0);
    replicas[0]->placements.on_rollout(rolled_back);
    const auto first = send_request(0, "/gen/x");
    REQUIRE(run_until(loop, [&] { return old_engine.received.size() == 1; }));
    for (auto& each : replicas) {
        each->leads = false;
        each->send(relay::rollout_update{{rolled_back}});
    }
    run_for(50ms);
    const auto second = send_request(0, "/gen/x");
    REQUIRE(run_until(loop, [&] { return old_engine.received.size() == 2; }));
    CHECK(new_engine1.received.empty());
    CHECK(new_engine2.received.empty());
}
