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

/// One request, whole.
struct http_request
{
    std::string method;
    std::string path;  ///< without the query, still encoded
    std::string query; ///< without the question mark, still encoded
    http_headers headers;
    std::string body;
};

/// The answer side of one request. Shared by the server and whoever answers;
/// all members are safe to call after the caller has gone. Not thread safe.
class responder
{
public:
    virtual ~responder() = default;

    /// @brief Answers with a whole body.
    /// @pre neither `respond` nor `begin_stream` was called before
    virtual void respond(unsigned status, const http_headers& headers,
                         std::string body) = 0;

    /// @brief Starts an answer whose body follows by `write`.
    /// @pre neither `respond` nor `begin_stream` was called before
    virtual void begin_stream(unsigned status, const http_headers& headers) = 0;

    /// @brief Appends to the body. Ignored once the caller has gone.
    virtual void write(std::string_view bytes) = 0;

    /// @brief Ends the body properly.
    virtual void finish() = 0;

    /// @brief Breaks the connection, so that the caller sees a cut answer.
    virtual void abort() = 0;

    /// @brief Bytes written that the socket has not taken yet.
    [[nodiscard]] virtual std::size_t buffered() const = 0;

    /// @brief True once the connection has ended.
    [[nodiscard]] virtual bool closed() const = 0;

    /// @brief Called once when the exchange ends.
    /// @param handler gets true when the whole answer was sent
    virtual void on_closed(std::function<void(bool complete)> handler) = 0;

    /// @brief Called after output was taken from the buffer.
    virtual void on_drained(std::function<void()> handler) = 0;
};

/// An HTTP/1.1 server on the loop, by libmicrohttpd.
///
/// The server accepts connections itself and spreads them over several
/// libmicrohttpd daemons, because one daemon walks all its suspended
/// connections after each resume: with many open streams that walk costs more
/// than the output. Not thread safe.
class http_server
{
public:
    struct options
    {
        address listen_address;
        unsigned daemons = 8;
        unsigned max_connections = 8192;
        std::size_t max_body_bytes = 4u << 20;
        /// Covers request line and headers of one connection.
        std::size_t connection_memory_bytes = 16u << 10;
        /// A connection that sends nothing for this long is closed.
        duration idle_timeout = std::chrono::seconds(15);
        /// Output of one turn is collected this long before it is sent.
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
    /// @param function called once per whole request; it may answer later
    [[nodiscard]] static result<std::unique_ptr<http_server>>
    start(event_loop& loop, const options& settings, handler function);

    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    [[nodiscard]] const address& bound_address() const noexcept;
    [[nodiscard]] unsigned open_connections() const noexcept;
    /// @brief Requests whose answer has not been sent in full.
    [[nodiscard]] std::size_t open_requests() const noexcept;
    [[nodiscard]] counters totals() const noexcept;

    /// @brief Accepts no further connections; open ones go on.
    void stop_accepting();

private:
    struct impl;
    explicit http_server(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

} // namespace bamboogate::net

#endif
