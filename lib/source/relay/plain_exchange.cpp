#include "plain_exchange.hpp"

#include <bamboogate/relay/log_events.hpp>

#include <fmt/format.h>

namespace bamboogate::relay {

namespace {

/// Maximum number of sends per request, including those that were not executed.
/// Bounds the work when every upstream refuses.
constexpr unsigned max_sends = 4;
/// An upstream that refused because it was full receives no requests for this
/// long.
constexpr duration full_backoff = std::chrono::milliseconds(50);
/// Upstreams that may crash under one request before it is given up: the next
/// crash would be the third, and a sound request hardly meets two.
constexpr unsigned max_crashes = 2;
/// Retry delay sent to callers when no upstream could accept the request.
constexpr duration refusal_retry_after = std::chrono::milliseconds(150);

/// Largest body of a response, which is buffered as a whole. As large as the
/// largest body of a request.
constexpr std::size_t max_response_bytes = 4u << 20;

/// Statuses that guarantee the caller that its request was not executed.
bool guarantees_not_run(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

plain_exchange::plain_exchange(gate_context& context, accepted_request accepted,
                               std::function<void()> on_end)
    : exchange(context, std::move(accepted), std::move(on_end)),
      evidence_(context.rollouts, accepted_.service,
                accepted_.matched_route->name),
      buffered_(context.answers.arriving()),
      fallback_buffered_(context.answers.arriving())
{}

void plain_exchange::begin()
{
    attempt();
}

const instance* plain_exchange::choose_upstream(time_point now)
{
    const auto choose = [&](const rollout::version_filter& versions) {
        return context_.directory.choose(accepted_.service, excluded_, now,
                                         versions);
    };
    const bool on_trial =
        attempts_ == 0 &&
        context_.rollouts.admit_to_trial(accepted_.service,
                                         accepted_.matched_route->name, now);
    const auto versions =
        context_.rollouts.preference(accepted_.service, on_trial);
    const instance* preferred = choose(versions.preferred);
    if (on_trial) {
        return preferred != nullptr &&
                       context_.directory.usable(*preferred, now)
                   ? preferred
                   : choose(versions.fallback);
    }
    if (preferred == nullptr &&
        !context_.directory.any_ready(accepted_.service, versions.preferred)) {
        return choose(versions.fallback);
    }
    return preferred;
}

void plain_exchange::attempt()
{
    const time_point now = context_.loop.now();
    const instance* chosen = choose_upstream(now);
    if (chosen == nullptr) {
        finish_without_response("no_upstream");
        return;
    }
    upstream_ = chosen->announced.id;
    upstream_started_at_ = chosen->announced.started_at;
    attempt_started_ = now;
    evidence_.begin(*chosen, true, now);
    head_ = {};
    body_.clear();
    buffered_.release();
    ++attempts_;
    context_.directory.health(upstream_).request_started(now);
    log_attempt("plain", *chosen, attempts_);
    auto message = upstream_request({.time_left = time_left(),
                                     .expected_upstream = upstream_,
                                     .account = accepted_.account,
                                     .urgency = std::nullopt,
                                     .copy_to = std::nullopt,
                                     .continue_from = std::nullopt,
                                     .resume_after = std::nullopt});
    message.max_body_bytes = max_response_bytes;
    attempt_ = context_.upstream_client.start(
        chosen->announced.address, message,
        {.on_head =
             [this](const net::http1_response_head& head) {
                 return on_head(head);
             },
         .on_body = [this](std::string_view part) { on_body(part); },
         .on_complete =
             [this] {
                 const auto self = shared_from_this();
                 on_complete();
             },
         .on_failure =
             [this](const net::http1_failure& failure) {
                 const auto self = shared_from_this();
                 on_failure(failure);
             }});
}

bool plain_exchange::on_head(const net::http1_response_head& head)
{
    answer_ = context_.protocol.describe_response(head);
    context_.on_statement(upstream_, upstream_started_at_, answer_);
    const bool foreign = !answer_.attempt.empty() &&
                         answer_.attempt != accepted_.description.attempt;
    if (foreign) {
        return false;
    }
    if (answer_.attempt.empty()) {
        attempt_->close_after_response();
    }
    head_ = head;
    return true;
}

void plain_exchange::on_body(std::string_view part)
{
    const auto self = shared_from_this();
    const bool reserved = context_.answers.reserve(buffered_, part.size());
    // The caller of this request may be one of those that were disconnected.
    if (ended_) {
        return;
    }
    if (!reserved) {
        evidence_.discard();
        on_failure({.code = errc::limit_exceeded, .request_sent = true});
        return;
    }
    body_.append(part);
}

void plain_exchange::on_complete()
{
    attempt_.reset();
    upstream_health& health = context_.directory.health(upstream_);
    health.request_ended();
    const time_point now = context_.loop.now();
    if (answer_.not_run) {
        health.note_full(now, full_backoff);
        on_not_run(fmt::format("refused_{}", head_.status));
        return;
    }
    ++runs_;
    const bool success = head_.status >= 200 && head_.status < 300;
    if (!answer_.sealed || guarantees_not_run(head_.status)) {
        // Not the upstream's own response, or a status that would wrongly
        // guarantee that the request was not executed.
        evidence_.note_failure();
        health.note_failure(now);
        on_outcome_unknown(fmt::format("unusable_{}", head_.status));
        return;
    }
    const bool failed = !success && head_.status >= 500;
    if (failed) {
        evidence_.note_failure();
    } else {
        evidence_.note_answer(now);
    }
    if (failed && may_run_again()) {
        fallback_ = fallback_response{head_, std::move(body_)};
        fallback_buffered_.take_over(buffered_);
        on_outcome_unknown(fmt::format("failed_{}", head_.status));
        return;
    }
    health.note_success(now - attempt_started_);
    clear_suspicion();
    forward_response();
}

void plain_exchange::forward_response()
{
    net::header_list headers = head_.headers;
    net::remove_hop_by_hop_fields(headers);
    const duration latency = context_.loop.now() - started_;
    context_.metrics.latency.record(to_seconds(latency));
    context_.times.record(accepted_.service, latency, context_.loop.now());
    accepted_.responder->respond(head_.status, std::move(headers), body_);
    body_ = {};
    buffered_.release();
    context_.answers.note_output();
    end("answered", head_.status);
}

void plain_exchange::on_failure(const net::http1_failure& failure)
{
    attempt_.reset();
    upstream_health& health = context_.directory.health(upstream_);
    health.request_ended();
    health.note_failure(context_.loop.now());
    if (failure.reset || failure.code == errc::connection_failed) {
        context_.report_suspicion(upstream_);
    }
    if (!failure.request_sent) {
        on_not_run(name_of(failure.code));
        return;
    }
    ++runs_;
    evidence_.note_failure();
    const std::string_view cause = failure.on_reused_connection
                                       ? "kept_connection_lost"
                                       : name_of(failure.code);
    if (failure.code == errc::connection_lost && head_.status == 0) {
        check_crash(cause);
        return;
    }
    on_outcome_unknown(cause);
}

void plain_exchange::check_crash(std::string_view cause)
{
    checking_upstream_ = true;
    context_.quarantine.note_broken(
        make_crash_report(upstream_, upstream_started_at_),
        [weak = weak_from_this(), cause, this](bool crashed) {
            const auto self = weak.lock();
            if (self && std::exchange(checking_upstream_, false)) {
                crashes_ += crashed ? 1 : 0;
                on_outcome_unknown(cause);
            }
        });
}

void plain_exchange::on_quarantine(const service_id& service)
{
    // A response that arrives is the evidence of a sound request.
    if (ended_ || service != accepted_.service || head_.status != 0) {
        return;
    }
    const auto rest = quarantine_left();
    if (!rest) {
        return;
    }
    context_.metrics.quarantined.add();
    runs_ += attempt_ && attempt_->request_sent() ? 1 : 0;
    cancel_attempts();
    if (runs_ == 0) {
        refuse("quarantined", *rest);
        return;
    }
    finish_without_response("quarantined");
}

bool plain_exchange::may_run_again() const
{
    return accepted_.matched_route->policy == retry_policy::idempotent &&
           runs_ < accepted_.matched_route->max_attempts &&
           crashes_ < max_crashes;
}

bool plain_exchange::may_send_again()
{
    return attempts_ < max_sends && time_left() > duration::zero() &&
           consume_retry();
}

void plain_exchange::on_not_run(std::string_view cause)
{
    log_failure(upstream_, cause);
    excluded_.insert(upstream_);
    if (may_send_again()) {
        attempt();
        return;
    }
    finish_without_response(cause);
}

void plain_exchange::on_outcome_unknown(std::string_view cause)
{
    log_failure(upstream_, cause);
    excluded_.insert(upstream_);
    if (may_run_again() && may_send_again()) {
        attempt();
        return;
    }
    finish_without_response(cause);
}

void plain_exchange::finish_without_response(std::string_view cause)
{
    if (fallback_) {
        head_ = std::move(fallback_->head);
        body_ = std::move(fallback_->body);
        buffered_.take_over(fallback_buffered_);
        forward_response();
        return;
    }
    if (runs_ == 0) {
        refuse_without_upstream(cause, refusal_retry_after);
        return;
    }
    respond_failure(502, cause);
}

void plain_exchange::cancel_attempts()
{
    checking_upstream_ = false;
    if (attempt_) {
        attempt_.reset();
        context_.directory.health(upstream_).request_ended();
    }
}

void plain_exchange::on_deadline(std::string_view cause)
{
    const bool sent = attempt_ && attempt_->request_sent();
    // A repetition had only the rest of the time.
    if (sent && attempts_ == 1 && cause == deadline_cause) {
        evidence_.note_failure();
    }
    const bool may_have_run = sent || runs_ > 0;
    cancel_attempts();
    if (may_have_run) {
        respond_failure(504, cause);
        return;
    }
    refuse(cause, refusal_retry_after);
}

void plain_exchange::on_upstream_lost(const upstream_id& id)
{
    if (ended_ || !attempt_ || id != upstream_) {
        return;
    }
    const bool sent = attempt_->request_sent();
    cancel_attempts();
    if (!sent) {
        on_not_run("upstream_lost");
        return;
    }
    ++runs_;
    evidence_.note_failure();
    on_outcome_unknown("upstream_lost");
}

} // namespace bamboogate::relay
