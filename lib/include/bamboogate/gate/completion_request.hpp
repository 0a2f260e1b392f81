#ifndef BAMBOOGATE_GATE_COMPLETION_REQUEST_HPP
#define BAMBOOGATE_GATE_COMPLETION_REQUEST_HPP

#include <bamboogate/control/declarations.hpp>
#include <bamboogate/core/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace bamboogate::gate {

/// The validated body of `POST /v1/completions`.
struct completion_request
{
    model_id model;
    std::string prompt;
    std::uint32_t max_tokens = 256;
    bool stream = false;
    std::string service_class; ///< empty: the account's default
};

/// @brief Parses and validates the body. Fields that common clients send but
///     that have no effect here are ignored; more than one choice per request
///     is refused.
/// @return `malformed_input`, `limit_exceeded` or `invalid_argument`, with
///     the field's name in the detail. Thread safe.
[[nodiscard]] result<completion_request>
parse_completion_request(std::string_view body);

/// @brief Finds the service class of a request and checks that the account
///     may use it with the model.
/// @return the class, `permission_denied` or `not_found`. Thread safe.
[[nodiscard]] result<control::service_class>
resolve_service_class(const completion_request& request,
                      const control::client_account& account,
                      const control::declarations& declared);

} // namespace bamboogate::gate

#endif
