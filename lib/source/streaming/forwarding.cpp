#include <bamboogate/streaming/forwarding.hpp>
#include <bamboogate/streaming/log_events.hpp>

namespace bamboogate::streaming {

using observability::log;

namespace {

constexpr duration plan_interval = std::chrono::milliseconds(100);

/// Failures after which no other gate can do better.
bool is_final(errc code)
{
    return code == errc::cancelled || code == errc::upstream_failed ||
           code == errc::overloaded;
}

} // namespace

void remote_sink::token(std::uint64_t index, std::string_view text)
{
    if (tokens_.empty()) {
        first_ = index;
    }
    tokens_.emplace_back(text);
    next_ = index + 1;
    needs_flush_(*this);
}

void remote_sink::finished(const finish_info& info)
{
    flush();
    hub_.send(peer_, forward_tokens{.id = id_,
                                    .stream = stream_,
                                    .epoch = epoch_,
                                    .first_index = next_,
                                    .tokens = {},
                                    .finish = to_fields(info)});
}

void remote_sink::failed(const error& reason)
{
    tokens_.clear();
    hub_.send(peer_,
              forward_tokens{.id = id_,
                             .stream = stream_,
                             .epoch = epoch_,
                             .first_index = next_,
                             .tokens = {},
                             .finish = {},
                             .failed = true,
                             .failure = static_cast<std::uint16_t>(reason.code),
                             .failure_detail = reason.detail});
}

void remote_sink::on_credit(std::uint64_t next_index)
{
    credit_ = std::max(credit_, std::min(next_index, next_));
}

void remote_sink::flush()
{
    if (tokens_.empty()) {
        return;
    }
    hub_.send(peer_, forward_tokens{.id = id_,
                                    .stream = stream_,
                                    .epoch = epoch_,
                                    .first_index = first_,
                                    .tokens = std::exchange(tokens_, {}),
                                    .finish = {}});
}

attach_task::attach_task(attach_host& host, request_id id, attach_point from,
                         std::shared_ptr<token_sink> sink)
    : host_(host), id_(std::move(id)), from_(from), sink_(std::move(sink)),
      started_(host.loop().now())
{}

void attach_task::start()
{
    plan();
    next_step();
}

void attach_task::plan()
{
    searching_ = true;
    steps_.clear();
    steps_.push_back({{}, false});
    const auto hints = hints_of(id_);
    const node_id& self = host_.hub().self().node;
    const auto add = [&](const node_id& node, bool may_take_over) {
        if (!node.empty() && node != self && host_.hub().is_up(node)) {
            steps_.push_back({node, may_take_over});
        }
    };
    add(hints.owner, false);
    steps_.push_back({{}, true});
    add(hints.buddy, true);
    for (const auto& peer : host_.buddy_candidates(id_)) {
        if (peer.node != hints.buddy) {
            add(peer.node, true);
        }
    }
}

void attach_task::next_step()
{
    if (ended_) {
        return;
    }
    if (steps_.empty()) {
        if (host_.loop().now() - started_ > host_.settings().attach_timeout) {
            fail_with(last_problem_);
            return;
        }
        // A copy may become free for takeover, or a gate reachable.
        next_plan_ = host_.loop().now() + plan_interval;
        return;
    }
    const step current = steps_.front();
    steps_.pop_front();
    if (current.node.empty()) {
        const auto attached =
            host_.attach_here(id_, from_, sink_, current.may_take_over);
        if (attached) {
            ended_ = true;
            host_.attach_ended(*this);
            return;
        }
        on_step_failed(attached.error());
        return;
    }
    stream_ = host_.allocate_stream_id();
    received_ = from_.from_index;
    credit_sent_ = received_;
    owner_ = current.node;
    host_.hub().call<attach_request, attach_reply>(
        current.node,
        {.id = id_,
         .from_index = from_.from_index,
         .epoch = from_.epoch,
         .stream = stream_,
         .may_take_over = current.may_take_over},
        host_.settings().attach_request_timeout,
        [weak = weak_from_this(), stream = stream_](result<attach_reply> r) {
            const auto self = weak.lock();
            if (!self || self->ended_ || self->stream_ != stream) {
                return;
            }
            if (r) {
                self->searching_ = false;
                return;
            }
            if (self->searching_) {
                self->on_step_failed(r.error());
            }
        });
}

void attach_task::on_step_failed(const error& reason)
{
    if (is_final(reason.code)) {
        fail_with(reason);
        return;
    }
    if (reason.code == errc::superseded || reason.code == errc::conflict) {
        last_problem_ = reason;
    }
    next_step();
}

void attach_task::on_forward(const node_id& from, forward_tokens message)
{
    if (ended_ || from != owner_ || message.stream != stream_) {
        return;
    }
    searching_ = false;
    if (message.failed) {
        fail_with({message.failure <= static_cast<unsigned>(errc::internal)
                       ? static_cast<errc>(message.failure)
                       : errc::internal,
                   message.failure_detail});
        return;
    }
    if (message.first_index != received_) {
        // A link was replaced and lost a message: search from what was passed.
        stream_ = 0;
        plan();
        next_step();
        return;
    }
    from_.epoch = message.epoch;
    received_ += message.tokens.size();
    for (auto& token : message.tokens) {
        pending_.push_back(std::move(token));
    }
    finish_ = from_fields(message.finish);
    release();
}

void attach_task::release()
{
    const auto keep = shared_from_this();
    while (!ended_ && !pending_.empty() && sink_->ready()) {
        if (std::exchange(passed_epoch_, from_.epoch) != from_.epoch) {
            sink_->set_epoch(from_.epoch);
        }
        const std::string text = std::move(pending_.front());
        pending_.pop_front();
        sink_->token(from_.from_index++, text);
    }
    if (!ended_ && finish_ && pending_.empty()) {
        ended_ = true;
        sink_->finished(*finish_);
        host_.attach_ended(*this);
        return;
    }
    constexpr std::uint64_t credit_step = forward_window_tokens / 4;
    if (!ended_ && from_.from_index - credit_sent_ >= credit_step) {
        credit_sent_ = from_.from_index;
        send_credit(false);
    }
}

void attach_task::send_credit(bool closed)
{
    host_.hub().send(owner_,
                     forward_credit{id_, stream_, from_.from_index, closed});
}

void attach_task::on_peer_down(const node_id& peer)
{
    if (ended_ || searching_ || peer != owner_) {
        return;
    }
    // Tokens received but not passed on are asked for again, because the next
    // owner may have another continuation.
    pending_.clear();
    finish_.reset();
    owner_ = {};
    stream_ = 0;
    started_ = host_.loop().now();
    plan();
    next_step();
}

void attach_task::tick(time_point now)
{
    if (ended_) {
        return;
    }
    if (next_plan_ != time_point{} && now >= next_plan_) {
        next_plan_ = {};
        plan();
        next_step();
        return;
    }
    release();
}

void attach_task::close()
{
    if (std::exchange(ended_, true)) {
        return;
    }
    if (!owner_.empty()) {
        send_credit(true);
    }
    host_.attach_ended(*this);
}

void attach_task::fail_with(const error& reason)
{
    if (std::exchange(ended_, true)) {
        return;
    }
    log(log_events::attach_failed, {{"request", id_.value()},
                                    {"code", name_of(reason.code)},
                                    {"reason", reason.detail}});
    sink_->failed(reason);
    host_.attach_ended(*this);
}

} // namespace bamboogate::streaming
