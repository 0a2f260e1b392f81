#ifndef BAMBOOGATE_CONSENSUS_REPLICA_CORE_HPP
#define BAMBOOGATE_CONSENSUS_REPLICA_CORE_HPP

#include <bamboogate/consensus/log_store.hpp>
#include <bamboogate/consensus/raft.hpp>
#include <bamboogate/consensus/replica.hpp>
#include <bamboogate/net/background_worker.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace bamboogate::consensus {

/// Implementation of `replica`. Drives the protocol core in three steps, each
/// at most once per loop iteration: collect inputs, send the resulting
/// messages, then persist everything with one sync. A thread of its own writes
/// to the disk, so that a slow one delays no heartbeats; inputs that arrive
/// meanwhile are persisted together with the next sync.
class replica_core
{
public:
    replica_core(net::event_loop& loop, net::link_hub& hub,
                 replicated_state& state, replica::options settings);
    ~replica_core();
    replica_core(const replica_core&) = delete;
    replica_core& operator=(const replica_core&) = delete;

    result<void> open();

    void propose(std::string command,
                 std::function<void(result<proposal_result>)> callback);
    void
    change_members(const std::function<result<log_position>(raft&)>& change,
                   replica::completion callback);
    void transfer_leadership(replica::completion callback,
                             std::span<const node_id> avoided);

    void on_role_change(replica::role_observer observer);
    void on_failure(std::function<void(const error&)> observer);
    /// True for failures after which the folder is opened again.
    [[nodiscard]] static bool is_retried(const error& problem);
    [[nodiscard]] const std::optional<error>& failure() const
    {
        return failure_;
    }

    [[nodiscard]] bool is_leader() const;
    [[nodiscard]] bool has_lease() const;
    [[nodiscard]] std::optional<node_id> leader() const;
    [[nodiscard]] std::uint64_t term() const { return core_->term(); }
    [[nodiscard]] log_position applied() const { return applied_; }
    [[nodiscard]] std::vector<member_status> members() const;
    [[nodiscard]] incarnation folder_id() const { return folder_; }
    [[nodiscard]] time_point now() const { return loop_.now(); }

private:
    /// Delay of the first attempt to open a failed store; doubled until a write
    /// succeeds.
    static constexpr duration first_reopen_delay =
        std::chrono::milliseconds(250);

    using proposal_callback = std::function<void(result<proposal_result>)>;

    /// A proposal that has been appended but not applied.
    struct pending_proposal
    {
        std::uint64_t term = 0;
        proposal_callback callback;
    };

    struct write_batch;

    void post(std::function<void()> function);
    /// Reads the folder. After a failure the applied state is kept, so that a
    /// reader never sees an older one.
    result<void> load();
    void start_ticks();
    void schedule_reopen();
    /// Reads the folder again after a failure and joins the protocol as after
    /// a restart.
    void reopen();
    void register_handlers();
    template <net::LinkMessage Body>
    void register_handler();
    void on_input();
    void process_output();
    void send(const message& each);
    /// Persists the work that is due, unless the storage thread is busy.
    void flush();
    void on_written(const std::shared_ptr<write_batch>& batch,
                    const result<void>& outcome);
    void complete_all(std::vector<raft::output>& done);
    result<void> complete(raft::output& work);
    void apply(const entry& committed);
    [[nodiscard]] bool snapshot_is_due() const;
    void store_snapshot();
    void on_snapshot_stored(const snapshot& taken, const result<void>& outcome);
    /// Runs a job that uses the store on the storage thread.
    void run_in_background(std::function<result<void>()> job,
                           std::function<void(const result<void>&)> done);
    /// As the leader, lets another voter lead if the disk does not respond.
    void check_storage_stall();
    void update_role();
    void fail_pending(std::uint64_t first, const error& problem);
    void stop(const error& problem);
    void finish_transfer(result<void> outcome);

    net::event_loop& loop_;
    net::link_hub& hub_;
    replicated_state& state_;
    replica::options settings_;
    std::unique_ptr<log_store> store_; ///< used by the storage thread, if busy
    net::background_worker storage_thread_;
    /// Start of the job of the storage thread; empty if it is idle.
    std::optional<time_point> storing_since_;
    time_point last_stall_;
    /// Snapshot chunks to be read from the store once the thread is idle.
    std::map<node_id, message> deferred_chunks_;
    std::unique_ptr<raft> core_;
    net::timer tick_timer_;
    net::timer transfer_timer_;
    net::timer reopen_timer_;
    duration reopen_delay_ = first_reopen_delay;
    incarnation folder_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

    bool process_posted_ = false;
    bool flush_posted_ = false;
    bool hard_pending_ = false; ///< a term or vote is not synced yet
    std::vector<raft::output> work_;
    log_position written_; ///< last entry that is on the disk
    log_position applied_;
    log_position snapshot_;
    std::size_t bytes_after_snapshot_ = 0; ///< of applied entries
    time_point next_snapshot_;             ///< earliest, after a refused one
    std::map<std::uint64_t, pending_proposal> pending_; ///< by index
    bool leading_ = false; ///< as reported to observers
    node_id known_leader_;
    std::vector<replica::role_observer> role_observers_;
    std::vector<std::function<void(const error&)>> failure_observers_;
    replica::completion transfer_callback_;
    std::optional<error> failure_;
};

} // namespace bamboogate::consensus

#endif
