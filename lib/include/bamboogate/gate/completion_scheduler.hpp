#ifndef BAMBOOGATE_GATE_COMPLETION_SCHEDULER_HPP
#define BAMBOOGATE_GATE_COMPLETION_SCHEDULER_HPP

#include <bamboogate/control/declarations.hpp>
#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/result.hpp>
#include <bamboogate/core/time.hpp>
#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/link_hub.hpp>
#include <bamboogate/scheduling/admission.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bamboogate::gate {

/// What the scheduler knows of a completion before it starts.
struct completion_work
{
    client_account_id account;
    std::string service_class;
    std::string rank;
    model_id model;
    std::size_t prompt_bytes = 0;
    std::uint32_t max_tokens = 0;
};

/// The right to start one completion now. Ends with `bind` or `return_grant`.
struct completion_grant
{
    std::uint64_t ticket = 0;
    unsigned priority = 0; ///< for the engine; 0 is the most urgent
    duration waited{0};
};

/// Why a completion was not taken; it was certainly not run.
struct completion_refusal
{
    error reason;
    duration retry_after = std::chrono::seconds(1);
};

/// Decides when each completion of this gate starts: one admission queue per
/// model, fed with this gate's part of the model's engine slots.
/// Not thread safe.
class completion_scheduler
{
public:
    struct options
    {
        node_id self;
        std::vector<node_id> gates; ///< all, with this one
        bamboogate::incarnation incarnation;
    };

    struct callbacks
    {
        /// Slots of all engines that serve a model.
        std::function<unsigned(const model_id&)> slots_of;
        /// Cancels the running attempt of a generation and keeps its tokens.
        std::function<bool(const request_id&)> preempt;
        /// Goes on with a preempted generation.
        std::function<bool(const request_id&)> resume;
    };

    using grant_callback = std::function<void(result<completion_grant>)>;
    using submit_result = outcome::basic_result<void, completion_refusal,
                                                outcome::policy::terminate>;

    completion_scheduler(net::event_loop& loop, net::link_hub& hub,
                         options settings, callbacks functions);
    ~completion_scheduler();
    completion_scheduler(const completion_scheduler&) = delete;
    completion_scheduler& operator=(const completion_scheduler&) = delete;

    /// @brief Switches to a configuration at once. Queued work that the new
    ///     preset has no room for is refused as `not_run`.
    void apply(const control::configuration& configuration);

    /// @brief Queues a completion.
    /// @pre a configuration was applied
    /// @param callback called once, later, unless this returns a refusal;
    ///     an error means that the completion was not run
    submit_result submit(completion_work work, grant_callback callback);

    /// @brief Names the generation that a grant has started.
    void bind(std::uint64_t ticket, const request_id& generation);

    /// @brief Gives a grant back without a start.
    void return_grant(std::uint64_t ticket);

    /// @brief Counts a generation that came from another gate; it holds a slot
    ///     without waiting, because its caller already waits for it.
    void add_taken_over(const request_id& generation, const model_id& model);

    /// @brief Notes tokens of a generation.
    void tokens_generated(const request_id& generation, std::uint64_t count);

    /// @brief Notes the end of a generation.
    void finished(const request_id& generation);

    struct pool_view
    {
        model_id model;
        unsigned slots = 0; ///< this gate's part
        unsigned held = 0;
        std::vector<scheduling::admission::rank_view> ranks;
        scheduling::admission::totals totals;
    };

    /// @brief State of every pool, for metrics.
    [[nodiscard]] std::vector<pool_view> pools() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace bamboogate::gate

#endif
