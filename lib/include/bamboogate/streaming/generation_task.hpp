#ifndef BAMBOOGATE_STREAMING_GENERATION_TASK_HPP
#define BAMBOOGATE_STREAMING_GENERATION_TASK_HPP

#include <bamboogate/streaming/buddy_store.hpp>
#include <bamboogate/streaming/engine_stream.hpp>
#include <bamboogate/streaming/generation.hpp>
#include <bamboogate/streaming/generation_service.hpp>
#include <bamboogate/streaming/rendezvous.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bamboogate::streaming {

class generation_task;

/// The interface of the owning service that a generation task uses.
class task_host
{
public:
    virtual ~task_host() = default;

    virtual net::event_loop& loop() = 0;
    virtual net::link_hub& hub() = 0;
    virtual net::http_client& client() = 0;
    virtual engine_directory& directory() = 0;
    virtual const generation_options& settings() const = 0;
    virtual generation_counters& counters() = 0;

    /// @brief Calls `flush` once before the event loop waits again.
    virtual void schedule_flush(generation_task& task) = 0;
    /// @brief Sends a batch together with the others of this loop iteration.
    virtual void send_batch(const node_id& buddy, token_batch batch) = 0;
    /// @brief Destroys a stream later, outside its callbacks.
    virtual void retire(std::unique_ptr<engine_stream> stream) = 0;
    /// @brief Reachable gates, in order of preference as buddies of a
    ///     generation.
    virtual std::vector<net::peer_info>
    buddy_candidates(const request_id& id) = 0;
    /// @brief Reports whether a generation releases tokens without a copy.
    virtual void set_without_buddy(bool without_buddy) = 0;
    /// @brief The generation has ended here; the task stays available for
    ///     attach.
    virtual void ended(generation_task& task) = 0;
};

/// Runs one generation at its owner: engine attempts, the copy at the buddy,
/// release to the sink with back-pressure. Driven by events and a periodic
/// tick.
class generation_task : public std::enable_shared_from_this<generation_task>
{
public:
    generation_task(task_host& host, request_id id, generation_request request);
    /// Continues from the copy of another gate's generation.
    generation_task(task_host& host, request_id id, held_copy copy,
                    std::uint64_t epoch);
    ~generation_task();
    generation_task(const generation_task&) = delete;
    generation_task& operator=(const generation_task&) = delete;

    /// @brief Selects a buddy and an engine. Call once, from the event loop.
    void start();

    /// @brief Sends the tokens from an index on to a new sink.
    /// @return `superseded` when the caller's tokens are of another lineage,
    ///     `conflict` when the caller has more tokens than are held here
    [[nodiscard]] result<void> attach(attach_point from,
                                      std::shared_ptr<token_sink> sink);
    void detach(const token_sink* sink);

    void cancel(error reason);
    bool preempt();
    bool resume_preempted();

    /// @brief Checks the time-outs of the engine stream, buddy and caller.
    void tick(time_point now);
    /// @brief Restarts the time-outs after the process was suspended, because
    ///     the elapsed time says nothing about the peers.
    void on_process_suspended(time_point now);
    /// @brief Sends new tokens to the buddy and released ones to the sink.
    void flush();
    /// @brief Passes releasable tokens to the sink while it is ready.
    void release();

    void on_ack(const node_id& from, const token_ack& ack);
    void on_copy_missing(const node_id& from, const copy_missing& notice);
    void on_superseded(const superseded& notice);
    void on_peer_down(const node_id& peer);
    void on_peer_up(const node_id& peer);

    [[nodiscard]] const request_id& id() const { return id_; }
    [[nodiscard]] const generation_request& request() const { return request_; }
    [[nodiscard]] const generation& state() const { return state_; }
    [[nodiscard]] const node_id& buddy() const { return buddy_; }
    [[nodiscard]] bool has_sink() const { return sink_ != nullptr; }
    [[nodiscard]] bool ended() const { return ended_at_.has_value(); }
    [[nodiscard]] const std::optional<time_point>& ended_at() const
    {
        return ended_at_;
    }
    [[nodiscard]] const std::optional<error>& failure() const
    {
        return failure_;
    }
    /// @brief Excludes a gate from the selection of buddies for
    ///     `buddy_exclusion_period`.
    void exclude_buddy(const node_id& node);
    /// Set while a flush is pending; owned by the service.
    bool flush_pending = false;

private:
    void try_attempt();
    void start_attempt(const engine_choice& engine);
    [[nodiscard]] engine_stream::callbacks stream_callbacks();
    void on_token(std::uint64_t attempt, std::uint64_t index, std::string text);
    void on_finish(std::uint64_t attempt, std::string reason,
                   std::uint64_t count);
    void fail_attempt(attempt_outcome outcome, const error& reason);
    void close_attempt(attempt_outcome outcome);
    void choose_buddy(time_point now);
    void replace_buddy(time_point now);
    void send_copy(time_point now);
    void send_new_tokens(time_point now);
    /// True when the loss of this gate does not lose the generation, or when no
    /// other gate can hold it.
    [[nodiscard]] bool survives_loss() const;
    [[nodiscard]] bool awaits_ack() const;
    void check_buddy(time_point now);
    void check_caller(time_point now);
    [[nodiscard]] attempt_fields current_attempt() const;
    void fail_with(error reason);
    void cancel_running_attempt(attempt_outcome outcome);
    void end(const result<finish_info>& outcome);
    void report_tokens();

    task_host& host_;
    request_id id_;
    generation_request request_;
    generation state_;

    // Engine side.
    std::optional<engine_choice> engine_;
    std::unique_ptr<engine_stream> stream_;
    silence_detector silence_;
    std::vector<upstream_id> excluded_engines_;
    unsigned retries_ = 0;
    unsigned exhausted_rounds_ = 0; ///< rounds in which all engines failed
    time_point next_engine_retry_{};
    std::optional<time_point> no_engine_since_;
    std::uint64_t attempt_first_index_ = 0;
    bool input_paused_ = false;
    bool preempted_ = false;
    attempt_fields previous_attempt_; ///< of the previous owner

    // Buddy side.
    node_id buddy_;
    /// The last buddy that acknowledged and those tried since.
    std::vector<node_id> previous_buddies_;
    bool buddy_confirmed_ = false;
    std::vector<std::pair<node_id, time_point>> excluded_buddies_;
    std::vector<node_id> replaced_buddies_;
    bool copy_sent_ = false;
    bool finish_sent_ = false;
    std::uint64_t sent_ = 0;
    std::uint64_t attempt_sent_ = 0;
    bool had_buddy_ = false;
    time_point unacknowledged_since_{};
    time_point last_send_{};
    std::optional<time_point>
        release_without_buddy_at_; ///< end of grace period
    bool without_buddy_ = false;

    // Caller side.
    std::shared_ptr<token_sink> sink_;
    std::uint64_t sink_epoch_ = 0;
    bool accepted_ = false; ///< a sink was told so, or it is a takeover
    std::optional<time_point> detached_since_;
    std::uint64_t reported_tokens_ = 0;
    bool first_token_reported_ = false;
    std::optional<time_point> ended_at_;
    std::optional<error> failure_;
    bool releasing_ = false;
};

} // namespace bamboogate::streaming

#endif
