#ifndef BAMBOOGATE_SCHEDULING_ADMISSION_HPP
#define BAMBOOGATE_SCHEDULING_ADMISSION_HPP

#include <bamboogate/control/declarations.hpp>
#include <bamboogate/scheduling/admission_types.hpp>

#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace bamboogate::scheduling {

/// Decides which generations start, wait, stop or are refused, for one pool of
/// engines (the engines that serve the same models).
///
/// Order of service, for each free slot:
///  1. The oldest request of a rank that has had no start for half of its
///     `max_queue_wait`, once that request has waited for all of it.
///  2. Classes and ranks that run fewer generations than their share or floor
///     of the slots, least served first.
///  3. The most urgent rank; within it the class that runs least for its
///     share; within that the account with the smallest fair-queueing tag.
/// Some slots are kept free for the most urgent rank and for accounts that use
/// little, as many as their arrivals between two releases of a slot ask for.
/// When an urgent request would wait too long, generations of preemptible
/// lower ranks above their floor are preempted, those with the smallest prefix
/// first. In a preemptible rank, a request of a small account likewise preempts
/// generations of an account that runs more than its max-min fair part.
///
/// Pure: time is an argument. Not thread safe. Calls that name an unknown
/// request are ignored.
class admission
{
public:
    struct options
    {
        /// Wait, as a share of the first-token target, above which an urgent
        /// request preempts. The wait in a flood must stay within 1.2 times
        /// the unloaded one, so most of the target is not available.
        double preempt_wait_fraction = 0.05;
        /// Prefixes that preemption for small accounts may prefill again, as a
        /// share of the generated tokens. 97% of all tokens must be useful.
        double recompute_budget = 0.03;
        double max_recompute_credit = 20'000.0; ///< tokens
        unsigned max_preemptions = 2; ///< per generation, for urgent work
        /// A starved rank gets a start every max_queue_wait / aging_divisor.
        unsigned aging_divisor = 2;
        /// Probability that an urgent request, or one of a small account,
        /// finds no free slot because lower work holds them all.
        double headroom_risk = 0.02;
        double max_urgent_headroom =
            0.15; ///< share of the slots, for urgent work
        double max_small_account_headroom = 0.05; ///< for small accounts
        /// Requests that any account may queue beyond the rank's limit, so
        /// that a large account cannot keep the others out.
        std::size_t min_account_queue = 2;
        double max_account_queue = 0.25; ///< share of the rank's limit
        /// An account is never more than this many tokens behind for what it
        /// used at other gates.
        double max_remote_debt = 4000.0;
        duration initial_hold_time = std::chrono::seconds(5);
        duration account_idle_timeout = std::chrono::seconds(10);

        // Each mechanism can be switched off, for baselines and ablations.
        bool ranks = true; ///< else in order of arrival
        bool floors = true;
        bool class_shares = true;
        bool fair_accounts = true; ///< else in order of arrival
        bool correct_estimates = true;
        bool preemption = true;
        bool account_preemption = true; ///< of large accounts in one rank
        bool headroom = true;
        bool early_refusal = true;
        bool aging = true;
        bool remote_usage = true;
        /// Baseline: each class may use its share of the slots and no more.
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

    /// Numbers of one rank now, for metrics.
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

    /// @brief Takes the declared weights of the client accounts. An account
    ///     that is not declared has weight 1.
    void set_accounts(std::span<const control::client_account> accounts);

    /// @brief Admits a request to the queue or refuses it.
    [[nodiscard]] admission_decision submit(admission_request request,
                                            time_point now);

    /// @brief Decides what starts and what stops.
    /// @param free_slots slots of this gate that no generation holds; a
    ///     generation under preemption holds its slot until `preempted`
    /// @return requests to start now; they hold slots from here on. Call again
    ///     after each change and at least every 50 ms while work waits.
    [[nodiscard]] dispatch_decision schedule(unsigned free_slots,
                                             time_point now);

    /// @brief Notes that a request of `schedule` runs at an engine.
    void started(const request_id& id, time_point now);

    /// @brief Requests that wait or run.
    [[nodiscard]] std::size_t size() const noexcept;

    /// @brief Puts a request of `schedule` back because no engine took it.
    void dispatch_failed(const request_id& id, time_point now);

    /// @brief Notes the answer's length so far, over all attempts.
    void tokens_generated(const request_id& id, std::uint64_t total);

    /// @brief Notes that a generation of `dispatch_decision::preempt` is
    /// cancelled. It
    ///     waits again, before the other requests of its account.
    void preempted(const request_id& id, time_point now);

    /// @brief Notes the end of a generation, or that its caller went away. Also
    ///     for requests that still wait.
    void finished(const request_id& id, time_point now);

    /// @brief Switches to another preset at once.
    ///
    /// Queued work keeps its order and moves to the rank of the same name; work
    /// of a rank that no longer exists, and the newest work beyond a smaller
    /// queue limit, is refused as `not_run`. Running work goes on: it counts
    /// for the rank of the same name, else for the lowest one, and later calls
    /// of `schedule` preempt it where the new numbers ask for it.
    /// @return the requests that are refused
    [[nodiscard]] std::vector<dropped_request>
    apply(const control::preset& in_force, time_point now);

    /// @brief Charges an account for tokens it got at other gates.
    void remote_usage(const usage_item& usage);

    /// @brief Tokens per class and account since the last call, to report.
    [[nodiscard]] std::vector<usage_item> take_usage();

    /// @brief Slots that this gate asks for: running and queued requests and
    ///     the slots it keeps free.
    [[nodiscard]] double demand() const noexcept;

    /// @brief The part of it for the most urgent rank, within that rank's own
    ///     capacity; see `routing::capacity_share`.
    [[nodiscard]] double urgent_demand() const noexcept;

    [[nodiscard]] std::vector<rank_view> ranks() const;
    [[nodiscard]] const totals& counters() const noexcept;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace bamboogate::scheduling

#endif
