#include <bamboogate/relay/membership_plan.hpp>

#include <algorithm>

namespace bamboogate::relay {

std::optional<membership_step>
next_membership_step(std::span<const replica_status> replicas,
                     const node_id& self, const membership_policy& goal)
{
    using action = membership_step::action;
    std::size_t voters = 0;
    const replica_status* candidate = nullptr; // learner to promote
    const replica_status* dead_voter = nullptr;
    for (const auto& each : replicas) {
        if (!each.voter) {
            const bool forgotten =
                each.unreachable >= goal.remove_learner_after;
            if (forgotten) {
                return membership_step{action::remove, each.node};
            }
            if (each.caught_up && each.unreachable == duration::zero()) {
                candidate = &each;
            }
            continue;
        }
        ++voters;
        const bool dead =
            each.node != self && each.unreachable >= goal.replace_voter_after;
        if (dead && (dead_voter == nullptr ||
                     each.unreachable > dead_voter->unreachable)) {
            dead_voter = &each;
        }
    }
    if (candidate == nullptr) {
        return std::nullopt;
    }
    if (voters < goal.voters) {
        return membership_step{action::promote, candidate->node};
    }
    if (dead_voter != nullptr) {
        return membership_step{action::remove, dead_voter->node};
    }
    return std::nullopt;
}

} // namespace bamboogate::relay
