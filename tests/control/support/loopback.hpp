#ifndef BAMBOOGATE_TESTS_CONTROL_LOOPBACK_HPP
#define BAMBOOGATE_TESTS_CONTROL_LOOPBACK_HPP

#include <bamboogate/control/control_client.hpp>
#include <bamboogate/control/control_server.hpp>
#include <bamboogate/net/link_hub.hpp>

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "local_log.hpp"
#include "samples.hpp"
#include "support/loop_runner.hpp"

namespace bamboogate::tests {

inline std::unique_ptr<net::link_hub>
make_hub(net::event_loop& loop, const std::string& name,
         std::uint64_t incarnation_number = 1)
{
    return std::make_unique<net::link_hub>(
        loop, net::link_hub::options{
                  .identity = {node_id(name), incarnation{incarnation_number},
                               failure_domain_id("south")},
                  .shared_secret = secret("secret of the tests"),
                  .heartbeat_interval = std::chrono::milliseconds(20),
                  .heartbeat_timeout = std::chrono::milliseconds(200),
                  .reconnect_interval = std::chrono::milliseconds(10)});
}

/// A gate in this process.
struct test_gate
{
    std::unique_ptr<net::link_hub> hub;
    std::unique_ptr<control::control_client> client;
    std::vector<std::uint64_t> revisions;
};

/// Control replicas `c1` to `cN`, each with its own in-memory log over one
/// shared state, so that tests can move leadership freely.
class loopback_fixture
{
public:
    net::event_loop loop;
    control::state_machine state;
    log_driver driver{state};

    struct node
    {
        std::unique_ptr<net::link_hub> hub;
        std::unique_ptr<local_log> log;
        std::unique_ptr<control::control_server> server;
        net::address listen_address;
    };
    std::vector<node> nodes;
    std::map<std::string, test_gate> gates;

    control::control_server::options server_options{
        .lease = std::chrono::milliseconds(300),
        .gate_loss_timeout = std::chrono::milliseconds(600),
        .time_step = std::chrono::milliseconds(50),
        .check_interval = std::chrono::milliseconds(5)};

    void start_nodes(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            node each;
            each.hub = make_hub(loop, "c" + std::to_string(i + 1));
            const auto bound = each.hub->listen({"127.0.0.1", 0});
            REQUIRE(bound);
            each.listen_address = bound.value();
            each.log = std::make_unique<local_log>(loop, state);
            each.log->leads = i == 0;
            each.log->known_leader = node_id("c1");
            each.server = std::make_unique<control::control_server>(
                loop, *each.hub, *each.log, state, server_options);
            nodes.push_back(std::move(each));
        }
    }

    void move_leadership(std::size_t to)
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            nodes[i].log->known_leader = node_id("c" + std::to_string(to + 1));
            if (i != to && nodes[i].log->leads) {
                nodes[i].log->set_leader(false);
            }
        }
        nodes[to].log->set_leader(true);
    }

    test_gate& start_gate(const std::string& name,
                          std::uint64_t incarnation_number = 1)
    {
        auto& gate = gates[name];
        gate.hub = make_hub(loop, name, incarnation_number);
        std::vector<node_id> replicas;
        for (const auto& each : nodes) {
            gate.hub->add_peer(each.hub->self().node, each.listen_address);
            replicas.push_back(each.hub->self().node);
        }
        gate.client = std::make_unique<control::control_client>(
            loop, *gate.hub,
            control::control_client::options{
                .replicas = replicas,
                .renew_interval = std::chrono::milliseconds(50)});
        gate.client->on_configuration(
            [&gate](const control::configuration& now) {
                gate.revisions.push_back(now.revision.value);
            });
        return gate;
    }

    void stop_gate(const std::string& name)
    {
        gates.at(name).client.reset();
        gates.at(name).hub.reset();
        gates.erase(name);
    }

    template <typename Condition>
    bool until(Condition condition, duration limit = std::chrono::seconds(5))
    {
        return run_until(loop, condition, limit);
    }

    void run_for(duration length)
    {
        run_until(
            loop, [] { return false; }, length);
    }

    result<control::call_decision>
    begin(test_gate& gate, const std::string& key,
          duration deadline = std::chrono::seconds(3))
    {
        control::call_begin request;
        request.ticket.account = client_account_id("small");
        request.ticket.idempotency_key = key;
        request.service = service_id("booking");
        request.body_digest = "digest";
        std::optional<result<control::call_decision>> end;
        gate.client->begin_call(request, deadline,
                                [&end](result<control::call_decision> r) {
                                    end.emplace(std::move(r));
                                });
        REQUIRE(until([&] { return end.has_value(); }));
        return *end;
    }

    control::decision_kind decide(test_gate& gate, const std::string& key,
                                  duration deadline = std::chrono::seconds(3))
    {
        const auto decision = begin(gate, key, deadline);
        if (!decision) {
            FAIL(decision.error().detail);
        }
        return decision.value().kind;
    }

    result<void> complete(test_gate& gate, const control::call_ticket& ticket)
    {
        std::optional<result<void>> end;
        gate.client->complete_call(
            {ticket, {201, {}, "booked"}}, std::chrono::seconds(3),
            [&end](result<void> r) { end.emplace(std::move(r)); });
        REQUIRE(until([&] { return end.has_value(); }));
        return *end;
    }
};

} // namespace bamboogate::tests

#endif
