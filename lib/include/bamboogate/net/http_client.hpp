#ifndef BAMBOOGATE_NET_HTTP_CLIENT_HPP
#define BAMBOOGATE_NET_HTTP_CLIENT_HPP

#include <bamboogate/core/result.hpp>
#include <bamboogate/core/time.hpp>
#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/http_message.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace bamboogate::net {

/// One transfer of an `http_client`. Destruction cancels it silently.
/// Not thread safe.
class http_transfer
{
public:
    virtual ~http_transfer() = default;

    /// @brief Stops taking input, so that the peer's window closes.
    virtual void pause() = 0;

    /// @brief Takes input again.
    virtual void resume() = 0;
};

/// HTTP/1.1 requests on the loop, by libcurl's multi interface.
/// Requests are never repeated by the client. Not thread safe.
class http_client
{
public:
    struct options
    {
        /// Idle connections older than this are not used again, because a
        /// middle box may have forgotten them.
        duration max_idle = std::chrono::seconds(4);
        unsigned max_idle_connections = 256;
    };

    struct request
    {
        std::string method = "GET";
        std::string url;
        http_headers headers;
        std::string body;
        duration connect_timeout = std::chrono::milliseconds(500);
        /// Whole transfer; zero means without limit.
        duration total_timeout = duration::zero();
        /// Uses a new connection and closes it afterwards.
        bool fresh_connection = false;
        /// Larger responses end with `limit_exceeded`; only the body kept
        /// for `on_done` counts, not what `on_data` takes.
        std::size_t max_body_bytes = 16u << 20;
    };

    struct response
    {
        unsigned status = 0;
        http_headers headers;
        std::string body; ///< empty when `on_data` was given
    };

    /// How a transfer ended without a whole response.
    struct failure
    {
        error reason;
        /// False only when it is certain that no byte of the request left.
        bool request_may_have_been_sent = true;
    };

    using outcome_type =
        outcome::basic_result<response, failure, outcome::policy::terminate>;

    struct callbacks
    {
        /// Status and headers are known. Optional.
        std::function<void(const response&)> on_headers;
        /// Body bytes as they arrive; the view is valid during the call.
        /// Optional: without it the body is collected.
        std::function<void(std::string_view)> on_data;
        /// The end, called exactly once unless cancelled.
        std::function<void(outcome_type)> on_done;
    };

    explicit http_client(event_loop& loop);
    http_client(event_loop& loop, const options& settings);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// @brief Starts a transfer. Callbacks come later, from the loop.
    /// @return the transfer; keep it, dropping it cancels. It must not
    ///     outlive the client.
    [[nodiscard]] std::unique_ptr<http_transfer> start(request what,
                                                       callbacks handlers);

    /// @brief Starts a transfer that nobody cancels.
    void start_detached(request what,
                        std::function<void(outcome_type)> on_done);

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace bamboogate::net

#endif
