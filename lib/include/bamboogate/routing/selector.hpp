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

/// What a new attempt needs from an engine.
struct engine_request
{
    model_id model;
    std::uint64_t tokens = 0;                  ///< prompt and answer, estimated
    std::span<const std::uint64_t> prefix{};   ///< from `prefix_hashes`
    std::span<const upstream_id> exclusions{}; ///< engines already tried
    failure_domain_id preferred_domain;        ///< may be empty
};

struct upstream_choice
{
    upstream_id upstream;
    net::address address;
    bamboogate::incarnation incarnation;
    std::size_t cached_blocks = 0;
};

/// Chooses engines and upstreams of plain services.
///
/// An engine's load is this gate's own outstanding tokens plus what its last
/// report says beyond those that the report already contained. Among many
/// candidates a random sample and the holders of the cached prefix are
/// compared.
///
/// Each slot of an engine has a home gate, dealt in turn over the sorted
/// engines of a pool. A gate fills its home slots first and takes others only
/// where reports show room: reports are too old to tell free slots at high
/// load, and a request sent to a full engine waits there, whatever its rank
/// was worth at the gate. Pure: time and random bits are arguments. Not thread
/// safe.
class selector
{
public:
    struct options
    {
        /// Streams of this gate per engine; 0 means the engine's slots.
        unsigned max_streams_per_upstream = 0;
        duration slow_start = std::chrono::seconds(10);
        /// Age of the state in a report when it arrives.
        duration report_lag = std::chrono::milliseconds(200);
        /// Value of one cached block, in tokens (256 bytes are about 64).
        double cached_block_tokens = 64.0;
        /// Cost of a choice outside the preferred domain, in tokens.
        double cross_domain_penalty_tokens = 200.0;
        /// Cost of each stream that an engine has above its slots, in tokens.
        /// Waiting for a slot costs about as much as half an answer.
        double queueing_penalty_tokens = 1000.0;
        /// Cost of a slot whose home is another gate, as a share of that.
        double remote_slot_penalty = 1.0;
        /// Candidates that are compared when there are more than this.
        std::size_t sample_size = 24;
        /// This gate's place among the sorted gates of the settings.
        unsigned gate_index = 0;
        unsigned gates = 1;
        bool prefix_affinity = true;
        bool subtract_own = true;
        /// Remembered departures; an upstream among them returns slowly.
        std::size_t max_departed = 4096;
        circuit_breaker::options breaker{};
        prefix_index::options index{};
    };

    selector() : selector(options{}) {}
    explicit selector(options settings);
    ~selector();
    selector(const selector&) = delete;
    selector& operator=(const selector&) = delete;

    /// @brief Takes a change of the table; wire it to
    ///     `upstream_table::on_event`.
    void on_table_event(table_event event, const upstream_record& record,
                        time_point now);

    /// @brief Chooses an engine.
    /// @param random uniform bits
    /// @return the choice, `not_found` (no engine has the model) or
    ///     `overloaded` (all are full, excluded, draining or tripped)
    [[nodiscard]] result<upstream_choice>
    choose_engine(const engine_request& request, time_point now,
                  std::uint64_t random) const;

    /// @brief Chooses an upstream of a plain service.
    /// @return the choice, `not_found` or `overloaded` (all tripped)
    [[nodiscard]] result<upstream_choice>
    choose_service(const service_id& service,
                   std::span<const upstream_id> exclusions, time_point now,
                   std::uint64_t random) const;

    /// @brief Notes that an attempt or call was sent.
    void started(const upstream_id& id, std::uint64_t tokens, time_point now);

    /// @brief Notes tokens that arrived; they are no longer outstanding.
    void tokens_received(const upstream_id& id, std::uint64_t tokens,
                         time_point now);

    /// How an attempt ended, from the upstream's point of view.
    enum class attempt_end : std::uint8_t
    {
        succeeded,
        failed,    ///< reset, silence or an error answer
        cancelled, ///< by us: says nothing about the upstream
    };
    /// @brief Notes the end of an attempt.
    /// @param unused estimated tokens that did not arrive
    void finished(const upstream_id& id, std::uint64_t unused, attempt_end end,
                  time_point now);

    /// @brief Streams of this gate at an upstream.
    [[nodiscard]] unsigned streams(const upstream_id& id) const noexcept;

    /// @brief Slots of all engines with a model that accept work and are not
    ///     suspected.
    [[nodiscard]] unsigned slots_of(const model_id& model) const noexcept;

    /// @brief Tokens that the engine is estimated to have outstanding.
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
    void enlist(upstream& entry);
    void delist(upstream& entry);
    void deal_home_slots();

    options settings_;
    prefix_index index_;
    std::unordered_map<upstream_id, std::unique_ptr<upstream>> upstreams_;
    std::unordered_set<upstream_id> departed_;
    std::unordered_map<model_id, std::vector<upstream*>> by_model_;
    std::unordered_map<service_id, std::vector<upstream*>> by_service_;
};

} // namespace bamboogate::routing

#endif
