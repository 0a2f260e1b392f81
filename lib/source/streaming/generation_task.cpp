#include <bamboogate/streaming/generation_task.hpp>
#include <bamboogate/streaming/log_events.hpp>

#include <algorithm>

namespace bamboogate::streaming {

using observability::log;

// The engine side. generation_task_copy.cpp has the buddy and caller side.

generation_task::generation_task(task_host& host, request_id id,
                                 generation_request request)
    : host_(host), id_(std::move(id)), request_(std::move(request)),
      state_(first_epoch(host.hub().self().node)),
      silence_(host.settings().silence)
{}

generation_task::generation_task(task_host& host, request_id id, held_copy copy,
                                 std::uint64_t epoch)
    : host_(host), id_(std::move(id)), request_(std::move(copy.request)),
      state_(std::move(copy.history), epoch, std::move(copy.tokens),
             std::move(copy.finish)),
      silence_(host.settings().silence),
      previous_attempt_(std::move(copy.attempt)), accepted_(true)
{
    reported_tokens_ = state_.tokens().size();
}

generation_task::~generation_task()
{
    if (stream_) {
        stream_->disable_callbacks();
        host_.retire(std::move(stream_));
    }
}

void generation_task::start()
{
    if (ended()) {
        return;
    }
    const time_point now = host_.loop().now();
    if (!sink_) {
        detached_since_ = now;
    }
    choose_buddy(now);
    if (!previous_attempt_.address.empty() && !state_.finish()) {
        cancel_attempt(host_.client(), previous_attempt_.address, id_,
                       previous_attempt_.number);
    }
    try_attempt();
    host_.schedule_flush(*this);
}

void generation_task::try_attempt()
{
    if (ended() || stream_ || preempted_ || state_.finish()) {
        return;
    }
    const time_point now = host_.loop().now();
    const generation_options& settings = host_.settings();
    const auto choice = host_.directory().choose(
        {.request = id_,
         .model = request_.model,
         .prompt = request_.prompt,
         .resume_tokens = state_.tokens().size(),
         .max_tokens = request_.max_tokens,
         .priority = request_.priority,
         .excluded = excluded_engines_,
         .preferred_failure_domain = request_.preferred_failure_domain});
    if (choice) {
        no_engine_since_.reset();
        start_attempt(*choice);
        return;
    }
    if (!excluded_engines_.empty()) {
        // All engines have failed once. They are tried again with exponential
        // backoff, so that a short fault of all engines does not exhaust the
        // retries at once.
        constexpr unsigned max_doublings = 5;
        excluded_engines_.clear();
        next_engine_retry_ =
            now + settings.engine_retry_interval *
                      (1u << std::min(exhausted_rounds_, max_doublings));
        ++exhausted_rounds_;
        return;
    }
    if (!no_engine_since_) {
        no_engine_since_ = now;
    }
    next_engine_retry_ = now + settings.engine_retry_interval;
    if (now - *no_engine_since_ > settings.no_engine_timeout) {
        fail_with({errc::overloaded, "no engine is available for the model"});
    }
}

void generation_task::start_attempt(const engine_choice& engine)
{
    engine_ = engine;
    const bool from_prefix = host_.settings().resume_from_prefix;
    attempt_first_index_ = from_prefix ? state_.tokens().size() : 0;
    const std::uint64_t attempt = state_.begin_attempt(attempt_first_index_);
    std::span<const std::string> prefix(state_.tokens());
    if (!from_prefix) {
        prefix = {};
    }
    ++host_.counters().attempts;
    silence_.start(host_.loop().now(), engine.expected_first_token);
    input_paused_ = false;
    stream_ = std::make_unique<engine_stream>(
        host_.client(),
        engine_stream::attempt_request{engine.address, id_, attempt, request_,
                                       prefix},
        stream_callbacks());
    host_.directory().attempt_started(engine, id_, attempt);
    host_.schedule_flush(*this);
}

engine_stream::callbacks generation_task::stream_callbacks()
{
    return {
        .on_headers = [this] { silence_.on_headers(host_.loop().now()); },
        .on_token =
            [this](std::uint64_t attempt, std::uint64_t index,
                   std::string text) {
                on_token(attempt, index, std::move(text));
            },
        .on_finish =
            [this](std::string reason, std::uint64_t count) {
                on_finish(state_.attempt(), std::move(reason), count);
            },
        .on_end =
            [this](engine_stream::stream_end end) {
                fail_attempt(end.outcome, end.reason);
            },
    };
}

void generation_task::on_token(std::uint64_t attempt, std::uint64_t index,
                               std::string text)
{
    switch (state_.on_token(attempt, index, std::move(text))) {
    case generation::event_result::stale:
        ++host_.counters().stale_events_dropped;
        return;
    case generation::event_result::out_of_order:
        fail_attempt(attempt_outcome::malformed,
                     {errc::malformed_input, "token index out of order"});
        return;
    case generation::event_result::accepted:
        break;
    }
    ++host_.counters().tokens_generated;
    silence_.on_token(host_.loop().now());
    host_.schedule_flush(*this);
    const std::size_t unreleased = state_.tokens().size() - state_.released();
    if (!input_paused_ && state_.tokens().size() > state_.released() &&
        unreleased > host_.settings().max_unreleased_tokens) {
        input_paused_ = true;
        silence_.pause();
        stream_->pause();
    }
}

void generation_task::on_finish(std::uint64_t attempt, std::string reason,
                                std::uint64_t count)
{
    if (state_.on_finish(attempt, std::move(reason), count) !=
        generation::event_result::accepted) {
        fail_attempt(
            attempt_outcome::malformed,
            {errc::malformed_input, "finish event with a wrong token count"});
        return;
    }
    close_attempt(attempt_outcome::finished);
    host_.schedule_flush(*this);
}

void generation_task::fail_attempt(attempt_outcome outcome, const error& reason)
{
    if (!engine_) {
        return;
    }
    generation_counters& totals = host_.counters();
    totals.attempts_reset += outcome == attempt_outcome::reset ? 1 : 0;
    totals.attempts_silent += outcome == attempt_outcome::silent ? 1 : 0;
    totals.attempts_refused += outcome == attempt_outcome::refused ? 1 : 0;
    totals.attempts_malformed += outcome == attempt_outcome::malformed ? 1 : 0;
    log(log_events::attempt_lost, {{"request", id_.value()},
                                   {"attempt", state_.attempt()},
                                   {"upstream", engine_->upstream.value()},
                                   {"outcome", name_of(outcome)},
                                   {"reason", reason.detail},
                                   {"tokens", state_.tokens().size()}});
    excluded_engines_.push_back(engine_->upstream);
    // The engine may still be generating after its connection was lost.
    cancel_running_attempt(outcome);
    const auto& observers = host_.settings().observers;
    if (observers.on_attempt_lost) {
        observers.on_attempt_lost(id_, outcome, state_.tokens().size());
    }
    if (ended()) {
        return;
    }
    const auto& may_retry = host_.settings().may_retry;
    if (++retries_ > host_.settings().max_retries ||
        (may_retry && !may_retry(id_, request_))) {
        fail_with({errc::upstream_failed,
                   "retries exhausted; last error: " + reason.detail});
        return;
    }
    // The transfer library allows no new transfer from within its callbacks.
    host_.loop().post([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->try_attempt();
        }
    });
}

void generation_task::cancel_running_attempt(attempt_outcome outcome)
{
    if (!engine_) {
        return;
    }
    if (outcome != attempt_outcome::refused) {
        host_.loop().post([weak = weak_from_this(), &host = host_,
                           address = engine_->address, id = id_,
                           attempt = state_.attempt()] {
            if (!weak.expired()) {
                cancel_attempt(host.client(), address, id, attempt);
            }
        });
    }
    close_attempt(outcome);
}

void generation_task::close_attempt(attempt_outcome outcome)
{
    if (!engine_) {
        return;
    }
    const engine_choice engine = *std::exchange(engine_, std::nullopt);
    const std::uint64_t generated =
        state_.tokens().size() -
        std::min<std::uint64_t>(attempt_first_index_, state_.tokens().size());
    state_.end_attempt();
    stream_->disable_callbacks();
    host_.retire(std::move(stream_));
    host_.directory().attempt_ended(engine, id_, state_.attempt(), outcome,
                                    generated);
}

bool generation_task::preempt()
{
    if (ended() || state_.finish() || preempted_) {
        return false;
    }
    preempted_ = true;
    ++host_.counters().preempted;
    cancel_running_attempt(attempt_outcome::preempted);
    return true;
}

bool generation_task::resume_preempted()
{
    if (ended() || !std::exchange(preempted_, false)) {
        return false;
    }
    host_.loop().post([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->try_attempt();
        }
    });
    return true;
}

void generation_task::tick(time_point now)
{
    if (ended()) {
        if (!failure_) {
            check_buddy(now);
        }
        return;
    }
    if (stream_) {
        const bool silent = silence_.is_silent(now) ||
                            (silence_.exceeds_min_limit(now) &&
                             !host_.directory().is_alive(engine_->upstream,
                                                         engine_->incarnation));
        if (silent) {
            fail_attempt(attempt_outcome::silent,
                         {errc::deadline_exceeded,
                          "no data from the engine within the silence limit"});
        }
    } else if (now >= next_engine_retry_) {
        try_attempt();
    }
    if (!ended()) {
        check_buddy(now);
    }
    if (!ended()) {
        release();
        check_caller(now);
    }
}

void generation_task::on_process_suspended(time_point now)
{
    if (stream_ && !input_paused_) {
        silence_.resume(now);
    }
    unacknowledged_since_ = now;
    if (release_without_buddy_at_ &&
        *release_without_buddy_at_ >
            now - host_.settings().no_buddy_grace_period) {
        release_without_buddy_at_ =
            now + host_.settings().no_buddy_grace_period;
    }
    if (detached_since_) {
        detached_since_ = now;
    }
}

void generation_task::cancel(error reason)
{
    if (!ended()) {
        fail_with(std::move(reason));
    }
}

void generation_task::fail_with(error reason)
{
    log(log_events::generation_failed, {{"request", id_.value()},
                                        {"code", name_of(reason.code)},
                                        {"reason", reason.detail},
                                        {"tokens", state_.tokens().size()}});
    failure_ = reason;
    cancel_running_attempt(attempt_outcome::cancelled);
    if (!buddy_.empty()) {
        host_.hub().send(buddy_, generation_end{id_, state_.epoch()});
    }
    if (const auto sink = std::exchange(sink_, nullptr)) {
        sink->failed(reason);
    }
    ++host_.counters().failed;
    end(fail(reason.code, reason.detail));
}

void generation_task::end(const result<finish_info>& outcome)
{
    if (ended()) {
        return;
    }
    ended_at_ = host_.loop().now();
    const auto& observers = host_.settings().observers;
    if (observers.on_finished) {
        observers.on_finished(id_, outcome);
    }
    host_.ended(*this);
}

void generation_task::report_tokens()
{
    const std::uint64_t count = state_.tokens().size();
    if (count <= reported_tokens_) {
        return;
    }
    const auto& observers = host_.settings().observers;
    if (!std::exchange(first_token_reported_, true) && reported_tokens_ == 0 &&
        observers.on_first_token) {
        observers.on_first_token(id_);
    }
    if (observers.on_tokens_generated) {
        observers.on_tokens_generated(id_, count - reported_tokens_);
    }
    reported_tokens_ = count;
}

} // namespace bamboogate::streaming
