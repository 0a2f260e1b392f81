#include <bamboogate/relay/gate_quarantine.hpp>
#include <bamboogate/relay/log_events.hpp>
#include <bamboogate/relay/placement_server.hpp>
#include <bamboogate/relay/upstream_health.hpp>

#include <algorithm>
#include <set>
#include <string_view>
#include <vector>

namespace bamboogate::relay {

using observability::log;
namespace events = log_events;

namespace {

/// Interval at which waiting demands are re-evaluated, to refuse those that can
/// no longer start in time.
constexpr duration reevaluation_interval = std::chrono::milliseconds(100);
/// Pause after a decision, as a multiple of the time that it took: deciding
/// takes a quarter of the leader's time at most, and its heartbeats, reports
/// and changes of the configuration get the rest.
constexpr int decision_pause_factor = 3;
/// A suspected engine receives no streams until its next announcement. The
/// suspension ends after this time even without one, because the connection
/// that carries the announcements may be the only one that is lost.
constexpr duration suspension = std::chrono::seconds(6);
/// Limit of the wait for the engines' caches. Engines answer within a few
/// milliseconds; an unresponsive one must not delay the streams for longer.
constexpr duration max_cache_wait = std::chrono::milliseconds(120);
/// Crashes under a request after which the gates report answers to it. A single
/// crash makes all requests that ran there suspects, most of which never crash
/// another one.
constexpr unsigned announced_crashes = 2;
/// KV cache capacity assumed for an engine whose service declares none.
constexpr std::uint64_t default_kv_capacity_tokens = 100000;

} // namespace

placement_server::placement_server(net::event_loop& loop, net::link_hub& hub,
                                   const instance_registry& registry,
                                   std::function<bool()> is_leader)
    : loop_(loop), registry_(registry), is_leader_(std::move(is_leader)),
      reevaluation_timer_(loop, [this] { reevaluate(); }),
      decision_timer_(loop, [this] { decide_due(); })
{
    hub.serve<place_request, place_reply>(
        [this](const net::peer_info& peer, const place_request& request,
               const auto& reply) { on_request(peer, request, reply); });
    hub.serve<copy_request, copy_reply>([this](const net::peer_info&,
                                               const copy_request& request,
                                               const auto& reply) {
        if (!is_leader_()) {
            reply(fail(errc::not_leader));
            return;
        }
        reply(on_copy_request(request));
    });
    hub.on<run_update>(
        [this](const net::peer_info& peer, const run_update& update) {
            on_update(peer, update);
        });
    hub.on<crash_report>(
        [this](const net::peer_info&, const crash_report& report) {
            on_crash(report);
        });
    hub.on<suspect_answered>(
        [this](const net::peer_info&, const suspect_answered& answered) {
            on_suspect_answered(answered);
        });
    reevaluation_timer_.start_periodic(reevaluation_interval);
}

void placement_server::on_configuration(const configuration& current)
{
    profiles_.clear();
    for (const auto& each : current.services) {
        if (each.engine) {
            profiles_[each.name] = *each.engine;
        }
    }
}

void placement_server::on_suspicion(const upstream_id& id)
{
    suspected_at_[id] = loop_.now();
}

void placement_server::on_pause(const pause_statement& statement)
{
    pause& kept = pauses_[statement.upstream];
    if (statement.started_at < kept.started_at) {
        return;
    }
    const time_point until =
        loop_.now() +
        std::clamp<duration>(std::chrono::milliseconds(statement.pause_ms),
                             duration::zero(), max_upstream_pause);
    kept = {statement.started_at, statement.started_at == kept.started_at
                                      ? std::max(kept.until, until)
                                      : until};
}

std::optional<std::size_t>
placement_server::allowed_by_pause(const upstream_id& id,
                                   const instance& engine,
                                   const stream_planner& planner) const
{
    const auto found = pauses_.find(id);
    if (found == pauses_.end() ||
        found->second.started_at != engine.announced.started_at) {
        return std::nullopt;
    }
    const bool on_trial = loop_.now() >= found->second.until &&
                          planner.pending_prefill_tokens(id) == 0;
    return on_trial ? 1 : 0;
}

bool placement_server::add_quarantine(const quarantine_update& update)
{
    if (!quarantines_[update.service].add(to_quarantine(update), loop_.now())) {
        return false;
    }
    log_quarantine_added(update);
    return true;
}

std::vector<quarantine_update> placement_server::quarantines() const
{
    std::vector<quarantine_update> out;
    for (const auto& [service, quarantine] : quarantines_) {
        for (const auto& each : quarantine.quarantined(loop_.now())) {
            out.push_back(make_quarantine_update(service, each));
        }
    }
    return out;
}

std::vector<suspicion_update> placement_server::suspicions() const
{
    std::vector<suspicion_update> out;
    for (const auto& [service, quarantine] : quarantines_) {
        for (const auto& [request, crashes] : quarantine.suspected_requests()) {
            if (crashes >= announced_crashes) {
                out.push_back({.service = service,
                               .request = request,
                               .crashes = crashes});
            }
        }
    }
    return out;
}

void placement_server::on_crash(const crash_report& report)
{
    if (!is_leader_()) {
        return;
    }
    prompt_quarantine& quarantine = quarantines_[report.service];
    if (!report.confirmed) {
        quarantine.note_broken(report.shared_parts, loop_.now());
        return;
    }
    const unsigned before = quarantine.crashes_of(report.request);
    note_quarantined_elsewhere(report);
    const auto decided = count_crash(quarantine, report, loop_.now());
    const unsigned crashes = quarantine.crashes_of(report.request);
    if (crashes > before && crashes >= announced_crashes) {
        announce_suspicion({.service = report.service,
                            .request = report.request,
                            .crashes = crashes});
    }
    for (const auto& update : decided) {
        if (on_quarantine_) {
            on_quarantine_(update);
        }
    }
    if (!decided.empty()) {
        request_decision(report.service);
    }
}

void placement_server::announce_suspicion(const suspicion_update& update)
{
    log(events::suspicion_changed, {{"service", update.service.value()},
                                    {"fingerprint", update.request},
                                    {"crashes", update.crashes}});
    if (on_suspicion_changed_) {
        on_suspicion_changed_(update);
    }
}

void placement_server::note_quarantined_elsewhere(const crash_report& report)
{
    const std::span request(&report.request, 1);
    const time_point now = loop_.now();
    for (const auto& [service, quarantine] : quarantines_) {
        if (service != report.service &&
            quarantine.quarantine_of(request, now)) {
            const unsigned missing = prompt_quarantine::options().max_crashes;
            quarantines_[report.service].add_suspicion(report.request,
                                                       missing - 1, now);
            return;
        }
    }
}

bool placement_server::add_suspicion(const suspicion_update& update)
{
    prompt_quarantine& quarantine = quarantines_[update.service];
    return update.crashes == 0
               ? quarantine.clear_suspicion(update.request)
               : quarantine.add_suspicion(update.request, update.crashes,
                                          loop_.now());
}

void placement_server::on_suspect_answered(const suspect_answered& answered)
{
    if (!is_leader_()) {
        return;
    }
    prompt_quarantine& quarantine = quarantines_[answered.service];
    const unsigned crashes = quarantine.crashes_of(answered.request);
    quarantine.clear_suspicion(answered.request);
    if (crashes >= announced_crashes) {
        announce_suspicion(
            {.service = answered.service, .request = answered.request});
    }
    // The answer to an attempt that was sent before the quarantine.
    const quarantine_update lifted{.service = answered.service,
                                   .parts = {answered.request}};
    if (add_quarantine(lifted) && on_quarantine_) {
        on_quarantine_(lifted);
    }
}

void placement_server::on_leadership_gained()
{
    leader_since_ = loop_.now();
    caches_awaited_until_ = leader_since_ + max_cache_wait;
}

void placement_server::on_caches_known()
{
    caches_awaited_until_ = {};
    reevaluate();
}

void placement_server::on_cache(const upstream_id& id,
                                std::span<const cached_prompt> changes)
{
    const auto found = registry_.instances().find(id);
    if (found == registry_.instances().end()) {
        return;
    }
    std::set<std::string_view> cached;
    for (const auto& each : changes) {
        if (each.cached) {
            cached.insert(each.prompt);
        } else {
            cached.erase(each.prompt);
        }
    }
    stream_planner& planner =
        schedulers_[found->second.announced.service].planner();
    for (const auto prompt : cached) {
        planner.note_cached_prompt(std::string(prompt), id, loop_.now());
    }
    log(events::engine_cache_read, {{"upstream", id.value()},
                                    {"changes", changes.size()},
                                    {"prompts", cached.size()}});
}

void placement_server::remove_gate(const node_id& gate)
{
    std::vector<request_id> removed;
    for (const auto& [id, owner] : owners_) {
        if (owner.first == gate) {
            removed.push_back(id);
        }
    }
    for (const auto& id : removed) {
        schedulers_[owners_[id].second].end(id);
        owners_.erase(id);
        pending_.erase(id);
    }
}

std::set<node_id> placement_server::gates_using(const upstream_id& id) const
{
    std::set<node_id> gates;
    for (const auto& [service, scheduler] : schedulers_) {
        for (const auto& run : scheduler.planner().runs_using(id)) {
            const auto owner = owners_.find(run);
            if (owner != owners_.end()) {
                gates.insert(owner->second.first);
            }
        }
    }
    return gates;
}

std::size_t placement_server::running_on(const upstream_id& id) const
{
    std::size_t count = 0;
    for (const auto& [service, scheduler] : schedulers_) {
        count += scheduler.planner().runs(id);
    }
    return count;
}

void placement_server::reset()
{
    schedulers_.clear();
    owners_.clear();
    const auto pending = std::exchange(pending_, {});
    for (const auto& [id, each] : pending) {
        each.reply(fail(errc::not_leader));
    }
}

void placement_server::on_request(
    const net::peer_info& peer, const place_request& request,
    std::function<void(result<place_reply>)> reply)
{
    if (!is_leader_()) {
        reply(fail(errc::not_leader));
        return;
    }
    const std::uint64_t stream = stream_key(
        request.account, request.stream.empty() ? request.id : request.stream);
    std::optional<software_version> begun_at;
    if (request.resuming && request.version_known) {
        begun_at = request.version;
    } else if (request.resuming) {
        const origin_reply origin = origin_of(request.service, stream);
        if (origin.state != static_cast<std::uint8_t>(origin_state::known)) {
            reply(place_reply{.origin = origin.state});
            return;
        }
        begun_at = origin.version;
    }
    const time_point now = loop_.now();
    stream_demand demand{
        .run = {.id = request.id,
                .rank = request.rank,
                .urgent = request.urgent,
                .prompt_tokens = request.prompt_tokens,
                .output_tokens = request.output_tokens,
                .prompt = request.prompt,
                .begun_at = begun_at},
        .account = request.account,
        .excluded = {request.excluded.begin(), request.excluded.end()},
        .resuming = request.resuming,
        .arrived = now,
        .latest_start =
            now + std::chrono::milliseconds(request.start_within_ms),
        .shared_parts = request.shared_parts,
        .trial = request.trial};
    pending_[request.id] = {request.service, peer.node, stream, begun_at,
                            std::move(reply)};
    owners_[request.id] = {peer.node, request.service};
    schedulers_[request.service].submit(std::move(demand));
    request_decision(request.service);
}

copy_reply placement_server::on_copy_request(const copy_request& request)
{
    stream_scheduler& scheduler = schedulers_[request.service];
    refresh(request.service, scheduler);
    const auto holder = scheduler.planner().replace_copy_holder(
        request.id, {request.excluded.begin(), request.excluded.end()});
    log(events::copy_placed,
        {{"request", request.id.value()},
         {"holder", holder.value_or(upstream_id()).value()},
         {"excluded", request.excluded.size()}});
    return {holder.value_or(upstream_id())};
}

void placement_server::on_update(const net::peer_info& peer,
                                 const run_update& update)
{
    if (!is_leader_()) {
        return;
    }
    stream_scheduler& scheduler = schedulers_[update.service];
    switch (static_cast<run_update::change>(update.what)) {
    case run_update::change::placed:
        scheduler.add_running({.id = update.id,
                               .rank = update.rank,
                               .urgent = update.urgent,
                               .prompt_tokens = update.prompt_tokens,
                               .output_tokens = update.output_tokens,
                               .prompt = update.prompt},
                              update.account,
                              {.engine = update.engine,
                               .copy_holder = named_holder(update.copy_holder)},
                              update.unread_tokens, loop_.now(),
                              update.shared_parts);
        owners_[update.id] = {peer.node, update.service};
        return;
    case run_update::change::started:
        note_begun(update);
        quarantines_[update.service].note_started(
            scheduler.note_started(update.id));
        if (const auto paused = pauses_.find(update.engine);
            paused != pauses_.end() && loop_.now() >= paused->second.until) {
            pauses_.erase(paused);
        }
        break;
    case run_update::change::ended:
        scheduler.end(update.id);
        owners_.erase(update.id);
        send_reply(update.id, fail(errc::cancelled));
        break;
    }
    if (scheduler.waiting() > 0) {
        request_decision(update.service);
    }
}

void placement_server::refresh(const service_id& service,
                               stream_scheduler& scheduler)
{
    const time_point now = loop_.now();
    const auto profile = profiles_.find(service);
    const auto* rollout = rollouts_.find(service);
    std::set<software_version> continuing;
    scheduler.planner().suspend_all();
    std::optional<duration> shortest_pause;
    for (const auto& [id, each] : registry_.instances()) {
        if (each.announced.service != service) {
            continue;
        }
        const auto suspected = suspected_at_.find(id);
        const bool suspended = suspected != suspected_at_.end() &&
                               each.last_seen <= suspected->second &&
                               now - suspected->second < suspension;
        const auto allowed = allowed_by_pause(id, each, scheduler.planner());
        const software_version& version = each.announced.version;
        const bool usable = each.state == instance_state::ready && !suspended &&
                            allowed != 0 && is_recorded(service, version);
        const std::size_t slots = allowed
                                      ? scheduler.planner().runs(id) + *allowed
                                      : each.announced.slots;
        if (each.state == instance_state::ready) {
            const duration left =
                allowed == 0 ? pauses_.at(id).until - now : duration::zero();
            shortest_pause = std::min(shortest_pause.value_or(left), left);
            if (rollout == nullptr || rollout->may_continue(version)) {
                continuing.insert(version);
            }
        }
        scheduler.planner().update_engine(
            {.id = id,
             .domain = each.announced.domain,
             .kv_capacity_tokens = profile != profiles_.end()
                                       ? profile->second.kv_capacity_tokens
                                       : default_kv_capacity_tokens,
             .slots = static_cast<unsigned>(slots),
             .usable = usable,
             .version = version});
    }
    scheduler.planner().reserve_scarce_versions();
    scheduler.set_continuing_versions(std::move(continuing));
    update_versions(service, scheduler);
    scheduler.engines_paused_for(
        std::max(shortest_pause.value_or(duration::zero()), duration::zero()));
}

void placement_server::decide(const service_id& service)
{
    if (loop_.now() < caches_awaited_until_) {
        return;
    }
    ++decisions_;
    stream_scheduler& scheduler = schedulers_[service];
    refresh(service, scheduler);
    const auto decisions = scheduler.decide(loop_.now(), quarantines_[service]);
    for (const auto& decision : decisions) {
        place_reply reply;
        reply.quarantined = decision.quarantined;
        if (decision.abandoned) {
            reply.origin = static_cast<std::uint8_t>(
                awaits_reports() ? origin_state::pending
                                 : origin_state::abandoned);
        }
        if (decision.target) {
            reply.engine = decision.target->engine;
            if (const auto found = pending_.find(decision.id);
                found != pending_.end()) {
                note_origin(found->second, reply);
            }
            reply.copy_holder =
                decision.target->copy_holder.value_or(upstream_id());
        } else {
            owners_.erase(decision.id);
            reply.retry_after_ms =
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    decision.retry_after)
                    .count();
        }
        log(events::stream_placed,
            {{"request", decision.id.value()},
             {"engine", reply.engine.value()},
             {"prompt", decision.prompt},
             {"prompt_kept", decision.prompt_cached},
             {"copy_holder", reply.copy_holder.value()},
             {"unread_tokens",
              scheduler.planner().pending_prefill_tokens(reply.engine)},
             {"resident_tokens",
              scheduler.planner().resident_tokens(reply.engine)},
             {"waiting", scheduler.waiting()},
             {"running", scheduler.running()},
             {"quarantined", reply.quarantined},
             {"origin", reply.origin},
             {"retry_after_ms", reply.retry_after_ms}});
        send_reply(decision.id, reply);
    }
}

void placement_server::request_decision(const service_id& service)
{
    undecided_.insert(service);
    if (!decision_timer_.active()) {
        decision_timer_.start_once(
            std::max(next_decision_ - loop_.now(), duration::zero()));
    }
}

void placement_server::decide_due()
{
    const time_point begin = loop_.now();
    for (const auto& service : std::exchange(undecided_, {})) {
        decide(service);
    }
    const time_point end = loop_.now();
    next_decision_ = end + decision_pause_factor * (end - begin);
}

void placement_server::reevaluate()
{
    for (const auto& [service, scheduler] : schedulers_) {
        if (scheduler.waiting() > 0) {
            request_decision(service);
        }
    }
    const time_point now = loop_.now();
    for (auto& [service, quarantine] : quarantines_) {
        quarantine.expire(now);
    }
    std::erase_if(pauses_, [&](const auto& each) {
        return registry_.find(each.first) == nullptr;
    });
    std::erase_if(suspected_at_, [&](const auto& each) {
        return now - each.second >= suspension;
    });
}

void placement_server::send_reply(const request_id& id,
                                  result<place_reply> reply)
{
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
        return;
    }
    const auto function = std::move(found->second.reply);
    pending_.erase(found);
    function(std::move(reply));
}

std::size_t placement_server::running() const
{
    std::size_t total = 0;
    for (const auto& [service, scheduler] : schedulers_) {
        total += scheduler.running();
    }
    return total;
}

std::size_t placement_server::waiting() const
{
    std::size_t total = 0;
    for (const auto& [service, scheduler] : schedulers_) {
        total += scheduler.waiting();
    }
    return total;
}

} // namespace bamboogate::relay
