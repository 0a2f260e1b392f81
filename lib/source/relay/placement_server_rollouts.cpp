// The versions of engines on which the leader places streams.
#include <bamboogate/relay/placement_server.hpp>

namespace bamboogate::relay {

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
