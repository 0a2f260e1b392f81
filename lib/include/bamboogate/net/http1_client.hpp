#ifndef BAMBOOGATE_NET_HTTP1_CLIENT_HPP
#define BAMBOOGATE_NET_HTTP1_CLIENT_HPP

#include <bamboogate/core/time.hpp>
#include <bamboogate/net/address.hpp>
#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/http1.hpp>
#include <bamboogate/net/path_dialer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bamboogate::net {

/// Why an exchange with a server ended without a complete response.
struct http1_failure
{
    /// `connection_failed` (not connected), `connection_lost` or
    /// `malformed_input` (invalid response), `limit_exceeded` (response too
    /// large)
    errc code = errc::connection_lost;
    /// True if a byte of the request may have reached the server.
    bool request_sent = false;
    bool on_reused_connection = false;
    /// True if the peer reset the connection, false if it closed it.
    bool reset = false;
};

/// HTTP/1.1 client with persistent connections. The caller can tell exactly
/// when a request was sent, decides whether a response belongs to its request,
/// and cancels by closing the connection. Not thread safe.
class http1_client
{
public:
    struct options
    {
        duration connect_timeout = std::chrono::milliseconds(400);
        /// Idle connections are closed after this time, or earlier if the
        /// server's `Keep-Alive` field demands it.
        duration max_idle = std::chrono::seconds(4);
        std::size_t max_idle_per_server = 16;
        /// Bytes of interim responses and of responses to other requests that
        /// are discarded before the request's own response. A server in trouble
        /// may send them without end.
        std::size_t max_discarded_bytes = 1u << 20;
        /// A server that accepts no byte of an unsent request for this long
        /// fails the exchange with `connection_lost`.
        duration send_timeout = std::chrono::seconds(15);
        /// Opens the connections; must outlive the client. Without one, they
        /// are direct.
        path_dialer* dialer = nullptr;
    };

    struct callbacks
    {
        /// @return false if the response belongs to another request; it is then
        ///     discarded and the next response is awaited
        std::function<bool(const http1_response_head&)> on_head;
        std::function<void(std::string_view)> on_body;
        std::function<void()> on_complete;
        std::function<void(const http1_failure&)> on_failure;
    };

    /// One request in flight. Destruction cancels it by closing its connection;
    /// no callback follows. Callbacks may destroy it.
    class exchange
    {
    public:
        struct impl;
        explicit exchange(std::shared_ptr<impl> state);
        ~exchange();
        exchange(const exchange&) = delete;
        exchange& operator=(const exchange&) = delete;

        /// @brief Handles the input that has already arrived, without waiting
        ///     for the event loop. The callbacks may destroy the exchange.
        void read_arrived();

        /// @brief Stops reading from the connection, so that the server cannot
        ///     send more than the socket buffers hold. Input that was read
        ///     before is still passed to the callbacks; a lost connection is
        ///     noticed after `resume_reading`.
        void pause_reading();
        /// @brief Reads again; the callbacks are called from the event loop.
        void resume_reading();

        /// @brief True once a byte of the request was passed to the socket.
        [[nodiscard]] bool request_sent() const;

        /// @brief Closes the connection after the response instead of keeping
        ///     it for further requests. Called from `on_head`, for a response
        ///     whose repetition could not be told from the next response.
        void close_after_response();

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
        /// Sent instead of `body` if it is set. A long one is not copied.
        std::shared_ptr<const std::string> shared_body = nullptr;
        bool fresh_connection = false;
        /// A response with a larger body fails the exchange; unlimited if not
        /// set, for streams whose receiver limits each part.
        std::optional<std::size_t> max_body_bytes = std::nullopt;
    };

    /// @brief Sends a request; callbacks are called from the event loop.
    [[nodiscard]] std::unique_ptr<exchange>
    start(const address& server, const request& message, callbacks handlers);

    /// @brief Closes the idle connections to a server, after a sign that the
    ///     server or the path to it has failed.
    void close_idle_connections(const address& server);

    /// @brief Closes the idle connections to all servers that are direct, or
    ///     those over tunnels.
    void close_idle_paths(bool direct);

    /// @brief Finds a request on a direct connection that has brought no byte
    ///     for at least the time since the request was sent.
    /// @return its server; nothing if any direct connection has brought a byte
    ///     within the time
    [[nodiscard]] std::optional<address> quiet_server(duration time) const;

    /// @brief Fails the exchanges on direct connections that have brought no
    ///     byte for at least the time, with `connection_lost`. Their handlers
    ///     are called from inside this function.
    void fail_quiet_exchanges(duration time);

    /// @brief Number of connections opened since the start.
    [[nodiscard]] std::uint64_t connections_made() const;
    [[nodiscard]] std::size_t idle_connections() const;
    /// @brief Bytes of requests that servers have not accepted yet.
    [[nodiscard]] std::size_t unsent_bytes() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace bamboogate::net

#endif
