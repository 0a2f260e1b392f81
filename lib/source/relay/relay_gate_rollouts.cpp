// The gate's part in version rollouts: applies their records and reports its
// evidence to the leader.
#include <bamboogate/relay/log_events.hpp>
#include <bamboogate/relay/relay_gate.hpp>

#include <algorithm>

namespace bamboogate::relay {

namespace {

/// Interval of the reports. The leader judges at about the same interval.
constexpr duration evidence_interval = std::chrono::milliseconds(300);
/// Routes assumed while the gate has no configuration. Too high a number only
/// delays the gate's first request on trial.
constexpr std::size_t assumed_routes = 64;

std::size_t routes_of(const configuration& current, const service_id& service)
{
    return static_cast<std::size_t>(std::count_if(
        current.routes.begin(), current.routes.end(), [&](const route& each) {
            return std::any_of(each.targets.begin(), each.targets.end(),
                               [&](const weighted_service& target) {
                                   return target.service == service;
                               });
        }));
}

} // namespace

void relay_gate::on_rollouts(const rollout_update& update)
{
    for (const auto& record : update.records) {
        const std::size_t routes =
            table_ ? routes_of(table_->source(), record.service)
                   : assumed_routes;
        if (!rollouts_.apply(record,
                             {.gates = feed_.gates(), .routes = routes})) {
            continue;
        }
        observability::log(log_events::rollout_applied,
                           {{"service", record.service.value()},
                            {"number", record.number},
                            {"target", record.target.value()},
                            {"phase", name_of(record.current_phase())},
                            {"reason", record.reason}});
    }
    if (!rollouts_.in_progress()) {
        evidence_timer_.stop();
    } else if (!evidence_timer_.active()) {
        evidence_timer_.start_periodic(evidence_interval);
    }
}

void relay_gate::report_evidence()
{
    for (const auto& report : rollouts_.unreported()) {
        if (feed_.report_evidence(report)) {
            metrics_.evidence_reports.add();
            rollouts_.mark_reported(report.service);
        }
    }
}

} // namespace bamboogate::relay
