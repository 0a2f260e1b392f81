#include <bamboogate/relay/log_events.hpp>
#include <bamboogate/relay/rollout_director.hpp>

#include <algorithm>
#include <utility>

namespace bamboogate::relay {

namespace {

using observability::log;
using rollout::rollout_phase;
using rollout::rollout_record;
namespace events = log_events;

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void log_record(const rollout_record& record,
                const std::optional<rollout::judgement>& evidence)
{
    const bool begun = record.current_phase() == rollout_phase::trial;
    const auto& event =
        begun ? events::rollout_begun : events::rollout_phase_changed;
    if (!evidence) {
        log(event, {{"service", record.service.value()},
                    {"target", record.target.value()},
                    {"number", record.number},
                    {"phase", name_of(record.current_phase())},
                    {"duration_ms", record.duration_ms},
                    {"reason", record.reason}});
        return;
    }
    log(event, {{"service", record.service.value()},
                {"target", record.target.value()},
                {"number", record.number},
                {"phase", name_of(record.current_phase())},
                {"duration_ms", record.duration_ms},
                {"reason", record.reason},
                {"target_requests", evidence->target_requests},
                {"target_failures", evidence->target_failures},
                {"other_requests", evidence->other_requests}});
}

} // namespace

rollout_director::rollout_director(net::event_loop& loop,
                                   const instance_registry& registry,
                                   options settings, hooks functions)
    : loop_(loop), registry_(registry), settings_(settings),
      hooks_(std::move(functions)), started_unix_ms_(unix_ms()),
      decision_timer_(loop, [this] { decide(); }),
      lease_timer_(loop, [this] { send_lease(); })
{
    decision_timer_.start_periodic(settings_.decision_interval);
    lease_timer_.start_periodic(settings_.lease_interval);
}

time_point rollout_director::began_at(const rollout_record& record) const
{
    // The wall clocks of two machines may differ, so the time at which the
    // record arrived is better, unless it comes from before this process.
    if (record.began_unix_ms >= started_unix_ms_) {
        return loop_.now();
    }
    const auto age = std::chrono::milliseconds(
        std::max<std::int64_t>(unix_ms() - record.began_unix_ms, 0));
    // Keeps the subtraction in the range of the clock after a wrong time.
    constexpr duration max_age = std::chrono::hours(24);
    return loop_.now() - std::min<duration>(age, max_age);
}

void rollout_director::on_record(const rollout_record& record)
{
    auto& followed = courses_[record.service];
    const bool is_new = followed.record.number != record.number;
    if (is_new) {
        followed = course{};
        followed.began_at = began_at(record);
    }
    followed.record = record;
    followed.phase_began_at = loop_.now();
    log_record(record, followed.evidence);
    if (!record.in_progress()) {
        followed.judge.reset();
    }
    if (is_new) {
        send_lease();
    }
}

void rollout_director::on_evidence(const node_id& gate,
                                   const rollout_evidence& reported)
{
    const auto found = courses_.find(reported.service);
    if (found == courses_.end() ||
        found->second.record.number != reported.number ||
        !found->second.record.in_progress()) {
        return;
    }
    course& followed = found->second;
    if (!followed.judge) {
        followed.judge.emplace(followed.record.target);
    }
    followed.judge->record(gate.value(), reported.evidence);
}

void rollout_director::on_leadership(bool leading)
{
    leading_ = leading;
    leading_since_ = loop_.now();
    if (leading) {
        send_lease();
        return;
    }
    for (auto& [service, followed] : courses_) {
        followed.judge.reset();
        followed.proposing = false;
        if (followed.record.in_progress()) {
            followed.evidence.reset();
        }
    }
}

duration rollout_director::allowed(const course& followed)
{
    return std::chrono::milliseconds(followed.record.duration_ms);
}

duration rollout_director::elapsed(const course& followed) const
{
    return std::clamp(loop_.now() - followed.began_at, duration::zero(),
                      std::max(allowed(followed), duration::zero()));
}

duration rollout_director::since_begun(const service_id& service) const
{
    const auto found = courses_.find(service);
    return found == courses_.end() ? duration::zero()
                                   : loop_.now() - found->second.began_at;
}

std::set<software_version>
rollout_director::ready_versions(const service_id& service) const
{
    std::set<software_version> out;
    for (const auto& [id, each] : registry_.instances()) {
        if (each.state == instance_state::ready &&
            each.announced.service == service) {
            out.insert(each.announced.version);
        }
    }
    return out;
}

rollout::rollout_situation
rollout_director::situation_of(const course& followed) const
{
    const rollout_record& record = followed.record;
    const time_point now = loop_.now();
    rollout::rollout_situation out{
        .phase = record.current_phase(),
        .elapsed = elapsed(followed),
        .allowed = allowed(followed),
        .in_phase = now - followed.phase_began_at,
        .leading_for = now - leading_since_,
        .evidence = followed.evidence.value_or(rollout::judgement{}),
        .service_declared = is_declared(record.service)};
    for (const auto& [id, each] : registry_.instances()) {
        if (each.announced.service != record.service ||
            each.state == instance_state::lost) {
            continue;
        }
        const bool ready = each.state == instance_state::ready;
        if (each.announced.version == record.target) {
            out.ready_targets += ready ? 1 : 0;
            continue;
        }
        out.ready_others += ready ? 1 : 0;
        out.running_on_others += hooks_.running_on(id);
    }
    return out;
}

void rollout_director::decide()
{
    if (courses_.empty() || !leads()) {
        return;
    }
    for (auto& [service, followed] : courses_) {
        if (followed.record.in_progress()) {
            decide(followed);
        }
    }
}

void rollout_director::decide(course& followed)
{
    const time_point now = loop_.now();
    if (followed.judge &&
        now - followed.evidence_tested_at >= settings_.evidence_interval) {
        followed.evidence_tested_at = now;
        followed.judge->close_interval();
        followed.evidence = followed.judge->judge();
    }
    if (followed.proposing) {
        return;
    }
    const rollout_record& record = followed.record;
    auto step = rollout::next_step(situation_of(followed), settings_.exposure);
    if (step.next == record.current_phase()) {
        return;
    }
    rollout_phase_change change{.service = record.service,
                                .number = record.number,
                                .phase = static_cast<std::uint8_t>(step.next),
                                .reason = std::move(step.reason),
                                .superseded = {}};
    if (step.next == rollout_phase::shifting) {
        auto versions = ready_versions(record.service);
        versions.erase(record.target);
        change.superseded.assign(versions.begin(), versions.end());
    }
    followed.proposing = true;
    hooks_.propose(change, [this, service = record.service,
                            number = record.number] {
        const auto found = courses_.find(service);
        if (found != courses_.end() && found->second.record.number == number) {
            found->second.proposing = false;
        }
    });
}

void rollout_director::send_lease()
{
    rollout_lease lease;
    for (const auto& [service, followed] : courses_) {
        if (followed.record.in_progress()) {
            lease.numbers.push_back(followed.record.number);
        }
    }
    if (!lease.numbers.empty() && leads()) {
        hooks_.send_lease(lease);
    }
}

std::vector<rollout_status> rollout_director::statuses() const
{
    std::vector<rollout_status> out;
    for (const auto& [service, followed] : courses_) {
        out.push_back({.record = followed.record,
                       .elapsed = elapsed(followed),
                       .evidence = followed.evidence});
    }
    return out;
}

} // namespace bamboogate::relay
