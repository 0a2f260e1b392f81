// Placement of a stream: requests it from the leader, chooses an engine locally
// if there is no decision, and reports the run to the leader.
#include <bamboogate/relay/log_events.hpp>

#include <algorithm>

#include "stream_exchange.hpp"

namespace bamboogate::relay {

namespace {

/// Percentage of the latency objective within which the first event should
/// arrive; the rest covers variation of the engine.
constexpr int start_share_percent = 85;
/// Prefill rate of a typical engine, including the decode steps of its other
/// streams.
constexpr double prompt_tokens_per_ms = 6.0;
/// Placements on unknown or leaving engines after which the gate chooses an
/// engine itself.
constexpr unsigned max_unusable_placements = 3;
/// Connections that may break under a stream that has not begun and that no
/// leader places: the gate alone cannot know whether other gates see the same.
constexpr unsigned max_breaks_without_leader = 2;

/// How long a stream waits for its origin to become known, or for an engine of
/// its version. An election and the reports of the gates take less.
constexpr duration max_origin_wait = std::chrono::seconds(2);
constexpr duration origin_retry_delay = std::chrono::milliseconds(150);
/// Retry delay sent to callers whose stream can't be resumed now. Engines that
/// crashed announce themselves again within this time.
constexpr duration origin_refusal_delay = std::chrono::seconds(2);

/// Limits of the time after which a stream that has begun is placed again.
constexpr duration min_placement_delay = std::chrono::milliseconds(100);
constexpr duration max_placement_delay = std::chrono::milliseconds(500);

} // namespace

stream_planner& stream_exchange::planner() const
{
    return context_.planner(accepted_.service);
}

planned_run stream_exchange::run() const
{
    return {.id = accepted_.description.attempt,
            .rank = accepted_.rank,
            .urgent = accepted_.matched_route->rank == 0,
            .prompt_tokens = accepted_.description.prompt_tokens,
            .output_tokens = accepted_.description.max_output_tokens,
            .prompt = accepted_.description.prompt};
}

bool stream_exchange::on_trial()
{
    if (!chosen_for_trial_) {
        // The rest of a stream that another gate has lost is a repetition.
        chosen_for_trial_ =
            !accepted_.description.resume_after &&
            context_.rollouts.admit_to_trial(accepted_.service,
                                             accepted_.matched_route->name,
                                             context_.loop.now());
    }
    return *chosen_for_trial_ && attempts_ == 0;
}

std::optional<held_copy> stream_exchange::take_copy()
{
    auto held = copy_.end();
    const instance* holder =
        held ? context_.directory.find(held->holder) : nullptr;
    const bool allowed =
        holder != nullptr &&
        context_.rollouts.may_resume(accepted_.service, evidence_.version(),
                                     holder->announced.version,
                                     chosen_for_trial_.value_or(false));
    return allowed ? std::move(held) : std::nullopt;
}

void stream_exchange::place()
{
    const duration prefill_time =
        std::chrono::milliseconds(static_cast<std::int64_t>(
            static_cast<double>(accepted_.description.prompt_tokens) /
            prompt_tokens_per_ms));
    // A stream that has already begun, here or at a lost gate, may wait until
    // its caller's deadline.
    const bool resuming = last_event_.has_value();
    const duration start_within =
        resuming ? time_left()
                 : accepted_.matched_route->latency_objective *
                           start_share_percent / 100 -
                       (context_.loop.now() - started_) - prefill_time;
    place_request request{
        .service = accepted_.service,
        .id = accepted_.description.attempt,
        .account = accepted_.account,
        .rank = accepted_.rank,
        .urgent = accepted_.matched_route->rank == 0,
        .prompt_tokens = accepted_.description.prompt_tokens,
        .output_tokens = accepted_.description.max_output_tokens,
        .prompt = accepted_.description.prompt,
        .excluded = {excluded_.begin(), excluded_.end()},
        .resuming = resuming,
        .start_within_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(start_within)
                .count(),
        .shared_parts = accepted_.description.shared_parts,
        .trial = on_trial(),
        .stream = accepted_.description.stream(),
        .version_known = begun_at_.has_value(),
        .version = begun_at_.value_or(software_version())};
    awaiting_placement_ = true;
    reported_to_leader_ = true;
    context_.placer.request_placement(
        request, [weak = weak_from_this()](const result<place_reply>& reply) {
            if (const auto self = weak.lock()) {
                std::static_pointer_cast<stream_exchange>(self)->on_placed(
                    reply);
            }
        });
}

void stream_exchange::on_placed(const result<place_reply>& reply)
{
    if (ended_ || !awaiting_placement_) {
        return;
    }
    awaiting_placement_ = false;
    if (!reply) {
        reported_to_leader_ = false;
        place_locally();
        return;
    }
    const place_reply& decision = reply.value();
    const auto origin = static_cast<origin_state>(decision.origin);
    if (decision.engine.empty()) {
        reported_to_leader_ = false;
        if (origin != origin_state::not_asked &&
            origin != origin_state::known) {
            on_origin_missing(origin);
        } else if (decision.quarantined) {
            end_quarantined(std::chrono::milliseconds(decision.retry_after_ms));
        } else if (runs_ == 0 && !head_sent_) {
            refuse("engines_full",
                   std::chrono::milliseconds(decision.retry_after_ms));
        } else {
            end_unplaced("engines_full",
                         std::chrono::milliseconds(decision.retry_after_ms));
        }
        return;
    }
    if (origin == origin_state::known) {
        begun_at_ = decision.version;
    }
    // The leader records this version as the origin. It may not know a restart
    // of the engine yet.
    const instance* engine = context_.directory.find(decision.engine);
    placed_by_leader_ =
        engine != nullptr && engine->announced.version == decision.version;
    send({.engine = decision.engine,
          .copy_holder = named_holder(decision.copy_holder)},
         std::nullopt);
}

void stream_exchange::place_elsewhere(const upstream_id& unusable)
{
    excluded_.insert(unusable);
    ++unusable_placements_;
    if (unusable_placements_ < max_unusable_placements) {
        place();
        return;
    }
    // The leader knows no engine that this gate can use.
    release();
    place_locally();
}

std::optional<placement> stream_exchange::choose_engine()
{
    context_.refresh_planner(accepted_.service);
    const time_point now = context_.loop.now();
    planned_run planned = run();
    planned.begun_at = begun_at_;
    const auto& rollouts = context_.rollouts;
    const auto* rollout = rollouts.find(accepted_.service);
    if (begun_at_ && rollout != nullptr && !rollout->may_continue(*begun_at_)) {
        return std::nullopt;
    }
    if (on_trial()) {
        planned.versions =
            rollouts.preference(accepted_.service, true).preferred;
        if (auto target =
                planner().choose(planned, excluded_, now,
                                 stream_planner::capacity_policy::required)) {
            return target;
        }
    }
    const auto general = rollouts.preference(accepted_.service, false);
    planned.versions = planner().usable_engines(general.preferred) > 0
                           ? general.preferred
                           : general.fallback;
    auto target = planner().choose(planned, excluded_, now);
    if (!target && !excluded_.empty()) {
        excluded_.clear();
        target = planner().choose(planned, excluded_, now);
    }
    return target;
}

void stream_exchange::place_locally()
{
    if (breaks_before_start_ >= max_breaks_without_leader) {
        respond_failure(502, "engines_crash");
        return;
    }
    if (last_event_ && !begun_at_) {
        find_origin();
        return;
    }
    const auto target = choose_engine();
    if (!target) {
        if (runs_ == 0 && !head_sent_) {
            refuse_without_upstream("no_engine", refusal_retry_after);
        } else {
            end_unplaced("no_engine", refusal_retry_after);
        }
        return;
    }
    placed_by_leader_ = false;
    send(*target, std::nullopt);
}

void stream_exchange::find_origin()
{
    awaiting_placement_ = true;
    context_.find_origin(
        {.service = accepted_.service, .stream = stream_},
        [weak = weak_from_this(), this](const result<origin_reply>& reply) {
            const auto self = weak.lock();
            if (!self || ended_ || !std::exchange(awaiting_placement_, false)) {
                return;
            }
            const auto state =
                reply ? static_cast<origin_state>(reply.value().state)
                      : origin_state::pending;
            if (state != origin_state::known) {
                on_origin_missing(state);
                return;
            }
            begun_at_ = reply.value().version;
            place_locally();
        });
}

void stream_exchange::on_origin_missing(origin_state state)
{
    const time_point now = context_.loop.now();
    abandoned_at_ = abandoned_at_.value_or(now);
    observability::log(
        log_events::origin_missing,
        {{"request", id()},
         {"stream", accepted_.description.stream().value()},
         {"state", static_cast<unsigned>(state)},
         {"version", begun_at_.value_or(software_version()).value()},
         {"waited_ms", to_milliseconds(now - *abandoned_at_)}});
    const bool may_change = state == origin_state::pending ||
                            (state == origin_state::abandoned && head_sent_);
    if (may_change && now - *abandoned_at_ < max_origin_wait) {
        placement_timer_.start_once(origin_retry_delay);
    } else if (runs_ == 0 && !head_sent_) {
        refuse(state == origin_state::abandoned ? "version_gone"
                                                : "origin_unknown",
               origin_refusal_delay);
    } else {
        respond_failure(502, "version_gone");
    }
}

void stream_exchange::note_origin()
{
    if (std::exchange(origin_recorded_, true)) {
        return;
    }
    begun_at_ = begun_at_.value_or(evidence_.version());
    context_.record_origin(stream_, {accepted_.service, *begun_at_},
                           placed_by_leader_);
}

void stream_exchange::end_unplaced(std::string_view cause, duration retry_after)
{
    if (!head_sent_) {
        respond_failure(502, cause);
        return;
    }
    placement_timer_.start_once(
        std::clamp(retry_after, min_placement_delay, max_placement_delay));
}

duration stream_exchange::expected_first_event(const placement& target) const
{
    const auto prefill_tokens = planner().pending_prefill_tokens(target.engine);
    return std::chrono::milliseconds(static_cast<std::int64_t>(
        static_cast<double>(prefill_tokens) / prompt_tokens_per_ms));
}

void stream_exchange::release()
{
    planner().release(accepted_.description.attempt);
    report_run(run_update::change::ended);
    reported_to_leader_ = false;
}

void stream_exchange::report_run(run_update::change kind)
{
    const planned_run planned = run();
    context_.placer.send_update(
        {.service = accepted_.service,
         .id = planned.id,
         .what = static_cast<std::uint8_t>(kind),
         .account = accepted_.account,
         .rank = planned.rank,
         .urgent = planned.urgent,
         .prompt_tokens = planned.prompt_tokens,
         .output_tokens = planned.output_tokens,
         .prompt = planned.prompt,
         .unread_tokens = event_seen_ || from_copy_ ? 0 : planned.prompt_tokens,
         .engine = engine_,
         .copy_holder = copy_.holder(),
         .shared_parts = kind == run_update::change::placed && !event_seen_
                             ? accepted_.description.shared_parts
                             : std::vector<std::string>()});
    reported_to_leader_ = kind != run_update::change::ended;
}

void stream_exchange::report_placement()
{
    // A new leader may not know where this stream was placed.
    placed_by_leader_ = false;
    if (attempt_ && !ended_) {
        report_run(run_update::change::placed);
    }
}

} // namespace bamboogate::relay
