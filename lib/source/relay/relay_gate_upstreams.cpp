// What a gate learns of its upstreams: their announcements, departures and
// statements, losses and probes, and the paths to them.
#include <bamboogate/relay/log_events.hpp>
#include <bamboogate/relay/relay_gate.hpp>

namespace bamboogate::relay {

using observability::log;
namespace events = log_events;

void relay_gate::on_announcement(const announcement& announced)
{
    const instance* before = directory_.find(announced.id);
    const bool restarted = before != nullptr &&
                           before->announced.started_at < announced.started_at;
    const auto change = directory_.record_announcement(announced, loop_.now());
    if (change != instance_registry::change::updated) {
        return;
    }
    log(events::upstream_changed,
        {{"upstream", announced.id.value()},
         {"service", announced.service.value()},
         {"where", announced.address.text()},
         {"state", announced.draining ? "leaving" : "ready"},
         {"started_at", announced.started_at},
         {"sequence", announced.sequence}});
    if (restarted) {
        for (const auto& each : exchanges()) {
            each->on_copies_lost(announced.id);
        }
    }
    // A new start at this address replaces the previous one.
    for (const auto& [id, each] : directory_.registry().instances()) {
        if (each.state == instance_state::lost &&
            each.announced.address == announced.address) {
            client_.close_idle_connections(each.announced.address);
            planners_[each.announced.service].remove_engine(id);
            fail_attempts_on(id);
        }
    }
}

void relay_gate::on_departure(const announcement& announced)
{
    if (directory_.record_departure(announced, loop_.now()) !=
        instance_registry::change::none) {
        log(events::upstream_changed, {{"upstream", announced.id.value()},
                                       {"state", "leaving"},
                                       {"cause", "deregistered"}});
    }
}

void relay_gate::on_statement(const upstream_id& id, std::uint64_t started_at,
                              const response_description& answer)
{
    const instance* upstream = directory_.find(id);
    if (upstream == nullptr || !answer.expected_upstream ||
        upstream->announced.started_at != started_at) {
        return;
    }
    if (answer.leaving && upstream->state == instance_state::ready) {
        const announcement announced = upstream->announced;
        static_cast<void>(directory_.record_departure(announced, loop_.now()));
        log(events::upstream_changed, {{"upstream", id.value()},
                                       {"state", "leaving"},
                                       {"cause", "stated"}});
        feed_.report_leaving(announced);
    }
    if (answer.pause) {
        metrics_.pauses.add();
        const duration kept =
            directory_.health(id).note_pause(loop_.now(), *answer.pause);
        log(events::upstream_paused,
            {{"upstream", id.value()},
             {"stated_ms", to_milliseconds(*answer.pause)},
             {"kept_ms", to_milliseconds(kept)}});
        if (kept > duration::zero()) {
            feed_.report_pause(
                {.upstream = id,
                 .started_at = upstream->announced.started_at,
                 .pause_ms =
                     std::chrono::duration_cast<std::chrono::milliseconds>(kept)
                         .count()});
        }
    }
}

void relay_gate::on_loss_observed(const upstream_id& id)
{
    const instance* upstream = directory_.find(id);
    if (upstream == nullptr) {
        return;
    }
    client_.close_idle_connections(upstream->announced.address);
    // The streams of one engine are lost together; the first report is enough.
    // What a partitioned gate sees is no evidence against an upstream.
    if (!paths_.partitioned() && reported_suspicions_.admit(id, loop_.now())) {
        log(events::upstream_suspended,
            {{"upstream", id.value()},
             {"state", name_of(upstream->state)},
             {"failures", directory_.health(id).failures()}});
        feed_.report_suspicion(id);
    }
    check_upstream(*upstream);
}

void relay_gate::on_suspicion(const upstream_id& id)
{
    const instance* upstream = directory_.find(id);
    if (upstream != nullptr) {
        check_upstream(*upstream);
    }
}

void relay_gate::check_upstream(const instance& upstream)
{
    const upstream_id id = upstream.announced.id;
    const net::address address = upstream.announced.address;
    // The leader places the streams of engines, so a gate without a stream
    // there has nothing to lose. It chooses plain upstreams itself, and the
    // probe keeps its next request away from a dead one.
    bool concerned = context_.profile(upstream.announced.service) == nullptr;
    const bool leaving = upstream.state == instance_state::leaving;
    for (const auto& each : exchanges()) {
        // One that leaves is also suspected because it refuses connections,
        // which the probe tells from the loss of its host.
        if (!leaving) {
            each->on_upstream_suspected(id);
        }
        concerned = concerned || each->uses_upstream(id);
    }
    if (concerned) {
        prober_.probe(id, address);
    }
}

void relay_gate::probe(const upstream_id& id,
                       std::function<void(probe_result)> on_result)
{
    const instance* upstream = directory_.find(id);
    if (upstream == nullptr) {
        loop_.post([on_result = std::move(on_result)] {
            on_result(probe_result::silent);
        });
        return;
    }
    probe_observers_[id].push_back(std::move(on_result));
    prober_.probe(id, upstream->announced.address);
}

void relay_gate::on_probe_finished(const upstream_id& id, probe_result observed)
{
    // The refusal may come from the partition.
    const probe_result outcome =
        observed == probe_result::refused && paths_.partitioned()
            ? probe_result::silent
            : observed;
    if (auto observers = probe_observers_.extract(id)) {
        for (const auto& observer : observers.mapped()) {
            observer(outcome);
        }
    }
    if (outcome == probe_result::refused) {
        quarantine_.confirm(id, loop_.now());
    } else {
        quarantine_.dismiss(id);
    }
    if (outcome == probe_result::accepted) {
        return;
    }
    directory_.health(id).note_failure(loop_.now());
    log(events::upstream_suspended,
        {{"upstream", id.value()},
         {"cause", "probe_failed"},
         {"probe", name_of(outcome)},
         {"state", directory_.registry().state_name(id)},
         {"failures", directory_.health(id).failures()}});
    const instance* upstream = directory_.find(id);
    const bool leaving =
        upstream != nullptr && upstream->state == instance_state::leaving;
    if (leaving && outcome == probe_result::refused) {
        // It accepts no new work, but completes what runs there: its host
        // answers, so the connections of a process that ended would be reset.
        for (const auto& each : exchanges()) {
            each->on_copies_lost(id);
        }
        return;
    }
    fail_attempts_on(id);
}

void relay_gate::fail_attempts_on(const upstream_id& id)
{
    for (const auto& each : exchanges()) {
        each->on_upstream_lost(id);
    }
}

gate_paths::observers relay_gate::path_observers()
{
    return {
        .is_upstream =
            [this](const net::address& asked) {
                const instance* known = directory_.registry().find_at(asked);
                return known != nullptr && known->state != instance_state::lost;
            },
        .find_gates =
            [this](const find_gates& request,
                   std::function<void(result<gates_found>)> on_reply) {
                feed_.find_gates(request, std::move(on_reply));
            },
        .report =
            [this](bool reaches_upstreams) {
                if (settings_.tunnel_address) {
                    feed_.report_reachability(reaches_upstreams);
                }
            }};
}

} // namespace bamboogate::relay
