// Joins the consensus group of the control replicas and maintains its
// membership.
#include <bamboogate/relay/control_node.hpp>
#include <bamboogate/relay/log_events.hpp>
#include <bamboogate/relay/repeated_attempt.hpp>

#include <algorithm>

namespace bamboogate::relay {

namespace {

using observability::log;
namespace events = log_events;

constexpr duration join_interval = std::chrono::milliseconds(400);

void log_members_changed(std::string_view action, const node_id& node,
                         const result<void>& outcome)
{
    log(events::members_changed,
        {{"action", action},
         {"node", node.value()},
         {"outcome", outcome ? "done" : name_of(outcome.error().code)}});
}

} // namespace

bool control_node::is_member(const node_id& node) const
{
    const auto members = replica_->members();
    return std::any_of(members.begin(), members.end(),
                       [&](const auto& each) { return each.node == node; });
}

void control_node::join_group()
{
    const time_point now = loop_.now();
    // A replica that has handed over its vote would join again as a learner.
    if (stopping_ || replica_->is_leader() ||
        now - last_join_ < join_interval ||
        (is_member(self_) && replica_->leader())) {
        return;
    }
    last_join_ = now;
    for (const auto& node : known_replicas_) {
        hub_.send(node_id(node), join_request{self_.value()});
    }
}

std::vector<replica_status> control_node::replica_statuses()
{
    const time_point now = loop_.now();
    const auto members = replica_->members();
    const std::uint64_t applied = replica_->applied().index;
    std::erase_if(last_reachable_,
                  [&](const auto& each) { return !is_member(each.first); });
    std::erase_if(leaving_replicas_, [&](const auto& each) {
        return !is_member(each.first) && !hub_.is_up(each.first);
    });
    std::vector<replica_status> out;
    for (const auto& each : members) {
        auto [seen, added] = last_reachable_.try_emplace(each.node, now);
        // A new leader counts members as reachable until their first response
        // is overdue, so the link has to be up as well.
        const bool linked = each.node == self_ || hub_.is_up(each.node);
        if (each.reachable && linked) {
            seen->second = now;
        }
        out.push_back({.node = each.node,
                       .voter = each.role == consensus::member_role::voter,
                       .caught_up = each.match_index >= applied,
                       .unreachable = now - seen->second,
                       .leaving = leaving_replicas_.contains(each.node)});
    }
    return out;
}

membership_policy control_node::membership() const
{
    return {.voters = 2 * settings_.tolerated_losses + 1};
}

void control_node::update_membership()
{
    // Every replica keeps the times of contact, so that a change of leader does
    // not restart the wait for the replacement of a lost voter.
    replicas_ = replica_statuses();
    if (!replica_->is_leader()) {
        return;
    }
    if (const auto step =
            next_membership_step(replicas_, self_, membership())) {
        apply_step(*step, [](const result<void>&) {});
    }
}

void control_node::apply_step(const membership_step& step,
                              const acknowledge_callback& callback)
{
    const bool promote = step.kind == membership_step::action::promote;
    const auto done = [node = step.node, promote,
                       callback](const result<void>& outcome) {
        log_members_changed(promote ? "promote" : "remove", node, outcome);
        callback(outcome);
    };
    if (promote) {
        replica_->promote(step.node, done);
    } else {
        replica_->remove(step.node, done);
    }
}

void control_node::note_stopping(const net::peer_info& peer, bool stopping)
{
    if (stopping) {
        leaving_replicas_.insert_or_assign(peer.node, peer.incarnation);
        return;
    }
    // Views of the same process don't end the record, because earlier builds
    // state only in `leave_group` that they stop.
    const auto found = leaving_replicas_.find(peer.node);
    if (found != leaving_replicas_.end() && found->second != peer.incarnation) {
        leaving_replicas_.erase(found);
    }
}

error control_node::successor_error(
    const std::vector<replica_status>& statuses) const
{
    return is_successor_expected(statuses, membership())
               ? error{errc::in_progress, "no learner has caught up"}
               : error{errc::not_found, "no replica can take the vote"};
}

void control_node::replace_leaving_replica(const node_id& node,
                                           const acknowledge_callback& callback)
{
    if (!replica_ || !replica_->is_leader()) {
        callback(fail(errc::not_leader, "another replica leads"));
        return;
    }
    const auto statuses = replica_statuses();
    const bool votes =
        std::any_of(statuses.begin(), statuses.end(), [&](const auto& each) {
            return each.node == node && each.voter;
        });
    if (!votes) {
        callback(outcome::success());
        return;
    }
    const auto step = next_hand_over_step(statuses, node, membership());
    if (!step) {
        callback(successor_error(statuses));
        return;
    }
    apply_step(*step, [this, node, callback](const result<void>& outcome) {
        if (!outcome) {
            callback(outcome);
            return;
        }
        replace_leaving_replica(node, callback);
    });
}

std::vector<node_id> control_node::leaving_replicas() const
{
    std::vector<node_id> out;
    for (const auto& [node, process] : leaving_replicas_) {
        out.push_back(node);
    }
    return out;
}

void control_node::hand_over_leadership(const acknowledge_callback& callback)
{
    const auto statuses = replica_statuses();
    const bool other_stays =
        std::any_of(statuses.begin(), statuses.end(), [this](const auto& each) {
            return each.voter && !each.leaving && each.node != self_ &&
                   each.unreachable == duration::zero();
        });
    // The next leader replaces this replica on the next attempt.
    const auto transfer = [this, callback](const error& problem) {
        replica_->transfer_leadership(
            [callback, problem](const result<void>&) { callback(problem); },
            leaving_replicas());
    };
    const error retried{errc::in_progress, "leadership is passed on"};
    if (other_stays) {
        transfer(retried);
        return;
    }
    // If all voters are about to stop, leadership would only move between them.
    const replica_status* successor = find_successor(statuses);
    if (successor == nullptr) {
        const error problem = successor_error(statuses);
        if (problem.code == errc::in_progress) {
            callback(problem);
        } else {
            transfer(problem);
        }
        return;
    }
    apply_step({membership_step::action::promote, successor->node},
               [callback, transfer, retried](const result<void>& outcome) {
                   if (!outcome) {
                       callback(outcome);
                       return;
                   }
                   transfer(retried);
               });
}

void control_node::hand_over_vote(time_point deadline,
                                  std::function<void()> done)
{
    const auto members = replica_->members();
    const bool has_learner =
        std::any_of(members.begin(), members.end(), [&](const auto& each) {
            return each.node != self_ &&
                   each.role == consensus::member_role::learner;
        });
    if (!has_learner || replica_->failure()) {
        done();
        return;
    }
    repeated_attempt<void>::start(
        loop_,
        {.deadline = deadline,
         .is_final =
             [](const error& problem) {
                 return problem.code == errc::not_found;
             }},
        [this](const acknowledge_callback& callback) {
            if (replica_->is_leader()) {
                hand_over_leadership(callback);
                return;
            }
            const auto leader = replica_->leader();
            if (!leader || *leader == self_ || !hub_.is_up(*leader)) {
                callback(fail(errc::no_quorum, "no reachable leader is known"));
                return;
            }
            hub_.call<leave_group, group_left>(
                *leader, {self_.value()}, settings_.operator_deadline,
                [callback](const result<group_left>& reply) {
                    if (!reply) {
                        callback(reply.error());
                        return;
                    }
                    callback(outcome::success());
                });
        },
        [this, done = std::move(done)](const result<void>& outcome) {
            log_members_changed("hand_over", self_, outcome);
            done();
        });
}

} // namespace bamboogate::relay
