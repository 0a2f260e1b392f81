#include <bamboogate/streaming/log_events.hpp>

#include <algorithm>

#include "generation_service_impl.hpp"

namespace bamboogate::streaming {

using observability::log;

namespace {

// Shorter than `buddy_ack_timeout`, so that the owner does not replace the new
// buddy because a previous one is suspended.
constexpr duration handoff_deadline = std::chrono::milliseconds(200);

} // namespace

template <typename Message>
void generation_service::impl::handle(void (impl::*function)(const node_id&,
                                                             Message))
{
    using type = std::decay_t<Message>;
    hub_.on<type>([this, function, guard = alive_](const net::peer_info& peer,
                                                   type message) {
        if (*guard) {
            (this->*function)(peer.node, std::move(message));
        }
    });
}

void generation_service::impl::register_handlers()
{
    handle(&impl::on_copy);
    handle(&impl::on_batches);
    handle(&impl::on_end);
    handle(&impl::on_forward);
    handle(&impl::on_credit);
    hub_.on<token_acks>(
        [this, guard = alive_](const net::peer_info& peer, token_acks acks) {
            if (!*guard) {
                return;
            }
            for (const auto& ack : acks.items) {
                if (generation_task* task = find(ack.id)) {
                    task->on_ack(peer.node, ack);
                }
            }
        });
    hub_.on<copy_missing>([this, guard = alive_](const net::peer_info& peer,
                                                 copy_missing notice) {
        if (generation_task* task = *guard ? find(notice.id) : nullptr) {
            task->on_copy_missing(peer.node, notice);
        }
    });
    hub_.on<superseded>(
        [this, guard = alive_](const net::peer_info&, superseded notice) {
            if (generation_task* task = *guard ? find(notice.id) : nullptr) {
                task->on_superseded(notice);
            }
        });
    hub_.on<generation_cancel>(
        [this, guard = alive_](const net::peer_info&,
                               generation_cancel message) {
            if (*guard) {
                cancel_here(message.id);
            }
        });
    hub_.serve<attach_request, attach_reply>(
        [this, guard = alive_](const net::peer_info& peer,
                               attach_request request, auto reply) {
            if (*guard) {
                reply(on_attach(peer.node, request));
            }
        });
    hub_.serve<copy_handoff, copy_handoff_reply>([this, guard = alive_](
                                                     const net::peer_info&,
                                                     copy_handoff request,
                                                     auto reply) {
        if (*guard) {
            const std::uint64_t held =
                store_.release_copy(request.id, request.epoch);
            reply(copy_handoff_reply{std::max(held, known_epoch(request.id))});
        }
    });
    hub_.on_peer_state(
        [this, guard = alive_](const net::peer_info& peer, bool up) {
            if (*guard) {
                on_peer_state(peer.node, up);
            }
        });
}

std::uint64_t generation_service::impl::known_epoch(const request_id& id) const
{
    const generation_task* task = find(id);
    return task == nullptr ? 0 : task->state().epoch();
}

void generation_service::impl::send_reply(const node_id& to,
                                          const buddy_store::reply& reply)
{
    if (const auto* ack = std::get_if<token_ack>(&reply)) {
        hub_.send(to, token_acks{{*ack}});
    }
    if (const auto* notice = std::get_if<superseded>(&reply)) {
        hub_.send(to, *notice);
    }
    if (const auto* missing = std::get_if<copy_missing>(&reply)) {
        if (missing->full) {
            ++counters_.copies_refused;
            log(log_events::copy_refused, {{"owner", to.value()}});
        }
        hub_.send(to, *missing);
    }
}

void generation_service::impl::on_copy(const node_id& from,
                                       generation_copy copy)
{
    if (copy.history.empty()) {
        return;
    }
    const request_id id = copy.id;
    const std::uint64_t epoch = copy.history.back().epoch;
    if (generation_task* task = find(id)) {
        if (task->state().epoch() > epoch) {
            hub_.send(from, superseded{id, task->state().epoch()});
            return;
        }
        task->on_superseded({id, epoch});
    }
    std::vector<node_id> previous = copy.previous_buddies;
    std::erase_if(previous, [this](const node_id& node) {
        return node == hub_.self().node || !hub_.is_up(node);
    });
    const auto reply =
        store_.put(std::move(copy), from, previous.empty(), loop_.now());
    start_ticking();
    send_reply(from, reply);
    if (const held_copy* held = store_.find(id);
        held != nullptr && !held->confirmed) {
        ask_previous_buddies(from, id, epoch, std::move(previous));
    }
}

void generation_service::impl::ask_previous_buddies(
    const node_id& owner, const request_id& id, std::uint64_t epoch,
    std::vector<node_id> previous)
{
    const auto replies_pending = std::make_shared<std::size_t>(previous.size());
    for (const auto& node : previous) {
        hub_.call<copy_handoff, copy_handoff_reply>(
            node, {id, epoch}, handoff_deadline,
            [this, guard = alive_, owner, id, epoch,
             replies_pending](result<copy_handoff_reply> reply) {
                if (!*guard) {
                    return;
                }
                --*replies_pending;
                if (reply && reply.value().epoch > epoch) {
                    const std::uint64_t newer = reply.value().epoch;
                    store_.discard(id, epoch);
                    store_.record_epoch(id, newer, loop_.now());
                    hub_.send(owner, superseded{id, newer});
                    return;
                }
                // A gate that does not answer is unreachable for callers as
                // well.
                if (*replies_pending == 0) {
                    send_reply(owner, store_.confirm(id, epoch));
                }
            });
    }
}

void generation_service::impl::on_batches(const node_id& from,
                                          const token_batches& batches)
{
    token_acks acks;
    for (const auto& batch : batches.items) {
        if (const auto own = known_epoch(batch.id); own > batch.epoch) {
            hub_.send(from, superseded{batch.id, own});
            continue;
        }
        const auto reply = store_.append(batch, from, loop_.now());
        if (const auto* ack = std::get_if<token_ack>(&reply)) {
            acks.items.push_back(*ack);
            continue;
        }
        send_reply(from, reply);
    }
    if (!acks.items.empty()) {
        hub_.send(from, acks);
    }
}

void generation_service::impl::on_end(const node_id& from,
                                      const generation_end& message)
{
    const std::uint64_t newer =
        std::max(store_.release_copy(message.id, message.epoch),
                 known_epoch(message.id));
    if (newer > message.epoch) {
        hub_.send(from, superseded{message.id, newer});
    }
}

result<attach_reply>
generation_service::impl::on_attach(const node_id& from,
                                    const attach_request& request)
{
    const stream_key key{from, request.stream};
    const auto sink = std::make_shared<remote_sink>(
        hub_, request.id, from, request.stream, request.from_index,
        [this](remote_sink& dirty) {
            if (std::exchange(dirty.flush_pending, true)) {
                return;
            }
            dirty_sinks_.emplace_back(dirty.peer(), dirty.stream());
            if (!std::exchange(flush_posted_, true)) {
                post(&impl::flush);
            }
        });
    const attach_point point{request.from_index, request.epoch};
    BOOST_OUTCOME_TRY(
        attach_here(request.id, point, sink, request.may_take_over));
    remote_sinks_.insert_or_assign(key, sink);
    return attach_reply{known_epoch(request.id)};
}

void generation_service::impl::on_forward(const node_id& from,
                                          forward_tokens message)
{
    const auto attaches = attaches_;
    const auto receiver =
        std::find_if(attaches.begin(), attaches.end(), [&](const auto& each) {
            return !each->ended() && each->owner() == from &&
                   each->stream() == message.stream;
        });
    if (receiver != attaches.end()) {
        (*receiver)->on_forward(from, std::move(message));
        return;
    }
    // No task receives this stream any more, so the owner can close it.
    if (!message.failed && message.finish.reason.empty()) {
        hub_.send(from, forward_credit{.id = message.id,
                                       .stream = message.stream,
                                       .closed = true});
    }
}

void generation_service::impl::on_credit(const node_id& from,
                                         const forward_credit& message)
{
    const auto found = remote_sinks_.find({from, message.stream});
    if (found == remote_sinks_.end()) {
        return;
    }
    const auto sink = found->second;
    generation_task* task = find(sink->id());
    if (message.closed) {
        if (task != nullptr) {
            task->detach(sink.get());
        }
        remote_sinks_.erase(found);
        return;
    }
    sink->on_credit(message.next_index);
    if (task != nullptr) {
        task->release();
    }
}

void generation_service::impl::on_peer_state(const node_id& peer, bool up)
{
    std::vector<std::shared_ptr<generation_task>> tasks;
    for (const auto& [id, task] : tasks_) {
        tasks.push_back(task);
    }
    for (const auto& task : tasks) {
        if (up) {
            task->on_peer_up(peer);
        } else {
            task->on_peer_down(peer);
        }
    }
    if (up) {
        return;
    }
    std::erase_if(remote_sinks_, [&](const auto& entry) {
        if (entry.first.first != peer) {
            return false;
        }
        if (generation_task* task = find(entry.second->id())) {
            task->detach(entry.second.get());
        }
        return true;
    });
    const auto attaches = attaches_;
    for (const auto& each : attaches) {
        each->on_peer_down(peer);
    }
}

} // namespace bamboogate::streaming
