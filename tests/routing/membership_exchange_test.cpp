#include <bamboogate/routing/membership_exchange.hpp>

#include <doctest/doctest.h>

#include <memory>

#include "routing/support/announcements.hpp"

using namespace bamboogate;
using namespace bamboogate::routing;
using namespace std::chrono_literals;
using bamboogate::routing::testing::engine_announcement;

namespace {

/// Three gates in one process, linked over loopback.
class exchange_fixture
{
public:
    struct gate
    {
        gate(net::event_loop& loop, const std::string& name,
             const std::vector<node_id>& names)
            : hub(loop, {.identity = {node_id(name), incarnation{1},
                                      failure_domain_id("douz")},
                         .shared_secret = secret("shared"),
                         .heartbeat_interval = 20ms,
                         .heartbeat_timeout = 300ms,
                         .reconnect_interval = 10ms}),
              table({.self = node_id(name), .gates = names, .ttl = 400ms}),
              exchange(loop, hub, table,
                       {.flush_interval = 10ms, .suspicion_interval = 50ms})
        {}

        net::link_hub hub;
        upstream_table table;
        membership_exchange exchange;
    };

    exchange_fixture()
    {
        const std::vector<node_id> names{node_id("g0"), node_id("g1"),
                                         node_id("g2")};
        for (const node_id& name : names) {
            gates.push_back(std::make_unique<gate>(loop, name.value(), names));
            const auto bound = gates.back()->hub.listen({"127.0.0.1", 0});
            REQUIRE(bound);
            addresses.push_back(bound.value());
        }
    }

    void connect(std::size_t from, std::size_t to)
    {
        const node_id name("g" + std::to_string(to));
        gates[from]->hub.add_peer(name, addresses[to]);
        REQUIRE(run_until([&] {
            return gates[from]->hub.is_up(name) &&
                   gates[to]->hub.is_up(node_id("g" + std::to_string(from)));
        }));
    }

    template <typename Condition>
    bool run_until(Condition condition, duration limit = 3s)
    {
        net::timer tick(loop, [] {});
        tick.start_periodic(1ms);
        const time_point end = loop.now() + limit;
        while (!condition() && loop.now() < end) {
            loop.run_once();
        }
        return condition();
    }

    [[nodiscard]] bool has_upstream(std::size_t gate,
                                    const std::string& id) const
    {
        return gates[gate]->table.find(upstream_id(id)) != nullptr;
    }

    net::event_loop loop;
    std::vector<std::unique_ptr<gate>> gates;
    std::vector<net::address> addresses;
};

} // namespace

// Guards against a gate that joins or reconnects and lacks the upstreams that
// announced themselves before.
TEST_CASE_FIXTURE(exchange_fixture, "exchange_link_up_sends_the_full_state")
{
    for (int i = 0; i < 50; ++i) {
        gates[0]->exchange.announce(
            engine_announcement("e" + std::to_string(i), 1, 1));
    }
    connect(0, 1);
    CHECK(run_until([&] { return gates[1]->table.records().size() == 50; }));
}

// Guards against another gate sending work to an upstream that left. The design
// allows 2 s, also for a gate that is reachable only through a third one.
TEST_CASE_FIXTURE(exchange_fixture, "exchange_leave_is_forwarded_to_all_gates")
{
    connect(0, 1);
    connect(1, 2);
    gates[1]->exchange.announce(engine_announcement("e", 1, 1));
    REQUIRE(run_until(
        [&] { return has_upstream(0, "e") && has_upstream(2, "e"); }));
    gates[0]->exchange.leave(upstream_id("e"), incarnation{1});
    CHECK(run_until(
        [&] { return !has_upstream(1, "e") && !has_upstream(2, "e"); }, 2s));
}

// Guards against another gate sending work to a draining upstream, also for a
// gate that is reachable only through a third one.
TEST_CASE_FIXTURE(exchange_fixture, "exchange_drain_is_forwarded_to_all_gates")
{
    connect(0, 1);
    connect(1, 2);
    gates[1]->exchange.announce(engine_announcement("e", 1, 1));
    REQUIRE(run_until(
        [&] { return has_upstream(0, "e") && has_upstream(2, "e"); }));
    announcement draining = engine_announcement("e", 1, 2);
    draining.draining = true;
    gates[0]->exchange.announce(draining);
    CHECK(run_until(
        [&] {
            const auto* record = gates[2]->table.find(upstream_id("e"));
            return record != nullptr && !record->accepts_work();
        },
        2s));
}

// Guards against removal of an upstream that announces itself to one gate while
// the link from that gate to another one is down: a third gate sends the newer
// announcements.
TEST_CASE_FIXTURE(exchange_fixture,
                  "exchange_overdue_upstream_is_refreshed_by_peer")
{
    connect(0, 1);
    connect(1, 2);
    std::uint64_t sequence = 0;
    net::timer announcing(loop, [&] {
        gates[0]->exchange.announce(engine_announcement("e", 1, ++sequence));
    });
    announcing.start_periodic(50ms);
    // Gate 2 receives the engine's announcements only through gate 1.
    gates[1]->exchange.announce(engine_announcement("e", 1, ++sequence));
    REQUIRE(run_until([&] { return has_upstream(2, "e"); }));
    const bool lost = run_until([&] { return !has_upstream(2, "e"); }, 1500ms);
    CHECK_FALSE(lost);
    CHECK_FALSE(gates[2]->table.find(upstream_id("e"))->suspected);
    CHECK(gates[2]->table.find(upstream_id("e"))->latest.sequence > 5);
}

// Guards against an upstream that failed without a leave staying in some
// tables.
TEST_CASE_FIXTURE(exchange_fixture, "exchange_silent_upstream_removed_by_all")
{
    connect(0, 1);
    connect(0, 2);
    connect(1, 2);
    gates[0]->exchange.announce(engine_announcement("e", 1, 1));
    REQUIRE(run_until(
        [&] { return has_upstream(1, "e") && has_upstream(2, "e"); }));
    CHECK(run_until([&] {
        return !has_upstream(0, "e") && !has_upstream(1, "e") &&
               !has_upstream(2, "e");
    }));
}

// Guards against deltas above the message limit of a link.
TEST_CASE("exchange_split_bounds_each_part_and_loses_nothing")
{
    table_delta delta;
    for (int i = 0; i < 200; ++i) {
        announcement announced =
            engine_announcement("e" + std::to_string(i), 1, 1);
        announced.cache_events.events.resize(i % 7);
        delta.entries.push_back({announced, 0ms});
        delta.departures.push_back({.id = upstream_id(std::to_string(i))});
    }
    constexpr std::size_t max_bytes = 8192;
    std::size_t entries = 0;
    std::size_t departures = 0;
    for (const table_delta& part : split_delta(delta, max_bytes)) {
        entries += part.entries.size();
        departures += part.departures.size();
        CHECK(encode_cbor(json(upstream_delta{part})).size() <= max_bytes);
    }
    CHECK(entries == 200);
    CHECK(departures == 200);
}

// Guards against one invalid entry discarding the rest of a delta.
TEST_CASE("exchange_invalid_entry_is_skipped")
{
    table_delta delta;
    delta.entries.push_back({engine_announcement("e", 1, 1), 0ms});
    delta.entries.push_back({engine_announcement("f", 1, 1), 5ms});
    json document(upstream_delta{delta});
    document["entries"][0]["news"]["slots"] = -1;
    const auto parsed = from_document<upstream_delta>(document);
    REQUIRE(parsed);
    REQUIRE(parsed.value().delta.entries.size() == 1);
    CHECK(parsed.value().delta.entries[0].latest.id == upstream_id("f"));
    CHECK(parsed.value().delta.entries[0].age == 5ms);
}
