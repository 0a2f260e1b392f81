#include "stream_copy.hpp"

#include <bamboogate/relay/log_events.hpp>

namespace bamboogate::relay {

using observability::log;
namespace events = log_events;

namespace {

/// Renewals within the lifetime of an on-demand copy, so that one lost renewal
/// does not lose the copy.
constexpr int renewals_per_lifetime = 3;
/// Lifetime assumed if the service declares none.
constexpr duration default_lifetime = std::chrono::seconds(3);
/// Engines of a lost failure domain return after about a second and bring back
/// capacity for copies.
constexpr duration retry_delay = std::chrono::milliseconds(500);
/// A transfer takes about 20 ms, but may have to wait for others on the same
/// link.
constexpr duration copy_call_timeout = std::chrono::seconds(1);
constexpr duration holder_request_timeout = std::chrono::milliseconds(500);
/// Upper bound for the answer to a copy call, which names one handle.
constexpr std::size_t max_answer_bytes = 16u << 10;

} // namespace

stream_copy::stream_copy(gate_context& context, options settings)
    : context_(context), settings_(std::move(settings)),
      timer_(context.loop, [this] { on_timer(); })
{}

void stream_copy::begin(const upstream_id& engine,
                        const std::optional<upstream_id>& holder)
{
    attempt_token_ = std::make_shared<const bool>();
    engine_ = engine;
    copy_.reset();
    refused_by_.clear();
    started_ = false;
    holder_requested_ = false;
    const instance* known = holder ? context_.directory.find(*holder) : nullptr;
    // The leader may not know yet that the holder leaves.
    if (known != nullptr && known->state == instance_state::ready) {
        copy_ = held_copy{
            .holder = *holder,
            .source = {known->announced.address, settings_.run.value()},
            .on_demand = false};
    }
}

void stream_copy::note_started()
{
    started_ = true;
    maintain_copy();
}

void stream_copy::on_upstream_lost(const upstream_id& id)
{
    if (!copy_ || copy_->holder != id) {
        return;
    }
    copy_.reset();
    call_.reset();
    maintain_copy();
}

std::optional<held_copy> stream_copy::end()
{
    auto out = usable() ? copy_ : std::nullopt;
    attempt_token_.reset();
    timer_.stop();
    call_.reset();
    copy_.reset();
    started_ = false;
    return out;
}

bool stream_copy::usable() const
{
    if (!copy_ || !started_) {
        return false;
    }
    const instance* known = context_.directory.find(copy_->holder);
    const upstream_health& health = context_.directory.health(copy_->holder);
    const time_point now = context_.loop.now();
    return known != nullptr && known->state != instance_state::lost &&
           !health.suspended(now) && !health.paused(now);
}

upstream_id stream_copy::holder() const
{
    return copy_ ? copy_->holder : upstream_id();
}

const engine_profile* stream_copy::profile() const
{
    return context_.profile(settings_.service);
}

void stream_copy::on_timer()
{
    if (call_) {
        call_.reset();
        on_copy_call_failed("timeout");
        return;
    }
    maintain_copy();
}

void stream_copy::maintain_copy()
{
    const engine_profile* engine = profile();
    if (!started_ || engine == nullptr || !engine->copies_on_demand || call_ ||
        holder_requested_) {
        return;
    }
    if (!copy_) {
        request_holder();
    } else if (copy_->on_demand) {
        call_copy();
    }
}

void stream_copy::request_holder()
{
    holder_requested_ = true;
    context_.placer.request_copy_holder(
        {.service = settings_.service,
         .id = settings_.run,
         .excluded = {refused_by_.begin(), refused_by_.end()}},
        holder_request_timeout,
        [this, attempt = std::weak_ptr(attempt_token_)](
            const result<copy_reply>& reply) {
            if (!attempt.expired()) {
                holder_requested_ = false;
                on_holder(reply);
            }
        });
}

void stream_copy::on_holder(const result<copy_reply>& reply)
{
    if (!reply || reply.value().holder.empty()) {
        schedule_retry();
        return;
    }
    target_holder_ = reply.value().holder;
    const instance* holder = context_.directory.find(target_holder_);
    if (holder != nullptr && holder->state != instance_state::ready) {
        on_copy_refused("leaving");
        return;
    }
    call_copy();
}

void stream_copy::call_copy()
{
    const upstream_id target = copy_ ? copy_->holder : target_holder_;
    const instance* holder = context_.directory.find(target);
    const instance* engine = context_.directory.find(engine_);
    const bool paused =
        context_.directory.health(engine_).paused(context_.loop.now());
    if (holder == nullptr || engine == nullptr || paused) {
        schedule_retry();
        return;
    }
    target_holder_ = target;
    response_body_.clear();
    response_status_ = 0;
    const upstream_call request =
        context_.protocol.copy_call(settings_.run, holder->announced.address);
    call_ = context_.upstream_client.start(
        engine->announced.address,
        {.method = request.method,
         .target = request.target,
         .headers = request.headers,
         .body = request.body,
         .max_body_bytes = max_answer_bytes},
        {.on_head =
             [this, started_at = engine->announced.started_at](
                 const net::http1_response_head& head) {
                 const auto answer = context_.protocol.describe_response(head);
                 context_.on_statement(engine_, started_at, answer);
                 if (!answer.attempt.empty() &&
                     answer.attempt != settings_.run) {
                     return false;
                 }
                 response_status_ = head.status;
                 // Without an id, a repetition of this response would be taken
                 // for the response to the next call, for another stream.
                 if (answer.attempt.empty() || head.status != 200) {
                     call_->close_after_response();
                 }
                 return true;
             },
         .on_body = [this](std::string_view part) { response_body_ += part; },
         .on_complete =
             [this] {
                 call_.reset();
                 auto handle = context_.protocol.read_copy_handle(
                     response_status_, response_body_);
                 if (handle) {
                     on_copy_made(std::move(handle).value());
                 } else {
                     on_copy_refused(handle.error().detail);
                 }
             },
         .on_failure =
             [this](const net::http1_failure& failure) {
                 call_.reset();
                 on_copy_call_failed(name_of(failure.code));
             }});
    timer_.start_once(copy_call_timeout);
}

void stream_copy::on_copy_made(std::string handle)
{
    const instance* engine = context_.directory.find(engine_);
    if (engine == nullptr) {
        return;
    }
    if (!copy_) {
        log(events::copy_ordered, {{"request", settings_.run.value()},
                                   {"engine", engine_.value()},
                                   {"holder", target_holder_.value()}});
    }
    copy_ = held_copy{.holder = target_holder_,
                      .source = {engine->announced.address, std::move(handle)},
                      .on_demand = true};
    const engine_profile* declared = profile();
    const duration lifetime =
        declared != nullptr && declared->copy_lifetime > duration::zero()
            ? declared->copy_lifetime
            : default_lifetime;
    timer_.start_once(lifetime / renewals_per_lifetime);
}

void stream_copy::log_copy_failure(std::string_view cause) const
{
    log(events::copy_order_failed, {{"request", settings_.run.value()},
                                    {"engine", engine_.value()},
                                    {"holder", target_holder_.value()},
                                    {"cause", cause}});
}

void stream_copy::on_copy_call_failed(std::string_view cause)
{
    log_copy_failure(cause);
    schedule_retry();
    // Must come last: the stream may resume elsewhere inside this call.
    context_.report_suspicion(engine_);
}

void stream_copy::on_copy_refused(std::string_view cause)
{
    log_copy_failure(cause);
    refused_by_.insert(target_holder_);
    copy_.reset();
    schedule_retry();
}

void stream_copy::schedule_retry()
{
    timer_.start_once(retry_delay);
}

} // namespace bamboogate::relay
