#include <bamboogate/relay/gate_rollouts.hpp>

#include <algorithm>

namespace bamboogate::relay {

namespace {

using rollout::rollout_phase;

/// Routes and versions of one service that are counted. Upstreams announce
/// their versions themselves, so their number is not bounded otherwise.
constexpr std::size_t max_series = 1024;

std::size_t latency_bucket(duration latency)
{
    const double ms = to_milliseconds(latency);
    std::size_t bucket = 0;
    while (bucket + 1 < rollout::latency_buckets &&
           ms >= rollout::latency_bucket_limit_ms(bucket)) {
        ++bucket;
    }
    return bucket;
}

} // namespace

bool gate_rollouts::apply(const rollout::rollout_record& record,
                          deployment known)
{
    const auto* before = records_.find(record.service);
    const bool same_rollout =
        before != nullptr && before->number == record.number;
    if (!records_.apply(record)) {
        return false;
    }
    if (!record.in_progress()) {
        courses_.erase(record.service);
        return true;
    }
    if (same_rollout && courses_.contains(record.service)) {
        return true;
    }
    course begun{.selector = rollout::trial_selector(
                     {.share = record.trial_share,
                      .lease = settings_.lease,
                      .offset = rollout::trial_offset(
                          settings_.position, settings_.slack, known.gates,
                          known.routes)})};
    if (std::find(leased_.begin(), leased_.end(), record.number) !=
        leased_.end()) {
        begun.selector.renew(leased_at_);
    }
    courses_.insert_or_assign(record.service, std::move(begun));
    return true;
}

void gate_rollouts::renew(std::span<const std::uint64_t> numbers,
                          time_point now)
{
    leased_.assign(numbers.begin(), numbers.end());
    leased_at_ = now;
    for (auto& [service, each] : courses_) {
        const auto number = records_.find(service)->number;
        if (std::find(numbers.begin(), numbers.end(), number) !=
            numbers.end()) {
            each.selector.renew(now);
        }
    }
}

bool gate_rollouts::admit_to_trial(const service_id& service,
                                   std::string_view route, time_point now)
{
    const auto* record = records_.find(service);
    return record != nullptr &&
           record->current_phase() == rollout_phase::trial &&
           courses_.at(service).selector.admit(route, now);
}

version_preference gate_rollouts::preference(const service_id& service,
                                             bool on_trial) const
{
    const auto* record = records_.find(service);
    if (record == nullptr) {
        return {};
    }
    auto out = general_preference(*record);
    if (on_trial && record->current_phase() == rollout_phase::trial) {
        out.preferred = record->trial_filter();
    }
    return out;
}

bool gate_rollouts::on_trial(const service_id& service,
                             const software_version& version) const
{
    const auto* record = records_.find(service);
    return record != nullptr &&
           record->current_phase() == rollout_phase::trial &&
           record->target == version;
}

bool gate_rollouts::rolled_back(const service_id& service,
                                const software_version& version) const
{
    const auto* record = records_.find(service);
    return record != nullptr &&
           record->current_phase() == rollout_phase::rolled_back &&
           record->target == version;
}

bool gate_rollouts::may_resume(const service_id& service,
                               const software_version& engine,
                               const software_version& holder,
                               bool on_trial) const
{
    if (engine != holder) {
        return false;
    }
    const auto* record = records_.find(service);
    if (record == nullptr) {
        return true;
    }
    switch (record->current_phase()) {
    case rollout_phase::trial:
        return on_trial || holder != record->target;
    case rollout_phase::shifting:
        return true; // the other versions still run
    case rollout_phase::completed:
    case rollout_phase::rolled_back:
        return record->general_filter().admits(holder);
    }
    return true;
}

rollout::version_evidence*
gate_rollouts::evidence_of(const service_id& service, std::string_view route,
                           const software_version& version)
{
    const auto found = courses_.find(service);
    if (found == courses_.end()) {
        return nullptr;
    }
    course& current = found->second;
    const std::pair key(std::string(route), version);
    auto counts = current.evidence.find(key);
    if (counts == current.evidence.end()) {
        if (current.evidence.size() >= max_series) {
            return nullptr;
        }
        counts = current.evidence
                     .emplace(key,
                              rollout::version_evidence{
                                  .route = key.first,
                                  .version = version,
                                  .latencies = std::vector<std::uint64_t>(
                                      rollout::latency_buckets)})
                     .first;
    }
    current.changed = true;
    return &counts->second;
}

void gate_rollouts::note_answer(const service_id& service,
                                std::string_view route,
                                const software_version& version,
                                std::optional<duration> latency)
{
    if (auto* counts = evidence_of(service, route, version)) {
        ++counts->requests;
        if (latency) {
            ++counts->latencies[latency_bucket(*latency)];
        }
    }
}

void gate_rollouts::note_failure(const service_id& service,
                                 std::string_view route,
                                 const software_version& version)
{
    if (auto* counts = evidence_of(service, route, version)) {
        ++counts->requests;
        ++counts->failures;
    }
}

bool gate_rollouts::in_progress() const
{
    return !courses_.empty();
}

std::vector<rollout_evidence> gate_rollouts::unreported() const
{
    std::vector<rollout_evidence> out;
    for (const auto& [service, each] : courses_) {
        if (!each.changed) {
            continue;
        }
        rollout_evidence report{.service = service,
                                .number = records_.find(service)->number,
                                .evidence = {}};
        for (const auto& [key, counts] : each.evidence) {
            report.evidence.push_back(counts);
        }
        out.push_back(std::move(report));
    }
    return out;
}

void gate_rollouts::mark_reported(const service_id& service)
{
    if (const auto found = courses_.find(service); found != courses_.end()) {
        found->second.changed = false;
    }
}

void gate_rollouts::report_again()
{
    for (auto& [service, each] : courses_) {
        each.changed = !each.evidence.empty();
    }
}

} // namespace bamboogate::relay
