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

/// Whether a request may be sent again after an answer was lost.
enum class resend : std::uint8_t
{
    allowed,   ///< it reads only, or carries an operation id
    forbidden, ///< it may have had its effect
};

/// One request to a control replica.
struct control_request
{
    std::string method = "GET";
    std::string path;
    json body; ///< null: none
    resend after_loss = resend::allowed;
    /// Longest time for one replica; a change that waits needs more.
    duration attempt_timeout = std::chrono::seconds(3);
};

/// Sends operators' requests to the control replicas in turn, first to the
/// leader when a replica names it. Its calls run the loop until the answer is
/// there. Not thread safe.
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

    /// @brief Sends a request until a replica answers it.
    /// @return the answer; the error of a replica, with the faults and the
    ///     winner of a conflict in its text; `outcome_unknown` when a request
    ///     that must not be sent again was lost; `connection_failed` when no
    ///     replica answered in time
    [[nodiscard]] result<json> call(const control_request& what);

    /// @brief One request to one address, without a second attempt.
    [[nodiscard]] net::http_client::outcome_type
    send(const net::address& where, const control_request& what,
         duration timeout);

private:
    void wait(duration how_long);

    net::event_loop& loop_;
    options settings_;
    net::http_client client_;
};

/// @brief The error in an answer's body; the kind falls back to `internal`.
[[nodiscard]] error error_from_response(unsigned status,
                                        const std::string& body);

} // namespace bamboogate::operations

#endif
