#include <bamboogate/net/path_dialer.hpp>
#include <bamboogate/net/tunnel_handshake.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <string>
#include <utility>

namespace bamboogate::net {

std::string_view name_of(dial_result outcome)
{
    switch (outcome) {
    case dial_result::connected:
        return "connected";
    case dial_result::refused:
        return "refused";
    case dial_result::silent:
        return "silent";
    case dial_result::unavailable:
        return "unavailable";
    }
    return "unknown";
}

struct path_dialer::dial::impl
    : std::enable_shared_from_this<path_dialer::dial::impl>
{
    event_loop& loop;
    const options& settings;
    const observers& functions;
    std::uint64_t& connections_made;
    address server;
    std::vector<network_path> paths;
    std::size_t current = 0;
    callback on_end;
    time_point started;
    std::optional<dial_result> server_outcome;
    network_path answered_path;
    int descriptor = -1;
    std::unique_ptr<io_watcher> watcher;
    timer path_timer;
    bool connecting = false;
    std::string input; ///< of the tunnel's handshake
    std::size_t expected = 0;
    bool replied = false; ///< the tunnel server told the server's result
    bool ended = false;

    impl(event_loop& l, const options& o, const observers& f,
         std::uint64_t& made, address to, std::vector<network_path> candidates,
         callback c)
        : loop(l), settings(o), functions(f), connections_made(made),
          server(std::move(to)), paths(std::move(candidates)),
          on_end(std::move(c)), started(l.now()),
          path_timer(l, [this] { finish_path(dial_result::silent); })
    {}

    ~impl() { close_descriptor(); }

    void close_descriptor()
    {
        watcher.reset();
        if (descriptor >= 0) {
            ::close(std::exchange(descriptor, -1));
        }
    }

    [[nodiscard]] const network_path& path() const { return paths[current]; }

    [[nodiscard]] duration time_for_path() const
    {
        if (paths.size() == 1 && path().direct()) {
            return settings.connect_timeout;
        }
        const duration left = started + settings.total_timeout - loop.now();
        const duration own =
            path().direct() ? settings.direct_timeout : settings.tunnel_timeout;
        return std::clamp<duration>(
            own, std::chrono::milliseconds(1),
            std::max<duration>(left, std::chrono::milliseconds(1)));
    }

    void begin_path()
    {
        connecting = true;
        input.clear();
        expected = tunnel_nonce_chars;
        replied = false;
        const auto opened = start_connect(path().via.value_or(server));
        if (!opened) {
            loop.post([weak = weak_from_this()] {
                if (const auto self = weak.lock()) {
                    self->finish_path(dial_result::refused);
                }
            });
            return;
        }
        descriptor = opened.value();
        path_timer.start_once(time_for_path());
        watcher =
            std::make_unique<io_watcher>(loop, descriptor, [this](io_event) {
                const auto self = shared_from_this();
                if (connecting) {
                    on_connected();
                } else {
                    on_readable();
                }
            });
        watcher->await(io_event::write);
    }

    void on_connected()
    {
        int problem = 0;
        socklen_t length = sizeof problem;
        ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &problem, &length);
        if (problem != 0) {
            finish_path(dial_result::refused);
            return;
        }
        connecting = false;
        if (path().direct()) {
            finish_path(dial_result::connected);
            return;
        }
        watcher->await(io_event::read);
    }

    void on_readable()
    {
        // No byte after the handshake may be read here.
        std::array<char, tunnel_nonce_chars> buffer{};
        const auto count =
            ::recv(descriptor, buffer.data(), expected - input.size(), 0);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (count <= 0) {
            finish_path(dial_result::unavailable);
            return;
        }
        input.append(buffer.data(), static_cast<std::size_t>(count));
        if (input.size() < expected) {
            return;
        }
        if (expected == 1) {
            on_reply(static_cast<tunnel_reply>(input.front()));
            return;
        }
        const std::string request =
            make_tunnel_request(settings.shared_secret, input, server);
        input.clear();
        expected = 1;
        // It is smaller than any socket buffer.
        if (::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) !=
            static_cast<ssize_t>(request.size())) {
            finish_path(dial_result::unavailable);
        }
    }

    void on_reply(tunnel_reply reply)
    {
        replied = true;
        switch (reply) {
        case tunnel_reply::connected:
            finish_path(dial_result::connected);
            return;
        case tunnel_reply::refused:
            finish_path(dial_result::refused);
            return;
        case tunnel_reply::silent:
            finish_path(dial_result::silent);
            return;
        case tunnel_reply::unavailable:
            break;
        }
        finish_path(dial_result::unavailable);
    }

    void finish_path(dial_result outcome)
    {
        const auto self = shared_from_this();
        if (ended) {
            return;
        }
        path_timer.stop();
        if (!path().direct() && !replied) {
            outcome = dial_result::unavailable;
        }
        const network_path tried = path();
        const bool first_answer = !server_outcome;
        if (outcome == dial_result::connected ||
            (outcome != dial_result::unavailable &&
             (first_answer || tried.direct()))) {
            server_outcome = outcome;
            answered_path = tried;
        }
        const bool connected = outcome == dial_result::connected;
        const int open = connected ? std::exchange(descriptor, -1) : -1;
        close_descriptor();
        connections_made += connected ? 1 : 0;
        const bool last = current + 1 == paths.size() ||
                          loop.now() - started >= settings.total_timeout;
        ended = connected || last;
        if (functions.on_result) {
            functions.on_result(server, tried, outcome);
        }
        if (!ended) {
            ++current;
            begin_path();
            return;
        }
        if (!on_end) {
            // Cancelled by the observer.
            if (open >= 0) {
                ::close(open);
            }
            return;
        }
        const auto handler = std::exchange(on_end, nullptr);
        handler({.outcome = server_outcome.value_or(dial_result::unavailable),
                 .descriptor = open,
                 .path = answered_path});
    }
};

path_dialer::dial::dial(std::shared_ptr<impl> state) : impl_(std::move(state))
{}

path_dialer::dial::~dial()
{
    impl_->ended = true;
    impl_->on_end = nullptr;
    impl_->path_timer.stop();
    impl_->close_descriptor();
}

path_dialer::path_dialer(event_loop& loop, options settings,
                         observers functions)
    : loop_(loop), settings_(std::move(settings)),
      observers_(std::move(functions))
{}

std::unique_ptr<path_dialer::dial> path_dialer::start(const address& server,
                                                      callback on_end)
{
    std::vector<network_path> paths;
    if (observers_.paths) {
        paths = observers_.paths(server);
    }
    if (paths.empty()) {
        paths.emplace_back();
    }
    return start(server, std::move(paths), std::move(on_end));
}

std::unique_ptr<path_dialer::dial>
path_dialer::start(const address& server, std::vector<network_path> paths,
                   callback on_end)
{
    auto state = std::make_shared<dial::impl>(
        loop_, settings_, observers_, connections_made_, server,
        std::move(paths), std::move(on_end));
    state->begin_path();
    return std::make_unique<dial>(std::move(state));
}

} // namespace bamboogate::net
