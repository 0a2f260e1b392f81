#ifndef BAMBOOGATE_NET_HTTP1_CLIENT_HPP
#define BAMBOOGATE_NET_HTTP1_CLIENT_HPP

#include <bamboogate/core/time.hpp>
#include <bamboogate/net/address.hpp>
#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/http1.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace bamboogate::net {

/// Why an exchange with a server ended without a complete answer.
struct http1_failure
{
    /// `connection_failed` (no connection was made), `connection_lost` or
    /// `malformed_input` (the bytes are no answer)
    errc code = errc::connection_lost;
    /// True when a byte of the request may have reached the server.
    bool request_sent = false;
    bool on_reused_connection = false;
    /// True when the peer reset the connection, false when it closed it.
    bool reset = false;
};

/// Requests to servers over HTTP/1.1 connections that are kept for reuse. The
/// caller sees the exact moment at which a request left, decides whether an
/// answer is its own, and closes the connection to cancel. Not thread safe.
class http1_client
{
public:
    struct options
    {
        duration connect_timeout = std::chrono::milliseconds(400);
        /// Idle connections are dropped after this time, or earlier where the
        /// server's `Keep-Alive` says so.
        duration max_idle = std::chrono::seconds(4);
        std::size_t max_idle_per_server = 16;
    };

    struct callbacks
    {
        /// @return false when the answer belongs to another request; it is
        ///     read to its end and the next one is awaited
        std::function<bool(const http1_response_head&)> on_head;
        std::function<void(std::string_view)> on_body;
        std::function<void()> on_complete;
        std::function<void(const http1_failure&)> on_failure;
    };

    /// One request in flight. Destruction cancels it by closing its
    /// connection; no callback follows. Callbacks may destroy it.
    class exchange
    {
    public:
        struct impl;
        explicit exchange(std::shared_ptr<impl> state);
        ~exchange();
        exchange(const exchange&) = delete;
        exchange& operator=(const exchange&) = delete;

        /// @brief True once a byte of the request was handed to the socket.
        [[nodiscard]] bool request_sent() const;

    private:
        std::shared_ptr<impl> impl_;
    };

    http1_client(event_loop& loop, options settings);
    ~http1_client();
    http1_client(const http1_client&) = delete;
    http1_client& operator=(const http1_client&) = delete;

    struct request
    {
        std::string method;
        std::string target;
        header_list headers;
        std::string_view body; ///< copied by `start`
        bool fresh_connection = false;
    };

    /// @brief Sends a request; callbacks come from the loop.
    [[nodiscard]] std::unique_ptr<exchange>
    start(const address& where, const request& what, callbacks handlers);

    /// @brief Drops idle connections to a server, after a sign that it or the
    ///     path to it has failed.
    void close_idle_connections(const address& where);

    /// @brief New connections made since the start.
    [[nodiscard]] std::uint64_t connections_made() const;
    [[nodiscard]] std::size_t idle_connections() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace bamboogate::net

#endif
