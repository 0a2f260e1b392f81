// The versions of engines on which the leader places streams: those that a
// rollout allows, and the one that began a stream.
#include <bamboogate/relay/placement_server.hpp>

namespace bamboogate::relay {

namespace {

/// Gates report the origins of their streams as soon as they are linked to a
/// new leader. They redial lost links about every 250 ms. Upstreams announce
/// themselves again about every second.
constexpr duration origin_report_time = std::chrono::milliseconds(1500);

} // namespace

origin_reply placement_server::origin_of(const service_id& service,
                                         std::uint64_t stream) const
{
    const auto reply = [](origin_state state, software_version version = {}) {
        return origin_reply{static_cast<std::uint8_t>(state),
                            std::move(version)};
    };
    const auto found = origins_.find(stream);
    if (found && found->origin.service != service) {
        return reply(origin_state::unknown);
    }
    if (found && found->begun) {
        return reply(origin_state::known, found->origin.version);
    }
    const bool current = history_ == nullptr || history_is_current_();
    const auto sole = current && history_ != nullptr
                          ? history_->sole_version(service)
                          : std::nullopt;
    if (sole) {
        return reply(origin_state::known, *sole);
    }
    if (!is_leader_() || awaits_reports()) {
        return reply(origin_state::pending);
    }
    // Until a stream has begun, another leader may have placed it again, at
    // another version. Only a current leader knows of all placements.
    if (found && !current) {
        return reply(origin_state::pending);
    }
    return found ? reply(origin_state::known, found->origin.version)
                 : reply(origin_state::unknown);
}

bool placement_server::awaits_reports() const
{
    return loop_.now() - leader_since_ < origin_report_time;
}

bool placement_server::is_recorded(const service_id& service,
                                   const software_version& version) const
{
    return history_ == nullptr || history_->contains(service, version);
}

void placement_server::note_origin(const pending& placed, place_reply& reply)
{
    const instance* engine = registry_.find(reply.engine);
    if (engine == nullptr) {
        return;
    }
    reply.version = engine->announced.version;
    if (placed.begun_at) {
        reply.origin = static_cast<std::uint8_t>(origin_state::known);
    }
    origins_.note(placed.stream, {placed.service, reply.version}, loop_.now());
}

void placement_server::note_begun(const run_update& update)
{
    // A resumed stream has another key, whose record says that it has begun.
    const std::uint64_t stream = stream_key(update.account, update.id);
    const auto known = origins_.find(stream);
    if (known && known->origin.service == update.service) {
        origins_.note_begun(stream, known->origin, loop_.now());
    }
}

void placement_server::on_rollout(const rollout::rollout_record& record)
{
    if (rollouts_.apply(record) && is_leader_() &&
        schedulers_.contains(record.service)) {
        decide(record.service);
    }
}

void placement_server::update_versions(const service_id& service,
                                       stream_scheduler& scheduler) const
{
    const auto* record = rollouts_.find(service);
    if (record == nullptr) {
        scheduler.set_versions({}, std::nullopt);
        return;
    }
    const auto versions = general_preference(*record);
    const bool any_preferred =
        scheduler.planner().usable_engines(versions.preferred) > 0;
    const bool trial = record->current_phase() == rollout::rollout_phase::trial;
    scheduler.set_versions(
        any_preferred ? versions.preferred : versions.fallback,
        trial ? std::optional(record->target) : std::nullopt);
}

} // namespace bamboogate::relay
