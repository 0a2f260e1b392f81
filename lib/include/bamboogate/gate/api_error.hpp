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

/// What a caller may conclude about its request from an error answer.
enum class request_outcome
{
    refused,     ///< never run; the same request will be refused again
    not_run,     ///< certainly not run; sending it again is safe
    in_progress, ///< an earlier call with the same key still runs
    unknown,     ///< may have run once; it will not be sent again
    failed,      ///< was started and did not finish
};

[[nodiscard]] std::string_view name_of(request_outcome outcome) noexcept;

/// @brief What a failure kind says about the request it answers.
[[nodiscard]] request_outcome outcome_of(errc code) noexcept;

/// @brief The HTTP status for a failure kind.
[[nodiscard]] unsigned status_of(errc code) noexcept;

/// @brief The JSON body for a failure:
///     `{"error":{"type","outcome","message"}}`.
[[nodiscard]] std::string error_body(const error& problem);

/// @brief Answers a request with a typed error.
/// @param retry_after sent as `Retry-After`, rounded up to whole seconds
void respond_error(net::responder& out, const error& problem,
                   std::optional<duration> retry_after = std::nullopt);

} // namespace bamboogate::gate

#endif
