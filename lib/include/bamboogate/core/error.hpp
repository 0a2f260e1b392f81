#ifndef BAMBOOGATE_CORE_ERROR_HPP
#define BAMBOOGATE_CORE_ERROR_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace bamboogate {

/// Every kind of failure that crosses a module border.
enum class errc : std::uint16_t
{
    invalid_argument,
    malformed_input,   ///< bytes that do not parse as the expected format
    limit_exceeded,    ///< a size, count or depth above its cap
    unauthenticated,   ///< no key, or an unknown one
    permission_denied, ///< a valid key without the right
    not_found,
    conflict,    ///< based on a revision that is no longer the newest
    key_reused,  ///< idempotency key sent again with another body
    in_progress, ///< the first call with this idempotency key still runs
    not_run,     ///< the request was certainly not run
    outcome_unknown,
    generation_not_found, ///< no live gate holds it; it may have run
    not_leader,
    no_quorum,
    lease_expired,
    superseded, ///< a newer epoch or attempt owns the work
    overloaded,
    deadline_exceeded,
    cancelled,
    connection_failed, ///< no connection was made: no byte left
    connection_lost,   ///< the connection broke after it was made
    upstream_failed,
    storage_corrupt,
    storage_full,
    storage_failed,
    state_chart_invalid,
    internal,
};

/// The stable name of a failure kind, as used in logs and response bodies.
[[nodiscard]] std::string_view name_of(errc code) noexcept;

/// A failure: its kind and a text for people. Programs decide on the kind.
struct error
{
    errc code = errc::internal;
    std::string detail;

    bool operator==(const error&) const = default;
};

} // namespace bamboogate

#endif
