#include <bamboogate/consensus/replica.hpp>

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <vector>

#include "support/loopback.hpp"

using namespace bamboogate;
using namespace bamboogate::control;
using namespace std::chrono_literals;
using bamboogate::tests::log_driver;
using bamboogate::tests::make_hub;
using bamboogate::tests::run_until;
using bamboogate::tests::sample_declarations;
using bamboogate::tests::test_gate;

namespace {

/// Three control replicas with logs on disk, and gates, in one process.
class replicas_fixture
{
public:
    struct node
    {
        std::string name;
        std::uint64_t incarnation_number = 0;
        net::address listen_address;
        std::unique_ptr<net::link_hub> hub;
        std::unique_ptr<state_machine> state;
        std::unique_ptr<consensus::replica> replica;
        std::unique_ptr<replica_log> log;
        std::unique_ptr<control_server> server;
    };

    net::event_loop loop;
    std::filesystem::path folder =
        std::filesystem::temp_directory_path() /
        fmt::format("bamboogate_replicas_{}", ::getpid());
    std::vector<node> nodes{3};
    std::vector<std::unique_ptr<test_gate>> gates;

    replicas_fixture()
    {
        std::filesystem::remove_all(folder);
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            nodes[i].name = fmt::format("c{}", i + 1);
            open_links(nodes[i]);
        }
        for (auto& each : nodes) {
            start(each);
        }
    }

    ~replicas_fixture()
    {
        gates.clear();
        for (auto& each : nodes) {
            stop(each);
        }
        std::filesystem::remove_all(folder);
    }

    void open_links(node& target)
    {
        target.hub = make_hub(loop, target.name, ++target.incarnation_number);
        const auto bound = target.hub->listen(target.listen_address.port == 0
                                                  ? net::address{"127.0.0.1", 0}
                                                  : target.listen_address);
        REQUIRE(bound);
        target.listen_address = bound.value();
    }

    void start(node& target)
    {
        for (const auto& other : nodes) {
            if (other.name != target.name) {
                target.hub->add_peer(node_id(other.name), other.listen_address);
            }
        }
        target.state = std::make_unique<state_machine>();
        auto started = consensus::replica::start(
            loop, *target.hub, *target.state,
            {.data_folder = folder / target.name,
             .initial_voters = {node_id("c1"), node_id("c2"), node_id("c3")},
             .snapshot_interval_entries = 100});
        REQUIRE(started);
        target.replica = std::move(started).value();
        target.log = std::make_unique<replica_log>(*target.replica);
        target.server = std::make_unique<control_server>(
            loop, *target.hub, *target.log, *target.state,
            control_server::options{.lease = 500ms, .gate_loss_timeout = 2s});
    }

    static void stop(node& target)
    {
        target.server.reset();
        target.log.reset();
        target.replica.reset();
        target.state.reset();
        target.hub.reset();
    }

    test_gate& start_gate(const std::string& name)
    {
        gates.push_back(std::make_unique<test_gate>());
        auto& gate = *gates.back();
        gate.hub = make_hub(loop, name);
        for (const auto& each : nodes) {
            gate.hub->add_peer(node_id(each.name), each.listen_address);
        }
        gate.client = std::make_unique<control_client>(
            loop, *gate.hub,
            control_client::options{
                .replicas = {node_id("c1"), node_id("c2"), node_id("c3")},
                .renew_interval = 100ms});
        gate.client->on_configuration([&gate](const configuration& now) {
            gate.revisions.push_back(now.revision.value);
        });
        return gate;
    }

    template <typename Condition>
    bool until(Condition condition, duration limit = 10s)
    {
        return run_until(loop, condition, limit);
    }

    node* leader()
    {
        for (auto& each : nodes) {
            if (each.server && each.server->leads()) {
                return &each;
            }
        }
        return nullptr;
    }

    /// Submits a command and retries until it is answered, as an operator does.
    command_response change(const command& value)
    {
        std::optional<command_response> answer;
        const time_point end = loop.now() + 10s;
        while (!answer && loop.now() < end) {
            REQUIRE(until([&] { return leader() != nullptr; }));
            bool done = false;
            leader()->server->submit(value, [&](result<command_response> r) {
                done = true;
                if (r) {
                    answer = std::move(r).value();
                }
            });
            REQUIRE(until([&] { return done; }));
        }
        REQUIRE(answer);
        return *answer;
    }

    command_response use(const std::string& preset,
                         const std::string& operation, std::uint64_t based_on)
    {
        return change(
            use_preset{.origin = log_driver::origin(operation, based_on),
                       .preset = preset_id(preset)});
    }

    void declare()
    {
        REQUIRE(change(apply_declarations{
                           .origin = log_driver::origin("first", 0),
                           .declarations = to_document(sample_declarations()),
                           .preset = {}})
                    .ok);
    }

    result<call_decision> begin(test_gate& gate, const std::string& key)
    {
        call_begin request;
        request.ticket.account = client_account_id("small");
        request.ticket.idempotency_key = key;
        request.service = service_id("booking");
        request.body_digest = "digest";
        std::optional<result<call_decision>> end;
        gate.client->begin_call(request, 8s, [&](result<call_decision> r) {
            end.emplace(std::move(r));
        });
        REQUIRE(until([&] { return end.has_value(); }));
        return *end;
    }
};

} // namespace

// Guards against lost or reverted changes and expired leases after the loss of
// the leader.
TEST_CASE_FIXTURE(replicas_fixture,
                  "control_replicas_leader_lost_state_survives")
{
    declare();
    auto& gate = start_gate("g1");
    REQUIRE(until([&] { return gate.client->lease_valid(); }));
    REQUIRE(use("peak", "to-peak", 1).ok);
    const auto running = begin(gate, "running");
    REQUIRE(running);
    REQUIRE(running.value().kind == decision_kind::run);
    stop(*leader());
    const time_point lost = loop.now();
    REQUIRE(until([&] { return leader() != nullptr; }));
    MESSAGE("new leader after ms: " << to_milliseconds(loop.now() - lost));
    CHECK(leader()->state->current().preset_in_force == preset_id("peak"));
    CHECK_FALSE(use("ordinary", "late", 1).ok);
    const auto resent = use("peak", "to-peak", 1);
    CHECK(resent.ok);
    CHECK(resent.body["revision"] == 2);
    const auto same_key = begin(gate, "running");
    REQUIRE(same_key);
    CHECK(same_key.value().kind == decision_kind::in_progress);
    CHECK(until([&] { return gate.client->lease_valid(); }));
    CHECK(gate.client->current()->revision.value == 2);
    CHECK(std::is_sorted(gate.revisions.begin(), gate.revisions.end()));
}

// Guards against responses and calls that are lost in a restart of all
// replicas.
TEST_CASE_FIXTURE(replicas_fixture,
                  "control_replicas_all_restart_after_hundreds_of_changes")
{
    declare();
    const auto first = use("peak", "early", 1);
    REQUIRE(first.ok);
    auto& gate = start_gate("g1");
    REQUIRE(begin(gate, "kept").value().kind == decision_kind::run);
    for (std::uint64_t i = 2; i < 300; ++i) {
        REQUIRE(
            use(i % 2 == 0 ? "ordinary" : "peak", fmt::format("n{}", i), i).ok);
    }
    for (auto& each : nodes) {
        stop(each);
    }
    for (auto& each : nodes) {
        open_links(each);
    }
    for (auto& each : nodes) {
        start(each);
    }
    const auto again = use("peak", "early", 1);
    CHECK(again.ok);
    CHECK(again.body == first.body);
    CHECK(leader()->state->current().revision.value == 300);
    auto& other = start_gate("g2");
    const auto kept = begin(other, "kept");
    REQUIRE(kept);
    CHECK(kept.value().kind == decision_kind::in_progress);
}

// Measures the time from accepted to in force with seven gates.
TEST_CASE_FIXTURE(replicas_fixture,
                  "control_replicas_seven_gates_in_force_fast")
{
    declare();
    for (int i = 1; i <= 7; ++i) {
        start_gate(fmt::format("g{}", i));
    }
    REQUIRE(until([&] {
        return leader() != nullptr && leader()->server->in_force({1}) &&
               std::all_of(gates.begin(), gates.end(), [](const auto& gate) {
                   return gate->client->lease_valid();
               });
    }));
    std::vector<double> waits;
    for (std::uint64_t i = 1; i <= 200; ++i) {
        REQUIRE(
            use(i % 2 == 0 ? "ordinary" : "peak", fmt::format("n{}", i), i).ok);
        const time_point accepted = loop.now();
        std::optional<bool> reached;
        leader()->server->wait_in_force(
            {i + 1}, 5s, [&](bool in_force) { reached = in_force; });
        REQUIRE(until([&] { return reached.has_value(); }));
        CHECK(*reached);
        waits.push_back(to_milliseconds(loop.now() - accepted));
        for (const auto& gate : gates) {
            CHECK(gate->client->current()->revision.value == i + 1);
        }
    }
    std::sort(waits.begin(), waits.end());
    MESSAGE("accepted to in force, ms: p50 "
            << waits[100] << " p99 " << waits[198] << " max " << waits.back());
    CHECK(waits[198] < 500);
}
