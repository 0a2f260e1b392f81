#ifndef BAMBOOGATE_NET_HTTP_SERVER_HPP
#define BAMBOOGATE_NET_HTTP_SERVER_HPP

#include <bamboogate/core/result.hpp>
#include <bamboogate/core/time.hpp>
#include <bamboogate/net/address.hpp>
#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/http_message.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace bamboogate::net {

/// A complete request.
struct http_request
{
    std::string method;
    std::string path;  ///< without the query, still encoded
    std::string query; ///< without the question mark, still encoded
    http_headers headers;
    std::string body;
};

/// Sends the response to one request. Shared by the server and the handler; all
/// members may be called after the client has disconnected. Not thread safe.
class responder
{
public:
    virtual ~responder() = default;

    /// @brief Sends a response with a complete body.
    /// @pre neither `respond` nor `begin_stream` was called before
    virtual void respond(unsigned status, const http_headers& headers,
                         std::string body) = 0;

    /// @brief Starts a response whose body is sent by `write`.
    /// @pre neither `respond` nor `begin_stream` was called before
    virtual void begin_stream(unsigned status, const http_headers& headers) = 0;

    /// @brief Appends to the body. Ignored once the client has disconnected.
    virtual void write(std::string_view bytes) = 0;

    /// @brief Ends the body.
    virtual void finish() = 0;

    /// @brief Closes the connection, so that the client detects a truncated
    ///     response.
    virtual void abort() = 0;

    /// @brief Output bytes that the socket has not accepted yet.
    [[nodiscard]] virtual std::size_t buffered() const = 0;

    /// @brief True once the connection has ended.
    [[nodiscard]] virtual bool closed() const = 0;

    /// @brief Sets a handler that is called once when the exchange ends.
    /// @param handler receives true if the complete response was sent
    virtual void on_closed(std::function<void(bool complete)> handler) = 0;

    /// @brief Sets a handler that is called after output was removed from the
    ///     buffer.
    virtual void on_drained(std::function<void()> handler) = 0;
};

/// HTTP/1.1 server on the event loop, based on libmicrohttpd.
///
/// The server accepts connections itself and distributes them over several
/// libmicrohttpd daemons, because a daemon iterates over all its suspended
/// connections after each resume; with many open streams that costs more than
/// sending the output. Not thread safe.
class http_server
{
public:
    struct options
    {
        address listen_address;
        unsigned daemons = 8;
        unsigned max_connections = 8192;
        std::size_t max_body_bytes = 4u << 20;
        /// Memory for request line and headers of one connection.
        std::size_t connection_memory_bytes = 16u << 10;
        /// A connection that sends nothing for this long is closed.
        duration idle_timeout = std::chrono::seconds(15);
        /// Output is collected for this long before it is sent.
        duration flush_delay = std::chrono::milliseconds(1);
    };

    struct counters
    {
        std::uint64_t connections_accepted = 0;
        std::uint64_t connections_refused = 0;
        std::uint64_t requests = 0;
        std::uint64_t bodies_too_large = 0;
    };

    using handler = std::function<void(const http_request&,
                                       const std::shared_ptr<responder>&)>;

    /// @brief Opens the listening socket and starts to serve.
    /// @param function called once per complete request; it may respond later
    [[nodiscard]] static result<std::unique_ptr<http_server>>
    start(event_loop& loop, const options& settings, handler function);

    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    [[nodiscard]] const address& bound_address() const noexcept;
    [[nodiscard]] unsigned open_connections() const noexcept;
    /// @brief Requests whose response has not been sent completely.
    [[nodiscard]] std::size_t open_requests() const noexcept;
    [[nodiscard]] counters totals() const noexcept;

    /// @brief Accepts no further connections; open connections are kept.
    void stop_accepting();

private:
    struct impl;
    explicit http_server(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

} // namespace bamboogate::net

#endif
