#ifndef BAMBOOGATE_NET_ADDRESS_HPP
#define BAMBOOGATE_NET_ADDRESS_HPP

#include <bamboogate/core/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace bamboogate::net {

/// An IP address and port. Host names are not resolved.
struct address
{
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const address&) const = default;

    /// @brief The form `host:port`, with brackets around an IPv6 address.
    [[nodiscard]] std::string text() const;
};

/// @brief Parses `host:port` or `[host]:port`.
/// @return `invalid_argument` unless the host is an IP address and the port is
///     within 0 to 65535. Thread safe.
[[nodiscard]] result<address> parse_address(std::string_view text);

/// @brief Opens a non-blocking listening socket with SO_REUSEADDR.
/// @param port 0 lets the system choose
/// @return the descriptor, owned by the caller, or `connection_failed`
[[nodiscard]] result<int> listen_on(const address& endpoint);

/// @brief Starts a non-blocking connect with Nagle's algorithm disabled.
/// @return the descriptor, owned by the caller, or `connection_failed`
[[nodiscard]] result<int> start_connect(const address& endpoint);

/// @brief The local address of a socket.
[[nodiscard]] address local_address(int descriptor);

/// @brief Disables Nagle's algorithm, so that small messages are sent
///     immediately.
void set_no_delay(int descriptor);

} // namespace bamboogate::net

#endif
