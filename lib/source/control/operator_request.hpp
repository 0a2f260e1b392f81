#ifndef BAMBOOGATE_SOURCE_CONTROL_OPERATOR_REQUEST_HPP
#define BAMBOOGATE_SOURCE_CONTROL_OPERATOR_REQUEST_HPP

#include <bamboogate/control/commands.hpp>
#include <bamboogate/control/declaration_json.hpp>
#include <bamboogate/core/secret.hpp>
#include <bamboogate/net/http_server.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bamboogate::control {

/// @brief The HTTP status that stands for a failure.
[[nodiscard]] unsigned status_of(errc code) noexcept;

void respond_json(net::responder& out, unsigned status, const json& body);

/// @brief Answers with a failure; for `not_leader` the detail is the leader.
/// @param more fields beside `error`
void respond_error(net::responder& out, const error& problem,
                   json more = json::object());

/// @brief Answers 422 with the faults of declarations.
void respond_faults(net::responder& out,
                    const std::vector<declaration_fault>& faults);

/// @brief The operator whose key the request carries. Looks at every
///     declared key, whichever matches, in constant time for each.
[[nodiscard]] std::optional<std::string>
authenticate(const net::http_request& request, const declarations& declared,
             const secret& bootstrap_key);

/// Fields that every change has.
struct change_request
{
    change_origin origin;
    json body;
    duration wait{};
};

/// @brief Reads the common fields of a change.
/// @param wait default; the body's `wait_ms` replaces it up to `max_wait`
/// @return `malformed_input` or `invalid_argument` naming the field
[[nodiscard]] result<change_request>
read_change(const net::http_request& request, const std::string& operator_id,
            duration wait, duration max_wait);

/// @brief A text field of a body.
[[nodiscard]] result<std::string> text_field(const json& body,
                                             const char* name);

} // namespace bamboogate::control

#endif
