#ifndef BAMBOOGATE_RELAY_RETRY_DELAY_HPP
#define BAMBOOGATE_RELAY_RETRY_DELAY_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/time.hpp>

namespace bamboogate::relay {

/// @brief Lengthens a retry delay by up to a quarter, by the request's id, so
///     that callers who were refused until the same time don't return at the
///     same time. Thread safe.
/// @return at least `delay`
[[nodiscard]] duration spread_retry_delay(duration delay, const request_id& id);

} // namespace bamboogate::relay

#endif
