#include <bamboogate/streaming/generation_task.hpp>
#include <bamboogate/streaming/log_events.hpp>

#include <algorithm>

namespace bamboogate::streaming {

using observability::log;

namespace {

// A gate that did not acknowledge is not selected again for this long. A
// suspended gate loses its link within that time.
constexpr duration buddy_exclusion_period = std::chrono::milliseconds(1200);

} // namespace

void generation_task::exclude_buddy(const node_id& node)
{
    excluded_buddies_.emplace_back(node, host_.loop().now());
}

void generation_task::choose_buddy(time_point now)
{
    std::erase_if(excluded_buddies_, [now](const auto& entry) {
        return now - entry.second > buddy_exclusion_period;
    });
    const auto candidates = host_.buddy_candidates(id_);
    const auto chosen = std::find_if(
        candidates.begin(), candidates.end(), [this](const auto& peer) {
            return std::none_of(
                excluded_buddies_.begin(), excluded_buddies_.end(),
                [&](const auto& entry) { return entry.first == peer.node; });
        });
    if (chosen != candidates.end()) {
        if (std::exchange(without_buddy_, false)) {
            host_.set_without_buddy(false);
        }
        release_without_buddy_at_.reset();
        buddy_ = chosen->node;
        buddy_confirmed_ = false;
        copy_sent_ = false;
        if (had_buddy_) {
            ++host_.counters().buddy_changes;
            log(log_events::buddy_changed,
                {{"request", id_.value()}, {"buddy", buddy_.value()}});
        }
        had_buddy_ = true;
        state_.require_buddy(host_.settings().release_after_copy);
        unacknowledged_since_ = now;
        host_.schedule_flush(*this);
        return;
    }
    if (!candidates.empty()) {
        return;
    }
    if (!release_without_buddy_at_) {
        release_without_buddy_at_ =
            had_buddy_ ? now + host_.settings().no_buddy_grace_period : now;
        state_.require_buddy(host_.settings().release_after_copy);
    }
    if (!without_buddy_ && now >= *release_without_buddy_at_) {
        without_buddy_ = true;
        state_.require_buddy(false);
        host_.set_without_buddy(true);
        host_.schedule_flush(*this);
    }
}

void generation_task::replace_buddy(time_point now)
{
    if (buddy_confirmed_) {
        previous_buddies_.clear();
    }
    previous_buddies_.push_back(buddy_);
    replaced_buddies_.push_back(buddy_);
    buddy_ = {};
    state_.require_buddy(host_.settings().release_after_copy);
    choose_buddy(now);
}

attempt_fields generation_task::current_attempt() const
{
    return {state_.attempt(), engine_ ? engine_->address : std::string()};
}

void generation_task::send_copy(time_point now)
{
    generation_copy copy{.id = id_,
                         .history = state_.history(),
                         .request = request_,
                         .tokens = state_.tokens(),
                         .attempt = current_attempt(),
                         .finish = to_fields(state_.finish()),
                         .previous_buddies = previous_buddies_};
    std::erase(copy.previous_buddies, buddy_);
    copy_sent_ = host_.hub().send(buddy_, copy);
    sent_ = state_.tokens().size();
    attempt_sent_ = state_.attempt();
    finish_sent_ = state_.finish().has_value();
    last_send_ = now;
}

void generation_task::send_new_tokens(time_point now)
{
    const std::uint64_t size = state_.tokens().size();
    const bool new_finish = state_.finish() && !finish_sent_;
    const bool new_attempt = engine_ && attempt_sent_ != state_.attempt();
    if (sent_ == size && !new_finish && !new_attempt) {
        return;
    }
    if (!awaits_ack()) {
        unacknowledged_since_ = now;
    }
    token_batch batch{
        .id = id_,
        .epoch = state_.epoch(),
        .first_index = sent_,
        .tokens = {state_.tokens().begin() + static_cast<std::ptrdiff_t>(sent_),
                   state_.tokens().end()},
        .attempt = {},
        .finish = to_fields(state_.finish())};
    if (new_attempt) {
        batch.attempt = current_attempt();
        attempt_sent_ = state_.attempt();
    }
    sent_ = size;
    finish_sent_ = state_.finish().has_value();
    last_send_ = now;
    host_.send_batch(buddy_, std::move(batch));
}

bool generation_task::survives_loss() const
{
    return (!buddy_.empty() && buddy_confirmed_) || without_buddy_ ||
           !host_.settings().release_after_copy;
}

bool generation_task::awaits_ack() const
{
    return !buddy_confirmed_ || state_.acknowledged() < sent_ ||
           (finish_sent_ && !state_.fully_acknowledged());
}

void generation_task::check_buddy(time_point now)
{
    if (buddy_.empty()) {
        choose_buddy(now);
        return;
    }
    if (!awaits_ack()) {
        return;
    }
    if (now - unacknowledged_since_ > host_.settings().buddy_ack_timeout) {
        exclude_buddy(buddy_);
        replace_buddy(now);
        return;
    }
    if (now - last_send_ > host_.settings().resend_interval) {
        copy_sent_ = copy_sent_ && buddy_confirmed_;
        sent_ = state_.acknowledged();
        finish_sent_ = false;
        host_.schedule_flush(*this);
    }
}

void generation_task::flush()
{
    const time_point now = host_.loop().now();
    report_tokens();
    if (!buddy_.empty() && !failure_) {
        if (copy_sent_) {
            send_new_tokens(now);
        } else {
            send_copy(now);
        }
    }
    release();
}

void generation_task::release()
{
    // A sink may call `release` again from within its functions.
    if (releasing_ || failure_) {
        return;
    }
    releasing_ = true;
    const auto keep_alive = shared_from_this();
    generation_counters& totals = host_.counters();
    const auto sink = sink_;
    if (sink && !accepted_ && survives_loss()) {
        accepted_ = true;
        sink->accepted();
    }
    while (sink && sink == sink_ && state_.has_releasable() && sink->ready()) {
        if (std::exchange(sink_epoch_, state_.epoch()) != state_.epoch()) {
            sink->set_epoch(state_.epoch());
        }
        const std::uint64_t index = state_.released();
        sink->token(index, state_.release_next());
        ++totals.tokens_released;
        totals.tokens_without_copy += buddy_.empty() ? 1 : 0;
    }
    if (sink && sink == sink_ && state_.may_finish()) {
        sink_.reset();
        sink->finished(*state_.finish());
        if (!ended()) {
            ++totals.finished;
        }
        end(*state_.finish());
    }
    if (input_paused_ && stream_ &&
        state_.tokens().size() <
            state_.released() + host_.settings().max_unreleased_tokens / 2) {
        input_paused_ = false;
        silence_.resume(host_.loop().now());
        stream_->resume();
    }
    releasing_ = false;
}

result<void> generation_task::attach(attach_point from,
                                     std::shared_ptr<token_sink> sink)
{
    if (failure_) {
        return fail(failure_->code, failure_->detail);
    }
    BOOST_OUTCOME_TRY(
        check_lineage(state_.history(), from.from_index, from.epoch));
    if (from.from_index > state_.tokens().size()) {
        return fail(errc::conflict,
                    "the caller has more tokens than this gate");
    }
    if (const auto old = std::exchange(sink_, std::move(sink))) {
        host_.loop().post([old] {
            old->failed({errc::superseded, "the caller has reconnected"});
        });
    }
    sink_epoch_ = 0;
    detached_since_.reset();
    state_.rewind(from.from_index);
    host_.schedule_flush(*this);
    return outcome::success();
}

void generation_task::detach(const token_sink* sink)
{
    if (sink_.get() == sink) {
        sink_.reset();
        detached_since_ = host_.loop().now();
    }
}

void generation_task::check_caller(time_point now)
{
    if (sink_ && (sink_->ready() || !state_.has_releasable())) {
        detached_since_.reset();
        return;
    }
    // A sink that accepts nothing means a caller behind a dead connection.
    if (!detached_since_) {
        detached_since_ = now;
    }
    if (now - *detached_since_ > host_.settings().detached_timeout) {
        log(log_events::caller_absent, {{"request", id_.value()}});
        fail_with({errc::cancelled, "no caller took the tokens in time"});
    }
}

void generation_task::on_ack(const node_id& from, const token_ack& ack)
{
    if (from != buddy_ || ack.epoch != state_.epoch() || failure_) {
        return;
    }
    const bool progress =
        !buddy_confirmed_ || ack.next_index > state_.acknowledged();
    buddy_confirmed_ = true;
    state_.on_ack(ack.next_index, ack.finish_held);
    if (progress) {
        unacknowledged_since_ = host_.loop().now();
    }
    release();
}

void generation_task::on_copy_missing(const node_id& from,
                                      const copy_missing& notice)
{
    if (from != buddy_ || notice.epoch != state_.epoch()) {
        return;
    }
    if (notice.full) {
        exclude_buddy(buddy_);
        replace_buddy(host_.loop().now());
        return;
    }
    copy_sent_ = false;
    host_.schedule_flush(*this);
}

void generation_task::on_superseded(const superseded& notice)
{
    if (notice.epoch <= state_.epoch() || state_.superseded()) {
        return;
    }
    log(log_events::superseded,
        {{"request", id_.value()}, {"epoch", notice.epoch}});
    const error reason{errc::superseded, "another gate owns the generation"};
    failure_ = reason;
    state_.supersede();
    cancel_running_attempt(attempt_outcome::cancelled);
    if (const auto sink = std::exchange(sink_, nullptr)) {
        sink->failed(reason);
    }
    ++host_.counters().superseded;
    end(fail(reason.code, reason.detail));
}

void generation_task::on_peer_down(const node_id& peer)
{
    if (peer == buddy_ && !failure_) {
        replace_buddy(host_.loop().now());
    }
}

void generation_task::on_peer_up(const node_id& peer)
{
    if (std::erase(replaced_buddies_, peer) == 0 || peer == buddy_) {
        return;
    }
    host_.hub().send(peer, generation_end{id_, state_.epoch()});
}

} // namespace bamboogate::streaming
