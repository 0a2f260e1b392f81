#ifndef BAMBOOGATE_NET_HTTP1_SERVER_HPP
#define BAMBOOGATE_NET_HTTP1_SERVER_HPP

#include <bamboogate/core/time.hpp>
#include <bamboogate/net/address.hpp>
#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/http1.hpp>
#include <bamboogate/net/request_memory.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bamboogate::net {

class http1_connection;

/// Sends the response to one request. Calls have no effect after the exchange
/// has ended or the client has disconnected. Not thread safe.
class http1_responder
{
public:
    /// @brief Sends a response with a complete body.
    void respond(unsigned status, header_list headers, std::string_view body);

    /// @brief Starts a response with chunked transfer coding.
    void begin_stream(unsigned status, std::string_view reason,
                      header_list headers);

    /// @brief Sends a part of the body. @pre after `begin_stream`
    void write(std::string_view part);

    /// @brief Ends a chunked response as complete. @pre after `begin_stream`
    void finish();

    /// @brief Closes the connection without the last chunk, so that the client
    ///     detects a truncated response.
    void abort();

    /// @brief Sets a function that is called if the client disconnects before
    ///     the response is complete.
    void on_client_disconnect(std::function<void()> observer);

    [[nodiscard]] bool begun() const;
    [[nodiscard]] bool ended() const;

    /// @brief Output bytes that the socket has not accepted yet.
    [[nodiscard]] std::size_t queued_bytes() const;

    /// @brief Calls the function once, from the event loop, when the client has
    ///     read so much that at most `bytes` are unsent. Replaces an earlier
    ///     call.
    /// @pre more than `bytes` are unsent
    void when_output_below(std::size_t bytes, std::function<void()> function);

    /// @brief True if `http1_server::disconnect` ended the exchange.
    [[nodiscard]] bool disconnected_by_server() const
    {
        return disconnected_by_server_;
    }

private:
    friend class http1_connection;
    std::weak_ptr<http1_connection> connection_;
    std::function<void()> disconnect_observer_;
    bool begun_ = false;
    bool ended_ = false;
    bool client_disconnected_ = false;
    bool disconnected_by_server_ = false;
};

using http1_responder_ptr = std::shared_ptr<http1_responder>;

/// Why a server closed its side of a connection.
enum class server_close : std::uint8_t
{
    idle,     ///< no request within the idle time-out
    draining, ///< idle when the server began to drain
    refused,  ///< the input was refused
    answered, ///< the last response announced the close
};

[[nodiscard]] std::string_view name_of(server_close cause);

/// Input that was discarded because it arrived after the server had closed its
/// side of the connection.
struct discarded_input
{
    server_close cause;
    duration after_close; ///< from the close to the first input after it
};

/// What a server did because it had no room for all clients.
enum class client_limit_action : std::uint8_t
{
    request_refused,    ///< 503: no memory for the request
    sender_closed,      ///< 408: a slow sender's memory was needed by others
    input_dropped,      ///< of requests that followed one in progress
    connection_closed,  ///< idle or slow, for a new one
    connection_refused, ///< 503: all connections were in use
};

[[nodiscard]] std::string_view name_of(client_limit_action action);

/// Output of one connection that its client has not read.
struct unread_output
{
    std::uint64_t connection; ///< for `http1_server::disconnect`
    std::size_t bytes;
    time_point unread_since; ///< when the client last read, or could begin to
};

/// HTTP/1.1 server on sockets that it owns. Unlike `http_server`, it detects a
/// client that disconnects while its request is pending, and its limits can be
/// changed at run time. Not thread safe.
class http1_server
{
public:
    struct options
    {
        address listen_address;
        http1_limits limits;
        /// Time from the first byte of a request head to its end.
        duration header_timeout = std::chrono::seconds(3);
        /// A connection without a request is closed after this time. Also the
        /// time from the end of a request head to the end of its body.
        duration idle_timeout = std::chrono::seconds(15);
        /// Time for the client to close after the last byte was sent, so that a
        /// reset does not discard the response.
        duration linger_timeout = std::chrono::seconds(1);
        /// While the end of a response is unsent, the longest time in which the
        /// client reads nothing. Until then the connection is not idle.
        duration unread_timeout = std::chrono::seconds(15);
        /// A client with more unsent output than this is disconnected.
        std::size_t max_queued_bytes = 4u << 20;
        /// Open connections; with a new one beyond that, an idle or slow one is
        /// closed, or the new one is refused with 503.
        std::size_t max_connections = std::numeric_limits<std::size_t>::max();
        /// Memory of the requests that are being received or handled; unlimited
        /// by default.
        request_memory::options memory = {};
        /// Header fields of a 503 response for lack of room.
        header_list refusal_fields = {};
        /// Called when a limit on clients took effect; may be empty.
        std::function<void(client_limit_action)> on_client_limit = {};
        /// Called once for each connection with such input; may be empty.
        std::function<void(const discarded_input&)> on_discarded_input = {};
    };
    using handler =
        std::function<void(http1_request, const http1_responder_ptr&)>;

    /// @brief Starts to listen. @return `connection_failed`
    [[nodiscard]] static result<std::unique_ptr<http1_server>>
    start(event_loop& loop, options settings, handler function);
    ~http1_server();
    http1_server(const http1_server&) = delete;
    http1_server& operator=(const http1_server&) = delete;

    /// @brief Changes the size limits of connections that are accepted later
    ///     and the time-outs of requests that begin later. A longer idle
    ///     time-out also applies to connections that are idle; a shorter one
    ///     doesn't, as their clients may still rely on the previous one.
    void change_limits(http1_limits limits, duration header_timeout,
                       duration idle_timeout);

    /// @brief Starts to drain: responses carry `Connection: close`, and idle
    ///     connections are closed. New connections are still accepted.
    void begin_drain();

    /// @brief Accepts the connections that are waiting and stops listening, so
    ///     that none is reset when the process exits. Later connections are
    ///     refused. Further calls have no effect.
    void stop_listening();

    [[nodiscard]] address bound_address() const;
    /// @brief Requests that the handler has not fully answered yet.
    [[nodiscard]] std::size_t active_requests() const;
    [[nodiscard]] std::size_t connections() const;
    /// @brief Bytes counted against `options::memory`.
    [[nodiscard]] std::size_t request_bytes() const;

    /// @brief Bytes of responses that clients have not read, of all
    ///     connections.
    [[nodiscard]] std::size_t unread_bytes() const;
    /// @brief The connections with such bytes.
    [[nodiscard]] std::vector<unread_output> unread_outputs() const;
    /// @brief Closes a connection without the rest of its output, so that the
    ///     client detects a truncated response. The disconnect observer of a
    ///     response in progress is called. Has no effect if the connection has
    ///     ended.
    void disconnect(std::uint64_t connection);

private:
    friend class http1_connection;
    struct impl;
    explicit http1_server(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

} // namespace bamboogate::net

#endif
