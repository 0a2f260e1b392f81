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

/// @brief The HTTP status code of an error.
[[nodiscard]] unsigned status_of(errc code) noexcept;

void respond_json(net::responder& out, unsigned status, const json& body);

/// @brief Responds with an error; for `not_leader` the detail is the leader's
///     id.
/// @param fields additional fields beside `error`
void respond_error(net::responder& out, const error& problem,
                   json fields = json::object());

/// @brief Responds with status 422 and the faults of declarations.
void respond_faults(net::responder& out,
                    const std::vector<declaration_fault>& faults);

/// @brief The operator whose key the request carries, or nullopt. Compares the
///     key with every declared key, each in constant time.
[[nodiscard]] std::optional<std::string>
authenticate(const net::http_request& request, const declarations& declared,
             const secret& bootstrap_key);

/// Common fields of all change requests.
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

/// @brief A non-empty string field of a body, limited in length.
[[nodiscard]] result<std::string> text_field(const json& body,
                                             const char* name);

} // namespace bamboogate::control

#endif
