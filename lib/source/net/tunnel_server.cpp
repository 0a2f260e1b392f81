#include <bamboogate/net/tcp_stream.hpp>
#include <bamboogate/net/tunnel_handshake.hpp>
#include <bamboogate/net/tunnel_server.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bamboogate::net {

namespace {

/// Connections accepted before other sockets get their turn.
constexpr int max_accepts_per_turn = 16;
constexpr duration drain_check_interval = std::chrono::milliseconds(100);

} // namespace

struct tunnel_server::impl
{
    struct tunnel
    {
        std::string nonce = make_tunnel_nonce();
        std::string request;
        address requested;
        std::unique_ptr<tcp_stream> client;
        std::unique_ptr<tcp_stream> target;
        /// Limits the handshake, the connect and the end.
        std::unique_ptr<timer> deadline;
        bool open = false;
        bool ending = false; ///< the client gets its last bytes
        time_point last_byte;
    };

    event_loop& loop;
    options settings;
    int listener;
    io_watcher accept_watcher;
    timer drain_timer;
    duration quiet_time{};
    bool draining = false;
    std::map<std::uint64_t, tunnel> tunnels;
    std::uint64_t next_id = 1;
    totals counts;

    impl(event_loop& l, options o, int descriptor)
        : loop(l), settings(std::move(o)), listener(descriptor),
          accept_watcher(l, descriptor,
                         [this](io_event) { accept_connections(); }),
          drain_timer(l, [this] { close_quiet_tunnels(); })
    {
        accept_watcher.await(io_event::read);
    }

    ~impl()
    {
        accept_watcher.await(io_event::none);
        ::close(listener);
    }

    void accept_connections()
    {
        for (int i = 0; i < max_accepts_per_turn; ++i) {
            const int descriptor = ::accept4(listener, nullptr, nullptr,
                                             SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (descriptor < 0) {
                return;
            }
            if (draining || tunnels.size() >= settings.max_tunnels) {
                ++counts.refused;
                ::close(descriptor);
                continue;
            }
            set_no_delay(descriptor);
            add_tunnel(descriptor);
        }
    }

    void add_tunnel(int descriptor)
    {
        const std::uint64_t id = next_id++;
        tunnel& added = tunnels[id];
        added.last_byte = loop.now();
        added.client = std::make_unique<tcp_stream>(
            loop, descriptor, false,
            tcp_stream::callbacks{
                .on_connected = nullptr,
                .on_data =
                    [this, id](std::string_view bytes) {
                        on_client_data(id, bytes);
                    },
                // The client has left or has what it wants: the target is freed
                // at once.
                .on_end = [this, id](stream_end) { tunnels.erase(id); },
                .on_drained =
                    [this, id] {
                        tunnel& drained = tunnels.at(id);
                        if (drained.target) {
                            drained.target->pause_input(false);
                        }
                    }});
        added.deadline =
            std::make_unique<timer>(loop, [this, id] { on_deadline(id); });
        added.deadline->start_once(settings.handshake_timeout);
        added.client->write(added.nonce);
    }

    void on_client_data(std::uint64_t id, std::string_view bytes)
    {
        tunnel& used = tunnels.at(id);
        used.last_byte = loop.now();
        if (used.open) {
            if (used.target) {
                used.target->write(bytes);
                used.client->pause_input(used.target->queued_bytes() >
                                         settings.max_queued_bytes);
            }
            return;
        }
        used.request.append(bytes);
        const bool complete = used.request.ends_with('\n');
        if (used.target || used.ending ||
            used.request.size() > max_tunnel_request_bytes) {
            tunnels.erase(id);
            return;
        }
        if (complete) {
            used.request.pop_back();
            connect_target(id);
        }
    }

    void connect_target(std::uint64_t id)
    {
        tunnel& used = tunnels.at(id);
        const auto requested = read_tunnel_request(settings.shared_secret,
                                                   used.nonce, used.request);
        const auto target = requested && settings.resolve
                                ? settings.resolve(*requested)
                                : std::nullopt;
        if (!target) {
            ++counts.refused;
            reply_failure(id, tunnel_reply::unavailable);
            return;
        }
        used.requested = *requested;
        const auto descriptor = start_connect(*target);
        if (!descriptor) {
            fail_target(id, tunnel_reply::refused);
            return;
        }
        used.target = std::make_unique<tcp_stream>(
            loop, descriptor.value(), true,
            tcp_stream::callbacks{
                .on_connected = [this, id] { on_target_connected(id); },
                .on_data =
                    [this, id](std::string_view bytes) {
                        tunnel& receiving = tunnels.at(id);
                        receiving.last_byte = loop.now();
                        receiving.client->write(bytes);
                        receiving.target->pause_input(
                            receiving.client->queued_bytes() >
                            settings.max_queued_bytes);
                    },
                .on_end = [this, id](
                              stream_end reason) { on_target_end(id, reason); },
                .on_drained =
                    [this, id] { tunnels.at(id).client->pause_input(false); }});
        used.deadline->start_once(settings.connect_timeout);
    }

    void on_target_connected(std::uint64_t id)
    {
        tunnel& used = tunnels.at(id);
        used.open = true;
        used.deadline->stop();
        used.last_byte = loop.now();
        ++counts.opened;
        used.client->write(
            std::string(1, static_cast<char>(tunnel_reply::connected)));
        note_result(used.requested, dial_result::connected);
    }

    void fail_target(std::uint64_t id, tunnel_reply reply)
    {
        ++counts.failed;
        const address requested = tunnels.at(id).requested;
        reply_failure(id, reply);
        note_result(requested, reply == tunnel_reply::silent
                                   ? dial_result::silent
                                   : dial_result::refused);
    }

    void note_result(const address& requested, dial_result outcome) const
    {
        if (settings.on_target_result) {
            settings.on_target_result(requested, outcome);
        }
    }

    void on_target_end(std::uint64_t id, stream_end reason)
    {
        tunnel& used = tunnels.at(id);
        if (!used.open) {
            fail_target(id, tunnel_reply::refused);
            return;
        }
        if (reason == stream_end::reset) {
            // An answer that ends with its connection must not look complete.
            used.client->reset();
            tunnels.erase(id);
            return;
        }
        end(used);
    }

    void on_deadline(std::uint64_t id)
    {
        tunnel& used = tunnels.at(id);
        if (used.target && !used.open && !used.ending) {
            fail_target(id, tunnel_reply::silent);
            return;
        }
        // Destroyed later, because its timer is on the call stack.
        auto ended =
            std::make_shared<tunnel>(std::move(tunnels.extract(id).mapped()));
        loop.post([ended] {});
    }

    void reply_failure(std::uint64_t id, tunnel_reply reply)
    {
        tunnel& used = tunnels.at(id);
        used.client->write(std::string(1, static_cast<char>(reply)));
        end(used);
    }

    /// Closes the tunnel after its last bytes to the client.
    void end(tunnel& used)
    {
        used.target.reset();
        used.open = false;
        used.ending = true;
        used.client->shutdown_output();
        used.deadline->start_once(settings.handshake_timeout);
    }

    void close_quiet_tunnels()
    {
        const time_point now = loop.now();
        std::erase_if(tunnels, [&](const auto& each) {
            return now - each.second.last_byte >= quiet_time;
        });
        if (!tunnels.empty()) {
            drain_timer.start_once(drain_check_interval);
        }
    }
};

tunnel_server::tunnel_server(std::unique_ptr<impl> state)
    : impl_(std::move(state))
{}

tunnel_server::~tunnel_server() = default;

result<std::unique_ptr<tunnel_server>> tunnel_server::start(event_loop& loop,
                                                            options settings)
{
    BOOST_OUTCOME_TRY(descriptor, listen_on(settings.listen_address));
    return std::unique_ptr<tunnel_server>(new tunnel_server(
        std::make_unique<impl>(loop, std::move(settings), descriptor)));
}

void tunnel_server::begin_drain(duration quiet_time)
{
    impl_->draining = true;
    impl_->quiet_time = quiet_time;
    impl_->drain_timer.start_once(drain_check_interval);
}

std::size_t tunnel_server::open_tunnels() const
{
    return impl_->tunnels.size();
}

tunnel_server::totals tunnel_server::counts() const
{
    return impl_->counts;
}

address tunnel_server::bound_address() const
{
    return local_address(impl_->listener);
}

} // namespace bamboogate::net
