#ifndef BAMBOOGATE_ROUTING_SELECTOR_HPP
#define BAMBOOGATE_ROUTING_SELECTOR_HPP

#include <bamboogate/core/result.hpp>
#include <bamboogate/core/time.hpp>
#include <bamboogate/routing/circuit_breaker.hpp>
#include <bamboogate/routing/prefix_index.hpp>
#include <bamboogate/routing/upstream_table.hpp>

#include <deque>
#include <memory>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace bamboogate::routing {

/// Requirements of a new attempt.
struct engine_request
{
    model_id model;
    std::uint64_t tokens = 0;                ///< estimate for prompt and answer
    std::span<const std::uint64_t> prefix{}; ///< from `prefix_hashes`
    std::span<const upstream_id> exclusions{}; ///< engines already tried
    failure_domain_id preferred_domain;        ///< may be empty
};

/// A selected engine or service upstream.
struct upstream_choice
{
    upstream_id upstream;
    net::address address;
    bamboogate::incarnation incarnation;
    std::size_t cached_blocks = 0;
};

/// Selects engines and upstreams of plain services.
///
/// An engine's load is this gate's own outstanding tokens plus the load of the
/// engine's last report, less the part of the own load that the report already
/// includes. In a large pool, a random sample and the engines that hold the
/// cached prefix are compared.
///
/// Each slot of an engine has a home gate, assigned round-robin over the sorted
/// engines of a pool. A gate fills its home slots first and uses other slots
/// only where reports show room: at high load the reports are too old to
/// identify free slots, and a request sent to a full engine waits there,
/// regardless of its rank at the gate. Pure: time and random bits are
/// arguments. Not thread safe.
class selector
{
public:
    struct options
    {
        /// Streams of this gate per engine; 0 means the engine's slots.
        unsigned max_streams_per_upstream = 0;
        duration slow_start = std::chrono::seconds(10);
        /// Age of a report's state when it arrives.
        duration report_lag = std::chrono::milliseconds(200);
        /// Cost reduction per cached block, in tokens (256 bytes are about 64).
        double cached_block_tokens = 64.0;
        /// Penalty for an engine outside the preferred failure domain, in
        /// tokens.
        double cross_domain_penalty_tokens = 200.0;
        /// Penalty per stream above an engine's slots, in tokens. Waiting for
        /// a slot costs about as much as half an answer.
        double queueing_penalty_tokens = 1000.0;
        /// Penalty for a slot whose home is another gate, as a fraction of
        /// `queueing_penalty_tokens`.
        double remote_slot_penalty = 1.0;
        /// Candidates that are sampled when there are more than twice as many.
        std::size_t sample_size = 24;
        /// Index of this gate in the sorted list of configured gates.
        unsigned gate_index = 0;
        unsigned gates = 1;
        bool prefix_affinity = true; ///< use the prefix index
        /// Subtract the own load that a report already includes.
        bool subtract_own = true;
        /// Departed upstreams to remember; one that returns gets a slow start.
        std::size_t max_departed = 4096;
        circuit_breaker::options breaker{};
        prefix_index::options index{};
    };

    selector() : selector(options{}) {}
    explicit selector(options settings);
    ~selector();
    selector(const selector&) = delete;
    selector& operator=(const selector&) = delete;

    /// @brief Applies a change of the upstream table; call it from an
    ///     observer registered with `upstream_table::on_event`.
    void on_table_event(table_event event, const upstream_record& record,
                        time_point now);

    /// @brief Selects the engine with the lowest cost.
    /// @param random uniform bits, for the sample and among equal engines
    /// @return the choice, `not_found` (no engine has the model) or
    ///     `overloaded` (all are full, excluded, draining or have an open
    ///     circuit breaker)
    [[nodiscard]] result<upstream_choice>
    choose_engine(const engine_request& request, time_point now,
                  std::uint64_t random) const;

    /// @brief Selects the upstream of a plain service with the fewest streams.
    /// @param random uniform bits, for the choice among equal upstreams
    /// @return the choice, `not_found` or `overloaded` (all are excluded,
    ///     draining or have an open circuit breaker)
    [[nodiscard]] result<upstream_choice>
    choose_service(const service_id& service,
                   std::span<const upstream_id> exclusions, time_point now,
                   std::uint64_t random) const;

    /// @brief Records that an attempt or call was sent.
    void started(const upstream_id& id, std::uint64_t tokens, time_point now);

    /// @brief Records received tokens, which are no longer outstanding.
    void tokens_received(const upstream_id& id, std::uint64_t tokens,
                         time_point now);

    /// Result of an attempt as evidence of the upstream's health.
    enum class attempt_end : std::uint8_t
    {
        succeeded,
        failed,    ///< reset, silence or an error response
        cancelled, ///< by this gate; no evidence about the upstream
    };
    /// @brief Records the end of an attempt.
    /// @param unused estimated tokens that did not arrive
    void finished(const upstream_id& id, std::uint64_t unused, attempt_end end,
                  time_point now);

    /// @brief Number of streams of this gate at an upstream.
    [[nodiscard]] unsigned streams(const upstream_id& id) const noexcept;

    /// @brief Slots of all engines that serve the model, accept work and are
    ///     not suspected.
    [[nodiscard]] unsigned slots_of(const model_id& model) const noexcept;

    /// @brief Estimated outstanding tokens of an engine, over all gates.
    [[nodiscard]] double load(const upstream_id& id) const noexcept;

private:
    struct upstream;

    [[nodiscard]] upstream* lookup(const upstream_id& id) const noexcept;
    [[nodiscard]] bool usable(const upstream& candidate, time_point now) const;
    [[nodiscard]] unsigned stream_limit(const upstream& candidate,
                                        time_point now) const;
    [[nodiscard]] double cost(const upstream& candidate,
                              const engine_request& request,
                              std::size_t cached_blocks) const;
    void add_candidate(upstream& entry);
    void remove_candidate(upstream& entry);
    void assign_home_slots();

    options settings_;
    prefix_index index_;
    std::unordered_map<upstream_id, std::unique_ptr<upstream>> upstreams_;
    std::unordered_set<upstream_id> departed_;
    std::unordered_map<model_id, std::vector<upstream*>> by_model_;
    std::unordered_map<service_id, std::vector<upstream*>> by_service_;
};

} // namespace bamboogate::routing

#endif
