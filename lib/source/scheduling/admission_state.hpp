#ifndef BAMBOOGATE_SOURCE_SCHEDULING_ADMISSION_STATE_HPP
#define BAMBOOGATE_SOURCE_SCHEDULING_ADMISSION_STATE_HPP

#include <bamboogate/scheduling/admission.hpp>
#include <bamboogate/scheduling/fair_queue.hpp>
#include <bamboogate/scheduling/load_estimate.hpp>

#include <limits>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bamboogate::scheduling {

struct admission::state
{
    struct entry;
    struct class_state;
    using queue = fair_queue<entry*>;

    struct rank_state
    {
        control::rank_policy policy;
        std::list<entry*> waiting; ///< in order of submission
        std::set<std::pair<std::uint64_t, entry*>> active; ///< by start number
        unsigned running = 0; ///< active or under preemption
        rate_estimate arrivals{std::chrono::seconds(5)};
        hold_time_estimate hold{std::chrono::seconds(5)};
        time_point last_start;
    };

    struct class_state
    {
        std::string name;
        rank_state* rank = nullptr;
        double share = 0.0; ///< declared; 0 when there is none
        unsigned running = 0;
        unsigned active = 0;        ///< running and not under preemption
        double mean_tokens = 256.0; ///< estimated per request, averaged
        /// Max-min fair number of running generations per unit of weight.
        double fair_level = std::numeric_limits<double>::infinity();
        std::vector<queue::account*> active_accounts; ///< recent requests
        queue accounts;
    };

    enum class phase : std::uint8_t
    {
        waiting,
        running,
        preempting,
    };

    struct entry
    {
        admission_request request;
        phase now_in = phase::waiting;
        class_state* service_class = nullptr;
        queue::account* account = nullptr;
        std::list<entry*>::iterator in_account;
        std::list<entry*>::iterator in_rank;
        time_point submitted;
        time_point started;
        std::uint64_t start_number = 0;
        std::uint64_t charged = 0; ///< tokens charged to the account
        std::uint64_t generated = 0;
        std::uint64_t reported = 0; ///< tokens counted as usage
        unsigned preemptions = 0;   ///< for more urgent work
        bool yielded = false;       ///< preempted for a small account
        bool ran = false; ///< reached an engine: never refused as not run

        [[nodiscard]] rank_state& rank() const { return *service_class->rank; }
        [[nodiscard]] std::uint64_t remaining() const
        {
            const std::uint64_t estimate = request.estimated_tokens;
            return estimate > generated ? estimate - generated : 1;
        }
    };

    explicit state(options o) : settings(o) {}

    // admission.cpp
    void load_preset(const control::preset& in_force);
    rank_state* rank_named(std::string_view name);
    class_state* class_for(const admission_request& request, rank_state& rank);
    double weight_of(const client_account_id& id) const;
    void touch(class_state& service_class, queue::account& who, time_point now);
    std::optional<refusal> queue_problem(const rank_state& rank,
                                         const queue::account& who) const;
    void enqueue(entry& item, bool front);
    void unqueue(entry& item);
    void release(entry& item, time_point now);
    void settle(entry& item);
    dropped_request drop(entry& item, refusal why);
    void drop_waiting(rank_state& rank, std::size_t limit,
                      std::string_view reason,
                      std::vector<dropped_request>& dropped);

    // admission_estimate.cpp
    [[nodiscard]] double slots_for(const rank_state& rank) const;
    [[nodiscard]] duration expected_wait(const class_state& service_class,
                                         const queue::account& who) const;
    [[nodiscard]] double release_rate() const;
    [[nodiscard]] static double demand_of(const queue::account& who)
    {
        return who.running + static_cast<double>(who.items.size());
    }
    [[nodiscard]] static bool is_large(const class_state& service_class,
                                       const queue::account& who)
    {
        return demand_of(who) > service_class.fair_level * who.weight;
    }
    void refresh_fair_levels(unsigned free_slots, time_point now);
    void refresh_headroom(time_point now);
    void forget_idle_accounts(time_point now);

    // admission_dispatch.cpp
    void drop_late(dispatch_decision& out, time_point now);
    entry* choose(unsigned free_slots, time_point now);
    entry* oldest() const;
    entry* choose_aged(time_point now);
    entry* choose_guaranteed(unsigned free_slots);
    entry* choose_by_rank(unsigned free_slots);
    entry* choose_in_class(class_state& service_class, unsigned free_slots,
                           bool guaranteed);
    [[nodiscard]] double guarantee_ratio(const class_state& item) const;
    [[nodiscard]] bool within_split(const class_state& item) const;
    void start(entry& item, time_point now);
    void preempt(dispatch_decision& out, time_point now);
    void stop(entry& victim, dispatch_decision& out);
    void preempt_for_rank(rank_state& rank, unsigned& promised,
                          dispatch_decision& out, time_point now);
    void preempt_for_small(rank_state& rank, unsigned& promised,
                           dispatch_decision& out, time_point now);
    template <typename Filter>
    unsigned count_late(const rank_state& rank, time_point now,
                        Filter filter) const;
    entry* choose_victim(const rank_state& urgent);
    entry* choose_large_victim(const rank_state& rank);

    options settings;
    control::preset preset;
    std::vector<std::unique_ptr<rank_state>> ranks; ///< most urgent first
    std::vector<std::unique_ptr<class_state>> classes;
    std::unordered_map<request_id, entry> entries;
    std::set<std::pair<time_point, entry*>> deadlines; ///< of waiting entries
    std::unordered_map<client_account_id, double> weights;
    totals counters;

    unsigned capacity = 0; ///< slots of this gate, 0 until the first `schedule`
    unsigned running = 0;
    unsigned preempting = 0;
    std::uint64_t starts = 0;
    rate_estimate light_arrivals{std::chrono::seconds(5)};
    /// Tokens that may be prefilled again for the sake of small accounts.
    double repeat_credit = 0.0;
    unsigned urgent_headroom = 0;
    unsigned light_headroom = 0;
    time_point headroom_due;
    time_point sweep_due;
    time_point levels_due;
    std::vector<std::pair<double, double>> level_scratch;
};

/// Weight of a class without a declared share when classes are compared.
inline constexpr double undeclared_share = 0.05;

} // namespace bamboogate::scheduling

#endif
