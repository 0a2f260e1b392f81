#include <bamboogate/relay/exchange.hpp>
#include <bamboogate/relay/log_events.hpp>
#include <bamboogate/relay/request_fingerprint.hpp>
#include <bamboogate/relay/retry_delay.hpp>

#include "plain_exchange.hpp"
#include "stream_exchange.hpp"

namespace bamboogate::relay {

using observability::log;
namespace events = log_events;

const std::string& fingerprint_of(accepted_request& accepted)
{
    if (accepted.fingerprint.empty()) {
        accepted.fingerprint = request_fingerprint(
            *accepted.request, accepted.description, accepted.account);
    }
    return accepted.fingerprint;
}

std::vector<std::string> traits_of(accepted_request& accepted,
                                   const gate_quarantine& quarantine)
{
    std::vector<std::string> traits = accepted.description.shared_parts;
    if (quarantine.needs_fingerprints(accepted.service)) {
        traits.push_back(fingerprint_of(accepted));
    }
    return traits;
}

exchange::exchange(gate_context& context, accepted_request accepted,
                   std::function<void()> on_end)
    : context_(context), accepted_(std::move(accepted)),
      started_(accepted_.arrived), on_end_(std::move(on_end)),
      deadline_timer_(context.loop, [this] { give_up(deadline_cause); })
{
    duration allowed = accepted_.matched_route->timeout;
    if (accepted_.description.time_left) {
        allowed = std::min(allowed, *accepted_.description.time_left);
    }
    deadline_ = started_ + allowed;
}

void exchange::start()
{
    deadline_timer_.start_once(std::max(time_left(), duration::zero()));
    accepted_.responder->on_client_disconnect([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self || self->ended_) {
            return;
        }
        const bool given_up =
            self->accepted_.responder->disconnected_by_server();
        if (!given_up) {
            self->context_.metrics.caller_left.add();
            log(events::caller_left,
                {{"request", self->id()},
                 {"after_ms", to_milliseconds(self->context_.loop.now() -
                                              self->started_)}});
        }
        self->cancel_attempts();
        self->end(given_up ? "reader_given_up" : "caller_left", 0);
    });
    context_.retries.record_request(accepted_.service, context_.loop.now());
    begin();
}

void exchange::give_up(std::string_view cause)
{
    if (!ended_) {
        const auto self = shared_from_this();
        on_deadline(cause);
    }
}

duration exchange::time_left() const
{
    return deadline_ - context_.loop.now();
}

net::http1_client::request
exchange::upstream_request(const attempt_options& options) const
{
    const auto& request = accepted_.request;
    net::http1_client::request out{.method = request->method,
                                   .target = request->target,
                                   .headers = request->headers,
                                   .shared_body = {request, &request->body}};
    net::remove_hop_by_hop_fields(out.headers);
    context_.protocol.write_attempt(out.headers, options);
    return out;
}

std::optional<duration> exchange::quarantine_left()
{
    return context_.quarantine.quarantine_of(
        accepted_.service, traits_of(accepted_, context_.quarantine),
        context_.loop.now());
}

crash_report exchange::make_crash_report(const upstream_id& upstream,
                                         std::uint64_t upstream_started_at)
{
    return {.service = accepted_.service,
            .id = accepted_.description.attempt,
            .engine = upstream,
            .engine_started_at = upstream_started_at,
            .shared_parts = accepted_.description.shared_parts,
            .request = fingerprint_of(accepted_),
            .repeated = crashes_ > 0};
}

void exchange::clear_suspicion()
{
    if (crashes_ > 0 ||
        context_.quarantine.needs_fingerprints(accepted_.service)) {
        context_.quarantine.note_answered(
            accepted_.service, fingerprint_of(accepted_), crashes_ > 0);
    }
}

void exchange::refuse_without_upstream(std::string_view cause,
                                       duration retry_after)
{
    const auto pause =
        context_.directory.pause_left(accepted_.service, context_.loop.now());
    if (!pause) {
        refuse(cause, retry_after);
        return;
    }
    refuse("upstreams_paused",
           spread_retry_delay(*pause, accepted_.description.attempt));
}

void exchange::refuse(std::string_view cause, duration retry_after)
{
    if (ended_) {
        return;
    }
    context_.metrics.refused.add();
    log(events::request_refused,
        {{"request", id()},
         {"route", accepted_.matched_route->name},
         {"cause", cause},
         {"retry_after_ms", to_milliseconds(retry_after)},
         {"version", accepted_.table->source().version},
         {"attempts", attempts_}});
    accepted_.responder->respond(
        503, context_.protocol.retry_after(retry_after), {});
    end(cause, 503);
}

void exchange::respond_failure(unsigned status, std::string_view cause)
{
    if (ended_) {
        return;
    }
    context_.metrics.failed.add();
    if (accepted_.responder->begun()) {
        accepted_.responder->abort();
    } else {
        accepted_.responder->respond(status, {}, {});
    }
    end(cause, status);
}

void exchange::log_attempt(std::string_view kind, const instance& upstream,
                           unsigned number) const
{
    context_.metrics.attempts.add();
    log(events::attempt_started,
        {{"request", id()},
         {"kind", kind},
         {"number", number},
         {"upstream", upstream.announced.id.value()},
         {"where", upstream.announced.address.text()},
         {"heard_ms_ago",
          to_milliseconds(context_.loop.now() - upstream.last_seen)},
         {"left_ms", to_milliseconds(time_left())},
         {"configuration", accepted_.table->source().version}});
    const software_version& version = upstream.announced.version;
    if (context_.rollouts.on_trial(accepted_.service, version)) {
        context_.metrics.trial_requests.add();
        log(events::trial_attempt,
            {{"request", id()},
             {"service", accepted_.service.value()},
             {"route", accepted_.matched_route->name},
             {"version", version.value()},
             {"upstream", upstream.announced.id.value()}});
    }
}

void exchange::log_failure(const upstream_id& upstream,
                           std::string_view cause) const
{
    log(events::attempt_failed,
        {{"request", id()},
         {"upstream", upstream.value()},
         {"cause", cause},
         {"after_ms", to_milliseconds(context_.loop.now() - started_)}});
}

bool exchange::consume_retry()
{
    const bool granted =
        context_.retries.try_consume(accepted_.service, context_.loop.now());
    if (!granted) {
        log_retry_refused("limit", runs_);
    }
    return granted;
}

void exchange::log_retry_refused(std::string_view cause, unsigned runs)
{
    const std::pair refusal{attempts_, cause};
    if (std::exchange(logged_refusal_, refusal) == refusal) {
        return;
    }
    const auto part =
        context_.retries.part_of(accepted_.service, context_.loop.now());
    log(events::retry_refused, {{"request", id()},
                                {"service", accepted_.service.value()},
                                {"cause", cause},
                                {"attempts", attempts_},
                                {"runs", runs},
                                {"left_ms", to_milliseconds(time_left())},
                                {"used", part.used},
                                {"allowed", part.allowed},
                                {"gates", context_.retries.gates()}});
}

void exchange::end(std::string_view outcome, unsigned status)
{
    if (ended_) {
        return;
    }
    ended_ = true;
    deadline_timer_.stop();
    log(events::request_ended,
        {{"request", id()},
         {"route", accepted_.matched_route->name},
         {"outcome", outcome},
         {"status", status},
         {"attempts", attempts_},
         {"ms", to_milliseconds(context_.loop.now() - started_)}});
    context_.loop.post([self = shared_from_this()] { self->on_end_(); });
}

std::shared_ptr<exchange> make_exchange(gate_context& context,
                                        accepted_request accepted,
                                        std::function<void()> on_end)
{
    const bool resumable_stream =
        accepted.matched_route->policy == retry_policy::streaming &&
        accepted.matched_route->resumable;
    if (resumable_stream) {
        return std::make_shared<stream_exchange>(context, std::move(accepted),
                                                 std::move(on_end));
    }
    return std::make_shared<plain_exchange>(context, std::move(accepted),
                                            std::move(on_end));
}

} // namespace bamboogate::relay
