// A leader whose engines are full: streams wait, and the gates report on those
// that run.
#include <bamboogate/relay/placement_server.hpp>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "support/loop_runner.hpp"

using namespace bamboogate;
using namespace bamboogate::relay;
using namespace std::chrono_literals;

namespace {

constexpr int engines = 120;
constexpr int waiting_streams = 200;
constexpr int updates = 1000;
/// The leader's share of the control plane ends after it.
constexpr duration election_timeout = 600ms;

struct backlog_fixture
{
    net::event_loop loop;
    net::link_hub leader{loop,
                         {.identity = {node_id("leader"), {1}, {}},
                          .shared_secret = secret("s"),
                          .heartbeat_timeout = 60s}};
    net::link_hub gate{loop,
                       {.identity = {node_id("gate"), {1}, {}},
                        .shared_secret = secret("s"),
                        .heartbeat_timeout = 60s}};
    instance_registry registry{{}};
    placement_server placements{loop, leader, registry, [] { return true; }};
    service_id service{"s"};
    std::map<std::string, result<place_reply>> replies;

    backlog_fixture()
    {
        registry.declare_services({service});
        for (int i = 0; i < engines; ++i) {
            registry.record_announcement(
                {.id = upstream_id(fmt::format("engine-{:03}", i)),
                 .service = service,
                 .address = {"127.0.0.1", static_cast<std::uint16_t>(9000 + i)},
                 .domain = failure_domain_id(fmt::format("d{}", i % 3)),
                 .slots = 1,
                 .sequence = 1,
                 .started_at = 1},
                loop.now());
        }
        const auto endpoint = leader.listen({"127.0.0.1", 0});
        REQUIRE(endpoint);
        gate.add_peer(node_id("leader"), endpoint.value());
        REQUIRE(tests::run_until(loop, [&] {
            return gate.is_up(node_id("leader")) &&
                   leader.is_up(node_id("gate"));
        }));
    }
    void place(const std::string& id)
    {
        gate.call<place_request, place_reply>(
            node_id("leader"),
            {.service = service,
             .id = request_id(id),
             .account = client_account_id(fmt::format("a{}", id.back())),
             .prompt_tokens = 8000,
             .output_tokens = 800,
             .prompt = id,
             .start_within_ms = 60'000},
            60s, [this, id](result<place_reply> reply) {
                replies.insert_or_assign(id, std::move(reply));
            });
    }
    void report(const std::string& id, run_update::change what, int engine)
    {
        gate.send(
            node_id("leader"),
            run_update{
                .service = service,
                .id = request_id(id),
                .what = static_cast<std::uint8_t>(what),
                .account = client_account_id("running"),
                .prompt_tokens = 8000,
                .output_tokens = 800,
                .engine = upstream_id(fmt::format("engine-{:03}", engine)),
            });
    }
    void fill_engines()
    {
        for (int i = 0; i < engines; ++i) {
            report(fmt::format("running-{}", i), run_update::change::placed, i);
        }
        REQUIRE(tests::run_until(
            loop, [&] { return placements.running() == engines; }));
    }
};

} // namespace

// Guards against a leader that misses its heartbeats because it decides on all
// waiting streams for each report about a running one.
TEST_CASE_FIXTURE(backlog_fixture,
                  "reports_on_streams_beside_a_backlog_do_not_stall_the_leader")
{
    fill_engines();
    for (int i = 0; i < waiting_streams; ++i) {
        place(fmt::format("waiting-{}", i));
    }
    REQUIRE(tests::run_until(
        loop, [&] { return placements.waiting() == waiting_streams; }, 60s));
    const auto decisions = placements.decisions();
    duration longest{};
    loop.on_long_turn(duration::zero(), [&](duration taken) {
        longest = std::max(longest, taken);
    });
    for (int i = 0; i < updates; ++i) {
        report(fmt::format("running-{}", i % engines),
               run_update::change::started, i % engines);
    }
    report("last", run_update::change::placed, 0);
    REQUIRE(tests::run_until(
        loop, [&] { return placements.running() == engines + 1; }, 60s));
    CHECK(longest < election_timeout);
    CHECK(placements.decisions() - decisions < updates / 10);
    CHECK(placements.waiting() == waiting_streams);
}

// Guards against a waiting stream that nobody decides on again after an engine
// has become free.
TEST_CASE_FIXTURE(backlog_fixture,
                  "stream_that_waits_is_placed_when_an_engine_becomes_free")
{
    fill_engines();
    place("first");
    REQUIRE(tests::run_until(loop, [&] { return placements.waiting() == 1; }));
    report("running-7", run_update::change::ended, 7);
    REQUIRE(tests::run_until(loop, [&] { return replies.contains("first"); }));
    REQUIRE(replies.at("first"));
    CHECK(replies.at("first").value().engine == upstream_id("engine-007"));
}
