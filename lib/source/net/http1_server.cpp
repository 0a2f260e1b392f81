#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <limits>

#include "http1_connection.hpp"

namespace bamboogate::net {

namespace {

/// Input of pipelined requests that a connection buffers while it handles one.
constexpr std::size_t max_pending_bytes = 64u << 10;
/// Unsent output with which a connection reads its next request.
constexpr std::size_t max_unsent_bytes = 64u << 10;
/// Connections accepted before other sockets have their turn.
constexpr std::size_t max_accepted_at_once = 16;

} // namespace

std::string_view name_of(server_close cause)
{
    switch (cause) {
    case server_close::idle:
        return "idle";
    case server_close::draining:
        return "draining";
    case server_close::refused:
        return "refused";
    case server_close::answered:
        return "answered";
    }
    return "";
}

void http1_responder::respond(unsigned status, header_list headers,
                              std::string_view body)
{
    if (const auto connection = connection_.lock(); connection && !begun_) {
        begun_ = true;
        ended_ = true;
        connection->respond(status, std::move(headers), body);
    }
}

void http1_responder::begin_stream(unsigned status, std::string_view reason,
                                   header_list headers)
{
    if (const auto connection = connection_.lock(); connection && !begun_) {
        begun_ = true;
        connection->begin_stream(status, reason, std::move(headers));
    }
}

void http1_responder::write(std::string_view part)
{
    if (const auto connection = connection_.lock(); connection && !ended_) {
        connection->write(part);
    }
}

void http1_responder::finish()
{
    if (const auto connection = connection_.lock(); connection && !ended_) {
        ended_ = true;
        connection->finish();
    }
}

void http1_responder::abort()
{
    if (const auto connection = connection_.lock(); connection && !ended_) {
        ended_ = true;
        connection->abort();
    }
}

void http1_responder::on_client_disconnect(std::function<void()> observer)
{
    disconnect_observer_ = std::move(observer);
}

bool http1_responder::begun() const
{
    return begun_;
}

bool http1_responder::ended() const
{
    return ended_ || client_disconnected_;
}

std::size_t http1_responder::queued_bytes() const
{
    const auto connection = connection_.lock();
    return connection ? connection->queued_bytes() : 0;
}

http1_connection::http1_connection(http1_server::impl& server)
    : server_(server), reader_(server.settings.limits),
      timer_(server.loop, [this] { on_timeout(); }),
      number_(server.next_number++)
{}

void http1_connection::start(int descriptor)
{
    const std::weak_ptr<http1_connection> weak = weak_from_this();
    stream_ = std::make_unique<tcp_stream>(
        server_.loop, descriptor, false,
        tcp_stream::callbacks{.on_connected = nullptr,
                              .on_data =
                                  [weak](std::string_view bytes) {
                                      if (const auto self = weak.lock()) {
                                          self->on_data(bytes);
                                      }
                                  },
                              .on_end =
                                  [weak](stream_end) {
                                      if (const auto self = weak.lock()) {
                                          self->on_end();
                                      }
                                  },
                              .on_drained = nullptr},
        server_.unread_bytes);
    begin_idle();
}

void http1_connection::begin_idle()
{
    phase_ = phase::idle;
    idle_since_ = server_.loop.now();
    idle_allowed_ = server_.settings.idle_timeout;
    timer_.start_once(idle_allowed_);
}

void http1_connection::on_limits_changed()
{
    if (phase_ != phase::idle ||
        server_.settings.idle_timeout <= idle_allowed_) {
        return;
    }
    idle_allowed_ = server_.settings.idle_timeout;
    timer_.start_once(std::max(idle_since_ + idle_allowed_ - server_.loop.now(),
                               duration::zero()));
}

void http1_connection::on_drain()
{
    if (phase_ == phase::idle && !stream_->read_arrived()) {
        linger(server_close::draining);
    }
}

void http1_connection::on_data(std::string_view bytes)
{
    if (phase_ == phase::lingering) {
        note_discarded_input();
        return;
    }
    if (phase_ == phase::closed) {
        return;
    }
    if (phase_ == phase::handling) {
        hold_next_requests(bytes);
        if (pending_.size() > max_pending_bytes) {
            stream_->pause_input(true);
        }
        return;
    }
    if (!pending_.empty()) {
        pending_.append(bytes);
        bytes = {};
    }
    read_requests(bytes);
}

void http1_connection::read_requests(std::string_view bytes)
{
    const std::string_view input = pending_.empty() ? bytes : pending_;
    if (input.empty()) {
        return;
    }
    if (phase_ == phase::idle) {
        phase_ = phase::head;
        request_since_ = server_.loop.now();
        continue_sent_ = false;
        timer_.start_once(server_.settings.header_timeout);
    }
    const auto consumed = reader_.read(input);
    if (!consumed) {
        refuse(consumed.error());
        return;
    }
    // A copy, as `input` may be a part of `pending_`.
    pending_ = std::string(input.substr(consumed.value()));
    if (server_.memory) {
        server_.memory->note_progress(number_, consumed.value(),
                                      server_.loop.now());
    }
    if (admit()) {
        proceed();
    }
}

void http1_connection::proceed()
{
    if (phase_ == phase::head && reader_.has_head()) {
        phase_ = phase::body;
        // The whole body must arrive within the idle time-out.
        timer_.start_once(server_.settings.idle_timeout);
        if (reader_.expects_continue() && !reader_.done() && !continue_sent_) {
            continue_sent_ = true;
            stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
        }
    }
    if (reader_.done()) {
        dispatch_request();
    }
}

void http1_connection::dispatch_request()
{
    timer_.stop();
    phase_ = phase::handling;
    if (server_.memory) {
        server_.memory->note_complete(number_);
    }
    http1_request request = reader_.take();
    keep_alive_ = request.keep_alive;
    head_request_ = request.method == "HEAD";
    responder_ = std::make_shared<http1_responder>();
    responder_->connection_ = weak_from_this();
    ++server_.active;
    const auto function = server_.function;
    function(std::move(request), responder_);
}

void http1_connection::on_end()
{
    const auto self = shared_from_this();
    const http1_responder_ptr responder = responder_;
    close();
    if (responder && !responder->ended_) {
        responder->client_disconnected_ = true;
        if (const auto observer =
                std::exchange(responder->disconnect_observer_, {})) {
            observer();
        }
    }
}

void http1_connection::on_timeout()
{
    const auto self = shared_from_this();
    if (phase_ == phase::lingering) {
        on_linger_timeout();
        return;
    }
    // A time-out that expired while the process was busy must not discard
    // input that has arrived.
    if (stream_->read_arrived() &&
        (phase_ == phase::handling || timer_.active())) {
        return;
    }
    if (phase_ == phase::idle) {
        if (const auto since = stream_->blocked_since()) {
            const duration left =
                *since + server_.settings.unread_timeout - server_.loop.now();
            if (left > duration::zero()) {
                unread_at_timeout_ = true;
                timer_.start_once(std::min(left, idle_allowed_));
                return;
            }
        } else if (std::exchange(unread_at_timeout_, false)) {
            begin_idle();
            return;
        }
        linger(server_close::idle);
    } else if (phase_ == phase::head || phase_ == phase::body) {
        refuse({errc::deadline_exceeded, "request"});
    }
}

void http1_connection::refuse(const error& problem)
{
    unsigned status = 400;
    if (problem.code == errc::deadline_exceeded) {
        status = 408;
    } else if (problem.code == errc::limit_exceeded) {
        status = problem.detail == "body" ? 413 : 431;
    }
    refuse(status, {});
}

void http1_connection::refuse(unsigned status, header_list headers)
{
    keep_alive_ = false;
    headers.add("Content-Length", "0");
    headers.add("Connection", "close");
    const std::string head =
        serialize_response_head(status, reason_of(status), headers);
    stream_->write(head);
    linger(server_close::refused);
}

void http1_connection::add_connection_field(header_list& headers)
{
    close_announced_ = !keep_alive_ || server_.draining;
    if (close_announced_) {
        headers.add("Connection", "close");
    }
}

void http1_connection::respond(unsigned status, header_list headers,
                               std::string_view body)
{
    if (phase_ != phase::handling) {
        return;
    }
    headers.add("Content-Length", fmt::format("{}", body.size()));
    add_connection_field(headers);
    std::string out =
        serialize_response_head(status, reason_of(status), headers);
    if (!head_request_) {
        out.append(body);
    }
    stream_->write(out);
    end_exchange();
}

void http1_connection::begin_stream(unsigned status, std::string_view reason,
                                    header_list headers)
{
    if (phase_ != phase::handling) {
        return;
    }
    headers.add("Transfer-Encoding", "chunked");
    add_connection_field(headers);
    stream_->write(serialize_response_head(status, reason, headers));
}

void http1_connection::write(std::string_view part)
{
    if (phase_ != phase::handling || part.empty() || head_request_) {
        return;
    }
    if (stream_->queued_bytes() > server_.settings.max_queued_bytes) {
        const std::weak_ptr<http1_connection> weak = weak_from_this();
        server_.loop.post([weak] {
            if (const auto self = weak.lock()) {
                self->on_end();
            }
        });
        return;
    }
    stream_->write(fmt::format("{:x}\r\n{}\r\n", part.size(), part));
}

void http1_connection::finish()
{
    if (phase_ != phase::handling) {
        return;
    }
    if (!head_request_) {
        stream_->write("0\r\n\r\n");
    }
    end_exchange();
}

void http1_connection::abort()
{
    if (phase_ == phase::handling) {
        const auto self = shared_from_this();
        close();
    }
}

std::size_t http1_connection::queued_bytes() const
{
    return stream_ ? stream_->queued_bytes() : 0;
}

void http1_connection::end_exchange()
{
    --server_.active;
    responder_.reset();
    release_memory();
    if (close_announced_ || drops_next_requests_) {
        linger(server_close::answered);
        return;
    }
    begin_idle();
    if (stream_->queued_bytes() <= max_unsent_bytes) {
        read_next_request();
        return;
    }
    // Otherwise a client that sends requests and reads no response would let
    // the output grow without end.
    stream_->pause_input(true);
    const std::weak_ptr<http1_connection> weak = weak_from_this();
    stream_->when_output_below(max_unsent_bytes, [weak] {
        if (const auto self = weak.lock()) {
            self->read_next_request();
        }
    });
}

void http1_connection::read_next_request()
{
    if (phase_ != phase::idle) {
        return;
    }
    stream_->pause_input(false);
    if (server_.draining && pending_.empty()) {
        linger(server_close::draining);
        return;
    }
    if (pending_.empty()) {
        return;
    }
    // The next request is read from the event loop, so that responding from
    // inside a handler does not recurse.
    const std::weak_ptr<http1_connection> weak = weak_from_this();
    server_.loop.post([weak] {
        const auto self = weak.lock();
        if (self && self->phase_ == phase::idle) {
            self->read_requests({});
        }
    });
}

void http1_connection::linger(server_close cause)
{
    phase_ = phase::lingering;
    close_cause_ = cause;
    lingers_since_ = server_.loop.now();
    waits_for_room_ = false;
    std::string().swap(pending_);
    reader_.reset();
    release_memory();
    stream_->pause_input(false);
    stream_->shutdown_output();
    linger_queued_ = stream_->queued_bytes();
    timer_.start_once(server_.settings.linger_timeout);
}

void http1_connection::note_discarded_input()
{
    if (std::exchange(input_discarded_, true) ||
        !server_.settings.on_discarded_input) {
        return;
    }
    server_.settings.on_discarded_input(
        {.cause = close_cause_,
         .after_close = server_.loop.now() - lingers_since_});
}

void http1_connection::close()
{
    if (phase_ == phase::closed) {
        return;
    }
    if (responder_) {
        --server_.active;
        responder_.reset();
    }
    phase_ = phase::closed;
    timer_.stop();
    release_memory();
    stream_.reset();
    server_.remove(this);
}

void http1_server::impl::accept_connections(std::size_t limit)
{
    for (std::size_t i = 0; i < limit; ++i) {
        const int fd =
            accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            // The listener stays ready, so that the loop would not rest.
            const bool full = errno == EMFILE || errno == ENFILE;
            if (full && close_one_connection()) {
                continue;
            }
            return;
        }
        if (connections.size() >= settings.max_connections &&
            !close_one_connection()) {
            refuse_connection(fd);
            continue;
        }
        set_no_delay(fd);
        connections.push_back(std::make_shared<http1_connection>(*this));
        connections.back()->start(fd);
    }
}

void http1_server::impl::remove(const http1_connection* connection)
{
    const auto found = std::find_if(
        connections.begin(), connections.end(),
        [&](const auto& each) { return each.get() == connection; });
    if (found == connections.end()) {
        return;
    }
    // The connection may be on the call stack, so it is destroyed later.
    loop.post([held = std::move(*found)] {});
    *found = std::move(connections.back());
    connections.pop_back();
}

http1_server::http1_server(std::unique_ptr<impl> state)
    : impl_(std::move(state))
{}

result<std::unique_ptr<http1_server>>
http1_server::start(event_loop& loop, options settings, handler function)
{
    BOOST_OUTCOME_TRY(listener, listen_on(settings.listen_address));
    auto state = std::make_unique<impl>(
        impl{loop, std::move(settings), std::move(function)});
    state->limit_memory();
    state->listener = listener;
    state->watcher = std::make_unique<io_watcher>(
        loop, listener, [raw = state.get()](io_event) {
            raw->accept_connections(max_accepted_at_once);
        });
    state->watcher->await(io_event::read);
    return std::unique_ptr<http1_server>(new http1_server(std::move(state)));
}

http1_server::~http1_server()
{
    impl_->watcher.reset();
    if (impl_->listener >= 0) {
        ::close(impl_->listener);
    }
    impl_->connections.clear();
}

void http1_server::stop_listening()
{
    if (impl_->listener < 0) {
        return;
    }
    impl_->accept_connections(std::numeric_limits<std::size_t>::max());
    impl_->watcher.reset();
    ::close(std::exchange(impl_->listener, -1));
}

void http1_server::change_limits(http1_limits limits, duration header_timeout,
                                 duration idle_timeout)
{
    impl_->settings.limits = limits;
    impl_->settings.header_timeout = header_timeout;
    impl_->settings.idle_timeout = idle_timeout;
    for (const auto& each : impl_->connections) {
        each->on_limits_changed();
    }
}

void http1_server::begin_drain()
{
    impl_->draining = true;
    const auto connections = impl_->connections;
    for (const auto& each : connections) {
        each->on_drain();
    }
}

address http1_server::bound_address() const
{
    return local_address(impl_->listener);
}

std::size_t http1_server::active_requests() const
{
    return impl_->active;
}

std::size_t http1_server::connections() const
{
    return impl_->connections.size();
}

} // namespace bamboogate::net
