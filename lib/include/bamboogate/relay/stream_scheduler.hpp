#ifndef BAMBOOGATE_RELAY_STREAM_SCHEDULER_HPP
#define BAMBOOGATE_RELAY_STREAM_SCHEDULER_HPP

#include <bamboogate/core/time.hpp>
#include <bamboogate/relay/stream_planner.hpp>

#include <list>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bamboogate::relay {

/// A stream that asks for a place.
struct stream_demand
{
    planned_run run;
    client_account_id account;
    std::set<upstream_id> excluded;
    /// Part of the answer has reached the caller: goes before new streams.
    bool resuming = false;
    time_point arrived;
    /// A start after this moment is too late for the latency objective.
    time_point latest_start;
};

/// The scheduler's word on one demand.
struct stream_decision
{
    request_id id;
    std::optional<placement> target; ///< unset: refused
    duration retry_after{};
    std::string prompt;
    bool prompt_cached = false; ///< the engine is expected to have read it
};

/// Decides for all gates together which stream runs where and when: urgent
/// ranks first, within a rank the client account with the least running
/// work, then the oldest. A stream waits only while it can still start in
/// time; else it is refused at once, with the time at which room is expected.
/// Answers bursts beyond what the engines can take, where streams that start
/// too late would take room from those that could be in time. Pure. Not
/// thread safe.
class stream_scheduler
{
public:
    struct options
    {
        stream_planner::options planner;
        /// Prompt tokens that an engine is given in a millisecond at most:
        /// the planner's limit over its window.
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

    /// @brief Adds a demand; `decide` answers it now or later.
    void submit(stream_demand demand);

    /// @brief Notes a run that was placed elsewhere or before.
    void add_running(const planned_run& run, const client_account_id& account,
                     const placement& where, std::uint64_t unread_tokens,
                     time_point now);

    void note_started(const request_id& id) { planner_.note_started(id); }

    /// @brief The run has ended, or its demand is withdrawn.
    void end(const request_id& id);

    /// @brief Answers every demand that can be placed or that waits in vain.
    [[nodiscard]] std::vector<stream_decision> decide(time_point now);

    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
    [[nodiscard]] std::size_t running() const { return running_.size(); }

private:
    struct running_stream
    {
        client_account_id account;
        std::uint64_t tokens = 0;
    };

    using demand_list = std::list<stream_demand>;

    [[nodiscard]] demand_list::iterator next_demand();
    [[nodiscard]] duration expected_wait(const stream_demand& demand) const;
    /// @return whether the engine is expected to have read the prompt
    bool place(const stream_demand& demand, const placement& where,
               time_point now);

    options settings_;
    stream_planner planner_;
    demand_list waiting_;
    std::map<request_id, running_stream> running_;
    std::map<client_account_id, std::uint64_t> tokens_by_account_;
};

} // namespace bamboogate::relay

#endif
