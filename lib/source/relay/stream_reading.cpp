// Reading of a stream's engine no faster than the caller reads.
#include <bamboogate/relay/log_events.hpp>

#include "stream_exchange.hpp"

namespace bamboogate::relay {

namespace {

/// Engines cut an unread answer off after some seconds.
constexpr duration long_pause = std::chrono::seconds(1);
/// After a pause, the end of a stream that was cut off in it follows what the
/// socket still held.
constexpr duration end_notice_time = std::chrono::seconds(1);

} // namespace

void stream_exchange::pace_reading()
{
    const std::size_t unread = accepted_.responder->queued_bytes();
    if (reading_paused_ || !context_.answers.pauses(unread)) {
        return;
    }
    reading_paused_ = true;
    reading_paused_at_ = context_.loop.now();
    attempt_->pause_reading();
    silence_timer_.stop();
    detector_.pause();
    context_.metrics.paused_readings.add();
    observability::log(log_events::reading_paused,
                       {{"request", id()},
                        {"upstream", engine_.value()},
                        {"unread_bytes", unread}});
    accepted_.responder->when_output_below(
        context_.answers.resume_mark(), [weak = weak_from_this(), this] {
            if (const auto self = weak.lock()) {
                resume_reading();
            }
        });
}

void stream_exchange::resume_reading()
{
    if (!reading_paused_ || !attempt_) {
        return;
    }
    reading_paused_ = false;
    const time_point now = context_.loop.now();
    observability::log(
        log_events::reading_resumed,
        {{"request", id()},
         {"upstream", engine_.value()},
         {"paused_ms", to_milliseconds(now - reading_paused_at_)}});
    if (now - reading_paused_at_ >= long_pause) {
        reading_resumed_at_ = now;
    }
    // The engine could not send meanwhile.
    last_event_at_ = now;
    if (event_begun_at_) {
        event_begun_at_ = now;
    }
    detector_.resume(now);
    attempt_->resume_reading();
    arm_silence_timer();
}

bool stream_exchange::may_be_cut_while_unread() const
{
    return reading_resumed_at_ > attempt_started_ &&
           context_.loop.now() - reading_resumed_at_ < end_notice_time;
}

} // namespace bamboogate::relay
