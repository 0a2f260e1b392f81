#include <bamboogate/relay/gate_quarantine.hpp>
#include <bamboogate/relay/log_events.hpp>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace bamboogate::relay {

namespace {

/// A gate alone doesn't know which parts begin at other gates, so its verdict
/// holds for a short time.
constexpr duration quarantine_without_leader = std::chrono::seconds(30);

} // namespace

void log_quarantine_decided(const crash_report& report,
                            const quarantine_update& update)
{
    observability::log(
        log_events::quarantine_decided,
        {{"request", report.id.value()},
         {"service", report.service.value()},
         {"parts", fmt::format("{}", fmt::join(update.parts, " "))},
         {"cleared", report.shared_parts.size() - update.parts.size()},
         {"crashes", update.crashes},
         {"repetitions", update.repetitions},
         {"last_engine", report.engine.value()},
         {"remaining_ms", update.remaining_ms}});
}

void log_quarantine_added(const quarantine_update& update)
{
    observability::log(
        log_events::quarantine_added,
        {{"service", update.service.value()},
         {"parts", fmt::format("{}", fmt::join(update.parts, " "))},
         {"remaining_ms", update.remaining_ms}});
}

prompt_quarantine& gate_quarantine::of(const service_id& service)
{
    // Only the leader's placement reads which parts have begun.
    return services_
        .try_emplace(service,
                     prompt_quarantine::options{.first_quarantine =
                                                    quarantine_without_leader,
                                                .max_started_parts = 0})
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
    log_quarantine_decided(report,
                           make_quarantine_update(report.service, *found));
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
    log_quarantine_added(update);
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
