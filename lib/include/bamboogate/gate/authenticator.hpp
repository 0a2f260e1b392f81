#ifndef BAMBOOGATE_GATE_AUTHENTICATOR_HPP
#define BAMBOOGATE_GATE_AUTHENTICATOR_HPP

#include <bamboogate/control/declarations.hpp>
#include <bamboogate/core/result.hpp>
#include <bamboogate/net/http_message.hpp>

#include <memory>
#include <string>
#include <unordered_map>

namespace bamboogate::gate {

/// Authenticates client accounts and operators by their bearer keys. Stores
/// only SHA-256 digests of the keys, so that a look-up leaks nothing about a
/// key. Not thread safe.
class authenticator
{
public:
    /// @brief Replaces all keys.
    void apply(const control::declarations& declared);

    /// @brief The client account of a request.
    /// @return the account, valid until the next `apply` for as long as the
    ///     pointer is held, or `unauthenticated`
    [[nodiscard]] result<std::shared_ptr<const control::client_account>>
    client_of(const net::http_headers& headers) const;

    /// @brief The operator's id of a request, or `unauthenticated`.
    [[nodiscard]] result<std::string>
    operator_of(const net::http_headers& headers) const;

private:
    std::unordered_map<std::string,
                       std::shared_ptr<const control::client_account>>
        clients_;
    std::unordered_map<std::string, std::string> operators_;
};

/// @brief The key of an `Authorization: Bearer` header, or
///     `unauthenticated`.
[[nodiscard]] result<std::string> bearer_key(const net::http_headers& headers);

} // namespace bamboogate::gate

#endif
