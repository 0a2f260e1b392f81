// Distributes the upstreams' announcements: to the other replicas, which need
// all of them, and to the gates that are subscribed to this replica.
#include <bamboogate/relay/control_node.hpp>
#include <bamboogate/relay/log_events.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace bamboogate::relay {

namespace {

using observability::log;
namespace events = log_events;

/// Unchanged announcements are sent in full to the other replicas at this
/// interval, for replicas of earlier builds, which ignore refreshes.
constexpr duration full_announcement_interval = std::chrono::seconds(10);

void log_change(const announcement& announced)
{
    log(events::upstream_changed,
        {{"upstream", announced.id.value()},
         {"service", announced.service.value()},
         {"where", announced.address.text()},
         {"state", announced.draining ? "leaving" : "ready"},
         {"sequence", announced.sequence}});
}

} // namespace

announcement_update control_node::known_upstreams() const
{
    announcement_update update;
    for (const auto& [id, each] : registry_.instances()) {
        if (each.state == instance_state::lost) {
            continue;
        }
        update.heard.push_back(each.announced);
        if (each.state == instance_state::leaving) {
            update.leaving.push_back(each.announced);
        }
    }
    for (const auto& [id, each] : registry_.departures()) {
        update.leaving.push_back({.id = id, .started_at = each.started_at});
    }
    return update;
}

void control_node::on_subscribe(const net::peer_info& peer,
                                const subscribe& subscription)
{
    if (!subscription.active) {
        gates_.erase(peer.node);
        return;
    }
    gates_.insert_or_assign(peer.node, subscription.reads_refreshes);
    hub_.send(peer.node, view());
    // Before the upstreams, so that a new gate does not take those of a version
    // on trial for ordinary ones.
    send_rollouts(peer.node);
    hub_.send(peer.node, recorded_versions{store_.versions().versions()});
    hub_.send(peer.node, known_upstreams());
    send_quarantines(peer.node);
}

void control_node::on_announcement(const announcement& announced,
                                   const acknowledge_callback& callback)
{
    forward_announcement(announced);
    if (announced.draining) {
        confirm_leaving({.announced = announced}, callback);
        return;
    }
    callback(outcome::success());
}

void control_node::forward_announcement(const announcement& announced)
{
    const time_point now = loop_.now();
    const auto change = registry_.record_announcement(announced, now);
    if (change == instance_registry::change::none) {
        return;
    }
    time_point& sent = last_forwarded_[announced.id];
    if (change == instance_registry::change::refreshed &&
        now - sent < full_announcement_interval) {
        pending_refreshes_.insert(announced.id);
        return;
    }
    sent = now;
    const announcement_update update{
        .heard = {announced}, .leaving = {}, .refreshed = {}};
    send_to_replicas(update);
    if (change == instance_registry::change::updated) {
        log_change(announced);
        send_to_gates(update);
        record_versions();
    }
}

void control_node::on_departure(const announcement& announced,
                                const acknowledge_callback& callback)
{
    forward_departure(announced);
    confirm_leaving({.announced = announced, .deregistered = true}, callback);
}

void control_node::forward_departure(const announcement& announced)
{
    const auto change = registry_.record_departure(
        announced.id, announced.started_at, loop_.now());
    if (change != instance_registry::change::none) {
        log(events::upstream_changed, {{"upstream", announced.id.value()},
                                       {"state", "leaving"},
                                       {"cause", "deregistered"}});
    }
    // Another replica may know this upstream even if this one doesn't, so all
    // of them and the gates are informed in any case.
    const announcement_update update{
        .heard = {}, .leaving = {announced}, .refreshed = {}};
    send_to_replicas(update);
    send_to_gates(update);
}

void control_node::on_response(const upstream_id& id,
                               const response_description& answer)
{
    refusing_.erase(id);
    const instance* engine = registry_.find(id);
    if (engine == nullptr || !answer.expected_upstream) {
        return;
    }
    if (answer.leaving) {
        const announcement announced = engine->announced;
        on_leaving_statement(announced);
    }
    if (answer.pause && *answer.pause > duration::zero()) {
        placements_.on_pause(
            {.upstream = id,
             .started_at = engine->announced.started_at,
             .pause_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                             *answer.pause)
                             .count()});
    }
}

void control_node::on_leaving_statement(const announcement& announced)
{
    const instance* known = registry_.find(announced.id);
    const bool recorded = known != nullptr &&
                          known->state != instance_state::ready &&
                          known->announced.started_at >= announced.started_at;
    // Every gate that uses the upstream may report it, and each departure is
    // sent to all gates.
    if (!recorded) {
        forward_departure(announced);
    }
}

void control_node::on_announcement_update(const announcement_update& update)
{
    const time_point now = loop_.now();
    announcement_update changed;
    for (const auto& each : update.heard) {
        if (registry_.record_announcement(each, now) ==
            instance_registry::change::updated) {
            changed.heard.push_back(each);
        }
    }
    for (const auto& each : update.leaving) {
        const bool unknown = registry_.find(each.id) == nullptr;
        if (registry_.record_departure(each.id, each.started_at, now) !=
                instance_registry::change::none ||
            unknown) {
            changed.leaving.push_back(each);
        }
    }
    for (const auto& each : update.refreshed) {
        registry_.record_refresh(each.id, each.started_at, each.sequence, now);
    }
    if (!changed.heard.empty() || !changed.leaving.empty()) {
        send_to_gates(changed);
        record_versions();
    }
}

void control_node::send_to_replicas(const announcement_update& update)
{
    for (const auto& node : known_replicas_) {
        hub_.send(node_id(node), update);
    }
}

void control_node::send_quarantines(const node_id& peer)
{
    for (const auto& each : placements_.quarantines()) {
        hub_.send(peer, each);
    }
    for (const auto& each : placements_.suspicions()) {
        hub_.send(peer, each);
    }
}

bool control_node::lift_quarantine(const service_id& service,
                                   std::vector<std::string> parts)
{
    const quarantine_update lifted{.service = service,
                                   .parts = std::move(parts)};
    if (!placements_.add_quarantine(lifted)) {
        return false;
    }
    for (const auto& node : known_replicas_) {
        hub_.send(node_id(node), lifted);
    }
    send_to_gates(lifted);
    return true;
}

void control_node::send_refreshes()
{
    announcement_update update;
    for (const auto& id : pending_refreshes_) {
        if (const instance* each = registry_.find(id)) {
            update.refreshed.push_back(
                {.id = id,
                 .started_at = each->announced.started_at,
                 .sequence = each->announced.sequence});
        }
    }
    pending_refreshes_.clear();
    if (!update.refreshed.empty()) {
        send_to_replicas(update);
    }
    const time_point now = loop_.now();
    if (now - gates_refreshed_at_ < settings_.refresh_interval) {
        return;
    }
    announcement_update for_gates;
    announcement_update for_earlier_builds;
    for (const auto& [id, each] : registry_.instances()) {
        if (each.state == instance_state::ready &&
            each.last_seen >= gates_refreshed_at_) {
            for_gates.refreshed.push_back(
                {.id = id,
                 .started_at = each.announced.started_at,
                 .sequence = each.announced.sequence});
            for_earlier_builds.heard.push_back(each.announced);
        }
    }
    gates_refreshed_at_ = now;
    for (const auto& [gate, reads_refreshes] : gates_) {
        hub_.send(gate, reads_refreshes ? for_gates : for_earlier_builds);
    }
}

} // namespace bamboogate::relay
