#include <bamboogate/relay/membership_plan.hpp>

#include <algorithm>

namespace bamboogate::relay {

namespace {

bool can_vote(const replica_status& learner)
{
    return learner.caught_up && !learner.leaving &&
           learner.unreachable == duration::zero();
}

} // namespace

std::optional<membership_step>
next_membership_step(std::span<const replica_status> replicas,
                     const node_id& self, const membership_policy& policy)
{
    using action = membership_step::action;
    std::size_t voters = 0;
    const replica_status* candidate = nullptr; // learner to promote
    const replica_status* unreachable_voter = nullptr;
    for (const auto& each : replicas) {
        if (!each.voter) {
            const bool expired =
                each.unreachable >= policy.remove_learner_after;
            if (expired) {
                return membership_step{action::remove, each.node};
            }
            if (can_vote(each)) {
                candidate = &each;
            }
            continue;
        }
        ++voters;
        const bool replaceable =
            each.node != self && each.unreachable >= policy.replace_voter_after;
        if (replaceable &&
            (unreachable_voter == nullptr ||
             each.unreachable > unreachable_voter->unreachable)) {
            unreachable_voter = &each;
        }
    }
    if (voters > policy.voters && unreachable_voter != nullptr) {
        return membership_step{action::remove, unreachable_voter->node};
    }
    if (candidate == nullptr) {
        return std::nullopt;
    }
    if (voters < policy.voters) {
        return membership_step{action::promote, candidate->node};
    }
    if (unreachable_voter != nullptr) {
        return membership_step{action::remove, unreachable_voter->node};
    }
    return std::nullopt;
}

const replica_status* find_successor(std::span<const replica_status> replicas)
{
    const auto found =
        std::find_if(replicas.begin(), replicas.end(), [](const auto& each) {
            return !each.voter && can_vote(each);
        });
    return found == replicas.end() ? nullptr : &*found;
}

bool is_successor_expected(std::span<const replica_status> replicas,
                           const membership_policy& policy)
{
    return std::any_of(replicas.begin(), replicas.end(), [&](const auto& each) {
        return !each.voter && !each.leaving &&
               each.unreachable < policy.replace_voter_after;
    });
}

} // namespace bamboogate::relay
