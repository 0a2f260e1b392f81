#ifndef BAMBOOGATE_GATE_API_ERROR_HPP
#define BAMBOOGATE_GATE_API_ERROR_HPP

#include <bamboogate/core/error.hpp>
#include <bamboogate/core/time.hpp>
#include <bamboogate/net/http_server.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bamboogate::gate {

/// What an error response tells a caller about its request.
enum class request_outcome
{
    refused,     ///< not run; the same request will be refused again
    not_run,     ///< guaranteed not to have run; safe to send again
    in_progress, ///< an earlier call with the same key still runs
    unknown,     ///< may have run once; the gate does not resend it
    failed,      ///< started and did not finish
};

[[nodiscard]] std::string_view name_of(request_outcome outcome) noexcept;

/// @brief The outcome of a request that an error code implies.
[[nodiscard]] request_outcome outcome_of(errc code) noexcept;

/// @brief The HTTP status for an error code.
[[nodiscard]] unsigned status_of(errc code) noexcept;

/// @brief The JSON body for an error:
///     `{"error":{"type","outcome","message"}}`.
[[nodiscard]] std::string error_body(const error& reason);

/// @brief Responds to a request with a typed error.
/// @param retry_after sent as `Retry-After`, rounded up to whole seconds
void respond_error(net::responder& out, const error& reason,
                   std::optional<duration> retry_after = std::nullopt);

} // namespace bamboogate::gate

#endif
