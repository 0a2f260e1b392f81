#include <bamboogate/core/secret.hpp>
#include <bamboogate/streaming/log_events.hpp>

#include <algorithm>

#include "generation_service_impl.hpp"

namespace bamboogate::streaming {

using observability::log;

namespace {

// Resolution of all deadlines of this area.
constexpr duration tick_interval = std::chrono::milliseconds(20);
// A tick that is later than this means that the process stood still.
constexpr duration jump_limit = std::chrono::milliseconds(220);
constexpr duration expiry_interval = std::chrono::seconds(1);

} // namespace

generation_service::impl::impl(net::event_loop& loop, net::link_hub& hub,
                               net::http_client& client,
                               engine_directory& directory,
                               generation_options settings)
    : loop_(loop), hub_(hub), client_(client), directory_(directory),
      settings_(std::move(settings)),
      store_({.max_bytes = settings_.max_copies_bytes,
              .orphan_limit =
                  settings_.detached_timeout + std::chrono::seconds(10)}),
      tick_timer_(loop, [this] { tick(); })
{
    register_handlers();
}

generation_service::impl::~impl()
{
    *alive_ = false;
    dirty_tasks_.clear();
    attaches_.clear();
    // Tasks hand their streams to `retired_`.
    tasks_.clear();
}

void generation_service::impl::post(void (impl::*function)())
{
    loop_.post([this, function, guard = alive_] {
        if (*guard) {
            (this->*function)();
        }
    });
}

generation_task* generation_service::impl::find(const request_id& id) const
{
    const auto found = tasks_.find(id);
    return found == tasks_.end() ? nullptr : found->second.get();
}

result<request_id>
generation_service::impl::start(generation_request request,
                                std::shared_ptr<token_sink> sink)
{
    if (draining_) {
        return fail(errc::not_run, "the gate is draining");
    }
    request_id_hints hints{hub_.self().node, {}};
    const std::uint64_t random = random_u64();
    const auto order = buddy_candidates(make_request_id(hints, random));
    if (!order.empty()) {
        hints.buddy = order.front().node;
    }
    const request_id id = make_request_id(hints, random);
    auto task =
        std::make_shared<generation_task>(*this, id, std::move(request));
    tasks_.emplace(id, task);
    ++counters_.started;
    BOOST_OUTCOME_TRY(task->attach({}, std::move(sink)));
    loop_.post([weak = task->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->start();
        }
    });
    start_ticking();
    return id;
}

void generation_service::impl::attach(const request_id& id, attach_point from,
                                      std::shared_ptr<token_sink> sink)
{
    auto task = std::make_shared<attach_task>(*this, id, from, std::move(sink));
    attaches_.push_back(task);
    loop_.post([weak = task->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->start();
        }
    });
    start_ticking();
}

result<void>
generation_service::impl::attach_here(const request_id& id, attach_point from,
                                      std::shared_ptr<token_sink> sink,
                                      bool may_take_over)
{
    const held_copy* copy = store_.find(id);
    if (generation_task* task = find(id)) {
        const bool lost = task->state().superseded();
        if (!lost || copy == nullptr) {
            return task->attach(from, std::move(sink));
        }
    }
    if (copy == nullptr || !may_take_over) {
        return fail(errc::not_found, "no such generation here");
    }
    const time_point now = loop_.now();
    if (stood_still(now)) {
        woke_at_ = now;
    }
    if (woke_at_ && now - *woke_at_ < settings_.takeover_holdoff) {
        return fail(errc::in_progress, "the gate stood still until just now");
    }
    if (!copy->confirmed) {
        return fail(errc::in_progress, "the copy is not confirmed yet");
    }
    if (from.from_index > copy->tokens.size()) {
        return fail(errc::conflict, "the caller has more tokens than the copy");
    }
    BOOST_OUTCOME_TRY(
        check_lineage(copy->history, from.from_index, from.epoch));
    return take_over(id, *copy, from, std::move(sink));
}

result<void>
generation_service::impl::take_over(const request_id& id, const held_copy& copy,
                                    attach_point from,
                                    std::shared_ptr<token_sink> sink)
{
    const std::uint64_t epoch = next_epoch(copy.epoch(), hub_.self().node);
    const node_id owner = copy.owner;
    held_copy taken = store_.extract_for_takeover(id, epoch, loop_.now());
    log(log_events::takeover, {{"request", id.value()},
                               {"owner", owner.value()},
                               {"epoch", epoch},
                               {"tokens", taken.tokens.size()}});
    auto task =
        std::make_shared<generation_task>(*this, id, std::move(taken), epoch);
    tasks_.insert_or_assign(id, task);
    ++counters_.takeovers;
    // The owner is lost or frozen, or the caller would be attached there.
    task->exclude_buddy(owner);
    hub_.send(owner, superseded{id, epoch});
    BOOST_OUTCOME_TRY(task->attach(from, std::move(sink)));
    if (settings_.observers.on_taken_over) {
        settings_.observers.on_taken_over(id, task->request());
    }
    loop_.post([weak = task->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->start();
        }
    });
    start_ticking();
    return outcome::success();
}

void generation_service::impl::cancel_here(const request_id& id)
{
    if (generation_task* task = find(id)) {
        task->cancel({errc::cancelled, "cancelled"});
        return;
    }
    if (const held_copy* copy = store_.find(id)) {
        store_.discard(id, copy->epoch());
    }
}

void generation_service::impl::cancel(const request_id& id)
{
    const auto hints = hints_of(id);
    const generation_task* task = find(id);
    if (task == nullptr || task->state().superseded()) {
        for (const auto& node : {hints.owner, hints.buddy}) {
            hub_.send(node, generation_cancel{id});
        }
    }
    const auto attaches = attaches_;
    for (const auto& each : attaches) {
        if (each->id() == id && !each->ended()) {
            hub_.send(each->owner(), generation_cancel{id});
            each->fail_with({errc::cancelled, "cancelled"});
        }
    }
    cancel_here(id);
}

std::size_t generation_service::impl::running() const
{
    const auto count =
        std::count_if(tasks_.begin(), tasks_.end(), [](const auto& entry) {
            const generation_task& task = *entry.second;
            // A whole answer whose caller is away is safe with the buddy.
            const bool kept_by_buddy =
                task.state().finish() && !task.has_sink() &&
                !task.buddy().empty() && task.state().fully_acknowledged();
            return !task.ended() && !kept_by_buddy;
        });
    const auto forwarded =
        std::count_if(attaches_.begin(), attaches_.end(),
                      [](const auto& each) { return !each->ended(); });
    return static_cast<std::size_t>(count + forwarded);
}

void generation_service::impl::check_idle()
{
    if (draining_ && when_idle_ && running() == 0) {
        loop_.post(std::exchange(when_idle_, nullptr));
    }
}

void generation_service::impl::start_ticking()
{
    if (!tick_timer_.active()) {
        last_tick_ = loop_.now();
        tick_timer_.start_periodic(tick_interval);
    }
}

bool generation_service::impl::stood_still(time_point now) const
{
    return tick_timer_.active() && now - last_tick_ > jump_limit;
}

void generation_service::impl::tick()
{
    const time_point now = loop_.now();
    const bool jumped = stood_still(now);
    if (jumped) {
        woke_at_ = now;
        log(log_events::process_was_suspended,
            {{"milliseconds", to_milliseconds(now - last_tick_)}});
    }
    last_tick_ = now;
    std::vector<std::shared_ptr<generation_task>> tasks;
    tasks.reserve(tasks_.size());
    for (const auto& [id, task] : tasks_) {
        tasks.push_back(task);
    }
    for (const auto& task : tasks) {
        if (jumped) {
            task->on_process_suspended(now);
        }
        task->tick(now);
    }
    const auto attaches = attaches_;
    for (const auto& each : attaches) {
        each->tick(now);
    }
    if (now - last_expiry_ > expiry_interval) {
        last_expiry_ = now;
        store_.expire(now,
                      [this](const node_id& node) { return hub_.is_up(node); });
        drop_old_tasks(now);
    }
    check_idle();
    if (tasks_.empty() && attaches_.empty() && store_.size() == 0 &&
        !when_idle_) {
        tick_timer_.stop();
    }
}

void generation_service::impl::drop_old_tasks(time_point now)
{
    std::erase_if(tasks_, [&](const auto& entry) {
        const generation_task& task = *entry.second;
        if (!task.ended() ||
            now - *task.ended_at() < settings_.ended_retention) {
            return false;
        }
        if (!task.buddy().empty()) {
            hub_.send(task.buddy(),
                      generation_end{task.id(), task.state().epoch()});
        }
        return true;
    });
}

void generation_service::impl::needs_flush(generation_task& task)
{
    if (std::exchange(task.flush_pending, true)) {
        return;
    }
    dirty_tasks_.push_back(task.shared_from_this());
    if (!std::exchange(flush_posted_, true)) {
        post(&impl::flush);
    }
}

void generation_service::impl::flush()
{
    flush_posted_ = false;
    for (const auto& task : std::exchange(dirty_tasks_, {})) {
        task->flush_pending = false;
        task->flush();
    }
    for (const auto& key : std::exchange(dirty_sinks_, {})) {
        const auto found = remote_sinks_.find(key);
        if (found != remote_sinks_.end()) {
            found->second->flush_pending = false;
            found->second->flush();
        }
    }
    for (auto& [buddy, batches] : std::exchange(outgoing_, {})) {
        hub_.send(buddy, batches);
    }
}

void generation_service::impl::send_batch(const node_id& buddy,
                                          token_batch batch)
{
    outgoing_[buddy].items.push_back(std::move(batch));
}

void generation_service::impl::retire(std::unique_ptr<engine_stream> stream)
{
    retired_.push_back(std::move(stream));
    if (*alive_ && !std::exchange(cleanup_posted_, true)) {
        post(&impl::cleanup);
    }
}

void generation_service::impl::cleanup()
{
    cleanup_posted_ = false;
    retired_.clear();
    std::erase_if(attaches_, [](const auto& each) { return each->ended(); });
    std::erase_if(remote_sinks_, [](const auto& entry) {
        return entry.second.use_count() == 1;
    });
    check_idle();
}

std::vector<net::peer_info>
generation_service::impl::buddy_candidates(const request_id& id)
{
    auto peers = hub_.peers_up();
    if (settings_.is_gate) {
        std::erase_if(peers, [this](const net::peer_info& peer) {
            return !settings_.is_gate(peer.node);
        });
    }
    return rendezvous_order(id, std::move(peers), hub_.self().failure_domain);
}

void generation_service::impl::set_without_buddy(bool without_buddy)
{
    if (without_buddy && ++alone_ == 1) {
        log(log_events::released_without_copy);
    }
    if (!without_buddy && alone_ > 0 && --alone_ == 0) {
        log(log_events::copies_resumed);
    }
}

void generation_service::impl::ended(generation_task&)
{
    if (!std::exchange(cleanup_posted_, true)) {
        post(&impl::cleanup);
    }
}

void generation_service::impl::attach_ended(attach_task&)
{
    if (!std::exchange(cleanup_posted_, true)) {
        post(&impl::cleanup);
    }
}

generation_service::generation_service(net::event_loop& loop,
                                       net::link_hub& hub,
                                       net::http_client& client,
                                       engine_directory& directory,
                                       generation_options settings)
    : impl_(std::make_unique<impl>(loop, hub, client, directory,
                                   std::move(settings)))
{}

generation_service::~generation_service() = default;

result<request_id> generation_service::start(generation_request request,
                                             std::shared_ptr<token_sink> sink)
{
    return impl_->start(std::move(request), std::move(sink));
}

void generation_service::attach(const request_id& id, attach_point from,
                                std::shared_ptr<token_sink> sink)
{
    impl_->attach(id, from, std::move(sink));
}

void generation_service::detach(const request_id& id, const token_sink* sink)
{
    if (generation_task* task = impl_->find(id)) {
        task->detach(sink);
    }
    const auto attaches = impl_->attaches_;
    for (const auto& each : attaches) {
        if (each->sink() == sink) {
            each->close();
        }
    }
}

void generation_service::sink_ready(const request_id& id)
{
    if (generation_task* task = impl_->find(id)) {
        task->release();
    }
    const auto attaches = impl_->attaches_;
    for (const auto& each : attaches) {
        if (each->id() == id) {
            each->release();
        }
    }
}

void generation_service::cancel(const request_id& id)
{
    impl_->cancel(id);
}

bool generation_service::preempt(const request_id& id)
{
    generation_task* task = impl_->find(id);
    return task != nullptr && task->preempt();
}

bool generation_service::resume(const request_id& id)
{
    generation_task* task = impl_->find(id);
    return task != nullptr && task->resume_preempted();
}

std::size_t generation_service::running() const
{
    return impl_->running();
}

void generation_service::drain(std::function<void()> when_idle)
{
    impl_->draining_ = true;
    impl_->when_idle_ = std::move(when_idle);
    impl_->start_ticking();
    impl_->check_idle();
}

generation_counters generation_service::totals() const
{
    generation_counters out = impl_->counters_;
    out.copies_held = impl_->store_.size();
    out.copies_bytes = impl_->store_.bytes();
    return out;
}

} // namespace bamboogate::streaming
