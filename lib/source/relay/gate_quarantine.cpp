#include <bamboogate/relay/gate_quarantine.hpp>
#include <bamboogate/relay/log_events.hpp>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace bamboogate::relay {

prompt_quarantine& gate_quarantine::of(const service_id& service)
{
    // Only the leader's placement reads which parts have begun.
    return services_
        .try_emplace(service,
                     prompt_quarantine::options{.max_started_parts = 0})
        .first->second;
}

void gate_quarantine::note_broken(crash_report report,
                                  std::function<void()> on_checked)
{
    report.confirmed = false;
    static_cast<void>(callbacks_.report(report));
    const upstream_id engine = report.engine;
    unconfirmed_[engine].push_back({std::move(report), std::move(on_checked)});
    callbacks_.check_engine(engine);
}

void gate_quarantine::note_crash(crash_report report, time_point now)
{
    report.confirmed = true;
    if (callbacks_.report(report)) {
        return;
    }
    prompt_quarantine& quarantine = of(report.service);
    const auto found =
        quarantine.note_crash(report.shared_parts, report.engine_start(), now);
    if (!found) {
        return;
    }
    observability::log(
        log_events::quarantine_decided,
        {{"request", report.id.value()},
         {"service", report.service.value()},
         {"parts", fmt::format("{}", fmt::join(found->parts, " "))},
         {"cleared", report.shared_parts.size() - found->parts.size()},
         {"crashes", found->crashes},
         {"repetitions", found->repetitions},
         {"last_engine", report.engine.value()},
         {"remaining_ms", to_milliseconds(found->remaining)}});
    callbacks_.on_added(report.service, quarantine);
}

void gate_quarantine::confirm(const upstream_id& engine, time_point now)
{
    const auto broken = unconfirmed_.extract(engine);
    if (broken.empty()) {
        return;
    }
    for (const auto& each : broken.mapped()) {
        note_crash(each.report, now);
    }
    for (const auto& each : broken.mapped()) {
        each.on_checked();
    }
}

void gate_quarantine::dismiss(const upstream_id& engine)
{
    const auto broken = unconfirmed_.extract(engine);
    if (broken.empty()) {
        return;
    }
    for (const auto& each : broken.mapped()) {
        each.on_checked();
    }
}

void gate_quarantine::note_started(const service_id& service,
                                   std::span<const std::string> parts)
{
    const auto found = services_.find(service);
    if (found != services_.end()) {
        found->second.note_started(parts);
    }
}

void gate_quarantine::add(const quarantine_update& update, time_point now)
{
    prompt_quarantine& quarantine = of(update.service);
    if (!quarantine.add(to_quarantine(update), now)) {
        return;
    }
    observability::log(
        log_events::quarantine_added,
        {{"service", update.service.value()},
         {"parts", fmt::format("{}", fmt::join(update.parts, " "))},
         {"remaining_ms", update.remaining_ms}});
    callbacks_.on_added(update.service, quarantine);
}

std::optional<duration>
gate_quarantine::quarantine_of(const service_id& service,
                               std::span<const std::string> parts,
                               time_point now) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? std::nullopt
                                    : found->second.quarantine_of(parts, now);
}

void gate_quarantine::expire(time_point now)
{
    for (auto& [service, quarantine] : services_) {
        quarantine.expire(now);
    }
}

} // namespace bamboogate::relay
