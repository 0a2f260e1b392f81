#ifndef BAMBOOGATE_ROLLOUT_PROGRESS_HPP
#define BAMBOOGATE_ROLLOUT_PROGRESS_HPP

#include <bamboogate/core/time.hpp>
#include <bamboogate/rollout/judgement.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace bamboogate::rollout {

/// Limits of the exposure of callers to a version that is not proved.
struct exposure_limits
{
    /// Share of the requests of a service, from the order to its deadline, that
    /// a faulty version may get, over all gates together.
    double share = 0.1;
    double slack = 50.0; ///< requests in addition to the share
};

/// @brief The share of each gate's requests that the target version gets in its
///     trial: half of the limit. The rest is for the time between the shift and
///     the deadline, in which the version gets everything.
[[nodiscard]] double trial_share(const exposure_limits& limits);

/// What is known at the moment of a decision.
struct rollout_situation
{
    rollout_phase phase = rollout_phase::trial;
    duration elapsed{};     ///< since the order
    duration allowed{};     ///< from the order to its deadline
    duration in_phase{};    ///< since the phase began
    duration leading_for{}; ///< since this process began to judge the rollout
    judgement evidence;
    std::size_t ready_targets = 0;     ///< upstreams of the target version
    std::size_t ready_others = 0;      ///< upstreams of other versions
    std::size_t running_on_others = 0; ///< streams that the leader knows of
    bool service_declared = true;      ///< by the configuration in effect
};

struct rollout_step
{
    rollout_phase next = rollout_phase::trial; ///< same as before: no change
    std::string reason;                        ///< of a change
};

/// @brief How long before the deadline the shift may begin, so that a version
///     that turns out to be faulty only then stays within the limits.
/// @param requests_per_second of the service
[[nodiscard]] duration shift_lead(const exposure_limits& limits,
                                  duration allowed, double requests_per_second);

/// @brief Decides how a rollout goes on: it rolls back at the first sign of a
///     fault, and otherwise shifts all work shortly before the deadline and
///     completes. A version with too little traffic to judge is rolled back:
///     callers lose nothing by that, and the operator can order it again with
///     more time. Pure; thread safe.
/// @pre situation.phase is `trial` or `shifting`
[[nodiscard]] rollout_step next_step(const rollout_situation& situation,
                                     const exposure_limits& limits);

} // namespace bamboogate::rollout

#endif
