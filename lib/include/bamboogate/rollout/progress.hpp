#ifndef BAMBOOGATE_ROLLOUT_PROGRESS_HPP
#define BAMBOOGATE_ROLLOUT_PROGRESS_HPP

#include <bamboogate/core/time.hpp>
#include <bamboogate/rollout/judgement.hpp>

#include <cstdint>
#include <string>

namespace bamboogate::rollout {

/// Limits of the exposure of callers to a version that is not proved.
struct exposure_limits
{
    /// Share of the requests of a service, from the order to its deadline, that
    /// a faulty version may get, over all gates together.
    double share = 0.1;
    std::uint64_t slack = 50; ///< requests in addition to the share
};

/// @brief The share of each gate's requests that the target version gets in its
///     trial. Less than the limit, so that the rest covers the time between the
///     shift and the deadline.
[[nodiscard]] double trial_share(const exposure_limits& limits);

/// What is known at the moment of a decision.
struct rollout_situation
{
    rollout_phase phase = rollout_phase::trial;
    duration elapsed{};  ///< since the order
    duration allowed{};  ///< from the order to its deadline
    duration in_phase{}; ///< since the phase began
    judgement evidence;
    bool streaming = false; ///< the service has engines, whose streams run on
    std::size_t ready_targets = 0;     ///< upstreams of the target version
    std::size_t ready_others = 0;      ///< upstreams of other versions
    std::size_t running_on_others = 0; ///< streams that the leader knows of
    bool service_declared = true;      ///< by the configuration in effect
};

struct rollout_step
{
    rollout_phase next = rollout_phase::trial; ///< same as before: no change
    std::string reason;
};

/// @brief Decides how a rollout goes on. Pure; thread safe.
[[nodiscard]] rollout_step next_step(const rollout_situation& situation,
                                     const exposure_limits& limits);

} // namespace bamboogate::rollout

#endif
