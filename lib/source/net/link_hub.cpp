#include <bamboogate/net/link.hpp>
#include <bamboogate/net/link_hub.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <map>
#include <unordered_map>
#include <vector>

namespace bamboogate::net {

namespace {

/// Name under which replies, which carry no type, are counted.
constexpr std::string_view reply_type = "reply";

} // namespace

struct link_hub::impl
{
    struct target
    {
        address endpoint;
        std::unique_ptr<timer> reconnect_timer;
        link* current = nullptr;
    };

    struct pending_call
    {
        node_id peer;
        link* used_link = nullptr;
        std::unique_ptr<timer> deadline;
        reply_sink callback;
    };

    event_loop& loop;
    options settings;
    int listener = -1;
    std::unique_ptr<io_watcher> accept_watcher;
    std::vector<std::unique_ptr<link>> links;
    /// Links that are up, oldest first: messages use the first one, so that
    /// they keep their order while it lives.
    std::map<node_id, std::vector<link*>> by_peer;
    std::map<node_id, target> targets;
    std::unordered_map<std::string, handler> handlers;
    std::unordered_map<std::uint64_t, pending_call> calls;
    std::uint64_t next_call = 1;
    std::vector<std::function<void(const peer_info&, bool)>> observers;
    std::vector<std::function<void(const peer_info&, const link_end&)>>
        lost_observers;
    /// Messages of all links; bytes and counters of closed links only.
    traffic closed_totals;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    impl(event_loop& l, options o) : loop(l), settings(std::move(o)) {}

    link* add_link(link::side side, int descriptor,
                   const node_id& connecting_to)
    {
        auto slot = std::make_shared<link*>(nullptr);
        auto created = std::make_unique<link>(
            loop, settings, side, descriptor,
            settings.is_control && settings.is_control(connecting_to)
                ? loop_priority::control
                : loop_priority::normal,
            link::callbacks{
                .on_up = [this, slot] { on_up(*slot); },
                .on_message =
                    [this, slot](std::string_view m) { on_message(*slot, m); },
                .on_closed =
                    [this, slot, connecting_to](link::close_reason reason) {
                        on_closed(*slot, reason, connecting_to);
                    }});
        *slot = created.get();
        links.push_back(std::move(created));
        return links.back().get();
    }

    void accept_links()
    {
        for (;;) {
            const int fd = accept4(listener, nullptr, nullptr,
                                   SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            set_no_delay(fd);
            add_link(link::side::acceptor, fd, {});
        }
    }

    void connect_now(const node_id& peer)
    {
        const auto found = targets.find(peer);
        if (found == targets.end() || found->second.current != nullptr) {
            return;
        }
        auto fd = start_connect(found->second.endpoint);
        if (!fd) {
            found->second.reconnect_timer->start_once(
                settings.reconnect_interval);
            return;
        }
        found->second.current = add_link(link::side::dialer, fd.value(), peer);
    }

    void on_up(link* connection)
    {
        const peer_info peer = connection->peer();
        auto& up = by_peer[peer.node];
        // Links to an earlier incarnation of a restarted peer are stale.
        std::vector<link*> stale;
        for (link* other : up) {
            if (other->peer().incarnation < peer.incarnation) {
                stale.push_back(other);
            }
        }
        for (link* other : stale) {
            other->close(link::close_reason::dropped);
        }
        auto& current = by_peer[peer.node];
        current.push_back(connection);
        if (current.size() == 1) {
            notify(peer, true);
        }
    }

    void notify(const peer_info& peer, bool up)
    {
        for (const auto& observer : observers) {
            observer(peer, up);
        }
    }

    void on_closed(link* connection, link::close_reason reason,
                   const node_id& connecting_to)
    {
        closed_totals.bytes_sent += connection->bytes_sent();
        closed_totals.bytes_received += connection->bytes_received();
        closed_totals.links_closed_silent +=
            reason == link::close_reason::heartbeat_timeout ? 1 : 0;
        closed_totals.links_refused +=
            reason == link::close_reason::refused ? 1 : 0;
        remove_from_peer(connection, reason);
        fail_calls(connection);
        if (const auto found = targets.find(connecting_to);
            found != targets.end() && found->second.current == connection) {
            found->second.current = nullptr;
            found->second.reconnect_timer->start_once(
                settings.reconnect_interval);
        }
        // The link is on the call stack, so it is destroyed later.
        loop.post([this, connection, guard = alive] {
            if (*guard) {
                std::erase_if(links, [connection](auto& l) {
                    return l.get() == connection;
                });
            }
        });
    }

    void remove_from_peer(link* connection, link::close_reason reason)
    {
        const peer_info peer = connection->peer();
        const auto found = by_peer.find(peer.node);
        if (found == by_peer.end()) {
            return;
        }
        if (std::erase(found->second, connection) == 0 ||
            !found->second.empty()) {
            return;
        }
        by_peer.erase(found);
        const link_end end{name_of(reason),
                           loop.now() - connection->last_input()};
        for (const auto& observer : lost_observers) {
            observer(peer, end);
        }
        notify(peer, false);
    }

    void fail_calls(link* connection)
    {
        std::vector<std::uint64_t> lost;
        for (const auto& [id, call] : calls) {
            if (call.used_link == connection) {
                lost.push_back(id);
            }
        }
        for (const auto id : lost) {
            loop.post([this, id, guard = alive] {
                if (*guard) {
                    finish_call(id, fail(errc::connection_lost,
                                         "link closed before the reply"));
                }
            });
        }
    }

    void finish_call(std::uint64_t id, result<json> reply)
    {
        const auto found = calls.find(id);
        if (found == calls.end()) {
            return;
        }
        auto callback = std::move(found->second.callback);
        calls.erase(found);
        callback(std::move(reply));
    }

    link* link_to(const node_id& peer)
    {
        const auto found = by_peer.find(peer);
        return found == by_peer.end() ? nullptr : found->second.front();
    }

    bool send_on(link* connection, std::string_view type, message_kind kind,
                 std::uint64_t call_id, json body)
    {
        json envelope = json::array();
        envelope.push_back(type);
        envelope.push_back(static_cast<int>(kind));
        envelope.push_back(call_id);
        envelope.push_back(std::move(body));
        const std::string encoded = encode_cbor(envelope);
        if (!connection->send(encoded)) {
            return false;
        }
        ++closed_totals.messages_sent;
        count_sent(type.empty() ? reply_type : type, encoded.size());
        return true;
    }

    void count_sent(std::string_view type, std::size_t bytes)
    {
        auto& by_type = closed_totals.sent_by_type;
        auto found = by_type.find(type);
        if (found == by_type.end()) {
            found = by_type.emplace(type, message_traffic{}).first;
        }
        ++found->second.messages;
        found->second.bytes += bytes;
    }

    void on_message(link* connection, std::string_view bytes)
    {
        ++closed_totals.messages_received;
        auto decoded =
            decode_cbor(bytes, {.max_bytes = settings.max_frame_bytes});
        if (!decoded) {
            connection->close(link::close_reason::refused);
            return;
        }
        const json& envelope = decoded.value();
        const bool well_formed = envelope.is_array() && envelope.size() == 4 &&
                                 envelope[0].is_string() &&
                                 envelope[1].is_number_unsigned() &&
                                 envelope[2].is_number_unsigned();
        if (!well_formed) {
            connection->close(link::close_reason::refused);
            return;
        }
        const auto kind = envelope[1].get<unsigned>();
        const auto call_id = envelope[2].get<std::uint64_t>();
        if (kind == static_cast<unsigned>(message_kind::reply)) {
            finish_call(call_id, envelope[3]);
            return;
        }
        if (kind == static_cast<unsigned>(message_kind::error_reply)) {
            finish_call(call_id, read_error(envelope[3]));
            return;
        }
        dispatch(connection, envelope[0].get_ref<const std::string&>(), kind,
                 call_id, envelope[3]);
    }

    static result<json> read_error(const json& body)
    {
        if (!body.is_array() || body.size() != 2 ||
            !body[0].is_number_unsigned() || !body[1].is_string() ||
            body[0].get<unsigned>() > static_cast<unsigned>(errc::internal)) {
            return fail(errc::malformed_input, "error reply");
        }
        return fail(static_cast<errc>(body[0].get<std::uint16_t>()),
                    body[1].get<std::string>());
    }

    void dispatch(link* connection, const std::string& type, unsigned kind,
                  std::uint64_t call_id, const json& body)
    {
        const auto found = handlers.find(type);
        const bool wants_reply =
            kind == static_cast<unsigned>(message_kind::request);
        reply_sink sink = [](const result<json>&) {};
        if (wants_reply) {
            sink = [this, connection, call_id,
                    guard = alive](result<json> reply) {
                if (*guard) {
                    send_reply(connection, call_id, std::move(reply));
                }
            };
        }
        if (found == handlers.end()) {
            sink(fail(errc::not_found, "no handler for " + type));
            return;
        }
        // The handler may close the link that owns the peer's identity.
        const peer_info peer = connection->peer();
        found->second(peer, body, sink);
    }

    void send_reply(link* connection, std::uint64_t call_id, result<json> reply)
    {
        const bool exists = std::any_of(
            links.begin(), links.end(), [connection](const auto& l) {
                return l.get() == connection && l->up();
            });
        if (!exists) {
            return;
        }
        if (reply) {
            send_on(connection, "", message_kind::reply, call_id,
                    std::move(reply).value());
            return;
        }
        send_on(connection, "", message_kind::error_reply, call_id,
                json::array({static_cast<unsigned>(reply.error().code),
                             reply.error().detail}));
    }
};

link_hub::link_hub(event_loop& loop, options settings)
    : impl_(std::make_unique<impl>(loop, std::move(settings)))
{}

link_hub::~link_hub()
{
    *impl_->alive = false;
    impl_->observers.clear();
    impl_->lost_observers.clear();
    impl_->targets.clear();
    impl_->links.clear();
    if (impl_->listener >= 0) {
        impl_->accept_watcher.reset();
        ::close(impl_->listener);
    }
}

result<address> link_hub::listen(const address& endpoint)
{
    BOOST_OUTCOME_TRY(descriptor, listen_on(endpoint));
    impl_->listener = descriptor;
    impl_->accept_watcher = std::make_unique<io_watcher>(
        impl_->loop, impl_->listener,
        [this](io_event) { impl_->accept_links(); });
    impl_->accept_watcher->await(io_event::read);
    return local_address(impl_->listener);
}

void link_hub::add_peer(const node_id& peer, const address& endpoint)
{
    auto [entry, added] = impl_->targets.try_emplace(peer);
    if (!added && entry->second.endpoint == endpoint) {
        return;
    }
    entry->second.endpoint = endpoint;
    if (added) {
        entry->second.reconnect_timer = std::make_unique<timer>(
            impl_->loop, [this, peer] { impl_->connect_now(peer); });
    }
    impl_->connect_now(peer);
}

void link_hub::remove_peer(const node_id& peer)
{
    if (const auto target = impl_->targets.find(peer);
        target != impl_->targets.end()) {
        // A link that is still connecting is not in by_peer yet.
        link* outgoing = target->second.current;
        impl_->targets.erase(target);
        if (outgoing != nullptr) {
            outgoing->close(link::close_reason::dropped);
        }
    }
    const auto found = impl_->by_peer.find(peer);
    if (found == impl_->by_peer.end()) {
        return;
    }
    const auto links = found->second;
    for (link* each : links) {
        each->close(link::close_reason::dropped);
    }
}

void link_hub::flush()
{
    // A link that closes is destroyed later, see `on_closed`.
    for (std::size_t i = 0; i < impl_->links.size(); ++i) {
        if (impl_->links[i]->up()) {
            impl_->links[i]->flush_output();
        }
    }
}

void link_hub::on_peer_state(
    std::function<void(const peer_info&, bool up)> handler)
{
    impl_->observers.push_back(std::move(handler));
}

void link_hub::on_peer_lost(
    std::function<void(const peer_info&, const link_end&)> handler)
{
    impl_->lost_observers.push_back(std::move(handler));
}

bool link_hub::is_up(const node_id& peer) const
{
    return impl_->by_peer.contains(peer);
}

std::vector<peer_info> link_hub::peers_up() const
{
    std::vector<peer_info> out;
    out.reserve(impl_->by_peer.size());
    for (const auto& [node, links] : impl_->by_peer) {
        out.push_back(links.front()->peer());
    }
    return out;
}

const peer_info& link_hub::self() const noexcept
{
    return impl_->settings.identity;
}

link_hub::traffic link_hub::totals() const noexcept
{
    traffic out = impl_->closed_totals;
    for (const auto& each : impl_->links) {
        if (each->closed()) {
            continue;
        }
        out.bytes_sent += each->bytes_sent();
        out.bytes_received += each->bytes_received();
    }
    return out;
}

std::size_t link_hub::queued_bytes(const node_id& peer) const
{
    link* found = impl_->link_to(peer);
    return found == nullptr ? 0 : found->queued_bytes();
}

void link_hub::add_handler(std::string_view type, handler function)
{
    impl_->handlers.insert_or_assign(std::string(type), std::move(function));
}

bool link_hub::send_envelope(const node_id& peer, std::string_view type,
                             message_kind kind, std::uint64_t call_id,
                             json body)
{
    link* found = impl_->link_to(peer);
    return found != nullptr &&
           impl_->send_on(found, type, kind, call_id, std::move(body));
}

void link_hub::call_document(const node_id& peer, std::string_view type,
                             json body, duration deadline, reply_sink callback)
{
    link* used_link = impl_->link_to(peer);
    const std::uint64_t id = impl_->next_call++;
    auto& call = impl_->calls[id];
    call.peer = peer;
    call.used_link = used_link;
    call.callback = std::move(callback);
    call.deadline = std::make_unique<timer>(impl_->loop, [this, id] {
        impl_->finish_call(
            id, fail(errc::deadline_exceeded, "no reply within the deadline"));
    });
    call.deadline->start_once(deadline);
    if (used_link == nullptr ||
        !impl_->send_on(used_link, type, message_kind::request, id,
                        std::move(body))) {
        impl_->loop.post([this, id, guard = impl_->alive] {
            if (*guard) {
                impl_->finish_call(
                    id, fail(errc::connection_failed, "no link to the peer"));
            }
        });
    }
}

} // namespace bamboogate::net
