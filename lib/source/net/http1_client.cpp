#include <bamboogate/net/http1_client.hpp>
#include <bamboogate/net/tcp_stream.hpp>

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <vector>

namespace bamboogate::net {

namespace {

/// Safety margin under the idle time that a server announces: the request
/// must arrive before the server closes.
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
    address where;
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
    std::uint64_t made = 0;

    impl(event_loop& l, options o) : loop(l), settings(o) {}

    std::shared_ptr<http1_client_connection> take_idle(const address& where)
    {
        const auto found = idle.find(where.text());
        if (found == idle.end()) {
            return nullptr;
        }
        const time_point now = loop.now();
        while (!found->second.empty()) {
            // The newest one is least likely to be near its end.
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
    bool head_request = false;
    std::unique_ptr<http1_response_reader> reader;
    header_list answer_headers;
    bool accepted = false;
    bool ended = false;
    bool was_kept = false;
    bool sent = false;
    timer connect_timer;

    impl(event_loop& loop, callbacks c)
        : handlers(std::move(c)), connect_timer(loop, [this] {
              fail_exchange(errc::connection_failed, false);
          })
    {}

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
                        answer_headers = head.headers;
                    },
                .on_body =
                    [this](std::string_view part) {
                        if (accepted && !ended) {
                            const auto handler = handlers.on_body;
                            handler(part);
                        }
                    }},
            head_request);
    }

    void send_request()
    {
        connect_timer.stop();
        sent = true;
        connection->stream->write(output);
    }

    void on_data(std::string_view bytes)
    {
        const auto self = shared_from_this();
        while (!bytes.empty() && !ended) {
            const auto taken = reader->read(bytes);
            if (ended) {
                return;
            }
            if (!taken) {
                fail_exchange(errc::malformed_input, false);
                return;
            }
            bytes.remove_prefix(taken.value());
            if (!reader->done()) {
                return;
            }
            if (accepted) {
                complete(bytes.empty());
                return;
            }
            // Someone else's answer: this request's own is still to come.
            if (!reader->keep_alive()) {
                fail_exchange(errc::connection_lost, false);
                return;
            }
            new_reader();
        }
    }

    void on_end(stream_end how)
    {
        const auto self = shared_from_this();
        if (ended) {
            return;
        }
        if (how == stream_end::closed && accepted && reader->read_end()) {
            complete(false);
            return;
        }
        const bool connected = sent;
        fail_exchange(connected ? errc::connection_lost
                                : errc::connection_failed,
                      how == stream_end::reset);
    }

    void complete(bool clean)
    {
        const auto self = shared_from_this();
        ended = true;
        const bool reusable =
            clean && reader->keep_alive() && !reader->ends_with_connection() &&
            connection->stream && connection->stream->queued_bytes() == 0;
        auto used = std::move(connection);
        if (const auto pool = client.lock(); pool && reusable) {
            pool->keep(std::move(used), answer_headers);
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
        connect_timer.stop();
        const http1_failure failure{.code = code,
                                    .request_sent = sent,
                                    .on_reused_connection = was_kept,
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

/// Connects the stream's events with whoever owns the connection now.
tcp_stream::callbacks
handlers_for(const std::shared_ptr<http1_client_connection>& connection)
{
    const std::weak_ptr<http1_client_connection> weak = connection;
    return {.on_connected =
                [weak] {
                    const auto self = weak.lock();
                    const auto owner = self ? self->owner.lock() : nullptr;
                    if (owner) {
                        owner->send_request();
                    }
                },
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
                    // Bytes that no request asked for: whatever follows on
                    // this connection cannot be trusted.
                    self->stream.reset();
                },
            .on_end =
                [weak](stream_end how) {
                    const auto self = weak.lock();
                    if (!self) {
                        return;
                    }
                    if (const auto owner = self->owner.lock()) {
                        owner->on_end(how);
                        return;
                    }
                    self->stream.reset();
                },
            .on_drained = nullptr};
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
    auto& list = idle[connection->where.text()];
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
    impl_->connect_timer.stop();
    if (impl_->connection) {
        impl_->connection->stream.reset();
    }
}

bool http1_client::exchange::request_sent() const
{
    return impl_->sent;
}

http1_client::http1_client(event_loop& loop, options settings)
    : impl_(std::make_shared<impl>(loop, settings))
{}

http1_client::~http1_client() = default;

std::unique_ptr<http1_client::exchange>
http1_client::start(const address& where, const request& what,
                    callbacks handlers)
{
    auto state =
        std::make_shared<exchange::impl>(impl_->loop, std::move(handlers));
    state->client = impl_;
    state->head_request = what.method == "HEAD";
    state->new_reader();
    state->output = serialize_request_head(what.method, what.target,
                                           what.headers, what.body.size());
    state->output.append(what.body);
    auto connection = what.fresh_connection ? nullptr : impl_->take_idle(where);
    if (connection) {
        connection->owner = state;
        state->connection = connection;
        state->was_kept = true;
        state->send_request();
        return std::make_unique<exchange>(state);
    }
    connection = std::make_shared<http1_client_connection>();
    connection->where = where;
    connection->owner = state;
    state->connection = connection;
    const auto descriptor = start_connect(where);
    if (!descriptor) {
        impl_->loop.post([weak = std::weak_ptr(state)] {
            if (const auto self = weak.lock()) {
                self->fail_exchange(errc::connection_failed, true);
            }
        });
        return std::make_unique<exchange>(state);
    }
    ++impl_->made;
    connection->stream = std::make_unique<tcp_stream>(
        impl_->loop, descriptor.value(), true, handlers_for(connection));
    state->connect_timer.start_once(impl_->settings.connect_timeout);
    return std::make_unique<exchange>(state);
}

void http1_client::close_idle_connections(const address& where)
{
    impl_->idle.erase(where.text());
}

std::uint64_t http1_client::connections_made() const
{
    return impl_->made;
}

std::size_t http1_client::idle_connections() const
{
    std::size_t count = 0;
    for (const auto& [where, list] : impl_->idle) {
        count += list.size();
    }
    return count;
}

} // namespace bamboogate::net
