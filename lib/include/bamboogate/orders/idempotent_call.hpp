#ifndef BAMBOOGATE_ORDERS_IDEMPOTENT_CALL_HPP
#define BAMBOOGATE_ORDERS_IDEMPOTENT_CALL_HPP

#include <bamboogate/net/http_client.hpp>
#include <bamboogate/orders/service_request.hpp>

#include <functional>

namespace bamboogate::orders {

/// Takes one retry from the budget; false when the budget is exhausted. Called
/// after each failed attempt.
using retry_permission = std::function<bool()>;

/// @brief Runs an idempotent call: after a failed attempt, another upstream is
///     tried while the retry budget allows it.
/// @param client must outlive the call
/// @param directory must stay usable until the callback
/// @param max_attempts including the first
/// @param callback called exactly once: an answer, `not_run` when no
///     attempt can have sent a byte, or `upstream_failed`
/// Not thread safe.
void run_idempotent_call(net::http_client& client, service_directory directory,
                         service_request request, retry_permission may_retry,
                         unsigned max_attempts, answer_callback callback);

} // namespace bamboogate::orders

#endif
