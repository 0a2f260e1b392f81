#ifndef BAMBOOGATE_RELAY_STREAM_EXCHANGE_HPP
#define BAMBOOGATE_RELAY_STREAM_EXCHANGE_HPP

#include <bamboogate/relay/event_stream.hpp>
#include <bamboogate/relay/exchange.hpp>
#include <bamboogate/streaming/silence_detector.hpp>

#include <cstdint>
#include <optional>

#include "attempt_evidence.hpp"
#include "stream_copy.hpp"

namespace bamboogate::relay {

/// A resumable stream. Complete events are forwarded to the caller as they
/// arrive. When the engine is lost or stalls, the stream resumes after the last
/// event that the caller has: on the engine that holds its KV cache copy,
/// otherwise on another one that prefills the prompt again. The previous
/// attempt is closed before the next one starts, so that no two run at once.
class stream_exchange : public exchange
{
public:
    stream_exchange(gate_context& context, accepted_request accepted,
                    std::function<void()> on_end);

    void on_upstream_lost(const upstream_id& id) override;
    void on_copies_lost(const upstream_id& id) override;
    void on_upstream_suspected(const upstream_id& id) override;
    void on_quarantine(const service_id& service) override;
    void report_placement() override;
    [[nodiscard]] bool uses_upstream(const upstream_id& id) const override;

private:
    /// Retry delay sent to callers when no engine could accept the stream.
    static constexpr duration refusal_retry_after =
        std::chrono::milliseconds(1000);

    void begin() override;
    void cancel_attempts() override;
    void on_deadline(std::string_view cause) override;

    void place();
    void on_placed(const result<place_reply>& reply);
    void place_locally();
    /// Asks the home replica for the origin of the stream, to place it without
    /// the leader.
    void find_origin();
    /// The origin of a stream that the caller resumes is not known, or no
    /// engine of its version is left: the stream is placed again while that
    /// may change soon, and otherwise ended.
    void on_origin_missing(origin_state state);
    /// Records the origin before the first event of this exchange is passed on.
    void note_origin();
    /// Whether this stream takes part in a trial, until its first attempt.
    [[nodiscard]] bool on_trial();
    /// Chooses an engine by the gate's own view, of the versions that the
    /// service's rollout allows.
    [[nodiscard]] std::optional<placement> choose_engine();
    /// The copy of a lost attempt from which the stream may resume.
    [[nodiscard]] std::optional<held_copy> take_copy();
    /// Ends a stream that no engine can take. One that has begun is placed
    /// again after the delay, until its deadline.
    void end_unplaced(std::string_view cause, duration retry_after);
    /// Requests another placement after one on an engine that this gate cannot
    /// use.
    void place_elsewhere(const upstream_id& unusable);
    /// Removes the run from the planner and reports its end to the leader.
    void release();
    void report_run(run_update::change kind);
    /// @param source the copy from which the engine resumes
    void send(const placement& target,
              const std::optional<copy_source>& source);
    bool on_head(const net::http1_response_head& head);
    /// True if the body of the current answer is a part of the stream.
    [[nodiscard]] bool carries_events() const;
    void on_body(std::string_view part);
    /// Limits the time that the engine takes to send the rest of an event.
    void note_unfinished_event(bool completed_others);
    /// When the engine counts as silent if it completes no event until then.
    [[nodiscard]] time_point silence_deadline() const;
    /// Ends an attempt whose answer cannot be used.
    void lose_unusable_attempt(std::string_view cause);
    void on_complete();
    void on_failure(const net::http1_failure& failure);
    /// A stream without a length ended with its connection: it is complete if
    /// the engine still accepts connections.
    void check_end();
    /// Ends the response as complete.
    void finish();
    void on_silence();
    /// @return a report that the engine of a lost attempt may have crashed
    ///     because of this stream; none if the attempt had begun
    [[nodiscard]] std::optional<crash_report> possible_crash();
    /// The connection of an attempt broke after the request was sent: before
    /// its first event, the engine is checked before the stream is placed
    /// again.
    void on_connection_broken(std::string_view cause);
    /// Ends the stream, because it would crash its engine.
    void end_quarantined(duration retry_after);
    /// Whether a stream gets another attempt.
    enum class retry_decision : std::uint8_t
    {
        granted,
        later, ///< only the limit of retries, which is renewed, refuses it
        never,
    };
    /// @brief Consumes a retry of the limit, if another attempt is allowed.
    /// @param runs attempts that may have been executed by then
    [[nodiscard]] retry_decision take_retry(unsigned runs);
    /// @brief Resumes the stream elsewhere after a lost attempt, or ends the
    ///     request. One that has begun waits for the limit of retries.
    /// @param retry_taken whether `take_retry` has granted it
    void on_attempt_lost(std::string_view cause, bool may_have_run,
                         bool retry_taken = false);
    /// Starts the attempt for which a retry was taken.
    void resume();
    void wait_for_retry();
    /// Without another attempt, the stream can only go on at its engine while
    /// its connection lasts. Checks again after a while.
    void stay_at_engine(bool ask_reserve);
    /// A stream that waits for the limit of retries requests one again.
    void on_retry_due();
    /// Requests a retry of the leader's reserve after this gate's part of the
    /// limit was refused.
    void request_reserve();
    /// Goes on with a retry of the reserve, if the stream still needs it.
    void on_reserve_granted();
    void lose_upstream(const upstream_id& id, bool retry_taken);
    void forward(const stream_event& event);
    /// Reads the engine no further if the caller has too much unread output,
    /// until it has read.
    void pace_reading();
    void resume_reading();
    /// True shortly after a pause in which an engine may have cut the stream
    /// off because it remained unread. That is no failure of the engine.
    [[nodiscard]] bool may_be_cut_while_unread() const;
    /// Updates metrics, copy and silence detection after an event.
    void note_event();
    void arm_silence_timer();
    void log_stream() const;
    [[nodiscard]] stream_planner& planner() const;
    [[nodiscard]] planned_run run() const;
    /// Time until the engine has prefilled its pending prompts.
    [[nodiscard]] duration expected_first_event(const placement& target) const;

    net::timer silence_timer_;
    net::timer placement_timer_; ///< of a stream that waits for an engine
    net::timer retry_timer_;     ///< of a stream that waits for a retry
    streaming::silence_detector detector_;
    time_point silence_check_at_; ///< when the timer fires
    std::unique_ptr<net::http1_client::exchange> attempt_;
    attempt_evidence evidence_;
    std::optional<bool> chosen_for_trial_;
    upstream_id engine_;
    std::uint64_t engine_started_at_ =
        0; ///< of the current attempt, or the last one
    stream_copy copy_;
    std::optional<held_copy> held_; ///< of the lost attempt
    bool from_copy_ = false;
    std::uint64_t stream_ = 0; ///< see `stream_key`
    /// Version that began the stream, the only one that may continue it; unset
    /// until its first event, or until it is known for a resumed stream.
    std::optional<software_version> begun_at_;
    std::optional<time_point> abandoned_at_; ///< no engine of its version left
    bool origin_recorded_ = false;
    bool placed_by_leader_ = false;
    bool awaiting_placement_ = false;
    bool reported_to_leader_ = false;
    net::http1_response_head head_;
    response_description answer_;
    event_splitter splitter_;
    std::size_t bytes_without_event_ = 0;      ///< since the last one passed on
    std::optional<time_point> event_begun_at_; ///< of the unfinished event
    std::string error_body_;
    std::optional<std::uint64_t> last_event_; ///< last one that the caller has
    bool head_sent_ = false;
    std::string content_type_; ///< of the head that the caller has
    bool event_seen_ = false;  ///< in this attempt
    time_point attempt_started_;
    time_point last_event_at_;
    bool resuming_ = false;
    bool reading_paused_ = false; ///< of this attempt
    time_point reading_paused_at_;
    time_point reading_resumed_at_; ///< after a long pause
    unsigned silent_losses_ = 0;    ///< attempts lost to silence between events
    unsigned unusable_placements_ = 0;
    bool checking_engine_ = false; ///< of a lost attempt
    /// A probe of the engine failed while no retry was left, and no event has
    /// arrived since.
    bool engine_lost_ = false;
    bool reserve_requested_ = false;
    bool reserve_granted_ = false;     ///< while the grant is used
    unsigned breaks_before_start_ = 0; ///< attempts lost with their connection
    duration first_event_after_{};
    duration longest_pause_{};
    upstream_id longest_pause_engine_; ///< engine that ended the longest pause
    unsigned longest_pause_attempt_ = 0;
    std::set<upstream_id> excluded_;
    std::set<upstream_id> sent_to_;
};

} // namespace bamboogate::relay

#endif
