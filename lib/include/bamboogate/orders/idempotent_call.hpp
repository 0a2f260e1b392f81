#ifndef BAMBOOGATE_ORDERS_IDEMPOTENT_CALL_HPP
#define BAMBOOGATE_ORDERS_IDEMPOTENT_CALL_HPP

#include <bamboogate/net/http_client.hpp>
#include <bamboogate/orders/service_request.hpp>

#include <functional>

namespace bamboogate::orders {

/// Asks whether a retry is within the budget; takes one from it if so.
using retry_permission = std::function<bool()>;

/// @brief Runs a call that may be repeated: an upstream that fails is replaced
///     by another while the retry budget allows it.
/// @param client must outlive the call
/// @param max_attempts first try included
/// @param callback called exactly once: an answer, `not_run` when no byte
///     left any attempt, or `upstream_failed`
/// Not thread safe.
void run_idempotent_call(net::http_client& client, service_directory directory,
                         service_request request, retry_permission may_retry,
                         unsigned max_attempts, answer_callback callback);

} // namespace bamboogate::orders

#endif
