#ifndef BAMBOOGATE_CORE_ERROR_HPP
#define BAMBOOGATE_CORE_ERROR_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace bamboogate {

/// Error codes that cross module boundaries.
enum class errc : std::uint16_t
{
    invalid_argument,
    malformed_input,   ///< input that does not parse as the expected format
    limit_exceeded,    ///< a size, count or depth above its limit
    unauthenticated,   ///< no key, or an unknown one
    permission_denied, ///< a valid key without the right
    not_found,
    conflict,    ///< based on a revision that is no longer the newest
    key_reused,  ///< idempotency key reused with a different body
    in_progress, ///< the first call with this key is still running
    not_run,     ///< the request was definitely not executed
    outcome_unknown,
    generation_not_found, ///< no live gate has it; it may have been executed
    not_leader,
    no_quorum,
    lease_expired,
    superseded, ///< a newer epoch or attempt owns the work
    overloaded,
    deadline_exceeded,
    cancelled,
    connection_failed, ///< not connected, so no byte was sent
    connection_lost,   ///< an established connection broke
    upstream_failed,
    storage_corrupt,
    storage_full,
    storage_failed,
    state_chart_invalid,
    internal,
};

/// The stable name of an error code, as used in logs and response bodies.
[[nodiscard]] std::string_view name_of(errc code) noexcept;

/// An error code with a detail text for people. Programs must branch on the
/// code only.
struct error
{
    errc code = errc::internal;
    std::string detail;

    bool operator==(const error&) const = default;
};

} // namespace bamboogate

#endif
