#include <doctest/doctest.h>

#include "support/fault_proxy.hpp"
#include "support/streaming_cluster.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;
using namespace std::chrono_literals;
using fakes::token_mode;
using direction = fault_proxy::direction;

// Guards against streams that wait forever on a connection whose packets are
// dropped, for example by a middlebox that lost its state, while new
// connections to the same engine work.
TEST_CASE("blackholed_engine_connection_is_replaced")
{
    for (const auto blocked : {direction::to_client, direction::both}) {
        auto settings = streaming_cluster::fast();
        settings.engines = 1;
        settings.engine.mode = token_mode::sampled;
        streaming_cluster cluster(settings);
        fault_proxy proxy(cluster.engine_loop, cluster.engines[0]->address());
        cluster.gates[0]->engines.entries["engine-0"].address =
            proxy.address().text();
        test_caller caller;
        REQUIRE(cluster.start(caller, 0, "swallowed tokens=100"));
        REQUIRE(cluster.run_until([&] { return caller.tokens.size() >= 30; }));
        proxy.blackhole(blocked);
        REQUIRE(
            cluster.run_until([&] { return caller.finish || caller.failure; }));
        CHECK(caller.is_complete(token_mode::sampled));
        CHECK(caller.finish->attempts == 2);
        // The first attempt is cancelled over a new connection.
        CHECK(cluster.run_until(
            [&] { return cluster.engines[0]->running() == 0; }));
    }
}

// Guards against gates that wait for acknowledgements on links whose packets
// are dropped: the caller must neither lose tokens nor wait for long.
TEST_CASE("blackholed_gate_links_are_replaced")
{
    auto settings = streaming_cluster::fast();
    settings.engine.mode = token_mode::sampled;
    settings.gates = 2;
    streaming_cluster cluster(settings);
    // Both gates reach each other through proxies only.
    const node_id first("gate-0");
    const node_id second("gate-1");
    fault_proxy to_first(cluster.engine_loop, cluster.gates[0]->link_address);
    fault_proxy to_second(cluster.engine_loop, cluster.gates[1]->link_address);
    cluster.gates[0]->hub->remove_peer(second);
    cluster.gates[1]->hub->remove_peer(first);
    cluster.gates[0]->hub->add_peer(second, to_second.address());
    cluster.gates[1]->hub->add_peer(first, to_first.address());
    REQUIRE(cluster.run_until([&] {
        return cluster.gates[0]->hub->is_up(second) &&
               cluster.gates[1]->hub->is_up(first);
    }));
    test_caller caller;
    REQUIRE(cluster.start(caller, 0, "swallowed link tokens=500"));
    REQUIRE(cluster.run_until([&] { return caller.tokens.size() >= 50; }));
    to_first.blackhole(direction::both);
    to_second.blackhole(direction::both);
    REQUIRE(cluster.run_until([&] { return caller.finish || caller.failure; }));
    CHECK(caller.is_complete(token_mode::sampled));
    CHECK(cluster.gates[0]->service->totals().tokens_without_copy == 0);
    CHECK(caller.longest_pause() < 2s);
}
