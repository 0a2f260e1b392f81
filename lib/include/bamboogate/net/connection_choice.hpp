#ifndef BAMBOOGATE_NET_CONNECTION_CHOICE_HPP
#define BAMBOOGATE_NET_CONNECTION_CHOICE_HPP

#include <bamboogate/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace bamboogate::net {

/// What a connection of a client is used for.
enum class connection_use : std::uint8_t
{
    idle,    ///< no byte of a request was received
    sending, ///< a request is being received
    closing, ///< all was answered; waits for the client to close
    serving, ///< a request is being handled
};

/// One of the connections of a server.
struct connection_state
{
    connection_use use = connection_use::idle;
    /// When it became idle or began to close, or when its request began.
    time_point since;
};

/// A client that needs longer than this to send its request may be closed for
/// another one.
inline constexpr duration slow_request_time = std::chrono::milliseconds(250);

/// @brief Chooses the connection that is closed for a new one when a server has
///     as many as it may: the one that is idle longest, else the one that waits
///     longest to be closed by its client, else the slowest to send a request.
///     Answers the load of clients that open connections and leave them idle or
///     send a request without ever ending it. Thread safe.
/// @return index of the connection; nothing if all serve requests or are
///     receiving one at an ordinary pace, so that the new connection is refused
[[nodiscard]] std::optional<std::size_t>
connection_to_close(std::span<const connection_state> connections,
                    time_point now);

} // namespace bamboogate::net

#endif
