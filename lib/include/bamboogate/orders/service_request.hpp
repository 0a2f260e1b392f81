#ifndef BAMBOOGATE_ORDERS_SERVICE_REQUEST_HPP
#define BAMBOOGATE_ORDERS_SERVICE_REQUEST_HPP

#include <bamboogate/control/messages.hpp>
#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/result.hpp>
#include <bamboogate/core/time.hpp>
#include <bamboogate/net/http_client.hpp>
#include <bamboogate/net/http_message.hpp>

#include <functional>
#include <optional>
#include <span>
#include <string>

namespace bamboogate::orders {

/// A caller's call to a plain service, checked and authorized.
struct service_request
{
    client_account_id account;
    std::string idempotency_key; ///< empty for idempotent calls
    service_id service;
    std::string method;
    std::string path; ///< with the query
    net::http_headers headers;
    std::string body;
    duration timeout = std::chrono::seconds(5);
};

/// The answer that a caller gets.
struct service_answer
{
    control::stored_answer answer;
    bool replayed = false; ///< taken from the journal
};

using answer_callback = std::function<void(result<service_answer>)>;

/// An upstream that serves a plain service.
struct service_target
{
    upstream_id upstream;
    std::string address; ///< host:port
};

/// Picks an upstream of a service that is not among the excluded ones.
using service_directory = std::function<std::optional<service_target>(
    const service_id& service, std::span<const upstream_id> excluded)>;

/// @brief SHA-256 over method, path and body, which tells whether a resend
///     is the same call. Thread safe.
[[nodiscard]] std::string request_digest(const service_request& request);

/// @brief The HTTP request for an upstream: credentials and hop-by-hop
///     fields are left out. Thread safe.
[[nodiscard]] net::http_client::request
to_upstream_request(const service_request& request,
                    const service_target& target);

/// @brief The part of an upstream's response that callers get. Thread safe.
[[nodiscard]] control::stored_answer
to_stored_answer(net::http_client::response response);

} // namespace bamboogate::orders

#endif
