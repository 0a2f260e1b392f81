#include <bamboogate/consensus/raft.hpp>

#include <algorithm>
#include <utility>

namespace bamboogate::consensus {

result<log_position> raft::change_members(membership changed)
{
    if (role_ != raft_role::leader || transfer_) {
        return not_leader_error();
    }
    // One change at a time, and only after an entry of this term is committed:
    // otherwise two leaders may each change the configuration of an earlier
    // term, and their majorities need not overlap.
    if (!committed_in_term() || log_.members_index() > commit_) {
        return fail(errc::in_progress,
                    "an earlier membership change is not committed");
    }
    if (changed.voter_count() == 0) {
        return fail(errc::conflict, "the last voter cannot be removed");
    }
    const log_position position =
        append_entry(entry_kind::configuration, encode_membership(changed));
    update_progress();
    return position;
}

result<log_position> raft::add_learner(const node_id& node)
{
    if (members().find(node) != nullptr) {
        return fail(errc::conflict, node.value() + " is already a member");
    }
    membership changed = members();
    changed.members.push_back({.node = node,
                               .folder = {},
                               .role = member_role::learner,
                               .promote_when_caught_up = false});
    return change_members(std::move(changed));
}

result<log_position> raft::promote(const node_id& node, time_point now)
{
    if (role_ != raft_role::leader) {
        return not_leader_error();
    }
    membership changed = members();
    member* found = changed.find(node);
    if (found == nullptr) {
        return fail(errc::not_found, node.value() + " is not a member");
    }
    if (found->role == member_role::voter) {
        return fail(errc::conflict, node.value() + " is already a voter");
    }
    const member_progress* peer = progress(node);
    const bool caught_up =
        peer != nullptr && peer->folder.value != 0 && peer->match >= commit_ &&
        now - peer->last_contact < settings_.election_timeout;
    if (!caught_up) {
        return fail(errc::in_progress, node.value() + " has not caught up");
    }
    found->folder = peer->folder;
    found->role = member_role::voter;
    found->promote_when_caught_up = false;
    return change_members(std::move(changed));
}

result<log_position> raft::remove(const node_id& node)
{
    if (members().find(node) == nullptr) {
        return fail(errc::not_found, node.value() + " is not a member");
    }
    membership changed = members();
    std::erase_if(changed.members,
                  [&](const member& each) { return each.node == node; });
    return change_members(std::move(changed));
}

void raft::update_progress()
{
    std::erase_if(progress_, [this](const auto& each) {
        return members().find(each.first) == nullptr;
    });
    for (const auto& each : members().members) {
        if (each.node == settings_.self) {
            continue;
        }
        auto [found, added] = progress_.try_emplace(each.node);
        member_progress& peer = found->second;
        const bool other_folder =
            each.folder.value != 0 && peer.folder != each.folder;
        if (added || other_folder) {
            peer = {};
            peer.folder = each.folder;
            peer.next = log_.last().index + 1;
        }
    }
}

member_progress* raft::accept_sender(const node_id& from, incarnation folder)
{
    const auto found = progress_.find(from);
    const member* known = members().find(from);
    if (found == progress_.end() || known == nullptr) {
        return nullptr;
    }
    member_progress& peer = found->second;
    if (folder == peer.folder) {
        return &peer;
    }
    // A smaller id belongs to a folder that has been replaced.
    if (folder < peer.folder) {
        return nullptr;
    }
    if (known->folder.value != 0) {
        replace_folder(from, folder);
        return nullptr;
    }
    peer = {};
    peer.folder = folder;
    peer.next = log_.last().index + 1;
    return &peer;
}

void raft::replace_folder(const node_id& node, incarnation folder)
{
    membership changed = members();
    member* found = changed.find(node);
    // The new folder lacks the votes and entries that the old one acknowledged,
    // so the member counts towards no quorum until it has caught up.
    found->promote_when_caught_up =
        found->promote_when_caught_up || found->role == member_role::voter;
    found->role = member_role::learner;
    found->folder = folder;
    // Fails while another change is uncommitted; retried on the next reply.
    (void)change_members(std::move(changed));
}

void raft::promote_if_caught_up(const node_id& node,
                                const member_progress& peer)
{
    const member* known = members().find(node);
    if (known == nullptr || !known->promote_when_caught_up ||
        peer.match < commit_) {
        return;
    }
    (void)promote(node, peer.last_contact);
}

result<node_id> raft::transfer_leadership(time_point now,
                                          std::span<const node_id> avoided)
{
    if (role_ != raft_role::leader || transfer_) {
        return not_leader_error();
    }
    const node_id* target = nullptr;
    std::pair<bool, std::uint64_t> best; // not avoided, match index
    for (const auto& [node, peer] : progress_) {
        const member* known = members().find(node);
        const bool usable =
            known != nullptr && known->role == member_role::voter &&
            now - peer.last_contact < settings_.election_timeout;
        const bool preferred =
            std::find(avoided.begin(), avoided.end(), node) == avoided.end();
        const std::pair quality(preferred, peer.match);
        if (usable && (target == nullptr || quality > best)) {
            target = &node;
            best = quality;
        }
    }
    if (target == nullptr) {
        return fail(errc::no_quorum, "no other voter is reachable");
    }
    transfer_ = transfer{*target, now + settings_.election_timeout, false};
    const node_id chosen = *target;
    advance_transfer();
    return chosen;
}

void raft::advance_transfer()
{
    if (!transfer_ || transfer_->sent) {
        return;
    }
    const member_progress* peer = progress(transfer_->target);
    if (peer == nullptr) {
        transfer_.reset();
        return;
    }
    if (peer->match < log_.last().index) {
        return;
    }
    transfer_->sent = true;
    output_.messages.push_back(
        {transfer_->target, timeout_now{hard_.term, settings_.folder}});
}

} // namespace bamboogate::consensus
