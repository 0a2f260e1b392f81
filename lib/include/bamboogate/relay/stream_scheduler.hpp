#ifndef BAMBOOGATE_RELAY_STREAM_SCHEDULER_HPP
#define BAMBOOGATE_RELAY_STREAM_SCHEDULER_HPP

#include <bamboogate/core/time.hpp>
#include <bamboogate/relay/prompt_quarantine.hpp>
#include <bamboogate/relay/stream_planner.hpp>

#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace bamboogate::relay {

/// A stream that waits for placement.
struct stream_demand
{
    planned_run run;
    client_account_id account;
    std::set<upstream_id> excluded;
    /// Part of the response has reached the caller: takes precedence over new
    /// streams.
    bool resuming = false;
    time_point arrived;
    /// Latest start that still meets the latency objective.
    time_point latest_start;
    /// Parts of the prompt that other requests may share.
    std::vector<std::string> shared_parts = {};
    /// Is placed on the version on trial if it can be at once.
    bool trial = false;
};

/// The scheduler's decision on one demand.
struct stream_decision
{
    request_id id;
    std::optional<placement> target; ///< unset: refused
    duration retry_after{};
    bool quarantined = false; ///< refused because it would crash its engine
    /// Refused because no engine of the version that began it is left.
    bool abandoned = false;
    std::string prompt;
    bool prompt_cached = false; ///< the engine is expected to cache it
};

/// Schedules the streams of all gates: urgent ranks first, within a rank the
/// client account with the least running work, then the oldest. A stream waits
/// only while it can still start in time; otherwise it is refused at once, with
/// the expected wait as retry delay. This handles bursts beyond the engines'
/// capacity, where streams that start too late would take capacity from those
/// that could be in time. Of the streams that share a suspect part of their
/// prompt only one is placed until it begins: if the part crashes engines, each
/// further one would cost another engine. Performs no I/O. Not thread safe.
class stream_scheduler
{
public:
    struct options
    {
        stream_planner::options planner;
        /// Maximum rate of prompt tokens assigned to one engine: the planner's
        /// limit divided by its window.
        double prompt_tokens_per_ms = 4.9;
        duration min_retry_after = std::chrono::milliseconds(500);
        duration max_retry_after = std::chrono::seconds(6);
    };

    stream_scheduler() : stream_scheduler(options{}) {}
    explicit stream_scheduler(options settings)
        : settings_(settings), planner_(settings.planner)
    {}

    [[nodiscard]] stream_planner& planner() { return planner_; }
    [[nodiscard]] const stream_planner& planner() const { return planner_; }

    /// @brief Queues a demand; `decide` places or refuses it.
    void submit(stream_demand demand);

    /// @brief Records a run that was placed by a gate or by a previous leader.
    /// @param shared_parts as in `stream_demand`; empty for a run that has
    /// begun
    void add_running(const planned_run& run, const client_account_id& account,
                     const placement& target, std::uint64_t prefill_tokens,
                     time_point now,
                     std::vector<std::string> shared_parts = {});

    /// @brief Records the first event of a run.
    /// @return the shared parts of its prompt, at the first call for this run
    std::vector<std::string> note_started(const request_id& id);

    /// @brief Sets how long no engine takes streams, because all of them have
    ///     asked for a pause. Demands that can't wait so long are refused at
    ///     once, until then.
    void engines_paused_for(duration pause) { pause_ = pause; }

    /// @brief Sets which versions streams may be placed on.
    /// @param trial_target version for the demands of a trial, if there is one
    void set_versions(rollout::version_filter general,
                      std::optional<software_version> trial_target)
    {
        versions_ = std::move(general);
        trial_target_ = std::move(trial_target);
    }

    /// @brief Sets the versions of the engines at which streams that have begun
    ///     may go on. Those of other versions are refused at once.
    void set_continuing_versions(std::set<software_version> versions)
    {
        continuing_versions_ = std::move(versions);
    }

    /// @brief Removes a run that has ended or a demand that is withdrawn.
    void end(const request_id& id);

    /// @brief Decides on every demand that can be placed or can no longer start
    ///     in time or is quarantined.
    [[nodiscard]] std::vector<stream_decision>
    decide(time_point now, const prompt_quarantine& quarantine);
    [[nodiscard]] std::vector<stream_decision> decide(time_point now)
    {
        return decide(now, prompt_quarantine());
    }

    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
    [[nodiscard]] std::size_t running() const { return running_.size(); }

private:
    struct running_stream
    {
        client_account_id account;
        std::uint64_t tokens = 0;
        std::vector<std::string> unstarted_parts; ///< until its first event
    };

    using demand_list = std::list<stream_demand>;

    /// Streams that go on, urgent ranks, accounts with little running work, the
    /// oldest.
    using demand_order = std::tuple<bool, unsigned, std::uint64_t, time_point>;
    struct candidate
    {
        demand_order order;
        std::size_t position; ///< among the waiting, decides between equals
        demand_list::iterator demand;
    };
    class unplaced_runs;
    /// By the version at which runs have begun.
    using unplaced_by_version =
        std::map<std::optional<software_version>, unplaced_runs>;
    class waiting_prompts;

    [[nodiscard]] demand_order order_of(const stream_demand& demand) const;
    /// Chooses an engine with free capacity for the demand, which takes part
    /// in a trial only at the first call.
    [[nodiscard]] std::optional<placement>
    choose_engine(stream_demand& demand, unplaced_by_version& unplaced,
                  time_point now) const;
    /// @return whether the demand has begun at a version without engines
    [[nodiscard]] bool is_abandoned(const stream_demand& demand) const;
    /// Refuses the demands that can no longer start in time.
    void refuse_late(time_point now, std::vector<stream_decision>& out);
    /// @return whether the engine is expected to cache the prompt
    bool place(const stream_demand& demand, const placement& target,
               time_point now);
    void add_running_stream(const request_id& id,
                            const client_account_id& account,
                            std::uint64_t tokens,
                            std::vector<std::string> shared_parts);
    void remove_unstarted_parts(running_stream& stream);
    /// @return a run that has not begun shares one of the parts
    [[nodiscard]] bool
    any_unstarted(const std::vector<std::string>& parts) const;

    options settings_;
    stream_planner planner_;
    duration pause_{};
    rollout::version_filter versions_;
    std::optional<software_version> trial_target_;
    std::set<software_version> continuing_versions_;
    demand_list waiting_;
    std::map<request_id, running_stream> running_;
    std::map<client_account_id, std::uint64_t> tokens_by_account_;
    /// Shared parts of the runs that have not begun.
    std::multiset<std::string> unstarted_parts_;
};

} // namespace bamboogate::relay

#endif
