#include <bamboogate/net/http1_client.hpp>
#include <bamboogate/net/tcp_stream.hpp>

#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace bamboogate::net {

namespace {

/// Part of a shared body that is copied to the output of its connection.
constexpr std::size_t body_part_bytes = 64u << 10;

/// Subtracted from the idle time that a server announces: a request must arrive
/// before the server closes the connection.
constexpr duration keep_alive_margin = std::chrono::milliseconds(500);

std::optional<duration> announced_idle_time(const header_list& headers)
{
    const auto value = headers.find("Keep-Alive");
    if (!value) {
        return std::nullopt;
    }
    constexpr std::string_view key = "timeout=";
    const auto at = value->find(key);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    unsigned seconds = 0;
    const char* begin = value->data() + at + key.size();
    const auto [end, problem] =
        std::from_chars(begin, value->data() + value->size(), seconds);
    if (problem != std::errc() || end == begin) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

} // namespace

/// One connection to a server; serves one exchange at a time.
struct http1_client_connection
{
    address server;
    network_path path;
    std::unique_ptr<tcp_stream> stream;
    std::weak_ptr<http1_client::exchange::impl> owner;
    time_point idle_until;
};

struct http1_client::impl : std::enable_shared_from_this<impl>
{
    event_loop& loop;
    options settings;
    std::map<std::string, std::vector<std::shared_ptr<http1_client_connection>>>
        idle;
    std::set<exchange::impl*> exchanges; ///< whose request was sent
    time_point last_direct_input{};
    std::shared_ptr<std::size_t> unsent_bytes =
        std::make_shared<std::size_t>(0);
    path_dialer direct_dialer;
    path_dialer& dialer;

    impl(event_loop& l, options o)
        : loop(l), settings(o),
          direct_dialer(l, {.connect_timeout = o.connect_timeout}),
          dialer(o.dialer != nullptr ? *o.dialer : direct_dialer)
    {}

    std::shared_ptr<http1_client_connection> take_idle(const address& server)
    {
        const auto found = idle.find(server.text());
        if (found == idle.end()) {
            return nullptr;
        }
        const time_point now = loop.now();
        while (!found->second.empty()) {
            // The most recently used connection is the least likely to be
            // closed soon.
            auto connection = std::move(found->second.back());
            found->second.pop_back();
            if (connection->stream && now < connection->idle_until) {
                return connection;
            }
        }
        return nullptr;
    }

    void keep(std::shared_ptr<http1_client_connection> connection,
              const header_list& headers);
};

struct http1_client::exchange::impl
    : std::enable_shared_from_this<http1_client::exchange::impl>
{
    std::weak_ptr<http1_client::impl> client;
    std::shared_ptr<http1_client_connection> connection;
    callbacks handlers;
    std::string output;
    /// Follows `output`; null if that holds the body.
    std::shared_ptr<const std::string> shared_body;
    std::size_t body_bytes_sent = 0; ///< of `shared_body`
    bool head_request = false;
    std::unique_ptr<http1_response_reader> reader;
    header_list response_headers;
    bool accepted = false;
    bool ended = false;
    bool reused = false;
    bool sent = false;
    bool reuse_allowed = true;
    std::size_t max_body_bytes = std::numeric_limits<std::size_t>::max();
    std::size_t max_discarded_bytes = 0;
    std::size_t body_bytes = 0;
    std::size_t discarded_bytes = 0;
    std::unique_ptr<path_dialer::dial> dial; ///< until it is connected
    time_point last_input{};                 ///< or when the request was sent
    event_loop& loop;
    duration send_timeout{};
    timer send_timer; ///< while a part of the request is unsent

    impl(event_loop& l, callbacks c)
        : handlers(std::move(c)), loop(l),
          send_timer(l, [this] { check_sending(); })
    {}

    ~impl() { untrack(); }

    void untrack()
    {
        if (const auto owner = client.lock()) {
            owner->exchanges.erase(this);
        }
    }

    void new_reader()
    {
        accepted = false;
        reader = std::make_unique<http1_response_reader>(
            http1_response_reader::callbacks{
                .on_head =
                    [this](const http1_response_head& head) {
                        // The handler may cancel this exchange, which
                        // clears `handlers`.
                        const auto handler = handlers.on_head;
                        accepted = !ended && handler(head);
                        response_headers = head.headers;
                    },
                .on_body =
                    [this](std::string_view part) {
                        if (!accepted || ended) {
                            return;
                        }
                        body_bytes += part.size();
                        if (body_bytes > max_body_bytes) {
                            fail_exchange(errc::limit_exceeded, false);
                            return;
                        }
                        const auto handler = handlers.on_body;
                        handler(part);
                    }},
            head_request);
    }

    void send_request()
    {
        dial.reset();
        sent = true;
        last_input = loop.now();
        if (const auto owner = client.lock()) {
            owner->exchanges.insert(this);
        }
        connection->stream->write(std::exchange(output, {}));
        send_body();
        check_sending();
    }

    [[nodiscard]] bool body_sent() const
    {
        return !shared_body || body_bytes_sent == shared_body->size();
    }

    /// Sends the shared body as far as the socket accepts it.
    void send_body()
    {
        tcp_stream& stream = *connection->stream;
        while (!body_sent() && stream.connected() &&
               stream.queued_bytes() == 0) {
            const auto part = std::string_view(*shared_body)
                                  .substr(body_bytes_sent, body_part_bytes);
            body_bytes_sent += part.size();
            stream.write(part);
        }
    }

    void check_sending()
    {
        const auto since = connection && connection->stream
                               ? connection->stream->blocked_since()
                               : std::nullopt;
        if (!since) {
            return;
        }
        const duration left = *since + send_timeout - loop.now();
        if (left <= duration::zero()) {
            fail_exchange(errc::connection_lost, false);
            return;
        }
        send_timer.start_once(left);
    }

    void on_data(std::string_view bytes)
    {
        const auto self = shared_from_this();
        last_input = loop.now();
        if (const auto owner = client.lock();
            owner && connection && connection->path.direct()) {
            owner->last_direct_input = last_input;
        }
        while (!bytes.empty() && !ended) {
            const auto consumed = reader->read(bytes);
            if (ended) {
                return;
            }
            if (!consumed) {
                fail_exchange(consumed.error().code, false);
                return;
            }
            discarded_bytes += accepted ? 0 : consumed.value();
            if (discarded_bytes > max_discarded_bytes) {
                fail_exchange(errc::limit_exceeded, false);
                return;
            }
            bytes.remove_prefix(consumed.value());
            if (!reader->done()) {
                return;
            }
            if (accepted) {
                complete(bytes.empty());
                return;
            }
            // The response belongs to another request; this request's own
            // follows.
            if (!reader->keep_alive()) {
                fail_exchange(errc::connection_lost, false);
                return;
            }
            new_reader();
        }
    }

    void on_end(stream_end reason)
    {
        const auto self = shared_from_this();
        if (ended) {
            return;
        }
        // An answer that ends before the server has received the request may
        // be cut, and the end of a process between closes its tunnels like the
        // end of an answer.
        const bool may_be_complete =
            reason == stream_end::closed && connection->path.direct();
        if (may_be_complete && accepted && reader->read_end()) {
            complete(false);
            return;
        }
        const bool connected = sent;
        fail_exchange(connected ? errc::connection_lost
                                : errc::connection_failed,
                      reason == stream_end::reset);
    }

    void complete(bool clean)
    {
        const auto self = shared_from_this();
        ended = true;
        untrack();
        // A server may respond before it has read the body, the rest of which
        // would be taken for the next request.
        const bool reusable =
            clean && body_sent() && reuse_allowed && reader->keep_alive() &&
            !reader->ends_with_connection() && connection->stream &&
            connection->stream->connected() &&
            connection->stream->queued_bytes() == 0;
        send_timer.stop();
        auto used = std::move(connection);
        if (const auto pool = client.lock(); pool && reusable) {
            pool->keep(std::move(used), response_headers);
        } else {
            used->stream.reset();
        }
        const auto done = std::move(handlers.on_complete);
        handlers = {};
        done();
    }

    void fail_exchange(errc code, bool reset)
    {
        const auto self = shared_from_this();
        if (ended) {
            return;
        }
        ended = true;
        untrack();
        send_timer.stop();
        dial.reset();
        const http1_failure failure{.code = code,
                                    .request_sent = sent,
                                    .on_reused_connection = reused,
                                    .reset = reset};
        if (connection) {
            connection->stream.reset();
            connection.reset();
        }
        const auto handler = std::move(handlers.on_failure);
        handlers = {};
        handler(failure);
    }
};

namespace {

/// Forwards the stream's events to the exchange that owns the connection.
tcp_stream::callbacks
handlers_for(const std::shared_ptr<http1_client_connection>& connection)
{
    const std::weak_ptr<http1_client_connection> weak = connection;
    return {.on_connected = nullptr,
            .on_data =
                [weak](std::string_view bytes) {
                    const auto self = weak.lock();
                    if (!self) {
                        return;
                    }
                    if (const auto owner = self->owner.lock()) {
                        owner->on_data(bytes);
                        return;
                    }
                    // Unsolicited bytes: later responses on this connection
                    // could not be matched to requests.
                    self->stream.reset();
                },
            .on_end =
                [weak](stream_end reason) {
                    const auto self = weak.lock();
                    if (!self) {
                        return;
                    }
                    if (const auto owner = self->owner.lock()) {
                        owner->on_end(reason);
                        return;
                    }
                    self->stream.reset();
                },
            .on_drained =
                [weak] {
                    const auto self = weak.lock();
                    const auto owner = self ? self->owner.lock() : nullptr;
                    if (owner && owner->connection == self) {
                        owner->send_body();
                        owner->check_sending();
                    }
                }};
}

} // namespace

void http1_client::impl::keep(
    std::shared_ptr<http1_client_connection> connection,
    const header_list& headers)
{
    duration allowed = settings.max_idle;
    if (const auto announced = announced_idle_time(headers)) {
        allowed = std::min(allowed, *announced - keep_alive_margin);
    }
    auto& list = idle[connection->server.text()];
    const time_point now = loop.now();
    std::erase_if(list, [&](const auto& each) {
        return !each->stream || each->idle_until <= now;
    });
    if (allowed <= duration::zero() ||
        list.size() >= settings.max_idle_per_server) {
        connection->stream.reset();
        return;
    }
    connection->owner.reset();
    connection->stream->pause_input(false);
    connection->idle_until = now + allowed;
    list.push_back(std::move(connection));
}

http1_client::exchange::exchange(std::shared_ptr<impl> state)
    : impl_(std::move(state))
{}

http1_client::exchange::~exchange()
{
    impl_->ended = true;
    impl_->handlers = {};
    impl_->untrack();
    impl_->dial.reset();
    impl_->send_timer.stop();
    if (impl_->connection) {
        impl_->connection->stream.reset();
    }
}

void http1_client::exchange::read_arrived()
{
    // The handlers may destroy this exchange.
    const auto connection = impl_->connection;
    if (connection && connection->stream) {
        connection->stream->read_arrived();
    }
}

void http1_client::exchange::pause_reading()
{
    if (impl_->connection && impl_->connection->stream) {
        impl_->connection->stream->pause_input(true);
    }
}

void http1_client::exchange::resume_reading()
{
    if (impl_->connection && impl_->connection->stream) {
        impl_->connection->stream->pause_input(false);
    }
}

bool http1_client::exchange::request_sent() const
{
    return impl_->sent;
}

void http1_client::exchange::close_after_response()
{
    impl_->reuse_allowed = false;
}

http1_client::http1_client(event_loop& loop, options settings)
    : impl_(std::make_shared<impl>(loop, settings))
{}

http1_client::~http1_client() = default;

std::unique_ptr<http1_client::exchange>
http1_client::start(const address& server, const request& message,
                    callbacks handlers)
{
    auto state =
        std::make_shared<exchange::impl>(impl_->loop, std::move(handlers));
    state->client = impl_;
    state->head_request = message.method == "HEAD";
    state->max_body_bytes =
        message.max_body_bytes.value_or(state->max_body_bytes);
    state->max_discarded_bytes = impl_->settings.max_discarded_bytes;
    state->send_timeout = impl_->settings.send_timeout;
    state->new_reader();
    const std::string_view body = message.shared_body
                                      ? std::string_view(*message.shared_body)
                                      : message.body;
    state->output = serialize_request_head(message.method, message.target,
                                           message.headers, body.size());
    if (message.shared_body && body.size() > body_part_bytes) {
        state->shared_body = message.shared_body;
    } else {
        state->output.append(body);
    }
    auto connection =
        message.fresh_connection ? nullptr : impl_->take_idle(server);
    if (connection) {
        connection->owner = state;
        state->connection = connection;
        state->reused = true;
        state->send_request();
        return std::make_unique<exchange>(state);
    }
    connection = std::make_shared<http1_client_connection>();
    connection->server = server;
    connection->owner = state;
    state->connection = connection;
    const auto on_dialled =
        [weak = std::weak_ptr(state), connection,
         pool = std::weak_ptr(impl_)](const path_dialer::connection& dialled) {
            const auto self = weak.lock();
            const auto client = pool.lock();
            if (!self || !client) {
                if (dialled.descriptor >= 0) {
                    ::close(dialled.descriptor);
                }
                return;
            }
            if (dialled.descriptor < 0) {
                self->fail_exchange(errc::connection_failed,
                                    dialled.outcome == dial_result::refused);
                return;
            }
            connection->path = dialled.path;
            connection->stream = std::make_unique<tcp_stream>(
                client->loop, dialled.descriptor, false,
                handlers_for(connection), client->unsent_bytes);
            self->send_request();
        };
    state->dial = impl_->dialer.start(server, on_dialled);
    return std::make_unique<exchange>(state);
}

void http1_client::close_idle_connections(const address& server)
{
    impl_->idle.erase(server.text());
}

void http1_client::close_idle_paths(bool direct)
{
    for (auto& [server, list] : impl_->idle) {
        std::erase_if(list, [&](const auto& each) {
            return each->path.direct() == direct;
        });
    }
}

std::optional<address> http1_client::quiet_server(duration time) const
{
    const time_point limit = impl_->loop.now() - time;
    if (impl_->last_direct_input > limit) {
        return std::nullopt;
    }
    const exchange::impl* quietest = nullptr;
    for (const auto* each : impl_->exchanges) {
        const bool quiet =
            each->connection->path.direct() && each->last_input <= limit;
        if (quiet &&
            (quietest == nullptr || each->last_input < quietest->last_input)) {
            quietest = each;
        }
    }
    return quietest == nullptr ? std::nullopt
                               : std::optional(quietest->connection->server);
}

void http1_client::fail_quiet_exchanges(duration time)
{
    const time_point limit = impl_->loop.now() - time;
    std::vector<std::shared_ptr<exchange::impl>> quiet;
    for (auto* each : impl_->exchanges) {
        if (each->connection->path.direct() && each->last_input <= limit) {
            quiet.push_back(each->shared_from_this());
        }
    }
    for (const auto& each : quiet) {
        each->fail_exchange(errc::connection_lost, false);
    }
}

std::uint64_t http1_client::connections_made() const
{
    return impl_->dialer.connections_made();
}

std::size_t http1_client::unsent_bytes() const
{
    return *impl_->unsent_bytes;
}

std::size_t http1_client::idle_connections() const
{
    std::size_t count = 0;
    for (const auto& [server, list] : impl_->idle) {
        count += list.size();
    }
    return count;
}

} // namespace bamboogate::net
