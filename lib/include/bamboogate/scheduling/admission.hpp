#ifndef BAMBOOGATE_SCHEDULING_ADMISSION_HPP
#define BAMBOOGATE_SCHEDULING_ADMISSION_HPP

#include <bamboogate/control/declarations.hpp>
#include <bamboogate/scheduling/admission_types.hpp>

#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace bamboogate::scheduling {

/// Admission control and scheduling of generations for one pool of engines (the
/// engines that serve the same models).
///
/// Each free slot goes to the first of:
///  1. Aging: the oldest request of a rank that has had no start for half of
///     its `max_queue_wait`, once the request has waited for all of it.
///  2. Classes and ranks that run fewer generations than their guaranteed share
///     or floor of the slots, the least served first.
///  3. The most urgent rank; within it the class that runs least relative to
///     its share; within that the account with the smallest fair-queueing tag.
/// Headroom: some slots are kept free for the most urgent rank and for small
/// accounts, sized by their expected arrivals between two slot releases.
/// Preemption: when an urgent request would wait too long, generations of
/// preemptible lower ranks above their floor are preempted, those with the
/// smallest prefix first. In a preemptible rank, a request of a small account
/// likewise preempts generations of an account that runs more than its max-min
/// fair share.
///
/// Pure: time is an argument. Not thread safe. Calls that name an unknown
/// request are ignored.
class admission
{
public:
    struct options
    {
        /// Wait above which an urgent request preempts, as a fraction of the
        /// first-token target. Small because the wait under overload must stay
        /// within 1.2 times the unloaded wait.
        double preempt_wait_fraction = 0.05;
        /// Prefix tokens that preemption for small accounts may recompute, as a
        /// fraction of the generated tokens. 97% of all tokens must be useful.
        double recompute_budget = 0.03;
        double max_recompute_credit = 20'000.0; ///< tokens
        unsigned max_preemptions = 2; ///< per generation, by urgent requests
        /// A starved rank gets a start every `max_queue_wait / aging_divisor`.
        unsigned aging_divisor = 2;
        /// Probability that an urgent request, or one of a small account,
        /// finds no free slot because other work holds all of them.
        double headroom_risk = 0.02;
        double max_urgent_headroom = 0.15;        ///< fraction of the slots
        double max_small_account_headroom = 0.05; ///< fraction of the slots
        /// Requests that any account may queue beyond the rank's limit, so
        /// that a large account cannot keep other accounts out of the queue.
        std::size_t min_account_queue = 2;
        double max_account_queue = 0.25; ///< fraction of the rank's limit
        /// Limit, in tokens, on how far usage at other gates can set an account
        /// back.
        double max_remote_debt = 4000.0;
        duration initial_hold_time = std::chrono::seconds(5);
        /// An account counts as active until this time after its last request.
        duration account_idle_timeout = std::chrono::seconds(10);

        // Each mechanism can be disabled for baselines and ablations.
        bool ranks = true; ///< false: in order of arrival
        bool floors = true;
        bool class_shares = true;
        bool fair_accounts = true; ///< false: in order of arrival
        bool correct_estimates = true;
        bool preemption = true;
        bool account_preemption = true; ///< of large accounts within a rank
        bool headroom = true;
        bool early_refusal = true;
        bool aging = true;
        bool remote_usage = true;
        /// Baseline: each class is limited to its share of the slots.
        bool static_partitioning = false;
    };

    /// Counters since the start.
    struct totals
    {
        std::uint64_t submitted = 0;
        std::uint64_t started = 0;
        std::uint64_t finished = 0;
        std::uint64_t refused_overloaded = 0;
        std::uint64_t refused_not_run = 0;
        std::uint64_t dropped = 0;
        std::uint64_t preempted = 0;
        std::uint64_t started_by_aging = 0;
    };

    /// Current state of one rank, for metrics.
    struct rank_view
    {
        std::string name;
        std::size_t queued = 0;
        unsigned running = 0;
    };

    admission(const control::preset& in_force, options settings);
    ~admission();
    admission(admission&&) noexcept;
    admission& operator=(admission&&) noexcept;

    /// @brief Sets the declared weights of the client accounts. An account that
    ///     is not declared, or whose weight is not positive, has weight 1.
    void set_accounts(std::span<const control::client_account> accounts);

    /// @brief Admits a request to the queue or refuses it; see `refusal::code`.
    [[nodiscard]] admission_decision submit(admission_request request,
                                            time_point now);

    /// @brief Decides which requests start, are preempted or are dropped.
    /// Call it after each change and at least every 50 ms while requests wait.
    /// @param free_slots slots of this gate that no generation holds; a
    ///     generation being preempted holds its slot until `preempted`
    /// @return requests to start now, which hold slots from here on
    [[nodiscard]] dispatch_decision schedule(unsigned free_slots,
                                             time_point now);

    /// @brief Records that a request started by `schedule` runs at an engine.
    void started(const request_id& id, time_point now);

    /// @brief Number of requests that wait or run.
    [[nodiscard]] std::size_t size() const noexcept;

    /// @brief Returns a request started by `schedule` to the head of its queue
    ///     because no engine accepted it.
    void dispatch_failed(const request_id& id, time_point now);

    /// @brief Records the number of tokens generated so far, over all attempts.
    void tokens_generated(const request_id& id, std::uint64_t total);

    /// @brief Records that a generation of `dispatch_decision::preempt` is
    ///     cancelled. It waits again, ahead of its account's other requests.
    void preempted(const request_id& id, time_point now);

    /// @brief Records the end of a generation, or that its caller disconnected.
    ///     Also valid for requests that still wait.
    void finished(const request_id& id, time_point now);

    /// @brief Switches to another preset immediately.
    ///
    /// Queued work keeps its order and moves to the rank of the same name; work
    /// of a rank that no longer exists, and the newest work beyond a smaller
    /// queue limit, is refused as `not_run`. Running work continues: it counts
    /// towards the rank of the same name, otherwise the lowest one, and later
    /// calls of `schedule` preempt it where the new preset requires it.
    /// @return the refused requests
    [[nodiscard]] std::vector<dropped_request>
    apply(const control::preset& in_force, time_point now);

    /// @brief Charges an account for tokens it received at other gates.
    ///     Usage of a service class without requests at this gate is ignored.
    void remote_usage(const usage_item& usage);

    /// @brief Tokens per class and account since the last call, for reports.
    [[nodiscard]] std::vector<usage_item> take_usage();

    /// @brief Slots that this gate requests: one per running or queued request,
    ///     and the headroom.
    [[nodiscard]] double demand() const noexcept;

    /// @brief The part of `demand` for the most urgent rank; see
    ///     `routing::slot_demand`.
    [[nodiscard]] double urgent_demand() const noexcept;

    [[nodiscard]] std::vector<rank_view> ranks() const;
    [[nodiscard]] const totals& counters() const noexcept;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace bamboogate::scheduling

#endif
