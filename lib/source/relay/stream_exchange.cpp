#include "stream_exchange.hpp"

#include <bamboogate/relay/log_events.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace bamboogate::relay {

namespace {

/// An engine that refused a stream receives no streams for this long.
constexpr duration full_backoff = std::chrono::milliseconds(300);
constexpr unsigned misdirected_status = 421;
/// Largest body of an answer that is no stream.
constexpr std::size_t max_error_body_bytes = 64u << 10;
/// An engine in trouble may send bytes without an end that complete no event,
/// or events that carry no part of the response.
constexpr std::size_t max_bytes_without_event = 256u << 10;

/// Longest time per token of a live engine: a decode step that also prefills a
/// chunk of a prompt takes 28 to 30 ms.
constexpr duration max_token_time = std::chrono::milliseconds(30);
/// Network allowance on top of 1.5 times the slowest event.
constexpr duration silence_margin = std::chrono::milliseconds(50);

/// Engines write an event at once. Covers two retransmissions of a lost part of
/// it, after 200 ms and 400 ms.
constexpr duration max_event_time = std::chrono::milliseconds(700);

/// Upper bound of the silence limit, below the pause after which callers leave.
constexpr duration max_silence_limit = std::chrono::seconds(4);

/// The token rate of a stream drops abruptly when its engine starts to prefill
/// a prompt, so the limit is derived from the slowest event and not from the
/// observed rate. It doubles with each attempt that was lost to silence:
/// otherwise a service whose engines are all slower than expected would lose
/// every attempt although its streams are sound.
streaming::silence_detector::options silence_options(const service* declared,
                                                     unsigned silent_losses)
{
    const std::uint64_t tokens =
        declared != nullptr && declared->engine
            ? std::max<std::uint64_t>(declared->engine->tokens_per_event, 1)
            : 1;
    constexpr unsigned max_doublings = 8;
    const duration limit = std::min<duration>(
        (max_token_time * static_cast<std::int64_t>(tokens) * 3 / 2 +
         silence_margin) *
            (1 << std::min(silent_losses, max_doublings)),
        max_silence_limit);
    return {.header_limit = std::chrono::seconds(15),
            .first_token_limit = std::chrono::seconds(15),
            .min_limit = limit,
            .max_limit = limit,
            .warmup_limit = limit,
            .warmup_intervals = 4,
            .interval_factor = 2.0,
            .deviation_factor = 2.0,
            .fixed_limit = duration::zero()};
}

/// Silence that confirms another process's suspicion. Streams of a live engine
/// have pauses of up to 185 ms while it prefills prompts.
constexpr duration confirming_silence = std::chrono::milliseconds(200);
} // namespace

stream_exchange::stream_exchange(gate_context& context,
                                 accepted_request accepted,
                                 std::function<void()> on_end)
    : exchange(context, std::move(accepted), std::move(on_end)),
      silence_timer_(context.loop, [this] { on_silence(); }),
      placement_timer_(context.loop,
                       [this] {
                           if (!ended_) {
                               const auto self = shared_from_this();
                               place();
                           }
                       }),
      retry_timer_(context.loop, [this] { on_retry_due(); }),
      detector_(
          silence_options(accepted_.table->find_service(accepted_.service), 0)),
      evidence_(context.rollouts, accepted_.service,
                accepted_.matched_route->name),
      copy_(context, {.service = accepted_.service,
                      .run = accepted_.description.attempt}),
      stream_(stream_key(accepted_.account, accepted_.description.stream())),
      last_event_(accepted_.description.resume_after)
{
    const auto origin =
        last_event_ ? context.origins.find(stream_) : std::nullopt;
    if (origin && origin->origin.service == accepted_.service) {
        begun_at_ = origin->origin.version;
    }
}

void stream_exchange::begin()
{
    place();
}

void stream_exchange::send(const placement& target,
                           const std::optional<copy_source>& source)
{
    const instance* engine = context_.directory.find(target.engine);
    // The leader may not know yet that the engine leaves, for example after a
    // restart, or that it has asked for a pause. A leaving engine still resumes
    // from the copy that it holds.
    const bool paused =
        engine != nullptr &&
        context_.directory.health(target.engine).paused(context_.loop.now());
    const bool rolled_back =
        engine != nullptr && context_.rollouts.rolled_back(
                                 accepted_.service, engine->announced.version);
    const bool other_version = engine != nullptr && begun_at_ &&
                               *begun_at_ != engine->announced.version;
    if (engine == nullptr || paused || rolled_back || other_version ||
        (!source && engine->state != instance_state::ready)) {
        place_elsewhere(target.engine);
        return;
    }
    abandoned_at_.reset();
    engine_ = target.engine;
    engine_started_at_ = engine->announced.started_at;
    from_copy_ = source.has_value();
    copy_.begin(target.engine, target.copy_holder);
    const planned_run planned = run();
    planner().assign(planned, target, from_copy_ ? 0 : planned.prompt_tokens,
                     context_.loop.now());
    if (!reported_to_leader_) {
        report_run(run_update::change::placed);
    }
    attempt_options options{.time_left = time_left(),
                            .expected_upstream = target.engine,
                            .account = accepted_.account,
                            .urgency = accepted_.rank,
                            .copy_to = std::nullopt,
                            .continue_from = source,
                            .resume_after = last_event_};
    if (target.copy_holder) {
        if (const auto* holder = context_.directory.find(*target.copy_holder)) {
            options.copy_to = holder->announced.address;
        }
    }
    splitter_ = {};
    bytes_without_event_ = 0;
    event_begun_at_.reset();
    error_body_.clear();
    head_ = {};
    answer_ = {};
    event_seen_ = false;
    engine_lost_ = false;
    reading_paused_ = false;
    ++attempts_;
    attempt_started_ = context_.loop.now();
    evidence_.begin(*engine, !from_copy_, attempt_started_);
    log_attempt(from_copy_ ? "stream_from_copy" : "stream", *engine, attempts_);
    context_.directory.health(target.engine).request_started(attempt_started_);
    detector_ = streaming::silence_detector(silence_options(
        accepted_.table->find_service(accepted_.service), silent_losses_));
    detector_.start(attempt_started_, expected_first_event(target));
    auto message = upstream_request(options);
    // A repeated response to the previous send has the same attempt id.
    message.fresh_connection = !sent_to_.insert(target.engine).second;
    attempt_ = context_.upstream_client.start(
        engine->announced.address, message,
        {.on_head =
             [this](const net::http1_response_head& head) {
                 return on_head(head);
             },
         .on_body =
             [this](std::string_view part) {
                 const auto self = shared_from_this();
                 on_body(part);
             },
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
    arm_silence_timer();
}

bool stream_exchange::carries_events() const
{
    // The caller has the head of the first attempt, so the events that follow
    // must be of the same type.
    return head_.status == 200 && answer_.sealed &&
           (!head_sent_ ||
            head_.headers.find("Content-Type").value_or("") == content_type_);
}

bool stream_exchange::on_head(const net::http1_response_head& head)
{
    const auto answer = context_.protocol.describe_response(head);
    context_.on_statement(engine_, engine_started_at_, answer);
    if (!answer.attempt.empty() &&
        answer.attempt != accepted_.description.attempt) {
        return false;
    }
    if (answer.attempt.empty()) {
        attempt_->close_after_response();
    }
    answer_ = answer;
    head_ = head;
    if (head.status == 200) {
        detector_.on_headers(context_.loop.now());
    }
    return true;
}

void stream_exchange::on_body(std::string_view part)
{
    if (!carries_events()) {
        if (error_body_.size() + part.size() > max_error_body_bytes) {
            lose_unusable_attempt("error_too_large");
            return;
        }
        error_body_.append(part);
        return;
    }
    bytes_without_event_ += part.size();
    if (bytes_without_event_ > max_bytes_without_event) {
        lose_unusable_attempt("too_much_without_event");
        return;
    }
    const auto events = splitter_.read(part);
    note_unfinished_event(!events.empty());
    for (const auto& event : events) {
        if (!attempt_) {
            return;
        }
        if (!event.well_formed) {
            lose_unusable_attempt("no_event");
            return;
        }
        if (!event.id) {
            // Events without an id, such as comments, carry no part of the
            // response.
            continue;
        }
        if (last_event_ && *event.id <= *last_event_) {
            continue;
        }
        const bool gap = last_event_ && *event.id != *last_event_ + 1;
        if (gap) {
            lose_unusable_attempt("gap_in_events");
            return;
        }
        forward(event);
    }
}

void stream_exchange::note_unfinished_event(bool completed_others)
{
    if (!splitter_.inside_event()) {
        event_begun_at_.reset();
        return;
    }
    if (!event_begun_at_ || completed_others) {
        event_begun_at_ = context_.loop.now();
        arm_silence_timer();
    }
}

time_point stream_exchange::silence_deadline() const
{
    const time_point deadline = detector_.deadline();
    return event_begun_at_
               ? std::min(deadline, *event_begun_at_ + max_event_time)
               : deadline;
}

void stream_exchange::lose_unusable_attempt(std::string_view cause)
{
    attempt_.reset();
    context_.directory.health(engine_).note_failure(context_.loop.now());
    on_attempt_lost(cause, true);
}

void stream_exchange::forward(const stream_event& event)
{
    // The replicas are told the origin before the leader is told that the
    // stream has begun, because the leader may expect another version.
    note_origin();
    note_event();
    if (!head_sent_) {
        head_sent_ = true;
        net::header_list headers = head_.headers;
        net::remove_hop_by_hop_fields(headers);
        content_type_ = headers.find("Content-Type").value_or("");
        context_.metrics.latency.record(
            to_seconds(context_.loop.now() - started_));
        accepted_.responder->begin_stream(head_.status, head_.reason,
                                          std::move(headers));
    }
    accepted_.responder->write(event.text);
    last_event_ = event.id;
    context_.answers.note_output();
    pace_reading();
}

void stream_exchange::note_event()
{
    const time_point now = context_.loop.now();
    if (!event_seen_) {
        event_seen_ = true;
        evidence_.note_answer(now);
        planner().note_started(accepted_.description.attempt);
        report_run(run_update::change::started);
        context_.quarantine.note_started(accepted_.service,
                                         accepted_.description.shared_parts);
        clear_suspicion();
        copy_.note_started();
        context_.directory.health(engine_).note_success(now - attempt_started_);
    }
    if (resuming_) {
        resuming_ = false;
        context_.metrics.pause.record(to_seconds(now - last_event_at_));
    }
    if (!head_sent_) {
        first_event_after_ = now - started_;
    } else if (now - last_event_at_ > longest_pause_) {
        longest_pause_ = now - last_event_at_;
        longest_pause_engine_ = engine_;
        longest_pause_attempt_ = attempts_;
    }
    last_event_at_ = now;
    bytes_without_event_ = 0;
    engine_lost_ = false;
    detector_.on_token(now);
    if (!reading_paused_) {
        arm_silence_timer();
    }
}

void stream_exchange::arm_silence_timer()
{
    // A deadline that was extended is re-evaluated when the timer fires; only
    // an earlier one, as after the first event, requires a restart.
    const time_point deadline = silence_deadline();
    if (silence_timer_.active() && silence_check_at_ <= deadline) {
        return;
    }
    silence_check_at_ = deadline;
    silence_timer_.start_once(std::max<duration>(deadline - context_.loop.now(),
                                                 std::chrono::milliseconds(1)));
}

void stream_exchange::on_silence()
{
    if (ended_ || !attempt_ || (reading_paused_ && !engine_lost_)) {
        return;
    }
    const auto self = shared_from_this();
    // Events may have arrived while this process was busy or stood still.
    if (!reading_paused_) {
        attempt_->read_arrived();
    }
    if (ended_ || !attempt_) {
        return;
    }
    const bool silent =
        !reading_paused_ && context_.loop.now() >= silence_deadline();
    if (!engine_lost_ && !silent) {
        arm_silence_timer();
        return;
    }
    const auto decision =
        head_sent_ ? take_retry(runs_ + 1) : retry_decision::later;
    const bool retry_taken = decision == retry_decision::granted;
    if (head_sent_ && !retry_taken) {
        // The reserve is too small for engines that are only silent: most of
        // these streams go on there.
        stay_at_engine(engine_lost_ && decision == retry_decision::later);
        context_.report_suspicion(engine_);
        return;
    }
    if (engine_lost_) {
        lose_upstream(upstream_id(engine_), retry_taken);
        return;
    }
    attempt_.reset();
    context_.directory.health(engine_).note_failure(context_.loop.now());
    silent_losses_ += event_seen_ ? 1 : 0;
    context_.report_suspicion(engine_);
    on_attempt_lost(event_begun_at_ ? "unfinished_event"
                    : event_seen_   ? "silent"
                                    : "silent_before_first_event",
                    true, retry_taken);
}

void stream_exchange::on_complete()
{
    attempt_.reset();
    upstream_health& health = context_.directory.health(engine_);
    const time_point now = context_.loop.now();
    if (answer_.not_run) {
        if (head_.status == misdirected_status) {
            // Another start owns the address, so this one has ended.
            health.note_failure(now);
            context_.report_suspicion(engine_);
        } else if (!from_copy_) {
            health.note_full(now, full_backoff);
        }
        on_attempt_lost(fmt::format("refused_{}", head_.status), false);
        return;
    }
    if (carries_events()) {
        if (splitter_.inside_event()) {
            on_connection_broken("cut_inside_event");
            return;
        }
        const bool ended_by_connection =
            !head_.headers.find("Content-Length") &&
            !head_.headers.find("Transfer-Encoding");
        if (ended_by_connection && may_be_cut_while_unread()) {
            on_attempt_lost("cut_while_unread", true);
            return;
        }
        // The loss of the engine would look the same.
        if (ended_by_connection && !event_seen_) {
            on_connection_broken("closed_before_first_event");
        } else if (ended_by_connection) {
            check_end();
        } else {
            finish();
        }
        return;
    }
    // A client error of the engine itself is final. The excluded statuses would
    // guarantee that the request was not executed, without the engine's header
    // that states it.
    const bool final_client_error = answer_.sealed && !head_sent_ &&
                                    head_.status >= 400 && head_.status < 500 &&
                                    head_.status != 408 &&
                                    head_.status != 421 && head_.status != 429;
    if (final_client_error) {
        evidence_.note_answer(now);
        health.request_ended();
        release();
        net::header_list headers = head_.headers;
        net::remove_hop_by_hop_fields(headers);
        accepted_.responder->respond(head_.status, std::move(headers),
                                     error_body_);
        end("answered", head_.status);
        return;
    }
    health.note_failure(now);
    on_attempt_lost(fmt::format("failed_{}", head_.status), true);
}

void stream_exchange::check_end()
{
    silence_timer_.stop();
    checking_engine_ = true;
    context_.probe(engine_,
                   [weak = weak_from_this(), this](probe_result outcome) {
                       const auto self = weak.lock();
                       if (!self || !std::exchange(checking_engine_, false)) {
                           return;
                       }
                       if (outcome == probe_result::accepted) {
                           finish();
                       } else {
                           on_attempt_lost("closed_by_lost_engine", true);
                       }
                   });
}

void stream_exchange::finish()
{
    evidence_.note_answer(context_.loop.now());
    context_.directory.health(engine_).request_ended();
    static_cast<void>(copy_.end());
    release();
    if (!head_sent_) {
        // The stream had no events after the caller's last one.
        net::header_list headers = head_.headers;
        net::remove_hop_by_hop_fields(headers);
        accepted_.responder->begin_stream(head_.status, head_.reason,
                                          std::move(headers));
    }
    accepted_.responder->finish();
    log_stream();
    end("answered", 200);
}

void stream_exchange::log_stream() const
{
    observability::log(
        log_events::stream_ended,
        {{"request", id()},
         {"rank", accepted_.rank},
         {"account", accepted_.account.value()},
         {"prompt_tokens", accepted_.description.prompt_tokens},
         {"output_tokens", accepted_.description.max_output_tokens},
         {"first_event_ms", to_milliseconds(first_event_after_)},
         {"longest_pause_ms", to_milliseconds(longest_pause_)},
         {"paused_at", longest_pause_engine_.value()},
         {"paused_in_attempt", longest_pause_attempt_},
         {"attempts", attempts_}});
}

void stream_exchange::on_failure(const net::http1_failure& failure)
{
    attempt_.reset();
    if (may_be_cut_while_unread() && failure.code == errc::connection_lost) {
        on_attempt_lost("cut_while_unread", true);
        return;
    }
    context_.directory.health(engine_).note_failure(context_.loop.now());
    const bool engine_may_be_gone = failure.code != errc::malformed_input &&
                                    failure.code != errc::limit_exceeded;
    if (!engine_may_be_gone || !failure.request_sent) {
        if (engine_may_be_gone) {
            context_.report_suspicion(engine_);
        }
        on_attempt_lost(name_of(failure.code), failure.request_sent);
        return;
    }
    context_.report_suspicion(engine_);
    on_connection_broken(name_of(failure.code));
}

std::optional<crash_report> stream_exchange::possible_crash()
{
    if (event_seen_) {
        return std::nullopt;
    }
    ++breaks_before_start_;
    return make_crash_report(engine_, engine_started_at_);
}

void stream_exchange::on_connection_broken(std::string_view cause)
{
    auto report = possible_crash();
    if (!report) {
        on_attempt_lost(cause, true);
        return;
    }
    silence_timer_.stop();
    checking_engine_ = true;
    context_.quarantine.note_broken(
        std::move(*report), [weak = weak_from_this(),
                             cause = std::string(cause), this](bool crashed) {
            const auto self = weak.lock();
            if (self && std::exchange(checking_engine_, false)) {
                crashes_ += crashed ? 1 : 0;
                on_attempt_lost(cause, true);
            }
        });
}

void stream_exchange::end_quarantined(duration retry_after)
{
    context_.metrics.quarantined.add();
    if (runs_ == 0 && !head_sent_) {
        refuse("quarantined", retry_after);
    } else {
        respond_failure(502, "quarantined");
    }
}

void stream_exchange::on_quarantine(const service_id& service)
{
    const bool begun = event_seen_ && (attempt_ || checking_engine_);
    if (ended_ || service != accepted_.service || begun) {
        return;
    }
    const auto rest = quarantine_left();
    if (!rest) {
        return;
    }
    const bool may_run =
        checking_engine_ || (attempt_ && attempt_->request_sent());
    runs_ += may_run ? 1 : 0;
    cancel_attempts();
    end_quarantined(*rest);
}

void stream_exchange::on_attempt_lost(std::string_view cause, bool may_have_run,
                                      bool retry_taken)
{
    log_failure(engine_, cause);
    silence_timer_.stop();
    held_ = take_copy();
    if (may_have_run) {
        evidence_.note_failure();
    }
    context_.directory.health(engine_).request_ended();
    release();
    runs_ += may_have_run ? 1 : 0;
    excluded_.insert(engine_);
    const auto decision =
        retry_taken ? retry_decision::granted : take_retry(runs_);
    resuming_ = event_seen_ || resuming_;
    if (decision == retry_decision::granted) {
        resume();
    } else if (decision == retry_decision::later && head_sent_) {
        // On-demand copies expire within a few intervals.
        if (held_ && held_->on_demand) {
            held_.reset();
        }
        wait_for_retry();
    } else if (runs_ == 0 && !head_sent_) {
        refuse(cause, refusal_retry_after);
    } else {
        respond_failure(502, cause);
    }
}

void stream_exchange::resume()
{
    const auto held = std::exchange(held_, std::nullopt);
    if (!held) {
        place();
        return;
    }
    context_.metrics.resumed.add();
    context_.refresh_planner(accepted_.service);
    send({.engine = held->holder,
          .copy_holder =
              planner().choose_copy_holder(run(), held->holder, excluded_)},
         held->source);
}

void stream_exchange::cancel_attempts()
{
    silence_timer_.stop();
    placement_timer_.stop();
    retry_timer_.stop();
    held_.reset();
    static_cast<void>(copy_.end());
    if (attempt_ || checking_engine_) {
        attempt_.reset();
        checking_engine_ = false;
        context_.directory.health(engine_).request_ended();
    }
    if (attempt_ || awaiting_placement_ || reported_to_leader_) {
        awaiting_placement_ = false;
        release();
    }
}

void stream_exchange::on_deadline(std::string_view cause)
{
    const bool sent = attempt_ && attempt_->request_sent();
    // A repetition had only the rest of the time.
    if (sent && attempts_ == 1 && cause == deadline_cause) {
        evidence_.note_failure();
    }
    const bool may_have_run = sent || checking_engine_ || runs_ > 0;
    cancel_attempts();
    if (may_have_run || head_sent_) {
        respond_failure(504, cause);
        return;
    }
    refuse(cause, refusal_retry_after);
}

bool stream_exchange::uses_upstream(const upstream_id& id) const
{
    return (attempt_ != nullptr && (engine_ == id || copy_.holder() == id)) ||
           (held_ && held_->holder == id);
}

void stream_exchange::on_copies_lost(const upstream_id& id)
{
    if (held_ && held_->holder == id) {
        held_.reset();
    }
    copy_.on_upstream_lost(id);
}

void stream_exchange::on_upstream_suspected(const upstream_id& id)
{
    if (ended_ || !attempt_) {
        return;
    }
    const auto self = shared_from_this();
    attempt_->read_arrived();
    const bool silent =
        event_seen_ && !reading_paused_ &&
        context_.loop.now() - last_event_at_ >= confirming_silence;
    if (ended_ || !attempt_ || !copy_.usable() || !silent) {
        return;
    }
    const bool retry_taken =
        id == engine_ && take_retry(runs_ + 1) == retry_decision::granted;
    if (id != engine_ || retry_taken) {
        lose_upstream(id, retry_taken);
    }
}

void stream_exchange::on_upstream_lost(const upstream_id& id)
{
    lose_upstream(id, false);
}

void stream_exchange::lose_upstream(const upstream_id& id, bool retry_taken)
{
    if (ended_) {
        return;
    }
    on_copies_lost(id);
    if (!attempt_ || id != engine_) {
        return;
    }
    const bool sent = attempt_->request_sent();
    const bool begun = sent && head_sent_;
    if (begun && !retry_taken) {
        const auto decision = take_retry(runs_ + 1);
        retry_taken = decision == retry_decision::granted;
        if (!retry_taken) {
            engine_lost_ = true;
            stay_at_engine(decision == retry_decision::later);
            return;
        }
    }
    attempt_.reset();
    if (sent) {
        if (auto report = possible_crash()) {
            // The connection didn't break, so this is no evidence against
            // the request itself: the engine may have lost its power.
            report->request.clear();
            context_.quarantine.note_crash(std::move(*report),
                                           context_.loop.now());
        }
    }
    on_attempt_lost("upstream_lost", sent, retry_taken);
}

} // namespace bamboogate::relay
