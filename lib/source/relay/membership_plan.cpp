#include <bamboogate/relay/membership_plan.hpp>

#include <algorithm>

namespace bamboogate::relay {

namespace {

bool can_vote(const replica_status& learner)
{
    return learner.caught_up && !learner.leaving &&
           learner.unreachable == duration::zero();
}

/// A replica that has stopped as planned may not come back.
bool is_replaceable(const replica_status& voter,
                    const membership_policy& policy)
{
    return voter.unreachable >= policy.replace_voter_after ||
           (voter.leaving && voter.unreachable > duration::zero());
}

/// Returns the voter that has been unreachable for longest, null if all other
/// than `excluded` are reachable.
const replica_status*
longest_unreachable_voter(std::span<const replica_status> replicas,
                          const node_id& excluded)
{
    const replica_status* found = nullptr;
    for (const auto& each : replicas) {
        const bool lost = each.voter && each.node != excluded &&
                          each.unreachable > duration::zero();
        if (lost &&
            (found == nullptr || each.unreachable > found->unreachable)) {
            found = &each;
        }
    }
    return found;
}

} // namespace

std::optional<membership_step>
next_membership_step(std::span<const replica_status> replicas,
                     const node_id& self, const membership_policy& policy)
{
    using action = membership_step::action;
    std::size_t voters = 0;
    bool replacement_due = false;
    for (const auto& each : replicas) {
        const bool expired =
            !each.voter && each.unreachable >= policy.remove_learner_after;
        if (expired) {
            return membership_step{action::remove, each.node};
        }
        voters += each.voter ? 1 : 0;
        replacement_due = replacement_due || (each.voter && each.node != self &&
                                              is_replaceable(each, policy));
    }
    const replica_status* lost =
        replacement_due ? longest_unreachable_voter(replicas, self) : nullptr;
    if (voters > policy.voters && lost != nullptr) {
        return membership_step{action::remove, lost->node};
    }
    const replica_status* candidate = find_successor(replicas);
    if (candidate == nullptr) {
        return std::nullopt;
    }
    if (voters < policy.voters) {
        return membership_step{action::promote, candidate->node};
    }
    if (lost != nullptr) {
        return membership_step{action::remove, lost->node};
    }
    return std::nullopt;
}

std::optional<membership_step>
next_hand_over_step(std::span<const replica_status> replicas,
                    const node_id& leaving, const membership_policy& policy)
{
    using action = membership_step::action;
    const auto voters =
        std::count_if(replicas.begin(), replicas.end(),
                      [](const auto& each) { return each.voter; });
    if (static_cast<std::size_t>(voters) > policy.voters) {
        const replica_status* lost =
            longest_unreachable_voter(replicas, leaving);
        return membership_step{action::remove,
                               lost != nullptr ? lost->node : leaving};
    }
    // The successor votes first: without the leaving replica, the group might
    // have no majority to accept a new voter.
    const replica_status* successor = find_successor(replicas);
    if (successor == nullptr) {
        return std::nullopt;
    }
    return membership_step{action::promote, successor->node};
}

std::size_t spare_voters(std::span<const replica_status> replicas)
{
    std::size_t voters = 0;
    std::size_t reachable = 0;
    for (const auto& each : replicas) {
        voters += each.voter ? 1 : 0;
        reachable += each.voter && each.unreachable == duration::zero() ? 1 : 0;
    }
    const std::size_t majority = voters / 2 + 1;
    return reachable > majority ? reachable - majority : 0;
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
