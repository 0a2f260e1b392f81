#ifndef BAMBOOGATE_NET_TUNNEL_SERVER_HPP
#define BAMBOOGATE_NET_TUNNEL_SERVER_HPP

#include <bamboogate/core/result.hpp>
#include <bamboogate/core/secret.hpp>
#include <bamboogate/core/time.hpp>
#include <bamboogate/net/address.hpp>
#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/path_dialer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace bamboogate::net {

/// Connects other processes of the system to servers that they cannot reach
/// themselves. It passes bytes on and knows nothing of requests: what may be
/// sent, and how often, stays with the client of the tunnel. A reset by the
/// target resets the tunnel, and the end of the client closes the target's
/// connection at once. Not thread safe.
class tunnel_server
{
public:
    struct options
    {
        address listen_address;
        secret shared_secret;
        /// Bounds memory and descriptors: a tunnel has two sockets and up to
        /// twice `max_queued_bytes` and one read.
        std::size_t max_tunnels = 128;
        /// Bytes that a slow receiver may leave in the tunnel, per direction.
        std::size_t max_queued_bytes = 32u << 10;
        duration handshake_timeout = std::chrono::milliseconds(500);
        /// Time for the target to accept; the longest round trip is 24 ms.
        duration connect_timeout = std::chrono::milliseconds(150);
        /// The address to connect to for a requested one; nothing if no tunnel
        /// may lead there. Unset: no tunnel is opened.
        std::function<std::optional<address>(const address&)> resolve;
        /// The result of each connection to a requested address; may be unset.
        std::function<void(const address&, dial_result)> on_target_result;
    };

    struct totals
    {
        std::uint64_t opened = 0;
        std::uint64_t refused = 0; ///< for lack of room, or not allowed
        std::uint64_t failed = 0;  ///< the target did not accept
    };

    /// @return `connection_failed` if the address can't be listened on
    [[nodiscard]] static result<std::unique_ptr<tunnel_server>>
    start(event_loop& loop, options settings);
    ~tunnel_server();
    tunnel_server(const tunnel_server&) = delete;
    tunnel_server& operator=(const tunnel_server&) = delete;

    /// @brief Opens no further tunnel and closes each one when it has passed on
    ///     no byte for the time, so that none is cut inside an answer. For a
    ///     planned stop.
    void begin_drain(duration quiet_time);

    /// @brief Number of tunnels, including those in the handshake.
    [[nodiscard]] std::size_t open_tunnels() const;
    [[nodiscard]] totals counts() const;
    [[nodiscard]] address bound_address() const;

private:
    struct impl;
    explicit tunnel_server(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

} // namespace bamboogate::net

#endif
