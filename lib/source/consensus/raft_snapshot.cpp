#include <bamboogate/consensus/raft.hpp>

#include <algorithm>

namespace bamboogate::consensus {

void raft::send_snapshot(const node_id& node, member_progress& peer,
                         time_point now)
{
    if (peer.chunk_due) {
        if (peer.sending.last != log_.snapshot()) {
            // A newer snapshot has replaced the one being sent.
            peer.sending = describe_snapshot(log_.snapshot());
            peer.offset = 0;
        }
        peer.chunk_due = false;
        peer.chunk_sent = now;
        peer.last_sent = now;
        peer.heartbeat_due = false;
        output_.messages.push_back(
            {node,
             install_snapshot{.term = hard_.term,
                              .folder = settings_.folder,
                              .info = peer.sending,
                              .offset = peer.offset,
                              .data = {},
                              .done = false,
                              .sent_at = now.time_since_epoch().count()}});
        return;
    }
    if (!peer.heartbeat_due) {
        return;
    }
    // Heartbeat only: position 0 matches every log, so the reply carries no
    // match index.
    peer.heartbeat_due = false;
    peer.last_sent = now;
    output_.messages.push_back(
        {node, append_entries{.term = hard_.term,
                              .folder = settings_.folder,
                              .previous = {},
                              .entries = {},
                              .commit = 0,
                              .sent_at = now.time_since_epoch().count()}});
}

void raft::handle(const node_id& from, const install_snapshot& request,
                  time_point now)
{
    install_snapshot_reply reply{.term = hard_.term,
                                 .folder = settings_.folder,
                                 .index = request.info.last.index,
                                 .offset = 0,
                                 .done = false,
                                 .sent_at = request.sent_at};
    if (!accept_leader(from, request.term, now)) {
        send_after_sync(from, reply);
        return;
    }
    reply.term = hard_.term;
    const log_position& last = request.info.last;
    // Entries after the snapshot that match may already be acknowledged, so a
    // log that contains the snapshot's last entry is kept.
    if (last.index <= commit_ || log_.term_at(last.index) == last.term) {
        advance_commit(std::max(commit_, last.index));
        incoming_.reset();
        reply.done = true;
        send_after_sync(from, reply);
        return;
    }
    if (!incoming_ || incoming_->info != request.info) {
        incoming_ = incoming_snapshot{request.info, {}};
    }
    if (request.offset == incoming_->data.size()) {
        incoming_->data += request.data;
        reply.done = request.done;
    }
    reply.offset = incoming_->data.size();
    if (reply.done) {
        log_.reset(request.info);
        ++truncations_;
        persisted_ = std::min(persisted_, commit_);
        commit_ = last.index;
        delivered_ = last.index;
        output_.entries.clear();
        output_.installed = snapshot{request.info, std::move(incoming_->data)};
        incoming_.reset();
    }
    send_after_sync(from, reply);
}

void raft::handle(const node_id& from, const install_snapshot_reply& reply,
                  time_point now)
{
    if (reply.term > hard_.term) {
        become_follower(reply.term, {});
        reset_election_deadline(now);
        return;
    }
    if (role_ != raft_role::leader || reply.term != hard_.term) {
        return;
    }
    member_progress* peer = accept_sender(from, reply.folder);
    if (peer == nullptr) {
        return;
    }
    record_acknowledgement(*peer, reply.sent_at, now);
    if (peer->state != member_progress::mode::snapshot ||
        peer->sending.last.index != reply.index) {
        return;
    }
    if (!reply.done) {
        // An equal offset acknowledges a repeated chunk; the next one is
        // already in flight.
        if (reply.offset != peer->offset) {
            peer->offset = reply.offset;
            peer->chunk_due = true;
        }
        return;
    }
    peer->match = std::max(peer->match, reply.index);
    peer->next = peer->match + 1;
    peer->state = member_progress::mode::probe;
    peer->probe_sent = false;
    peer->in_flight.clear();
    peer->in_flight_bytes = 0;
    update_commit_index();
}

} // namespace bamboogate::consensus
