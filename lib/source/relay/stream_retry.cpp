// How a stream gets another attempt within the limits of retries.
#include "stream_exchange.hpp"

namespace bamboogate::relay {

namespace {

/// Maximum number of sends per stream, including those that were not executed.
constexpr unsigned max_sends = 8;
/// Interval at which a stream without a retry requests one again.
constexpr duration retry_interval = std::chrono::milliseconds(250);
/// A leader that gives no reply, such as one of an earlier build, is asked for
/// a retry again after this time.
constexpr duration reserve_pause = std::chrono::seconds(1);

} // namespace

stream_exchange::retry_decision stream_exchange::take_retry(unsigned runs)
{
    if (attempts_ >= max_sends) {
        log_retry_refused("sends", runs);
        return retry_decision::never;
    }
    if (runs >= accepted_.matched_route->max_attempts) {
        log_retry_refused("runs", runs);
        return retry_decision::never;
    }
    if (time_left() <= duration::zero()) {
        log_retry_refused("time", runs);
        return retry_decision::never;
    }
    if (std::exchange(reserve_granted_, false) || consume_retry()) {
        return retry_decision::granted;
    }
    return retry_decision::later;
}

void stream_exchange::request_reserve()
{
    if (reserve_requested_ || !context_.retries.may_ask_reserve(
                                  accepted_.service, context_.loop.now())) {
        return;
    }
    reserve_requested_ = true;
    context_.placer.request_retry(
        {.service = accepted_.service, .id = accepted_.description.attempt},
        retry_interval,
        [weak = weak_from_this(), this](const result<retry_reply>& reply) {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            reserve_requested_ = false;
            if (reply && reply.value().granted) {
                on_reserve_granted();
                return;
            }
            const duration wait =
                reply ? std::chrono::milliseconds(reply.value().wait_ms)
                      : reserve_pause;
            context_.retries.note_reserve_empty(accepted_.service,
                                                context_.loop.now() + wait);
        });
}

void stream_exchange::on_reserve_granted()
{
    if (ended_) {
        return;
    }
    reserve_granted_ = true;
    if (retry_timer_.active()) {
        retry_timer_.stop();
        on_retry_due();
    } else {
        on_silence();
    }
    reserve_granted_ = false;
}

void stream_exchange::stay_at_engine(bool ask_reserve)
{
    silence_check_at_ = context_.loop.now() + retry_interval;
    silence_timer_.start_once(retry_interval);
    if (ask_reserve) {
        request_reserve();
    }
}

void stream_exchange::wait_for_retry()
{
    retry_timer_.start_once(retry_interval);
    request_reserve();
}

void stream_exchange::on_retry_due()
{
    if (ended_) {
        return;
    }
    const auto self = shared_from_this();
    switch (take_retry(runs_)) {
    case retry_decision::granted:
        resume();
        return;
    case retry_decision::later:
        wait_for_retry();
        return;
    case retry_decision::never:
        respond_failure(502, "no_retry_left");
        return;
    }
}

} // namespace bamboogate::relay
