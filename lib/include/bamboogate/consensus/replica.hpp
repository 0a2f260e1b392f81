#ifndef BAMBOOGATE_CONSENSUS_REPLICA_HPP
#define BAMBOOGATE_CONSENSUS_REPLICA_HPP

#include <bamboogate/consensus/replicated_state.hpp>
#include <bamboogate/consensus/types.hpp>
#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/result.hpp>
#include <bamboogate/core/time.hpp>
#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/link_hub.hpp>

#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace bamboogate::consensus {

class file_system;

/// Outcome of a committed proposal.
struct proposal_result
{
    log_position position;
    std::string response; ///< returned by `replicated_state::apply`
};

/// Status of one member as seen by this replica. `match_index` is known only on
/// the leader.
struct member_status
{
    node_id node;
    incarnation folder;
    member_role role = member_role::voter;
    bool reachable = false;
    std::uint64_t match_index = 0;
};

/// A member of the replicated log: protocol, storage, links and the replicated
/// state machine. Messages are sent over the hub's links; the owner of the hub
/// dials the other members. Not thread safe: all calls must come from the
/// loop's thread. Callbacks run from the loop, never from within the call that
/// receives them; destruction discards pending callbacks.
class replica
{
public:
    struct options
    {
        std::filesystem::path data_folder;
        /// Voters of a new cluster. Read only while the data folder is empty;
        /// leave it empty on a replica that joins an existing cluster.
        std::vector<node_id> initial_voters;
        /// Must exceed two heartbeat intervals.
        duration election_timeout = std::chrono::milliseconds(300);
        duration heartbeat_interval = std::chrono::milliseconds(60);
        /// Applied entries between two snapshots; must be positive.
        std::uint64_t snapshot_interval_entries = 10000;
        /// Bytes of applied entries after which a snapshot is taken earlier.
        /// Bounds the log on a small disk when the entries are large.
        std::size_t snapshot_interval_bytes = 16u << 20;
        /// If true, one disk sync covers all entries of a loop iteration. If
        /// false, each entry is synced separately, as a baseline for
        /// measurements.
        bool group_commit = true;
        std::size_t max_command_bytes = 4u << 20;
        /// Time after which a leader whose disk does not respond asks another
        /// voter to lead. Longer than the syncs of a busy disk, which all
        /// replicas of a machine share.
        duration storage_stall_limit = std::chrono::milliseconds(1500);
        /// File system, replaced in tests; null: file system of the operating
        /// system.
        std::shared_ptr<file_system> files;
    };

    using role_observer = std::function<void(bool is_leader)>;
    using completion = std::function<void(result<void>)>;

    /// @brief Opens the data folder, restores the state and joins the
    ///     protocol.
    /// @param loop, hub, state must outlive the replica
    /// @return `storage_corrupt`, `storage_full`, `storage_failed` (also for a
    ///     folder that another process has locked), `invalid_argument` for
    ///     invalid options, or the error of `replicated_state::restore`
    [[nodiscard]] static result<std::unique_ptr<replica>>
    start(net::event_loop& loop, net::link_hub& hub, replicated_state& state,
          options settings);

    ~replica();
    replica(const replica&) = delete;
    replica& operator=(const replica&) = delete;

    /// @brief Appends a command to the log.
    /// @param callback called exactly once: the result after commit and local
    ///     application; `not_leader` (not appended; the detail is the leader's
    ///     node id, or empty); `overloaded` or `limit_exceeded` (not
    ///     appended); or `outcome_unknown` (leadership was lost after the
    ///     command was appended)
    void propose(std::string command,
                 std::function<void(result<proposal_result>)> callback);

    [[nodiscard]] bool is_leader() const;

    /// @brief Reads the clock. True if no other leader can exist now and all
    ///     earlier commits are applied on this replica. Check again after any
    ///     step during which the process may have been suspended.
    [[nodiscard]] bool has_lease() const;

    [[nodiscard]] std::optional<node_id> leader() const;
    [[nodiscard]] std::uint64_t term() const;

    /// @brief Position of the last entry applied to the state.
    [[nodiscard]] log_position applied() const;

    /// @brief Registers an observer of leadership changes of this replica.
    ///     Gained leadership is reported once the entries of earlier terms are
    ///     applied.
    void on_role_change(role_observer observer);

    /// @brief Registers an observer of failures. A failed replica takes no part
    ///     in the protocol and answers every call with the error. After
    ///     `storage_full` and `storage_failed` it opens its folder again until
    ///     that succeeds, and keeps the state that it has applied; after any
    ///     other error the process should exit.
    void on_failure(std::function<void(const error&)> observer);

    /// @brief The failure because of which this replica takes no part now.
    [[nodiscard]] const std::optional<error>& failure() const;

    /// @brief True if the replica recovers from a failure by itself.
    [[nodiscard]] static bool recovers_from(const error& problem);

    /// @brief Transfers leadership to the reachable voter with the longest log,
    ///     to one of `avoided` only if there is no other.
    /// @param callback success once another leader is known, or `not_leader`,
    ///     `no_quorum`, `deadline_exceeded`
    void transfer_leadership(completion callback,
                             std::span<const node_id> avoided = {});

    /// @brief Adds a learner: a non-voting member that receives the log.
    /// @param callback success after commit and local application; `not_leader`
    ///     or `outcome_unknown` as for `propose`; `conflict` (already a
    ///     member); or `in_progress` (another change is uncommitted; retry
    ///     later)
    void add_learner(node_id node, completion callback);

    /// @brief Promotes a learner that has caught up to a voter.
    /// @param callback as for `add_learner`; also `not_found`, and while the
    ///     learner has not caught up `in_progress`
    void promote(node_id node, completion callback);

    /// @param callback as for `add_learner`; also `not_found`, and `conflict`
    ///     for the last voter
    void remove(node_id node, completion callback);

    [[nodiscard]] std::vector<member_status> members() const;

    /// @brief Id of this replica's data folder.
    [[nodiscard]] incarnation folder_id() const;

private:
    struct impl;
    explicit replica(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

} // namespace bamboogate::consensus

#endif
