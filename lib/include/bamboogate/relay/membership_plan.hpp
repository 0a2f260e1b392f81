#ifndef BAMBOOGATE_RELAY_MEMBERSHIP_PLAN_HPP
#define BAMBOOGATE_RELAY_MEMBERSHIP_PLAN_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace bamboogate::relay {

/// The state of a control replica as seen by the leader.
struct replica_status
{
    node_id node;
    bool voter = false;
    bool caught_up = false; ///< learners: holds all committed entries
    duration unreachable{}; ///< 0 while it is reachable
    /// Its process is about to stop, or has stopped and not started again.
    bool leaving = false;
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

/// Target size and time-outs of the membership.
struct membership_policy
{
    /// Target number of voters: 2 F + 1 tolerates the loss of F disks at once.
    std::size_t voters = 5;
    /// A voter that is unreachable for this long is replaced by a learner that
    /// has caught up. Longer than a restart or an election takes. One that
    /// stopped as planned is replaced at once: it would have handed its vote
    /// over if a learner had been there.
    duration replace_voter_after = std::chrono::milliseconds(2500);
    /// An unreachable learner is removed after this time.
    duration remove_learner_after = std::chrono::seconds(10);
};

/// @brief Returns the next change of the membership. A voter is removed only if
///     a learner that has caught up can take its place, or already has, so that
///     unreachable machines never shrink the group below its target size. Of
///     several unreachable voters, the one that is lost for longest goes first.
///     Has no side effects.
/// @param self the leader, which is never removed
[[nodiscard]] std::optional<membership_step>
next_membership_step(std::span<const replica_status> replicas,
                     const node_id& self, const membership_policy& policy);

/// @brief Returns the next change of the membership for a voter that is about
///     to stop, which may only restart. Learners replace voters that can't be
///     reached first: otherwise a lost voter would remain in the group, and the
///     stopping one would be needed in its place later. Has no side effects.
/// @param leaving the voter that is about to stop
/// @return none if no learner can vote at once
[[nodiscard]] std::optional<membership_step>
next_hand_over_step(std::span<const replica_status> replicas,
                    const node_id& leaving, const membership_policy& policy);

/// @brief Returns how many more voters may be lost with their disks at once:
///     the number of reachable ones above the majority. Has no side effects.
[[nodiscard]] std::size_t
spare_voters(std::span<const replica_status> replicas);

/// @brief Chooses a learner that can vote at once in place of a voter that is
///     about to stop. Has no side effects.
/// @return null if there is none
[[nodiscard]] const replica_status*
find_successor(std::span<const replica_status> replicas);

/// @brief True if a learner may catch up soon, so that it is worth waiting for
///     a successor. Has no side effects.
[[nodiscard]] bool
is_successor_expected(std::span<const replica_status> replicas,
                      const membership_policy& policy);

} // namespace bamboogate::relay

#endif
