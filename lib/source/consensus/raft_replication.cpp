#include <bamboogate/consensus/raft.hpp>

#include <algorithm>

namespace bamboogate::consensus {

log_position raft::append_entry(entry_kind kind, std::string data)
{
    entry added{{hard_.term, log_.last().index + 1}, kind, std::move(data)};
    uncommitted_bytes_ += added.data.size();
    output_.entries.push_back(added);
    log_.append(std::move(added));
    return log_.last();
}

void raft::advance_commit(std::uint64_t index)
{
    for (std::uint64_t i = commit_ + 1; i <= index; ++i) {
        uncommitted_bytes_ -=
            std::min(uncommitted_bytes_, log_.at(i).data.size());
    }
    commit_ = index;
}

void raft::update_commit_index()
{
    std::vector<std::uint64_t> matches;
    for (const auto& each : members().members) {
        if (each.role != member_role::voter) {
            continue;
        }
        if (each.node == settings_.self) {
            matches.push_back(persisted_);
            continue;
        }
        const member_progress* peer = progress(each.node);
        matches.push_back(peer == nullptr ? 0 : peer->match);
    }
    const std::size_t quorum = members().quorum();
    if (quorum == 0 || matches.size() < quorum) {
        return;
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const std::uint64_t index = matches[quorum - 1];
    // Entries of earlier terms are committed only indirectly, by committing an
    // entry of this term: a majority alone does not prevent them from being
    // overwritten (spec/raft.pml, mutant COMMIT_OLD_TERM).
    if (index <= commit_ || log_.term_at(index) != hard_.term) {
        return;
    }
    advance_commit(index);
    if (log_.members_index() <= commit_ &&
        members().find(settings_.self) == nullptr) {
        become_follower(hard_.term, {});
    }
}

void raft::tick_leader(time_point now)
{
    const time_point last_quorum_contact = quorum_time(
        now, [](const member_progress& peer) { return peer.last_contact; });
    // Check-quorum: a leader without replies from a majority steps down, so
    // that callers look for the current leader.
    if (last_quorum_contact < now - settings_.election_timeout) {
        become_follower(hard_.term, {});
        reset_election_deadline(now);
        return;
    }
    if (transfer_ && now >= transfer_->deadline) {
        const bool sent = transfer_->sent;
        transfer_.reset();
        if (sent) {
            // The `timeout_now` request may still arrive and invalidate any
            // lease of this term.
            become_follower(hard_.term, {});
            reset_election_deadline(now);
            return;
        }
    }
    for (auto& [node, peer] : progress_) {
        if (now - peer.last_sent >= settings_.heartbeat_interval) {
            peer.heartbeat_due = true;
            peer.probe_sent = false;
        }
        if (peer.state == member_progress::mode::snapshot &&
            now - peer.chunk_sent >= settings_.election_timeout) {
            peer.chunk_due = true;
        }
    }
}

void raft::replicate(time_point now)
{
    for (auto& [node, peer] : progress_) {
        replicate_to(node, peer, now);
    }
}

void raft::replicate_to(const node_id& node, member_progress& peer,
                        time_point now)
{
    using mode = member_progress::mode;
    if (peer.state != mode::snapshot && peer.next <= log_.base().index) {
        peer.state = mode::snapshot;
        peer.chunk_due = true;
        peer.offset = 0;
        peer.sending = describe_snapshot(log_.snapshot());
    }
    if (peer.state == mode::snapshot) {
        send_snapshot(node, peer, now);
        return;
    }
    if (peer.state == mode::probe) {
        if (!peer.probe_sent) {
            send_append(node, peer, now);
            peer.probe_sent = true;
        }
        return;
    }
    while (peer.next <= log_.last().index &&
           peer.in_flight_bytes < settings_.max_in_flight_bytes) {
        send_append(node, peer, now);
    }
    if (peer.heartbeat_due || peer.sent_commit < commit_) {
        send_append(node, peer, now);
    }
}

void raft::send_append(const node_id& node, member_progress& peer,
                       time_point now)
{
    const bool window_open =
        peer.in_flight_bytes < settings_.max_in_flight_bytes;
    append_entries request{
        .term = hard_.term,
        .folder = settings_.folder,
        .previous = {log_.term_at(peer.next - 1).value_or(0), peer.next - 1},
        .entries = window_open
                       ? log_.slice(peer.next, settings_.max_batch_bytes)
                       : std::vector<entry>(),
        .commit = commit_,
        .sent_at = now.time_since_epoch().count()};
    if (peer.state == member_progress::mode::replicate &&
        !request.entries.empty()) {
        // 32 bytes account for the encoding of each entry.
        std::size_t bytes = 0;
        for (const auto& each : request.entries) {
            bytes += each.data.size() + 32;
        }
        peer.next += request.entries.size();
        peer.in_flight.emplace_back(peer.next - 1, bytes);
        peer.in_flight_bytes += bytes;
    }
    peer.sent_commit = commit_;
    peer.heartbeat_due = false;
    peer.last_sent = now;
    output_.messages.push_back({node, std::move(request)});
}

bool raft::accept_leader(const node_id& from, std::uint64_t term,
                         time_point now)
{
    if (term < hard_.term) {
        return false;
    }
    if (term > hard_.term || role_ != raft_role::follower || leader_ != from) {
        become_follower(term, from);
    }
    last_leader_contact_ = now;
    reset_election_deadline(now);
    return true;
}

std::uint64_t raft::conflict_hint(std::uint64_t previous) const
{
    if (log_.last().index < previous) {
        return log_.last().index;
    }
    // Skips all entries of the conflicting term at once.
    const auto conflicting = log_.term_at(previous);
    std::uint64_t index = previous;
    while (index > commit_ && log_.term_at(index) == conflicting) {
        --index;
    }
    return index;
}

void raft::store_entries(const append_entries& request)
{
    for (const auto& each : request.entries) {
        const std::uint64_t index = each.position.index;
        if (index <= commit_ || log_.term_at(index) == each.position.term) {
            continue;
        }
        if (index <= log_.last().index) {
            log_.truncate_from(index);
            ++truncations_;
            persisted_ = std::min(persisted_, index - 1);
            std::erase_if(output_.entries, [index](const entry& pending) {
                return pending.position.index >= index;
            });
        }
        output_.entries.push_back(each);
        log_.append(each);
    }
}

void raft::handle(const node_id& from, const append_entries& request,
                  time_point now)
{
    append_entries_reply reply{.term = hard_.term,
                               .folder = settings_.folder,
                               .accepted = false,
                               .index = 0,
                               .sent_at = request.sent_at};
    if (!accept_leader(from, request.term, now)) {
        send_after_sync(from, reply);
        return;
    }
    reply.term = hard_.term;
    const std::uint64_t previous = request.previous.index;
    std::uint64_t expected = previous;
    for (const auto& each : request.entries) {
        if (each.position.index != ++expected) {
            // Malformed: the indexes must be contiguous.
            return;
        }
    }
    // Committed entries are identical on all replicas and need no comparison.
    if (previous > commit_ && log_.term_at(previous) != request.previous.term) {
        reply.index = conflict_hint(previous);
        send_after_sync(from, reply);
        return;
    }
    store_entries(request);
    reply.accepted = true;
    reply.index = expected;
    advance_commit(std::max(commit_, std::min(request.commit, reply.index)));
    if (request.entries.empty()) {
        // A heartbeat is answered during a sync as well, so that a slow disk
        // does not look like a lost replica.
        reply.index = std::min(reply.index, persisted_);
        output_.messages.push_back({from, reply});
        return;
    }
    send_after_sync(from, reply);
}

void raft::record_acknowledgement(member_progress& peer, std::int64_t sent_at,
                                  time_point now)
{
    const time_point sent{duration(sent_at)};
    peer.last_contact = now;
    if (!peer.acknowledged_send || *peer.acknowledged_send < sent) {
        peer.acknowledged_send = sent;
    }
}

void raft::handle(const node_id& from, const append_entries_reply& reply,
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
    using mode = member_progress::mode;
    if (peer->state == mode::snapshot) {
        return;
    }
    if (!reply.accepted) {
        // A rejection below the match index is stale.
        if (reply.index < peer->match) {
            return;
        }
        peer->next = std::min(peer->next, reply.index + 1);
        peer->state = mode::probe;
        peer->probe_sent = false;
        peer->in_flight.clear();
        peer->in_flight_bytes = 0;
        return;
    }
    if (reply.index > log_.last().index) {
        return;
    }
    peer->match = std::max(peer->match, reply.index);
    peer->next = std::max(peer->next, peer->match + 1);
    peer->state = mode::replicate;
    while (!peer->in_flight.empty() &&
           peer->in_flight.front().first <= peer->match) {
        peer->in_flight_bytes -= peer->in_flight.front().second;
        peer->in_flight.pop_front();
    }
    update_commit_index();
    if (role_ != raft_role::leader) {
        return;
    }
    promote_if_caught_up(from, *peer);
    advance_transfer();
}

} // namespace bamboogate::consensus
