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

/// One member as this replica sees it. `match_index` is known to the
/// leader only.
struct member_status
{
    node_id node;
    incarnation folder;
    member_role role = member_role::voter;
    bool reachable = false;
    std::uint64_t match_index = 0;
};

/// One member of the replicated log: protocol, storage, links and the state
/// machine that it drives. Messages go over the hub's links; the owner of the
/// hub dials the other members. Not thread safe: all calls come from the
/// loop's thread, and callbacks are called from the loop, never from inside
/// the call that takes them. Destruction drops callbacks that are not called
/// yet.
class replica
{
public:
    struct options
    {
        std::filesystem::path data_folder;
        /// Voters of a new cluster. Read only while the data folder is empty;
        /// leave it empty on a replica that joins an existing cluster.
        std::vector<node_id> initial_voters;
        duration election_timeout = std::chrono::milliseconds(300);
        duration heartbeat_interval = std::chrono::milliseconds(60);
        /// Applied entries between two snapshots.
        std::uint64_t snapshot_every = 10000;
        /// One disk sync covers all entries of a loop turn. Off: one sync per
        /// entry, as a baseline for measurements.
        bool group_commit = true;
        std::size_t max_command_bytes = 4u << 20;
        /// File layer, for tests; null: the system's files.
        std::shared_ptr<file_system> files;
    };

    using role_observer = std::function<void(bool is_leader)>;
    using completion = std::function<void(result<void>)>;

    /// @brief Opens the data folder, restores the state and joins the
    ///     protocol.
    /// @param loop, hub, state must outlive the replica
    /// @return `storage_corrupt`, `storage_full`, `storage_failed` (also for a
    ///     folder that another process holds) or `invalid_argument`
    [[nodiscard]] static result<std::unique_ptr<replica>>
    start(net::event_loop& loop, net::link_hub& hub, replicated_state& state,
          options settings);

    ~replica();
    replica(const replica&) = delete;
    replica& operator=(const replica&) = delete;

    /// @brief Appends a command to the log.
    /// @param callback called exactly once: the result once committed and
    ///     applied here, `not_leader` (certainly not appended; the detail is
    ///     the leader's node id, or empty) or `outcome_unknown` (leadership
    ///     was lost after the command was appended)
    void propose(std::string command,
                 std::function<void(result<proposal_result>)> callback);

    [[nodiscard]] bool is_leader() const;

    /// @brief Reads the clock and tells whether no other leader can exist now
    ///     and everything committed earlier is applied here. Check again after
    ///     any step that may have slept.
    [[nodiscard]] bool has_lease() const;

    [[nodiscard]] std::optional<node_id> leader() const;
    [[nodiscard]] std::uint64_t term() const;

    /// @brief Position of the last entry applied to the state.
    [[nodiscard]] log_position applied() const;

    /// @brief Observes the gain and loss of leadership. A new leader is
    ///     reported once the entries of earlier terms are applied.
    void on_role_change(role_observer observer);

    /// @brief Observes the failure that stopped this replica. A stopped
    ///     replica answers every call with that error; the process should end.
    void on_failure(std::function<void(const error&)> observer);

    /// @brief Hands leadership to the voter with the longest log.
    /// @param callback success once another leader is known, or `not_leader`,
    ///     `no_quorum`, `deadline_exceeded`
    void transfer_leadership(completion callback);

    /// @brief Adds a replica that receives the log without a vote.
    void add_learner(node_id node, completion callback);

    /// @brief Gives a caught-up learner a vote.
    /// @param callback `in_progress` while it is not caught up or another
    ///     change is not committed yet; try again
    void promote(node_id node, completion callback);

    /// @brief Removes a member.
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
