#ifndef BAMBOOGATE_NET_WEBSOCKET_CODEC_HPP
#define BAMBOOGATE_NET_WEBSOCKET_CODEC_HPP

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace bamboogate::net {

/// One end of a websocket connection without a socket: bytes go in and out
/// through functions, so that the owner keeps the socket. This header is C++17,
/// because websocketpp requires it. Not thread safe.
class websocket_codec
{
public:
    enum class role
    {
        client,
        server,
    };

    struct options
    {
        role side = role::client;
        std::size_t max_message_bytes = 16u << 20;
    };

    struct callbacks
    {
        /// Bytes to send to the peer.
        std::function<void(std::string_view)> on_output;
        /// The handshake is complete.
        std::function<void()> on_open;
        /// One complete binary message. The view is valid during the call.
        std::function<void(std::string_view)> on_message;
        /// The connection ended or failed; no further callbacks follow.
        std::function<void()> on_close;
    };

    websocket_codec(const options& settings, callbacks handlers);
    ~websocket_codec();
    websocket_codec(const websocket_codec&) = delete;
    websocket_codec& operator=(const websocket_codec&) = delete;

    /// @brief Starts the handshake. Call once.
    void start();

    /// @brief Processes bytes received from the peer.
    void receive(std::string_view bytes);

    /// @brief Sends one binary message.
    /// @return false when the connection is not open
    bool send(std::string_view message);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace bamboogate::net

#endif
