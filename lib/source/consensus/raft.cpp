#include <bamboogate/consensus/raft.hpp>

#include <algorithm>

namespace bamboogate::consensus {

bool raft::output::empty() const
{
    return messages.empty() && !hard && entries.empty() && !installed &&
           messages_after_sync.empty() && committed.empty();
}

raft::raft(options settings, stored_state stored, time_point now)
    : settings_(std::move(settings)), hard_(std::move(stored.hard)),
      log_(std::move(stored.snapshot), std::move(stored.entries)),
      commit_(std::max(log_.snapshot().index, stored.applied)),
      delivered_(commit_), persisted_(log_.last().index),
      // A vote granted right after a restart could break a lease that this
      // replica acknowledged before the restart.
      last_leader_contact_(now)
{
    reset_election_deadline(now);
    if (members().voter_count() == 1) {
        // No other replica can lead, so there is no lease to wait for.
        election_deadline_ = now;
    }
}

void raft::tick(time_point now)
{
    if (role_ == raft_role::leader) {
        tick_leader(now);
        return;
    }
    if (now < election_deadline_) {
        return;
    }
    if (!self_is_voter()) {
        leader_ = {};
        reset_election_deadline(now);
        return;
    }
    campaign(now);
}

void raft::receive(const node_id& from, const message_body& body,
                   time_point now)
{
    std::visit([&](const auto& each) { handle(from, each, now); }, body);
}

result<log_position> raft::propose(std::string command)
{
    if (role_ != raft_role::leader || transfer_) {
        return not_leader_error();
    }
    if (uncommitted_bytes_ + command.size() > settings_.max_uncommitted_bytes) {
        return fail(errc::overloaded, "too many uncommitted bytes");
    }
    return append_entry(entry_kind::command, std::move(command));
}

void raft::persisted(const log_position& position, std::uint64_t truncations)
{
    if (truncations != truncations_ ||
        log_.term_at(position.index) != position.term) {
        return;
    }
    persisted_ = std::max(persisted_, position.index);
    if (role_ == raft_role::leader) {
        update_commit_index();
    }
}

void raft::compact(const snapshot_info& info)
{
    log_.compact(info, {.entries = settings_.retained_entries,
                        .bytes = settings_.retained_bytes});
}

snapshot_info raft::describe_snapshot(const log_position& applied) const
{
    return {applied, log_.members_at(applied.index)};
}

raft::output raft::take_output(time_point now)
{
    if (role_ == raft_role::leader) {
        replicate(now);
    }
    if (hard_changed_) {
        output_.hard = hard_;
        hard_changed_ = false;
        // No message of a new term is sent before the term is on disk: a
        // replica that lost its vote in a crash could lead the same term twice.
        auto& later = output_.messages_after_sync;
        later.insert(later.begin(),
                     std::make_move_iterator(output_.messages.begin()),
                     std::make_move_iterator(output_.messages.end()));
        output_.messages.clear();
    }
    for (; delivered_ < commit_; ++delivered_) {
        output_.committed.push_back(log_.at(delivered_ + 1));
    }
    output_.truncations = truncations_;
    return std::exchange(output_, {});
}

const member_progress* raft::progress(const node_id& node) const
{
    const auto found = progress_.find(node);
    return found == progress_.end() ? nullptr : &found->second;
}

bool raft::committed_in_term() const
{
    return role_ == raft_role::leader && commit_ >= term_start_;
}

bool raft::has_lease(time_point now) const
{
    // Voters do not wait for the lease in an election requested by the leader,
    // so a transfer ends the lease for the rest of the term.
    if (!committed_in_term() || transfer_) {
        return false;
    }
    const time_point start = quorum_time(now, [](const member_progress& peer) {
        return peer.acknowledged_send.value_or(time_point::min());
    });
    // Subtracting from `now` avoids an overflow while nothing is acknowledged.
    return start > now - settings_.lease_duration;
}

void raft::become_follower(std::uint64_t term, const node_id& leader)
{
    if (term > hard_.term) {
        hard_ = {.term = term, .voted_for = {}};
        save_hard_state();
    }
    role_ = raft_role::follower;
    leader_ = leader;
    votes_.clear();
    progress_.clear();
    transfer_.reset();
    uncommitted_bytes_ = 0;
}

void raft::reset_election_deadline(time_point now)
{
    const auto spread =
        static_cast<std::uint64_t>(settings_.election_timeout.count());
    election_deadline_ =
        now + settings_.election_timeout +
        duration(static_cast<duration::rep>(settings_.random() % spread));
}

void raft::send_after_sync(const node_id& to, message_body body)
{
    output_.messages_after_sync.push_back({to, std::move(body)});
}

bool raft::self_is_voter() const
{
    return members().is_voter(settings_.self, settings_.folder);
}

error raft::not_leader_error() const
{
    if (transfer_) {
        return {errc::not_leader, transfer_->target.value()};
    }
    return {errc::not_leader, leader_.value()};
}

time_point raft::quorum_time(
    time_point now,
    const std::function<time_point(const member_progress&)>& time_of) const
{
    std::vector<time_point> times;
    for (const auto& each : members().members) {
        if (each.role != member_role::voter) {
            continue;
        }
        if (each.node == settings_.self) {
            times.push_back(now);
            continue;
        }
        const member_progress* peer = progress(each.node);
        times.push_back(peer == nullptr ? time_point::min() : time_of(*peer));
    }
    const std::size_t quorum = members().quorum();
    if (times.size() < quorum || quorum == 0) {
        return time_point::min();
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[quorum - 1];
}

} // namespace bamboogate::consensus
