#include <bamboogate/observability/metrics.hpp>
#include <bamboogate/relay/log_events.hpp>
#include <bamboogate/relay/process_log.hpp>

#include <fmt/format.h>

namespace bamboogate::relay {

using observability::log;
namespace events = log_events;

namespace {

/// The interval of the replicas' heartbeats: a longer turn delays one.
constexpr duration long_turn = std::chrono::milliseconds(100);

} // namespace

void log_link_established(const net::peer_info& peer)
{
    log(events::control_link_up,
        {{"peer", peer.node.value()}, {"domain", peer.failure_domain.value()}});
}

void log_link_lost(const net::peer_info& peer, const net::link_end& end)
{
    log(events::control_link_down,
        {{"peer", peer.node.value()},
         {"domain", peer.failure_domain.value()},
         {"cause", end.cause},
         {"silent_ms", to_milliseconds(end.silent)}});
}

void log_link_traffic(const net::link_hub::traffic& totals)
{
    std::string types;
    for (const auto& [type, sent] : totals.sent_by_type) {
        types += fmt::format("{}{}:{}/{}", types.empty() ? "" : " ", type,
                             sent.messages, sent.bytes);
    }
    log(events::link_traffic, {{"sent_bytes", totals.bytes_sent},
                               {"received_bytes", totals.bytes_received},
                               {"messages", totals.messages_sent},
                               {"by_type", types}});
}

void log_long_turns(net::event_loop& loop)
{
    loop.on_long_turn(long_turn, [](duration taken) {
        log(events::loop_turn_long, {{"turn_ms", to_milliseconds(taken)}});
    });
}

std::string turn_metrics(const net::event_loop& loop)
{
    observability::metric_registry registry;
    const auto totals = loop.turns();
    registry.add_counter("bamboogate_loop_turns_total", "Turns of the loop.")
        .add(totals.turns);
    registry
        .add_gauge("bamboogate_loop_longest_turn_seconds",
                   "Longest turn of the loop since the start.")
        .set(to_seconds(totals.longest));
    return registry.prometheus_text();
}

} // namespace bamboogate::relay
