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

/// One transfer of an `http_client`. Destruction cancels it without a callback.
/// Not thread safe.
class http_transfer
{
public:
    virtual ~http_transfer() = default;

    /// @brief Stops reading, so that the TCP window closes.
    virtual void pause() = 0;

    /// @brief Resumes reading.
    virtual void resume() = 0;
};

/// HTTP/1.1 client on the event loop, based on libcurl's multi interface. The
/// client never repeats a request. Not thread safe.
class http_client
{
public:
    struct options
    {
        /// Idle connections older than this are not reused, because a middlebox
        /// may have dropped their state.
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
        /// Time limit for the whole transfer; zero means none.
        duration total_timeout = duration::zero();
        /// Uses a new connection and closes it afterwards.
        bool fresh_connection = false;
        /// Larger responses fail with `limit_exceeded`. Only a body collected
        /// for `on_done` counts, not data passed to `on_data`.
        std::size_t max_body_bytes = 16u << 20;
    };

    struct response
    {
        unsigned status = 0;
        http_headers headers;
        std::string body; ///< empty when `on_data` was given
    };

    /// Why a transfer ended without a complete response.
    struct failure
    {
        error reason;
        /// False only if certainly no byte of the request was sent.
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
        /// Called exactly once at the end, unless the transfer is cancelled.
        std::function<void(outcome_type)> on_done;
    };

    explicit http_client(event_loop& loop);
    http_client(event_loop& loop, const options& settings);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// @brief Starts a transfer. Callbacks are called later, from the event
    ///     loop.
    /// @return the transfer; destroying it cancels the request. It must not
    ///     outlive the client.
    [[nodiscard]] std::unique_ptr<http_transfer> start(request message,
                                                       callbacks handlers);

    /// @brief Starts a transfer that the client owns and that cannot be
    ///     cancelled.
    void start_detached(request message,
                        std::function<void(outcome_type)> on_done);

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace bamboogate::net

#endif
