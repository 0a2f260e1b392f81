#ifndef BAMBOOGATE_OPERATIONS_CONTROL_SESSION_HPP
#define BAMBOOGATE_OPERATIONS_CONTROL_SESSION_HPP

#include <bamboogate/config/setting.hpp>
#include <bamboogate/core/json.hpp>
#include <bamboogate/core/result.hpp>
#include <bamboogate/core/secret.hpp>
#include <bamboogate/core/time.hpp>
#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/http_client.hpp>

#include <string>
#include <vector>

namespace bamboogate::operations {

/// Whether a request may be resent after its response was lost.
enum class resend : std::uint8_t
{
    allowed,   ///< read-only, or idempotent by its operation id
    forbidden, ///< the lost request may have taken effect
};

/// One request to a control replica.
struct control_request
{
    std::string method = "GET";
    std::string path;
    json body; ///< null if there is none
    resend after_loss = resend::allowed;
    /// Time-out for one replica; longer for a change that waits.
    duration attempt_timeout = std::chrono::seconds(3);
};

/// Sends operators' requests to the control replicas in turn, preferring the
/// leader that a replica names. Calls run the event loop until the response
/// arrives. Not thread safe.
class control_session
{
public:
    struct options
    {
        std::vector<config::peer_address> replicas;
        secret operator_key;
        duration timeout = std::chrono::seconds(10);
    };

    control_session(net::event_loop& loop, options settings);

    /// @brief Sends a request until a replica responds to it.
    /// @return the response document; the error of a replica, with validation
    ///     faults and the winner of a conflict in its detail; `outcome_unknown`
    ///     if a request that must not be resent was lost; `connection_failed`
    ///     if no replica responded in time
    [[nodiscard]] result<json> call(const control_request& message);

    /// @brief Sends one request to one address, without retries.
    [[nodiscard]] net::http_client::outcome_type
    send(const net::address& replica, const control_request& message,
         duration timeout);

private:
    void wait(duration interval);

    net::event_loop& loop_;
    options settings_;
    net::http_client client_;
};

/// @brief The error in a response body; the code is `internal` if there is
///     none.
[[nodiscard]] error error_from_response(unsigned status,
                                        const std::string& body);

} // namespace bamboogate::operations

#endif
