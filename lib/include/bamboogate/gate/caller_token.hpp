#ifndef BAMBOOGATE_GATE_CALLER_TOKEN_HPP
#define BAMBOOGATE_GATE_CALLER_TOKEN_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/result.hpp>
#include <bamboogate/core/secret.hpp>

#include <string>
#include <string_view>

namespace bamboogate::gate {

/// @brief The id of a generation that is given to its caller: the request id
///     and an HMAC that binds it to the client account. Every gate can verify
///     it without a look-up, and no other account can use it. Thread safe.
[[nodiscard]] std::string caller_token(const request_id& request,
                                       const client_account_id& account,
                                       const secret& shared_secret);

/// @brief Verifies a caller token and returns its request id.
/// @return `permission_denied` when the token is not for this account, or
///     `invalid_argument` when it is malformed. Thread safe.
[[nodiscard]] result<request_id>
check_caller_token(std::string_view token, const client_account_id& account,
                   const secret& shared_secret);

} // namespace bamboogate::gate

#endif
