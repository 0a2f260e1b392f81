#include <bamboogate/rollout/progress.hpp>

#include <algorithm>

namespace bamboogate::rollout {

namespace {

/// Part of the exposure limit that trials use.
constexpr double trial_part = 0.5;
/// Part of the slack that the shift may use; gates that begin with a fraction
/// of a request use some of it as well.
constexpr double shift_slack_part = 0.5;
/// Time before the deadline at which an end is decided, so that it is stored
/// and read in time.
constexpr duration decision_margin = std::chrono::milliseconds(250);
/// Answers of the target version without which it is not completed.
constexpr std::uint64_t min_deciding_requests = 5;
/// A new leader waits for the gates' evidence before it decides, for several
/// times their report interval.
constexpr duration evidence_wait = std::chrono::seconds(1);
/// Work on the replaced versions that no leader knows of, such as calls to
/// plain services, has ended after this time.
constexpr duration min_shift = std::chrono::milliseconds(500);

rollout_step end_of_trial(const rollout_situation& situation)
{
    if (situation.ready_targets == 0) {
        return {rollout_phase::rolled_back,
                "no upstream of the target version is ready"};
    }
    if (situation.ready_targets * 2 < situation.ready_others) {
        return {rollout_phase::rolled_back,
                "the target version has less than half of the upstreams of "
                "the versions that it replaces"};
    }
    if (situation.evidence.target_requests < min_deciding_requests) {
        return {rollout_phase::rolled_back, "too little traffic to judge"};
    }
    return {rollout_phase::shifting, "no sign of a fault"};
}

} // namespace

double trial_share(const exposure_limits& limits)
{
    return std::clamp(limits.share * trial_part, 0.0, 1.0);
}

duration shift_lead(const exposure_limits& limits, duration allowed,
                    double requests_per_second)
{
    const double trial = trial_share(limits);
    const double rate = std::max(requests_per_second, 1.0);
    // trial * (allowed - lead) + lead <= share * allowed + slack / rate
    const double seconds = ((limits.share - trial) * to_seconds(allowed) +
                            limits.slack * shift_slack_part / rate) /
                           std::max(1.0 - trial, 0.01);
    // A shift of more than half of the time would leave too little for the
    // trial.
    return std::clamp<duration>(std::chrono::duration_cast<duration>(
                                    std::chrono::duration<double>(seconds)),
                                duration::zero(), allowed / 2);
}

rollout_step next_step(const rollout_situation& situation,
                       const exposure_limits& limits)
{
    rollout_step no_change{situation.phase, {}};
    const judgement& evidence = situation.evidence;
    if (!situation.service_declared) {
        return {rollout_phase::rolled_back,
                "the configuration no longer names the service"};
    }
    if (evidence.result == verdict::faulty) {
        return {rollout_phase::rolled_back, evidence.reason};
    }
    if (situation.leading_for < std::min(evidence_wait, situation.elapsed)) {
        return no_change;
    }
    const duration left =
        situation.allowed - situation.elapsed - decision_margin;
    if (situation.phase == rollout_phase::trial) {
        const auto requests = static_cast<double>(evidence.target_requests +
                                                  evidence.other_requests);
        const double elapsed_s = std::max(to_seconds(situation.elapsed), 0.001);
        const duration lead =
            shift_lead(limits, situation.allowed, requests / elapsed_s);
        return left <= lead - decision_margin ? end_of_trial(situation)
                                              : no_change;
    }
    if (situation.ready_targets == 0) {
        return {rollout_phase::rolled_back,
                "no upstream of the target version is left"};
    }
    const bool others_idle =
        situation.running_on_others == 0 && situation.in_phase >= min_shift;
    if (left <= duration::zero() || others_idle) {
        return {rollout_phase::completed, "judged sound"};
    }
    return no_change;
}

} // namespace bamboogate::rollout
