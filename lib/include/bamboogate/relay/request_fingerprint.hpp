#ifndef BAMBOOGATE_RELAY_REQUEST_FINGERPRINT_HPP
#define BAMBOOGATE_RELAY_REQUEST_FINGERPRINT_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/net/http1.hpp>
#include <bamboogate/relay/protocol.hpp>

#include <string>
#include <string_view>

namespace bamboogate::relay {

/// @brief Identifies requests that are the same to an upstream: method, target,
///     client account, prompt and body. Other header fields, which differ in
///     each attempt of a caller, have no influence.
/// @return a cryptographic hash, so that no caller can find a request with the
///     fingerprint of another one. It differs from the id of every prompt part.
///     Thread safe.
[[nodiscard]] std::string
request_fingerprint(const net::http1_request& request,
                    const request_description& description,
                    const client_account_id& account);

/// @brief Tells a fingerprint from the id of a prompt part. Thread safe.
[[nodiscard]] bool is_request_fingerprint(std::string_view text);

} // namespace bamboogate::relay

#endif
