#ifndef BAMBOOGATE_TESTS_CONSENSUS_SIMULATED_CLUSTER_HPP
#define BAMBOOGATE_TESTS_CONSENSUS_SIMULATED_CLUSTER_HPP

#include <bamboogate/consensus/raft.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bamboogate::consensus {

/// Protocol cores on a simulated network that drops, duplicates and reorders
/// messages, with disks whose syncs take time. Deterministic for a given seed.
/// These invariants are checked after every step:
/// - at most one leader per term;
/// - all replicas apply the same entry at every index;
/// - at most one replica holds a valid lease.
class simulated_cluster
{
public:
    struct options
    {
        unsigned seed = 1;
        unsigned voters = 3;
        double drop = 0.0;
        double duplicate = 0.0;
        duration max_delay = std::chrono::milliseconds(5);
        duration max_sync = std::chrono::milliseconds(3);
        std::uint64_t snapshot_interval_entries = 50;
        std::uint64_t retained_entries = 4;
    };

    struct node
    {
        node_id id;
        duration clock_offset{}; ///< the machines' clocks differ
        std::unique_ptr<raft> core;
        // Disk.
        incarnation folder;
        raft::stored_state disk;
        std::string disk_snapshot;
        // Output whose sync has not completed.
        std::vector<raft::output> pending;
        std::optional<time_point> sync_ends;
        bool hard_pending = false;
        // State machine: count and digest of the applied commands.
        log_position applied;
        std::uint64_t digest = 0;
        std::uint64_t snapshot_index = 0;
    };

    explicit simulated_cluster(const options& settings);

    /// @brief Advances the simulation by one millisecond.
    void step();
    void run_for(duration time);

    /// @brief Steps until the condition holds. The condition is not evaluated
    ///     again after it held.
    template <typename Condition>
    bool run_until(Condition condition, duration limit)
    {
        const time_point end = now_ + limit;
        while (now_ < end && problem.empty()) {
            if (condition()) {
                return true;
            }
            step();
        }
        return condition();
    }

    node& at(std::size_t index) { return *nodes_[index]; }
    std::size_t size() const { return nodes_.size(); }
    node* find(const node_id& id);

    /// @brief The leader with the highest term, if any.
    node* leader();

    /// @brief Proposes a unique command to a replica in the leader role.
    bool propose();

    /// @brief Stops a replica; a random part of its unsynced writes reaches the
    ///     disk.
    void crash(node& target);
    void restart(node& target);

    /// @brief Empties the disk of a stopped replica.
    void lose_disk(node& target);

    /// @brief Adds a replica that is not a member of the configuration.
    node& add_node();

    /// @brief Drops all messages to and from a replica while isolated.
    void set_isolated(const node_id& id, bool isolated);
    /// @brief Ends isolation and message faults; stopped replicas stay stopped.
    void clear_faults();
    /// @param drop, duplicate probability for each message
    void set_faults(double drop, double duplicate);
    void set_max_sync(duration time) { settings_.max_sync = time; }

    [[nodiscard]] time_point now_at(const node& target) const
    {
        return now_ + target.clock_offset;
    }
    [[nodiscard]] std::uint64_t committed() const
    {
        return committed_.empty() ? 0 : committed_.rbegin()->first;
    }

    /// @brief True if every running replica has applied all committed entries.
    [[nodiscard]] bool converged() const;

    std::mt19937_64 random;
    std::string problem; ///< violated invariant, empty if none

private:
    struct packet
    {
        node_id from;
        message content;
    };

    void start(node& target);
    void process(node& target);
    void end_sync(node& target);
    void persist(node& target, raft::output& work, std::size_t entries);
    void apply(node& target, const entry& committed);
    void send(node& from, const message& content);
    void check_leader(const node& target);
    bool chance(double probability);

    options settings_;
    time_point now_{std::chrono::hours(1)};
    std::vector<std::unique_ptr<node>> nodes_;
    std::multimap<time_point, packet> network_;
    std::map<node_id, bool> isolated_;
    std::map<std::uint64_t, entry> committed_;
    std::map<std::uint64_t, std::uint64_t> digests_;
    std::map<std::uint64_t, node_id> leaders_;
    std::uint64_t next_command_ = 0;
    std::uint64_t next_folder_ = 1;
};

} // namespace bamboogate::consensus

#endif
