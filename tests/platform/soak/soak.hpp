#ifndef BAMBOOGATE_TESTS_PLATFORM_SOAK_SOAK_HPP
#define BAMBOOGATE_TESTS_PLATFORM_SOAK_SOAK_HPP

#include <bamboogate/net/event_loop.hpp>

#include <filesystem>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "backend.hpp"
#include "callers.hpp"
#include "disk_load.hpp"
#include "fleet.hpp"
#include "operators.hpp"
#include "replacements.hpp"
#include "statement_checks.hpp"
#include "take_ups.hpp"
#include "version_checks.hpp"
#include "violations.hpp"

namespace bamboogate::tests {

/// `catchUpS` of the bounds: a replica that started counts again after it.
constexpr duration catch_up_time = std::chrono::seconds(4);

/// Runs the real programs under random external faults, with callers, back ends
/// and operators that check the guarantees. The seed determines the faults and
/// their times; the programs' behaviour between them is not reproducible.
class soak
{
public:
    struct options
    {
        unsigned seed = 1;
        unsigned gates = 3;
        unsigned replicas = 5;
        unsigned engines = 6;
        unsigned services = 3;
        unsigned requests_per_second = 40;
        duration fault_time = std::chrono::seconds(12);
        /// False: changes of the configuration in quick succession and signals
        /// to read the settings are all that happens, so that every request has
        /// to succeed.
        bool faults = true;
        /// Software versions of engines that serve side by side at first; with
        /// more than one, replaced and restarted engines bring others.
        unsigned versions = 1;
        /// Engines are replaced in series; this is no fault.
        bool replacements = false;
        /// Connections of callers are reset, engines crash, and all gates are
        /// killed, alone, with all replicas or with the leader.
        bool take_ups = false;
        /// Back ends leave and go on serving, and all programs are killed just
        /// after the departure was acknowledged.
        bool restarts = false;
        /// All replicas are replaced in series by others with empty disks, the
        /// new ones first. Only without faults.
        bool core_replacement = false;
        /// Replicas are replaced while others restart. Once all of them count,
        /// the core is killed, and as many disks are lost as is tolerated. No
        /// other fault is played.
        bool core_losses = false;
        /// Threads that write and sync in the folder of the run, whose disk
        /// the replicas use as well.
        unsigned disk_writers = 0;
        /// `budgetSlack` of the bounds: repeated requests that all gates
        /// together may send in any case.
        unsigned retry_slack = 150;
        /// Streams a second that callers send in addition, more than the
        /// engines can run. Only without faults; requests may be refused then.
        unsigned pressing_streams = 0;
        std::filesystem::path programs; ///< folder of the two programs
        std::filesystem::path folder;   ///< for settings, logs and data
    };

    explicit soak(options settings);
    ~soak();
    soak(const soak&) = delete;
    soak& operator=(const soak&) = delete;

    /// @return true if no guarantee was violated
    [[nodiscard]] bool run();

private:
    struct gate_entry
    {
        std::unique_ptr<machine> program;
        std::unique_ptr<fault_proxy> proxy;
        unsigned missed_checks = 2; ///< in a row
        bool answered_ready = false;
        std::unique_ptr<net::http1_client::exchange> readiness;
    };
    struct scheduled_action
    {
        time_point due;
        std::function<void()> function;
    };

    void start_all();
    void tick();
    void poll_readiness();
    net::address choose_gate(const net::address* avoided);
    void schedule(duration delay, std::function<void()> function);
    void pause(machine& program, duration time);
    void terminate(machine& program, duration time);
    /// Injects a random fault.
    void inject();
    /// Starts a killed program again after `downtime`.
    void kill(machine& program, duration downtime);
    void step_take_ups(time_point now);
    /// Resets connections of callers, kills a gate or crashes an engine.
    void break_streams();
    void kill_gates();
    [[nodiscard]] duration draw_downtime();
    /// When a gate or any replica was last disturbed.
    [[nodiscard]] time_point disturbed_at(std::string_view gate) const;
    /// Engines of a version that serve and do not leave.
    [[nodiscard]] unsigned serving(std::string_view version) const;
    /// Lets a back end leave, kills all programs once that is acknowledged, and
    /// delivers an earlier announcement after the restart.
    void leave_before_a_restart();
    void kill_after_departure(backend& leaving, unsigned checks_left);
    /// An attempt must not reach a back end long after its departure was
    /// acknowledged.
    void check_departure(const backend& target, const std::string& attempt);
    /// Starts the new replicas, and stops the old ones one after the other.
    void step_core_replacement();
    /// Replaces replicas while others restart, and then loses disks.
    void lose_core_disks();
    void replace_replica(std::size_t replaced, std::size_t successor,
                         bool planned);
    /// Removes all accounts and checks that the gates refuse their keys.
    void remove_accounts();
    /// True if requests may fail and changes may be late.
    [[nodiscard]] bool disturbs() const
    {
        return settings_.faults || settings_.take_ups || settings_.restarts ||
               settings_.core_losses;
    }
    void fault_gate();
    void fault_replica();
    void fault_engine();
    void fault_connections();
    void kill_all();
    /// Lets a program read its settings again.
    void reload_one();
    /// Lets the disk of one replica refuse all writes, or cuts its next one.
    void inject_disk_refusal();
    /// Lets a back end state that it leaves, or ask for a pause.
    void inject_statement();
    /// Lets a back end send invalid heads or streams without events, or cuts
    /// uploads.
    void inject_broken_answer();
    /// Sends long requests and lets the services answer such with a part of an
    /// answer before they reset the connection.
    void cut_uploads(duration time);
    void end_faults();
    /// Starts a killed or stopping program again after `delay`.
    void restart(machine& program, duration delay);
    /// Starts a back end again `delay` from now, or once it has left.
    void restart(backend& stopped, duration delay, bool same_id);
    void run_for(duration time);
    void report() const;
    [[nodiscard]] duration random_time(duration least, duration most);
    [[nodiscard]] static duration draw_time(std::mt19937& random,
                                            duration least, duration most);
    [[nodiscard]] std::size_t replicas_down() const;
    [[nodiscard]] std::string document(unsigned version) const;

    options settings_;
    net::event_loop loop_;
    violations violations_;
    run_ledger ledger_;
    statement_checks statements_{violations_};
    std::mt19937 random_;
    /// Apart from `random_`, so that the other faults of a seed stay the same.
    std::mt19937 statement_random_;
    std::mt19937 disk_random_;
    std::mt19937 reload_random_;
    std::mt19937 load_random_;
    std::mt19937 departure_random_;
    std::mt19937 take_up_random_;
    std::mt19937 restart_random_;
    std::mt19937 broken_answer_random_;
    std::mt19937 core_random_;
    net::http1_client client_;
    std::vector<std::unique_ptr<machine>> replicas_;
    std::vector<gate_entry> gates_;
    std::vector<std::unique_ptr<backend>> backends_;
    take_up_checks take_ups_;
    std::unique_ptr<caller_pool> callers_;
    std::unique_ptr<operators> operators_;
    std::unique_ptr<version_checks> versions_; ///< null with faults
    std::unique_ptr<replacements> replacements_;
    std::unique_ptr<disk_load> disk_load_; ///< null without writers
    std::vector<scheduled_action> schedule_;
    time_point next_request_;
    time_point next_pressing_stream_;
    time_point next_poll_;
    time_point next_change_;
    time_point next_read_;
    time_point next_fault_;
    time_point next_statement_;
    time_point next_broken_answer_;
    time_point next_disk_refusal_;
    time_point next_reload_;
    time_point next_break_;
    time_point last_gate_kill_;
    time_point disk_safe_at_; ///< earliest next loss of a disk
    time_point next_leave_;
    time_point next_core_stop_;
    std::size_t replaced_replicas_ = 0;
    std::size_t disks_lost_ = 0;
    unsigned restarts_after_departures_ = 0;
    unsigned attempts_after_departures_ = 0; ///< that were checked
    bool accounts_removed_ = false;
    bool sends_requests_ = false;
    bool injects_faults_ = false;
    bool presses_ = false;
    bool reloads_ = false;
    bool replaces_engines_ = false;
    bool breaks_processes_ = false;
    bool must_succeed_ = false; ///< a failed request is a violation
    bool sends_changes_ = false;
    double peak_gate_kib_ = 0;
    unsigned reloads_sent_ = 0;
};

} // namespace bamboogate::tests

#endif
