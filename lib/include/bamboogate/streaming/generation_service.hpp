#ifndef BAMBOOGATE_STREAMING_GENERATION_SERVICE_HPP
#define BAMBOOGATE_STREAMING_GENERATION_SERVICE_HPP

#include <bamboogate/core/result.hpp>
#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/http_client.hpp>
#include <bamboogate/net/link_hub.hpp>
#include <bamboogate/streaming/engine_directory.hpp>
#include <bamboogate/streaming/generation_request.hpp>
#include <bamboogate/streaming/silence_detector.hpp>
#include <bamboogate/streaming/token_sink.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace bamboogate::streaming {

/// Notifications about the progress of generations, for scheduling and metrics.
/// Each function is optional and must not destroy the service.
struct generation_observers
{
    std::function<void(const request_id&)> on_first_token;
    /// Number of tokens that engines have generated since the last call.
    std::function<void(const request_id&, std::uint64_t count)>
        on_tokens_generated;
    /// The generation ended at this gate, with its finish or the failure.
    std::function<void(const request_id&, const result<finish_info>&)>
        on_finished;
    /// This gate has taken over a generation of another gate.
    std::function<void(const request_id&, const generation_request&)>
        on_taken_over;
    /// An attempt ended without finishing; the last argument is the number of
    /// tokens held so far.
    std::function<void(const request_id&, attempt_outcome, std::uint64_t)>
        on_attempt_lost;
};

struct generation_options
{
    silence_detector::options silence;
    /// Maximum number of retries of one generation after failed attempts.
    unsigned max_retries = 8;
    /// Called before each retry; false ends the generation. Optional.
    std::function<bool(const request_id&, const generation_request&)> may_retry;
    /// A generation fails when no engine has been available for this long.
    duration no_engine_timeout = std::chrono::seconds(5);
    /// Interval between selections while no engine is available. Doubles after
    /// each round in which all engines have failed, up to 32 times this value.
    duration engine_retry_interval = std::chrono::milliseconds(50);
    /// The buddy is replaced when it has not acknowledged for this long.
    duration buddy_ack_timeout = std::chrono::milliseconds(400);
    /// Tokens that the buddy has not acknowledged are resent after this time.
    duration resend_interval = std::chrono::milliseconds(150);
    /// After the loss of the last buddy, tokens are held back for this long, so
    /// that a gate that was suspended first learns whether it was superseded.
    duration no_buddy_grace_period = std::chrono::seconds(2);
    /// A gate that was suspended takes over nothing for this long: its copies
    /// may lack tokens that their owners have released since, and its links
    /// are re-established within this time.
    duration takeover_holdoff = std::chrono::seconds(1);
    /// A generation is cancelled when no caller has taken its tokens for this
    /// long.
    duration detached_timeout = std::chrono::seconds(30);
    /// An ended generation can still be attached to for this long.
    duration ended_retention = std::chrono::seconds(30);
    /// Limit for the reply of one gate during the search.
    duration attach_request_timeout = std::chrono::milliseconds(300);
    /// Limit of the search for the owner or a copy before an attach fails.
    duration attach_timeout = std::chrono::seconds(4);
    /// Above this number of unreleased tokens the engine stream is paused.
    std::size_t max_unreleased_tokens = 4096;
    /// Memory limit for copies of other gates' generations.
    std::size_t max_copies_bytes = 512u << 20;
    /// False releases tokens before the buddy holds them (benchmark baseline;
    /// tokens can be lost with a gate).
    bool release_after_copy = true;
    /// False regenerates from the first token after a lost attempt (benchmark
    /// baseline).
    bool resume_from_prefix = true;
    /// Tells which peers are gates; empty accepts all peers.
    std::function<bool(const node_id&)> is_gate;
    generation_observers observers;
};

/// Totals since the start of the process.
struct generation_counters
{
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t failed = 0;
    std::uint64_t superseded = 0;
    std::uint64_t attempts = 0;
    std::uint64_t attempts_reset = 0;
    std::uint64_t attempts_silent = 0;
    std::uint64_t attempts_refused = 0;
    std::uint64_t attempts_malformed = 0;
    std::uint64_t preempted = 0;
    std::uint64_t tokens_generated = 0;
    std::uint64_t tokens_released = 0;
    /// Tokens released while no other gate was reachable.
    std::uint64_t tokens_without_copy = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t buddy_changes = 0;
    std::uint64_t copies_held = 0;
    std::uint64_t copies_bytes = 0;
    std::uint64_t copies_refused = 0;
    std::uint64_t stale_events_dropped = 0;
};

/// The position from which a reconnecting caller continues.
struct attach_point
{
    std::uint64_t from_index = 0; ///< number of tokens held
    std::uint64_t epoch = 0; ///< last `token_sink::set_epoch`; 0 if unknown
};

/// Runs the generations of a gate: engine attempts, copies at buddy gates,
/// reconnection of callers, takeover. Not thread safe.
class generation_service
{
public:
    /// All references must outlive the service. Registers its handlers with
    /// the hub; one service per hub.
    generation_service(net::event_loop& loop, net::link_hub& hub,
                       net::http_client& client, engine_directory& directory,
                       generation_options settings);
    ~generation_service();
    generation_service(const generation_service&) = delete;
    generation_service& operator=(const generation_service&) = delete;

    /// @brief Starts a generation.
    /// @return the id of the generation, or `not_run` while draining
    [[nodiscard]] result<request_id> start(generation_request request,
                                           std::shared_ptr<token_sink> sink);

    /// @brief Continues a generation for a reconnecting caller: here, through
    ///     the owner gate, or by takeover. Reports results to the sink; an
    ///     earlier sink of the generation fails with `superseded`.
    void attach(const request_id& id, attach_point from,
                std::shared_ptr<token_sink> sink);
    void attach(const request_id& id, std::uint64_t from_index,
                std::shared_ptr<token_sink> sink)
    {
        attach(id, attach_point{.from_index = from_index}, std::move(sink));
    }

    /// @brief The caller's connection has ended; the generation continues and
    ///     waits for a reconnection. Ignored unless `sink` is the current
    ///     one.
    void detach(const request_id& id, const token_sink* sink);

    /// @brief The sink accepts tokens again.
    void sink_ready(const request_id& id);

    /// @brief Cancels a generation. The sink fails with `cancelled`.
    void cancel(const request_id& id);

    /// @brief Cancels the running attempt and keeps the tokens.
    /// @return false when the generation is not running at this gate
    bool preempt(const request_id& id);

    /// @brief Continues from the tokens held after `preempt`.
    /// @return false when no preempted generation has this id at this gate
    bool resume(const request_id& id);

    /// @brief Number of generations that have not ended, and of forwarded
    ///     streams.
    [[nodiscard]] std::size_t running() const;

    /// @brief Refuses new generations and calls back once, when none is
    /// running.
    void drain(std::function<void()> when_idle);

    [[nodiscard]] generation_counters totals() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace bamboogate::streaming

#endif
