#include <bamboogate/net/http_client.hpp>
#include <bamboogate/net/http_syntax.hpp>

#include <curl/curl.h>

#include <algorithm>
#include <map>
#include <vector>

namespace bamboogate::net {

namespace {

// Small, to limit the memory that thousands of open streams need.
constexpr long receive_buffer_bytes = 4096;
/// Largest head of a response, interim responses included. A server in trouble
/// may send one without end.
constexpr std::size_t max_head_bytes = 64u << 10;

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos) {
        return {};
    }
    const auto last = text.find_last_not_of(" \t\r\n");
    return text.substr(first, last - first + 1);
}

errc to_errc(CURLcode code, bool request_sent)
{
    switch (code) {
    case CURLE_OPERATION_TIMEDOUT:
        return request_sent ? errc::deadline_exceeded : errc::connection_failed;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
        return errc::connection_failed;
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
        return errc::invalid_argument;
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_HTTP2:
        return errc::malformed_input;
    default:
        return errc::connection_lost;
    }
}

} // namespace

struct http_client::impl : std::enable_shared_from_this<http_client::impl>
{
    event_loop& loop;
    options settings;
    CURLM* multi = nullptr;
    timer timeout;
    std::map<curl_socket_t, std::unique_ptr<io_watcher>> watchers;
    std::map<std::uint64_t, std::unique_ptr<http_transfer>> detached;
    std::uint64_t next_detached = 0;
    /// Watchers to destroy outside their own callback.
    std::vector<std::unique_ptr<io_watcher>> retired;

    impl(event_loop& l, const options& o);
    ~impl();

    void on_socket_event(curl_socket_t socket, io_event events);
    void finish_transfers();

    static int socket_function(CURL*, curl_socket_t socket, int action,
                               void* self, void*);
    static int timer_function(CURLM*, long timeout_ms, void* self);
};

namespace {

class transfer : public http_transfer
{
public:
    transfer(std::shared_ptr<void> keep, CURLM* multi,
             http_client::request message, http_client::callbacks handlers,
             const http_client::options& settings)
        : keep_(std::move(keep)), multi_(multi), request_(std::move(message)),
          handlers_(std::move(handlers)), easy_(curl_easy_init())
    {
        set_request();
        set_callbacks();
        curl_easy_setopt(
            easy_, CURLOPT_MAXAGE_CONN,
            static_cast<long>(std::max(1., to_seconds(settings.max_idle))));
        curl_multi_add_handle(multi_, easy_);
    }

    ~transfer() override
    {
        remove();
        if (easy_ != nullptr) {
            curl_easy_cleanup(easy_);
        }
        curl_slist_free_all(header_list_);
    }

    void pause() override { paused_ = true; }

    void resume() override
    {
        if (!paused_) {
            return;
        }
        paused_ = false;
        if (in_callback_ || !added_) {
            return;
        }
        curl_easy_pause(easy_, CURLPAUSE_CONT);
    }

    void finish(CURLcode code)
    {
        long request_bytes = 0;
        curl_easy_getinfo(easy_, CURLINFO_REQUEST_SIZE, &request_bytes);
        remove();
        auto done = std::move(handlers_.on_done);
        if (!done) {
            return;
        }
        if (too_large_) {
            done(http_client::failure{
                {errc::limit_exceeded, "response too large"}, true});
            return;
        }
        if (malformed_) {
            done(http_client::failure{
                {errc::malformed_input, "invalid status or header field"},
                true});
            return;
        }
        // A server that has not received the request may have been lost.
        if (code == CURLE_OK && ends_with_connection() && !request_sent()) {
            done(http_client::failure{
                {errc::connection_lost,
                 "connection closed before the request was sent"},
                true});
            return;
        }
        if (code == CURLE_OK) {
            done(std::move(response_));
            return;
        }
        const bool sent = request_bytes > 0;
        done(http_client::failure{
            {to_errc(code, sent), curl_easy_strerror(code)}, sent});
    }

private:
    /// Whether only the end of the connection ends the response.
    [[nodiscard]] bool ends_with_connection() const
    {
        constexpr unsigned no_content = 204;
        constexpr unsigned not_modified = 304;
        return !framing_.states_end() && response_.status != no_content &&
               response_.status != not_modified;
    }

    /// Whether the socket has taken the whole request.
    [[nodiscard]] bool request_sent() const
    {
        curl_off_t sent = 0;
        curl_easy_getinfo(easy_, CURLINFO_SIZE_UPLOAD_T, &sent);
        return sent >= static_cast<curl_off_t>(request_.body.size());
    }

    void set_request()
    {
        curl_easy_setopt(easy_, CURLOPT_PRIVATE, this);
        curl_easy_setopt(easy_, CURLOPT_URL, request_.url.c_str());
        curl_easy_setopt(easy_, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
        curl_easy_setopt(easy_, CURLOPT_PROTOCOLS_STR, "http,https");
        curl_easy_setopt(easy_, CURLOPT_PROXY, "");
        curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
        curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy_, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(easy_, CURLOPT_BUFFERSIZE, receive_buffer_bytes);
        curl_easy_setopt(
            easy_, CURLOPT_CONNECTTIMEOUT_MS,
            static_cast<long>(to_milliseconds(request_.connect_timeout)));
        curl_easy_setopt(
            easy_, CURLOPT_TIMEOUT_MS,
            static_cast<long>(to_milliseconds(request_.total_timeout)));
        if (request_.fresh_connection) {
            curl_easy_setopt(easy_, CURLOPT_FRESH_CONNECT, 1L);
            curl_easy_setopt(easy_, CURLOPT_FORBID_REUSE, 1L);
        }
        if (!request_.body.empty() || request_.method == "POST") {
            curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, request_.body.c_str());
            curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE,
                             static_cast<curl_off_t>(request_.body.size()));
        }
        for (const auto& [name, value] : request_.headers) {
            std::string line = name;
            line.append(": ").append(value);
            header_list_ = curl_slist_append(header_list_, line.c_str());
        }
        // Otherwise libcurl waits for "100 Continue" before it sends large
        // bodies.
        header_list_ = curl_slist_append(header_list_, "Expect:");
        curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, header_list_);
    }

    void set_callbacks()
    {
        curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &transfer::on_write);
        curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
        curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, &transfer::on_header);
        curl_easy_setopt(easy_, CURLOPT_HEADERDATA, this);
    }

    void remove()
    {
        if (added_) {
            added_ = false;
            curl_multi_remove_handle(multi_, easy_);
        }
    }

    static std::size_t on_header(char* data, std::size_t size,
                                 std::size_t count, void* cls)
    {
        auto* self = static_cast<transfer*>(cls);
        self->head_bytes_ += size * count;
        if (self->head_bytes_ > max_head_bytes) {
            self->too_large_ = true;
            return 0;
        }
        self->parse_header({data, size * count});
        return self->malformed_ ? 0 : size * count;
    }

    /// Takes a line of the head or of the trailer, as it was received.
    void parse_header(std::string_view line)
    {
        const bool first = !std::exchange(in_head_, true);
        if (first && line.starts_with("HTTP/")) {
            response_ = {};
            framing_ = {};
            malformed_ = !is_status_code(status());
            return;
        }
        if (line == "\r\n" || line == "\n") {
            in_head_ = false;
            on_headers_complete();
            return;
        }
        // libcurl passes on any line. Without a colon, the end of the line is
        // part of the name.
        const auto colon = line.find(':');
        const auto name = line.substr(0, colon);
        const auto value = trim(line.substr(colon + 1));
        if (!is_field_name(name) || !is_field_value(value) ||
            !framing_.accept(name, value)) {
            malformed_ = true;
            return;
        }
        response_.headers.add(std::string(name), std::string(value));
    }

    [[nodiscard]] unsigned status() const
    {
        long code = 0;
        curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &code);
        return static_cast<unsigned>(code);
    }

    void on_headers_complete()
    {
        response_.status = status();
        constexpr unsigned first_final_status = 200;
        if (response_.status >= first_final_status && handlers_.on_headers) {
            in_callback_ = true;
            handlers_.on_headers(response_);
            in_callback_ = false;
        }
    }

    static std::size_t on_write(char* data, std::size_t size, std::size_t count,
                                void* cls)
    {
        auto* self = static_cast<transfer*>(cls);
        return self->append_body({data, size * count});
    }

    std::size_t append_body(std::string_view bytes)
    {
        if (paused_) {
            return CURL_WRITEFUNC_PAUSE;
        }
        if (handlers_.on_data) {
            in_callback_ = true;
            handlers_.on_data(bytes);
            in_callback_ = false;
            return bytes.size();
        }
        if (response_.body.size() + bytes.size() > request_.max_body_bytes) {
            too_large_ = true;
            return 0;
        }
        response_.body.append(bytes);
        return bytes.size();
    }

    std::shared_ptr<void> keep_;
    CURLM* multi_;
    http_client::request request_;
    http_client::callbacks handlers_;
    CURL* easy_;
    curl_slist* header_list_ = nullptr;
    http_client::response response_;
    bool added_ = true;
    bool paused_ = false;
    bool in_callback_ = false;
    bool too_large_ = false;
    bool malformed_ = false;
    bool in_head_ = false;
    framing_check framing_;
    std::size_t head_bytes_ = 0;
};

} // namespace

http_client::impl::impl(event_loop& l, const options& o)
    : loop(l), settings(o), multi(curl_multi_init()), timeout(l, [this] {
          int running = 0;
          curl_multi_socket_action(multi, CURL_SOCKET_TIMEOUT, 0, &running);
          finish_transfers();
      })
{
    curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &impl::socket_function);
    curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &impl::timer_function);
    curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS,
                      static_cast<long>(settings.max_idle_connections));
}

http_client::impl::~impl()
{
    curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, nullptr);
    curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, nullptr);
    curl_multi_cleanup(multi);
}

void http_client::impl::on_socket_event(curl_socket_t socket, io_event events)
{
    const int flags = (has(events, io_event::read) ? CURL_CSELECT_IN : 0) |
                      (has(events, io_event::write) ? CURL_CSELECT_OUT : 0);
    int running = 0;
    curl_multi_socket_action(multi, socket, flags, &running);
    finish_transfers();
}

void http_client::impl::finish_transfers()
{
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        const CURLcode code = message->data.result;
        transfer* finished = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &finished);
        finished->finish(code);
    }
    retired.clear();
}

int http_client::impl::socket_function(CURL*, curl_socket_t socket, int action,
                                       void* cls, void*)
{
    auto* self = static_cast<impl*>(cls);
    if (action == CURL_POLL_REMOVE) {
        const auto found = self->watchers.find(socket);
        if (found != self->watchers.end()) {
            found->second->await(io_event::none);
            self->retired.push_back(std::move(found->second));
            self->watchers.erase(found);
        }
        return 0;
    }
    auto& watcher = self->watchers[socket];
    if (!watcher) {
        watcher = std::make_unique<io_watcher>(
            self->loop, socket, [self, socket](io_event events) {
                self->on_socket_event(socket, events);
            });
    }
    watcher->await(action == CURL_POLL_IN    ? io_event::read
                   : action == CURL_POLL_OUT ? io_event::write
                                             : io_event::read_write);
    return 0;
}

int http_client::impl::timer_function(CURLM*, long timeout_ms, void* cls)
{
    auto* self = static_cast<impl*>(cls);
    if (timeout_ms < 0) {
        self->timeout.stop();
        return 0;
    }
    self->timeout.start_once(std::chrono::milliseconds(timeout_ms));
    return 0;
}

http_client::http_client(event_loop& loop) : http_client(loop, options{}) {}

http_client::http_client(event_loop& loop, const options& settings)
    : impl_(std::make_shared<impl>(loop, settings))
{}

http_client::~http_client()
{
    impl_->detached.clear();
}

std::unique_ptr<http_transfer> http_client::start(request message,
                                                  callbacks handlers)
{
    return std::make_unique<transfer>(impl_, impl_->multi, std::move(message),
                                      std::move(handlers), impl_->settings);
}

void http_client::start_detached(request message,
                                 std::function<void(outcome_type)> on_done)
{
    const std::uint64_t id = impl_->next_detached++;
    // The transfer is destroyed after its own callback has returned.
    auto finished = [state = impl_.get(), id,
                     on_done = std::move(on_done)](outcome_type result) {
        if (on_done) {
            on_done(std::move(result));
        }
        state->loop.post([weak = state->weak_from_this(), id] {
            if (auto alive = weak.lock()) {
                alive->detached.erase(id);
            }
        });
    };
    impl_->detached.emplace(
        id, start(std::move(message), {.on_headers = {},
                                       .on_data = {},
                                       .on_done = std::move(finished)}));
}

} // namespace bamboogate::net
