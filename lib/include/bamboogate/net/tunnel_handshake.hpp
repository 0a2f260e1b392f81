#ifndef BAMBOOGATE_NET_TUNNEL_HANDSHAKE_HPP
#define BAMBOOGATE_NET_TUNNEL_HANDSHAKE_HPP

#include <bamboogate/core/secret.hpp>
#include <bamboogate/net/address.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bamboogate::net {

// The handshake of a tunnel: the server sends a nonce, the client a proof that
// it knows the shared secret, a space, the target and a line feed, and the
// server one byte. After `connected`, both pass bytes on unchanged.

/// Hexadecimal characters of the nonce.
inline constexpr std::size_t tunnel_nonce_chars = 32;
inline constexpr std::size_t max_tunnel_request_bytes = 160;

/// The server's last byte of the handshake.
enum class tunnel_reply : char
{
    connected = 'c',
    refused = 'r',     ///< the target refused the connection
    silent = 's',      ///< the target did not accept it in time
    unavailable = 'u', ///< the server opens no tunnel, or not to this target
};

/// @brief A new nonce. Thread safe.
[[nodiscard]] std::string make_tunnel_nonce();

/// @brief The client's part of the handshake. Thread safe.
[[nodiscard]] std::string make_tunnel_request(const secret& shared_secret,
                                              std::string_view nonce,
                                              const address& target);

/// @brief Checks a client's part of the handshake.
/// @param request without the line feed
/// @return the target; nothing if the proof is wrong or the target is no
///     address. Thread safe.
[[nodiscard]] std::optional<address>
read_tunnel_request(const secret& shared_secret, std::string_view nonce,
                    std::string_view request);

} // namespace bamboogate::net

#endif
