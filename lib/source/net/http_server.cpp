#include <bamboogate/net/http_server.hpp>

#include <microhttpd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <set>
#include <vector>

namespace bamboogate::net {

namespace {

constexpr std::string_view too_large_body =
    R"({"error":{"type":"limit_exceeded","outcome":"refused",)"
    R"("message":"request body too large"}})";
constexpr std::string_view ambiguous_length_body =
    R"({"error":{"type":"malformed_input","outcome":"refused",)"
    R"("message":"the length of the body is ambiguous"}})";

/// A request whose length two parties could read differently lets one sender
/// smuggle a second request past the load balancer.
bool length_is_ambiguous(const http_headers& headers)
{
    const auto count = [&headers](std::string_view name) {
        return std::count_if(
            headers.begin(), headers.end(),
            [name](const auto& field) { return field.first == name; });
    };
    const auto lengths = count("content-length");
    return lengths > 1 || (lengths == 1 && count("transfer-encoding") > 0);
}

/// One daemon of the library with its share of the connections.
struct daemon_slot
{
    MHD_Daemon* daemon = nullptr;
    std::unique_ptr<io_watcher> watcher;
    bool has_resumed = false;
};

} // namespace

struct http_server::impl
{
    class exchange;

    event_loop& loop;
    options settings;
    handler function;
    address bound;
    int listener = -1;
    std::unique_ptr<io_watcher> accept_watcher;
    std::vector<daemon_slot> daemons;
    std::size_t next_daemon = 0;
    unsigned open_connections = 0;
    counters totals;
    timer housekeeping;
    timer flush_timer;
    std::vector<std::shared_ptr<exchange>> to_resume;
    std::set<exchange*> open_exchanges;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    impl(event_loop& l, const options& o, handler f)
        : loop(l), settings(o), function(std::move(f)),
          housekeeping(l, [this] { run_all(); }),
          flush_timer(l, [this] { flush(); })
    {}

    result<void> open();
    void close();
    void accept_connections();
    void run(daemon_slot& slot);
    void run_all();
    void flush();
    void schedule(std::shared_ptr<exchange> which);

    static MHD_Result on_access(void* cls, MHD_Connection* connection,
                                const char* url, const char* method,
                                const char* version, const char* upload,
                                std::size_t* upload_size, void** state);
    /// Paths are forwarded to upstreams, so they stay as the caller wrote them.
    static std::size_t keep_escapes(void*, MHD_Connection*, char* text)
    {
        return std::strlen(text);
    }
    static void on_completed(void* cls, MHD_Connection* connection,
                             void** state, MHD_RequestTerminationCode code);
    static void on_connection(void* cls, MHD_Connection* connection,
                              void** state,
                              MHD_ConnectionNotificationCode code);
};

/// The state of one request and its answer.
class http_server::impl::exchange
    : public responder,
      public std::enable_shared_from_this<http_server::impl::exchange>
{
public:
    exchange(impl& server, daemon_slot& slot, MHD_Connection* connection)
        : server_(&server), slot_(&slot), connection_(connection)
    {}

    ~exchange() override
    {
        if (response_ != nullptr) {
            MHD_destroy_response(response_);
        }
    }

    void respond(unsigned status, const http_headers& headers,
                 std::string body) override
    {
        if (connection_ == nullptr || response_ != nullptr) {
            return;
        }
        status_ = status;
        response_ = MHD_create_response_from_buffer(body.size(), body.data(),
                                                    MHD_RESPMEM_MUST_COPY);
        add_headers(headers);
        wake();
    }

    void begin_stream(unsigned status, const http_headers& headers) override
    {
        if (connection_ == nullptr || response_ != nullptr) {
            return;
        }
        status_ = status;
        constexpr std::size_t block_bytes = 4096;
        // The response keeps a reference until the library frees it.
        auto* keep = new std::shared_ptr<exchange>(shared_from_this());
        response_ = MHD_create_response_from_callback(
            MHD_SIZE_UNKNOWN, block_bytes, &exchange::on_read, keep,
            [](void* cls) {
                delete static_cast<std::shared_ptr<exchange>*>(cls);
            });
        add_headers(headers);
        wake();
    }

    void write(std::string_view bytes) override
    {
        if (connection_ == nullptr || finished_) {
            return;
        }
        output_.append(bytes);
        wake();
    }

    void finish() override
    {
        finished_ = true;
        wake();
    }

    void abort() override
    {
        aborted_ = true;
        finished_ = true;
        wake();
    }

    [[nodiscard]] std::size_t buffered() const override
    {
        return output_.size() - output_offset_;
    }

    [[nodiscard]] bool closed() const override
    {
        return connection_ == nullptr;
    }

    void on_closed(std::function<void(bool)> handler) override
    {
        if (connection_ == nullptr) {
            handler(complete_);
            return;
        }
        on_closed_ = std::move(handler);
    }

    void on_drained(std::function<void()> handler) override
    {
        on_drained_ = std::move(handler);
    }

    /// Handles one call of the library for this request.
    MHD_Result advance(const char* upload, std::size_t* upload_size)
    {
        if (server_ == nullptr) {
            return MHD_NO;
        }
        if (*upload_size > 0) {
            collect_body(upload, *upload_size);
            *upload_size = 0;
            return MHD_YES;
        }
        if (!dispatched_ && server_ != nullptr) {
            dispatched_ = true;
            dispatch();
        }
        if (aborted_ && response_ == nullptr) {
            return MHD_NO;
        }
        if (response_ == nullptr) {
            suspend();
            return MHD_YES;
        }
        return MHD_queue_response(connection_, status_, response_);
    }

    void resume()
    {
        resume_scheduled_ = false;
        if (!suspended_ || connection_ == nullptr) {
            return;
        }
        suspended_ = false;
        slot_->has_resumed = true;
        MHD_resume_connection(connection_);
    }

    void connection_ended(bool complete)
    {
        connection_ = nullptr;
        complete_ = complete;
        output_.clear();
        output_offset_ = 0;
        on_drained_ = nullptr;
        if (auto handler = std::exchange(on_closed_, nullptr)) {
            handler(complete);
        }
    }

    /// Breaks the connection now and forgets the server.
    void server_stopping()
    {
        aborted_ = true;
        finished_ = true;
        resume();
        server_ = nullptr;
    }

    http_request request;

private:
    static ssize_t on_read(void* cls, std::uint64_t, char* target,
                           std::size_t space)
    {
        const auto self = *static_cast<std::shared_ptr<exchange>*>(cls);
        return self->read(target, space);
    }

    ssize_t read(char* target, std::size_t space)
    {
        if (aborted_) {
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
        const std::size_t size = std::min(space, buffered());
        if (size == 0) {
            if (finished_) {
                return MHD_CONTENT_READER_END_OF_STREAM;
            }
            suspend();
            return 0;
        }
        std::memcpy(target, output_.data() + output_offset_, size);
        output_offset_ += size;
        if (output_offset_ == output_.size()) {
            output_.clear();
            output_offset_ = 0;
        }
        if (on_drained_ && server_ != nullptr) {
            // Answering code may call back into this object.
            server_->loop.post([self = shared_from_this()] {
                if (self->on_drained_) {
                    self->on_drained_();
                }
            });
        }
        return static_cast<ssize_t>(size);
    }

    void suspend()
    {
        suspended_ = true;
        MHD_suspend_connection(connection_);
    }

    void wake()
    {
        if (!suspended_ || resume_scheduled_ || server_ == nullptr ||
            connection_ == nullptr) {
            return;
        }
        resume_scheduled_ = true;
        server_->schedule(shared_from_this());
    }

    void collect_body(const char* bytes, std::size_t size)
    {
        if (too_large_ || server_ == nullptr) {
            return;
        }
        if (request.body.size() + size > server_->settings.max_body_bytes) {
            too_large_ = true;
            request.body.clear();
            request.body.shrink_to_fit();
            return;
        }
        request.body.append(bytes, size);
    }

    void dispatch()
    {
        ++server_->totals.requests;
        if (too_large_) {
            ++server_->totals.bodies_too_large;
            respond(MHD_HTTP_CONTENT_TOO_LARGE,
                    {{"content-type", "application/json"}},
                    std::string(too_large_body));
            return;
        }
        if (length_is_ambiguous(request.headers)) {
            respond(
                MHD_HTTP_BAD_REQUEST,
                {{"content-type", "application/json"}, {"connection", "close"}},
                std::string(ambiguous_length_body));
            return;
        }
        server_->function(request, shared_from_this());
        request.body = {};
    }

    void add_headers(const http_headers& headers)
    {
        for (const auto& [name, value] : headers) {
            MHD_add_response_header(response_, name.c_str(), value.c_str());
        }
    }

    impl* server_;
    daemon_slot* slot_;
    MHD_Connection* connection_;
    MHD_Response* response_ = nullptr;
    unsigned status_ = 0;
    std::string output_;
    std::size_t output_offset_ = 0;
    bool dispatched_ = false;
    bool suspended_ = false;
    bool resume_scheduled_ = false;
    bool finished_ = false;
    bool aborted_ = false;
    bool too_large_ = false;
    bool complete_ = false;
    std::function<void(bool)> on_closed_;
    std::function<void()> on_drained_;
};

result<void> http_server::impl::open()
{
    BOOST_OUTCOME_TRY(descriptor, listen_on(settings.listen_address));
    listener = descriptor;
    bound = local_address(listener);
    daemons.resize(std::max(1u, settings.daemons));
    for (auto& slot : daemons) {
        slot.daemon = MHD_start_daemon(
            MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_NO_LISTEN_SOCKET,
            0, nullptr, nullptr, &impl::on_access, this,
            MHD_OPTION_CONNECTION_LIMIT, settings.max_connections,
            MHD_OPTION_CONNECTION_MEMORY_LIMIT,
            settings.connection_memory_bytes, MHD_OPTION_CONNECTION_TIMEOUT,
            static_cast<unsigned>(to_seconds(settings.idle_timeout)),
            MHD_OPTION_UNESCAPE_CALLBACK, &impl::keep_escapes, nullptr,
            MHD_OPTION_NOTIFY_COMPLETED, &impl::on_completed, this,
            MHD_OPTION_NOTIFY_CONNECTION, &impl::on_connection, this,
            MHD_OPTION_END);
        if (slot.daemon == nullptr) {
            return fail(errc::internal, "libmicrohttpd did not start");
        }
        const auto* info =
            MHD_get_daemon_info(slot.daemon, MHD_DAEMON_INFO_EPOLL_FD);
        slot.watcher = std::make_unique<io_watcher>(
            loop, info->epoll_fd, [this, &slot](io_event) { run(slot); });
        slot.watcher->await(io_event::read);
    }
    accept_watcher = std::make_unique<io_watcher>(
        loop, listener, [this](io_event) { accept_connections(); });
    accept_watcher->await(io_event::read);
    // Connection timeouts are checked inside MHD_run.
    housekeeping.start_periodic(std::chrono::seconds(1));
    return outcome::success();
}

void http_server::impl::close()
{
    *alive = false;
    accept_watcher.reset();
    if (listener >= 0) {
        ::close(listener);
        listener = -1;
    }
    to_resume.clear();
    // The library ends the process when it is stopped with suspended
    // connections.
    for (exchange* each : open_exchanges) {
        each->server_stopping();
    }
    for (auto& slot : daemons) {
        slot.watcher.reset();
        if (slot.daemon != nullptr) {
            MHD_run(slot.daemon);
            MHD_stop_daemon(slot.daemon);
        }
    }
}

void http_server::impl::accept_connections()
{
    for (;;) {
        sockaddr_storage peer{};
        socklen_t length = sizeof peer;
        const int fd = accept4(listener, reinterpret_cast<sockaddr*>(&peer),
                               &length, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        if (open_connections >= settings.max_connections) {
            ++totals.connections_refused;
            ::close(fd);
            continue;
        }
        set_no_delay(fd);
        auto& slot = daemons[next_daemon++ % daemons.size()];
        if (MHD_add_connection(slot.daemon, fd,
                               reinterpret_cast<sockaddr*>(&peer),
                               length) != MHD_YES) {
            ++totals.connections_refused;
            continue;
        }
        ++totals.connections_accepted;
        slot.has_resumed = true;
        if (!flush_timer.active()) {
            loop.post([this, guard = alive] {
                if (*guard) {
                    flush();
                }
            });
        }
    }
}

void http_server::impl::run(daemon_slot& slot)
{
    MHD_run(slot.daemon);
    // The library may hold input that it has read already; its epoll
    // descriptor is silent about that.
    MHD_UNSIGNED_LONG_LONG timeout_ms = 0;
    if (MHD_get_timeout(slot.daemon, &timeout_ms) == MHD_YES &&
        timeout_ms == 0) {
        slot.has_resumed = true;
        if (!flush_timer.active()) {
            flush_timer.start_once(settings.flush_delay);
        }
    }
}

void http_server::impl::run_all()
{
    for (auto& slot : daemons) {
        run(slot);
    }
}

void http_server::impl::flush()
{
    flush_timer.stop();
    for (auto& each : std::exchange(to_resume, {})) {
        each->resume();
    }
    for (auto& slot : daemons) {
        if (std::exchange(slot.has_resumed, false)) {
            run(slot);
        }
    }
}

void http_server::impl::schedule(std::shared_ptr<exchange> which)
{
    to_resume.push_back(std::move(which));
    if (!flush_timer.active()) {
        flush_timer.start_once(settings.flush_delay);
    }
}

MHD_Result http_server::impl::on_access(void* cls, MHD_Connection* connection,
                                        const char* url, const char* method,
                                        const char*, const char* upload,
                                        std::size_t* upload_size, void** state)
{
    auto* self = static_cast<impl*>(cls);
    if (!*self->alive) {
        // A request that arrives during the stop would be suspended again.
        return MHD_NO;
    }
    if (*state != nullptr) {
        const auto which = *static_cast<std::shared_ptr<exchange>*>(*state);
        return which->advance(upload, upload_size);
    }
    const auto* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_DAEMON);
    const auto slot = std::find_if(
        self->daemons.begin(), self->daemons.end(),
        [info](const auto& s) { return s.daemon == info->daemon; });
    auto created = std::make_shared<exchange>(*self, *slot, connection);
    created->request.method = method;
    created->request.path = url;
    MHD_get_connection_values(
        connection, MHD_HEADER_KIND,
        [](void* target, MHD_ValueKind, const char* name, const char* value) {
            static_cast<http_request*>(target)->headers.add(
                name, value == nullptr ? "" : value);
            return MHD_YES;
        },
        &created->request);
    MHD_get_connection_values(
        connection, MHD_GET_ARGUMENT_KIND,
        [](void* target, MHD_ValueKind, const char* name, const char* value) {
            std::string& query = static_cast<http_request*>(target)->query;
            query += query.empty() ? "" : "&";
            query += name;
            if (value != nullptr) {
                query.append("=").append(value);
            }
            return MHD_YES;
        },
        &created->request);
    self->open_exchanges.insert(created.get());
    *state = new std::shared_ptr<exchange>(std::move(created));
    return MHD_YES;
}

void http_server::impl::on_completed(void* cls, MHD_Connection*, void** state,
                                     MHD_RequestTerminationCode code)
{
    auto* holder = static_cast<std::shared_ptr<exchange>*>(*state);
    if (holder == nullptr) {
        return;
    }
    *state = nullptr;
    static_cast<impl*>(cls)->open_exchanges.erase(holder->get());
    (*holder)->connection_ended(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    delete holder;
}

void http_server::impl::on_connection(void* cls, MHD_Connection*, void**,
                                      MHD_ConnectionNotificationCode code)
{
    auto* self = static_cast<impl*>(cls);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        ++self->open_connections;
        return;
    }
    --self->open_connections;
}

http_server::http_server(std::unique_ptr<impl> state) : impl_(std::move(state))
{}

http_server::~http_server()
{
    impl_->close();
}

result<std::unique_ptr<http_server>>
http_server::start(event_loop& loop, const options& settings, handler function)
{
    std::unique_ptr<http_server> server(new http_server(
        std::make_unique<impl>(loop, settings, std::move(function))));
    BOOST_OUTCOME_TRY(server->impl_->open());
    return server;
}

const address& http_server::bound_address() const noexcept
{
    return impl_->bound;
}

unsigned http_server::open_connections() const noexcept
{
    return impl_->open_connections;
}

std::size_t http_server::open_requests() const noexcept
{
    return impl_->open_exchanges.size();
}

http_server::counters http_server::totals() const noexcept
{
    return impl_->totals;
}

void http_server::stop_accepting()
{
    impl_->accept_watcher.reset();
    if (impl_->listener >= 0) {
        ::close(impl_->listener);
        impl_->listener = -1;
    }
}

} // namespace bamboogate::net
