#include <bamboogate/relay/gate_quarantine.hpp>
#include <bamboogate/relay/log_events.hpp>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace bamboogate::relay {

namespace {

/// A gate alone doesn't know which parts begin at other gates, so its verdict
/// holds for a short time.
constexpr duration quarantine_without_leader = std::chrono::seconds(30);

/// @param report of the crash that completed the evidence
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

} // namespace

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

std::vector<quarantine_update> count_crash(prompt_quarantine& quarantine,
                                           const crash_report& report,
                                           time_point now)
{
    std::vector<quarantine_update> decided;
    const auto add = [&](const std::optional<quarantined_parts>& found) {
        if (found) {
            decided.push_back(make_quarantine_update(report.service, *found));
            log_quarantine_decided(report, decided.back());
        }
    };
    add(quarantine.note_crash(report.shared_parts, report.engine_start(), now));
    // A crash under quarantined parts is explained by them.
    if (decided.empty() && !report.request.empty() &&
        !quarantine.quarantine_of(report.shared_parts, now)) {
        add(quarantine.note_crash(std::span(&report.request, 1),
                                  report.engine_start(), now, report.repeated));
    }
    observability::log(log_events::crash_counted,
                       {{"request", report.id.value()},
                        {"service", report.service.value()},
                        {"upstream", report.engine.value()},
                        {"fingerprint", report.request},
                        {"repeated", report.repeated},
                        {"crashes", quarantine.crashes_of(report.request)}});
    return decided;
}

void gate_quarantine::note_broken(crash_report report,
                                  std::function<void(bool)> on_checked)
{
    report.confirmed = false;
    if (!report.shared_parts.empty()) {
        // Makes the parts suspects while the engine is checked.
        static_cast<void>(callbacks_.report(report));
    }
    const upstream_id engine = report.engine;
    unconfirmed_[engine].push_back({std::move(report), std::move(on_checked)});
    callbacks_.check_engine(engine);
}

void gate_quarantine::note_crash(crash_report report, time_point now)
{
    if (report.shared_parts.empty() && report.request.empty()) {
        return;
    }
    report.confirmed = true;
    if (callbacks_.report(report)) {
        return;
    }
    if (!count_crash(of(report.service), report, now).empty()) {
        callbacks_.on_added(report.service);
    }
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
        each.on_checked(true);
    }
}

void gate_quarantine::dismiss(const upstream_id& engine)
{
    const auto broken = unconfirmed_.extract(engine);
    if (broken.empty()) {
        return;
    }
    for (const auto& each : broken.mapped()) {
        each.on_checked(false);
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

void gate_quarantine::note_answered(const service_id& service,
                                    const std::string& request, bool reported)
{
    const auto found = services_.find(service);
    const bool suspected =
        found != services_.end() && found->second.clear_suspicion(request);
    if (suspected || reported) {
        callbacks_.report_answered({.service = service, .request = request});
    }
}

void gate_quarantine::add(const suspicion_update& update, time_point now)
{
    if (update.crashes == 0) {
        of(update.service).clear_suspicion(update.request);
    } else {
        of(update.service).add_suspicion(update.request, update.crashes, now);
    }
}

bool gate_quarantine::needs_fingerprints(const service_id& service) const
{
    const auto found = services_.find(service);
    return found != services_.end() && found->second.knows_requests();
}

void gate_quarantine::add(const quarantine_update& update, time_point now)
{
    if (!of(update.service).add(to_quarantine(update), now)) {
        return;
    }
    log_quarantine_added(update);
    callbacks_.on_added(update.service);
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
