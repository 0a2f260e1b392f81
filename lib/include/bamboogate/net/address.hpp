#ifndef BAMBOOGATE_NET_ADDRESS_HPP
#define BAMBOOGATE_NET_ADDRESS_HPP

#include <bamboogate/core/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace bamboogate::net {

/// An IP number and port. Names are not resolved.
struct address
{
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const address&) const = default;

    /// @brief The form `host:port`, with brackets around an IPv6 number.
    [[nodiscard]] std::string text() const;
};

/// @brief Reads `host:port` or `[host]:port`.
/// @return `invalid_argument` unless the host is an IP number and the port is
///     within 0 to 65535. Thread safe.
[[nodiscard]] result<address> parse_address(std::string_view text);

/// @brief Opens a non-blocking listening socket with address reuse.
/// @param port 0 lets the system choose
/// @return the descriptor, owned by the caller, or `connection_failed`
[[nodiscard]] result<int> listen_on(const address& where);

/// @brief Starts a non-blocking connect; Nagle's algorithm is off.
/// @return the descriptor, owned by the caller, or `connection_failed`
[[nodiscard]] result<int> start_connect(const address& where);

/// @brief The local address of a socket.
[[nodiscard]] address local_address(int descriptor);

/// @brief Turns Nagle's algorithm off, so that small messages leave at once.
void set_no_delay(int descriptor);

} // namespace bamboogate::net

#endif
