#ifndef BAMBOOGATE_CONSENSUS_RAFT_HPP
#define BAMBOOGATE_CONSENSUS_RAFT_HPP

#include <bamboogate/consensus/messages.hpp>
#include <bamboogate/consensus/raft_log.hpp>
#include <bamboogate/consensus/types.hpp>
#include <bamboogate/core/result.hpp>
#include <bamboogate/core/time.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace bamboogate::consensus {

enum class raft_role : std::uint8_t
{
    follower,
    pre_candidate,
    candidate,
    leader,
};

/// Replication progress of another member, tracked by the leader.
struct member_progress
{
    enum class mode : std::uint8_t
    {
        probe,     ///< one message at a time until a match is found
        replicate, ///< pipelined
        snapshot,  ///< receiving a snapshot
    };

    mode state = mode::probe;
    incarnation folder;      ///< data folder of the member's newest reply
    std::uint64_t match = 0; ///< last index known to be on the member's disk
    std::uint64_t next = 1;  ///< next index to send
    std::uint64_t sent_commit = 0;
    bool probe_sent = false;
    bool heartbeat_due = true;
    /// Last index and size of each unacknowledged batch.
    std::deque<std::pair<std::uint64_t, std::size_t>> in_flight;
    std::size_t in_flight_bytes = 0;
    snapshot_info sending; ///< snapshot being sent
    std::uint64_t offset = 0;
    bool chunk_due = false;
    time_point chunk_sent;
    time_point last_sent;
    time_point last_contact;
    /// Send time of the newest message that the member has acknowledged.
    std::optional<time_point> acknowledged_send;
};

/// The protocol core of the replicated log (Raft, with pre-vote, check-quorum,
/// leader lease and single-server membership changes). It performs no I/O and
/// has no clock or random source of its own: time is an argument, random
/// numbers come from `options::random`, messages are returned by `take_output`.
/// Not thread safe.
class raft
{
public:
    struct options
    {
        node_id self;
        incarnation folder; ///< id of this replica's data folder
        duration election_timeout = std::chrono::milliseconds(300);
        duration heartbeat_interval = std::chrono::milliseconds(60);
        /// Must be below the election timeout; the difference covers the drift
        /// between two clocks during one timeout.
        duration lease_duration = std::chrono::milliseconds(240);
        std::size_t max_batch_bytes = 256u << 10;
        std::size_t max_in_flight_bytes = 4u << 20;
        /// Proposals are refused above this many uncommitted bytes.
        std::size_t max_uncommitted_bytes = 32u << 20;
        /// Entries kept in memory although a snapshot covers them, so that
        /// slightly lagging followers catch up without it.
        std::uint64_t retained_entries = 256;
        std::size_t retained_bytes = 16u << 20; ///< of these entries' data
        /// Source of random numbers, used to randomize election timeouts.
        std::function<std::uint64_t()> random;
    };

    /// Persistent state read from the data folder at startup.
    struct stored_state
    {
        hard_state hard;
        snapshot_info snapshot;
        std::vector<entry> entries;
        /// Last index that the driver has already applied; entries up to it are
        /// not delivered again. Ignored below the snapshot's index; an object
        /// whose log does not reach it must not be used.
        std::uint64_t applied = 0;
    };

    /// Work for the driver, to be done in this order: send `messages` (after
    /// the sync instead, while the `hard` of an earlier output is not synced);
    /// persist `hard`, `entries` (the first one replaces any suffix) and
    /// `installed`; sync; call `persisted`; send `messages_after_sync`; restore
    /// `installed`; apply `committed`. An `install_snapshot` message in
    /// `messages` has no data yet: the driver fills in the chunk at its offset.
    struct output
    {
        std::vector<message> messages;
        std::optional<hard_state> hard;
        std::vector<entry> entries;
        std::optional<snapshot> installed;
        std::vector<message> messages_after_sync;
        std::vector<entry> committed;
        /// Number of times that the log was truncated, for `persisted`.
        std::uint64_t truncations = 0;

        [[nodiscard]] bool empty() const;
    };

    /// @pre settings.random is set; lease_duration < election_timeout
    raft(options settings, stored_state stored, time_point now);

    /// @brief Advances the timers: election time-out, heartbeats, check-quorum
    ///     and the deadline of a transfer. Call several times per heartbeat
    ///     interval.
    void tick(time_point now);

    /// @brief Handles a message from a peer.
    void receive(const node_id& from, const message_body& body, time_point now);

    /// @brief Appends a command. @return its position, `not_leader` (detail:
    ///     leader's node id, if known) or `overloaded`
    result<log_position> propose(std::string command);

    /// @brief Reports that the log up to a position is durable.
    /// @param truncations of the last output that was persisted. If the log has
    ///     been truncated since, the report is ignored: the disk may lack
    ///     entries again while the later outputs are persisted.
    void persisted(const log_position& position, std::uint64_t truncations);

    /// @brief Reports a durable snapshot; entries that it covers are discarded,
    ///     except the last ones within `retained_entries` and
    ///     `retained_bytes`.
    void compact(const snapshot_info& info);

    /// @brief Identity of a snapshot of the state at an applied position.
    [[nodiscard]] snapshot_info
    describe_snapshot(const log_position& applied) const;

    /// @brief Moves out the pending work. Call after every input.
    [[nodiscard]] output take_output(time_point now);

    /// @brief Starts a membership change. @return position of the configuration
    ///     entry, `not_leader`, `in_progress` (an earlier change is
    ///     uncommitted, or the learner has not caught up), `conflict`,
    ///     `not_found`
    result<log_position> add_learner(const node_id& node);
    result<log_position> promote(const node_id& node, time_point now);
    result<log_position> remove(const node_id& node);

    /// @brief Transfers leadership to the reachable voter with the longest log,
    ///     to one of `avoided` only if there is no other.
    /// @return that voter, `not_leader` or `no_quorum`
    result<node_id> transfer_leadership(time_point now,
                                        std::span<const node_id> avoided = {});

    [[nodiscard]] raft_role role() const noexcept { return role_; }
    [[nodiscard]] std::uint64_t term() const noexcept { return hard_.term; }
    [[nodiscard]] const node_id& leader() const noexcept { return leader_; }
    [[nodiscard]] std::uint64_t commit() const noexcept { return commit_; }
    [[nodiscard]] const raft_log& log() const noexcept { return log_; }
    [[nodiscard]] const membership& members() const { return log_.members(); }
    [[nodiscard]] const member_progress* progress(const node_id& node) const;

    /// @brief True during a leadership transfer.
    [[nodiscard]] bool transferring() const { return transfer_.has_value(); }

    /// @brief True once an entry of the leader's own term is committed.
    [[nodiscard]] bool committed_in_term() const;

    /// @brief True while no other leader can be elected.
    [[nodiscard]] bool has_lease(time_point now) const;

private:
    // General (raft.cpp).
    void become_follower(std::uint64_t term, const node_id& leader);
    void reset_election_deadline(time_point now);
    void save_hard_state() { hard_changed_ = true; }
    void send_after_sync(const node_id& to, message_body body);
    [[nodiscard]] bool self_is_voter() const;
    [[nodiscard]] error not_leader_error() const;
    /// @brief The latest time that a quorum of voters has reached: `time_of`
    ///     for other members, `now` for this one.
    [[nodiscard]] time_point quorum_time(
        time_point now,
        const std::function<time_point(const member_progress&)>& time_of) const;

    // Elections (raft_election.cpp).
    void campaign(time_point now);
    void start_election(time_point now, bool transfer);
    void become_leader(time_point now);
    void count_votes(time_point now);
    [[nodiscard]] bool leader_is_recent(time_point now) const;
    [[nodiscard]] bool candidate_is_acceptable(const node_id& from,
                                               incarnation folder,
                                               const log_position& last) const;
    void handle(const node_id& from, const request_pre_vote& request,
                time_point now);
    void handle(const node_id& from, const request_pre_vote_reply& reply,
                time_point now);
    void handle(const node_id& from, const request_vote& request,
                time_point now);
    void handle(const node_id& from, const request_vote_reply& reply,
                time_point now);
    void handle(const node_id& from, const timeout_now& request,
                time_point now);

    // Replication (raft_replication.cpp, raft_snapshot.cpp).
    log_position append_entry(entry_kind kind, std::string data);
    void advance_commit(std::uint64_t index);
    void update_commit_index();
    void replicate(time_point now);
    void replicate_to(const node_id& node, member_progress& peer,
                      time_point now);
    void send_append(const node_id& node, member_progress& peer,
                     time_point now);
    void send_snapshot(const node_id& node, member_progress& peer,
                       time_point now);
    void tick_leader(time_point now);
    bool accept_leader(const node_id& from, std::uint64_t term, time_point now);
    void store_entries(const append_entries& request);
    /// @brief Highest index that may still match after a mismatch at
    ///     `previous`.
    [[nodiscard]] std::uint64_t conflict_hint(std::uint64_t previous) const;
    void record_acknowledgement(member_progress& peer, std::int64_t sent_at,
                                time_point now);
    void handle(const node_id& from, const append_entries& request,
                time_point now);
    void handle(const node_id& from, const append_entries_reply& reply,
                time_point now);
    void handle(const node_id& from, const install_snapshot& request,
                time_point now);
    void handle(const node_id& from, const install_snapshot_reply& reply,
                time_point now);

    // Membership and transfer (raft_membership.cpp).
    result<log_position> change_members(membership changed);
    void update_progress();
    member_progress* accept_sender(const node_id& from, incarnation folder);
    void replace_folder(const node_id& node, incarnation folder);
    void promote_if_caught_up(const node_id& node, const member_progress& peer);
    void advance_transfer();

    options settings_;
    hard_state hard_;
    raft_log log_;
    raft_role role_ = raft_role::follower;
    node_id leader_;
    std::uint64_t commit_ = 0;
    std::uint64_t delivered_ = 0; ///< last index delivered in an output
    std::uint64_t persisted_ = 0;
    std::uint64_t truncations_ = 0;
    std::uint64_t term_start_ = 0; ///< leader: index of its first entry
    std::size_t uncommitted_bytes_ = 0;
    time_point election_deadline_;
    time_point last_leader_contact_;
    /// Voters that granted a vote in the current election, with their data
    /// folders.
    std::map<node_id, incarnation> votes_;
    std::map<node_id, member_progress> progress_;

    struct transfer
    {
        node_id target;
        time_point deadline;
        bool sent = false;
    };
    std::optional<transfer> transfer_;

    struct incoming_snapshot
    {
        snapshot_info info;
        std::string data;
    };
    std::optional<incoming_snapshot> incoming_;

    bool hard_changed_ = false;
    output output_;
};

} // namespace bamboogate::consensus

#endif
