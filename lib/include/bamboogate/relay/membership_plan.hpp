#ifndef BAMBOOGATE_RELAY_MEMBERSHIP_PLAN_HPP
#define BAMBOOGATE_RELAY_MEMBERSHIP_PLAN_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/time.hpp>

#include <cstdint>
#include <optional>
#include <span>

namespace bamboogate::relay {

/// A control replica as the leader sees it.
struct replica_status
{
    node_id node;
    bool voter = false;
    bool caught_up = false; ///< learners: has everything committed
    duration unreachable{}; ///< 0 while it answers
};

/// One change of the membership.
struct membership_step
{
    enum class action : std::uint8_t
    {
        promote,
        remove,
    };
    action kind = action::promote;
    node_id node;

    bool operator==(const membership_step&) const = default;
};

/// Bounds of the membership.
struct membership_policy
{
    /// Voters wanted: 2 F + 1 bears the loss of F disks at once.
    std::size_t voters = 5;
    /// A voter that is unreachable for this long gives its place to a learner
    /// that has caught up. Longer than a restart or an election takes.
    duration replace_voter_after = std::chrono::milliseconds(2500);
    /// An unreachable learner is removed after this time.
    duration remove_learner_after = std::chrono::seconds(10);
};

/// @brief Decides the next change of the membership. A voter is removed only
///     when a learner that has caught up takes its place next, so the group
///     never shrinks because machines are down. Pure.
/// @param self the leader, which is never removed
[[nodiscard]] std::optional<membership_step>
next_membership_step(std::span<const replica_status> replicas,
                     const node_id& self, const membership_policy& goal);

} // namespace bamboogate::relay

#endif
