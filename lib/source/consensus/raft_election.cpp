#include <bamboogate/consensus/raft.hpp>

#include <algorithm>

namespace bamboogate::consensus {

void raft::campaign(time_point now)
{
    role_ = raft_role::pre_candidate;
    leader_ = {};
    reset_election_deadline(now);
    votes_ = {{settings_.self, settings_.folder}};
    for (const auto& each : members().members) {
        if (each.role == member_role::voter && each.node != settings_.self) {
            output_.messages.push_back(
                {each.node, request_pre_vote{hard_.term + 1, settings_.folder,
                                             log_.last()}});
        }
    }
    tally(now);
}

void raft::start_election(time_point now, bool transfer)
{
    role_ = raft_role::candidate;
    leader_ = {};
    hard_ = {.term = hard_.term + 1, .voted_for = settings_.self};
    save_hard_state();
    reset_election_deadline(now);
    votes_ = {{settings_.self, settings_.folder}};
    for (const auto& each : members().members) {
        if (each.role == member_role::voter && each.node != settings_.self) {
            answer(each.node, request_vote{hard_.term, settings_.folder,
                                           log_.last(), transfer});
        }
    }
    tally(now);
}

void raft::tally(time_point now)
{
    const auto granted =
        std::count_if(votes_.begin(), votes_.end(), [&](const auto& vote) {
            return members().is_voter(vote.first, vote.second);
        });
    if (static_cast<std::size_t>(granted) < members().quorum()) {
        return;
    }
    if (role_ == raft_role::pre_candidate) {
        start_election(now, false);
        return;
    }
    if (role_ == raft_role::candidate) {
        become_leader(now);
    }
}

void raft::become_leader(time_point now)
{
    role_ = raft_role::leader;
    leader_ = settings_.self;
    progress_.clear();
    uncommitted_bytes_ = 0;
    update_progress();
    for (auto& [node, peer] : progress_) {
        peer.last_contact = now;
    }
    if (members().has_unbound_voters()) {
        membership bound = members();
        for (auto& each : bound.members) {
            if (each.role == member_role::voter) {
                each.folder = votes_.at(each.node);
            }
        }
        term_start_ =
            append_own(entry_kind::configuration, encode_membership(bound))
                .index;
        update_progress();
        for (auto& [node, peer] : progress_) {
            peer.last_contact = now;
        }
    } else {
        term_start_ = append_own(entry_kind::no_op, {}).index;
    }
    votes_.clear();
}

bool raft::leader_is_recent(time_point now) const
{
    return role_ == raft_role::leader ||
           now - last_leader_contact_ < settings_.election_timeout;
}

bool raft::candidate_is_acceptable(const node_id& from, incarnation folder,
                                   const log_position& last) const
{
    const member* known = members().find(from);
    const bool replaced = known != nullptr && folder < known->folder;
    return !replaced && last >= log_.last();
}

void raft::handle(const node_id& from, const request_pre_vote& request,
                  time_point now)
{
    const bool granted =
        request.term > hard_.term && !leader_is_recent(now) &&
        candidate_is_acceptable(from, request.folder, request.last);
    output_.messages.push_back(
        {from, request_pre_vote_reply{granted ? request.term : hard_.term,
                                      settings_.folder, granted}});
}

void raft::handle(const node_id& from, const request_pre_vote_reply& reply,
                  time_point now)
{
    if (!reply.granted && reply.term > hard_.term) {
        become_follower(reply.term, {});
        return;
    }
    if (role_ != raft_role::pre_candidate || !reply.granted ||
        reply.term != hard_.term + 1) {
        return;
    }
    votes_[from] = reply.folder;
    tally(now);
}

void raft::handle(const node_id& from, const request_vote& request,
                  time_point now)
{
    if (!request.transfer && leader_is_recent(now)) {
        return;
    }
    if (request.term > hard_.term) {
        become_follower(request.term, {});
    }
    const bool free = hard_.voted_for.empty() || hard_.voted_for == from;
    const bool granted =
        request.term == hard_.term && role_ == raft_role::follower && free &&
        candidate_is_acceptable(from, request.folder, request.last);
    if (granted) {
        if (hard_.voted_for.empty()) {
            hard_.voted_for = from;
            save_hard_state();
        }
        reset_election_deadline(now);
    }
    answer(from, request_vote_reply{hard_.term, settings_.folder, granted});
}

void raft::handle(const node_id& from, const request_vote_reply& reply,
                  time_point now)
{
    if (reply.term > hard_.term) {
        become_follower(reply.term, {});
        return;
    }
    if (role_ != raft_role::candidate || !reply.granted ||
        reply.term != hard_.term) {
        return;
    }
    votes_[from] = reply.folder;
    tally(now);
}

void raft::handle(const node_id& from, const timeout_now& request,
                  time_point now)
{
    if (request.term != hard_.term || from != leader_ ||
        role_ != raft_role::follower || !self_is_voter()) {
        return;
    }
    start_election(now, true);
}

} // namespace bamboogate::consensus
