#ifndef BAMBOOGATE_NET_HTTP1_SERVER_HPP
#define BAMBOOGATE_NET_HTTP1_SERVER_HPP

#include <bamboogate/core/time.hpp>
#include <bamboogate/net/address.hpp>
#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/http1.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace bamboogate::net {

class http1_connection;

/// Answers one request. Calls after the end of the exchange, or after the
/// client has left, have no effect. Not thread safe.
class http1_responder
{
public:
    /// @brief Answers with a whole body.
    void respond(unsigned status, header_list headers, std::string_view body);

    /// @brief Starts an answer in chunks.
    void begin(unsigned status, std::string_view reason, header_list headers);

    /// @brief Sends a part of the body. @pre after `begin`
    void write(std::string_view part);

    /// @brief Ends an answer in chunks as complete.
    void finish();

    /// @brief Closes the connection without completing the answer, so that it
    ///     cannot look whole.
    void abort();

    /// @brief Observes that the client left before the answer was complete.
    void on_client_disconnect(std::function<void()> observer);

    [[nodiscard]] bool begun() const;
    [[nodiscard]] bool ended() const;

    /// @brief Bytes that the client has not taken yet.
    [[nodiscard]] std::size_t queued_bytes() const;

private:
    friend class http1_connection;
    std::weak_ptr<http1_connection> connection_;
    std::function<void()> client_gone_;
    bool begun_ = false;
    bool ended_ = false;
    bool gone_ = false;
};

using http1_responder_ptr = std::shared_ptr<http1_responder>;

/// Accepts HTTP/1.1 connections on sockets that it owns. Unlike
/// `http_server` it notices a client that leaves while its request waits, and
/// its limits can change while it runs. Not thread safe.
class http1_server
{
public:
    struct options
    {
        address listen_address;
        http1_limits limits;
        /// From the first byte of a head to its end.
        duration header_timeout = std::chrono::seconds(3);
        /// A connection without a request is closed after this time.
        duration idle_timeout = std::chrono::seconds(15);
        /// Time for the client to close after our last byte, so that the
        /// answer is not lost to a reset.
        duration linger_timeout = std::chrono::seconds(1);
        /// A client that takes none of this much output is cut off.
        std::size_t max_queued_bytes = 4u << 20;
    };
    using handler =
        std::function<void(http1_request, const http1_responder_ptr&)>;

    /// @brief Listens. @return `connection_failed`
    [[nodiscard]] static result<std::unique_ptr<http1_server>>
    start(event_loop& loop, options settings, handler function);
    ~http1_server();
    http1_server(const http1_server&) = delete;
    http1_server& operator=(const http1_server&) = delete;

    /// @brief Changes limits and time-outs for requests that begin later.
    void change_limits(http1_limits limits, duration header_timeout,
                       duration idle_timeout);

    /// @brief Announces the end: answers carry `Connection: close`, and idle
    ///     connections are closed. New connections are still accepted.
    void drain();

    [[nodiscard]] address bound_address() const;
    /// @brief Requests that were handed out and are not answered.
    [[nodiscard]] std::size_t active_requests() const;
    [[nodiscard]] std::size_t connections() const;

private:
    friend class http1_connection;
    struct impl;
    explicit http1_server(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

} // namespace bamboogate::net

#endif
