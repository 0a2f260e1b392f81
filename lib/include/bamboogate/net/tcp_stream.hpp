#ifndef BAMBOOGATE_NET_TCP_STREAM_HPP
#define BAMBOOGATE_NET_TCP_STREAM_HPP

#include <bamboogate/net/event_loop.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bamboogate::net {

/// How a connection ended.
enum class stream_end : std::uint8_t
{
    closed, ///< the peer closed its side of the connection
    /// The same before the peer had received all output.
    closed_early,
    reset, ///< reset, refused or unreachable
};

/// A non-blocking TCP socket with an output queue. It reads continuously, so
/// that a disconnect is detected even while no input is expected. Not thread
/// safe. Handlers may destroy the stream.
class tcp_stream
{
public:
    struct callbacks
    {
        std::function<void()> on_connected; ///< outgoing connections only
        std::function<void(std::string_view)> on_data;
        std::function<void(stream_end)> on_end;
        std::function<void()> on_drained; ///< the output queue became empty
    };

    /// @param descriptor connected or connecting socket; the stream owns it
    /// @param output_sum unsent bytes of all streams that share it, kept up to
    ///     date by them; may be null
    tcp_stream(event_loop& loop, int descriptor, bool connecting,
               callbacks handlers,
               std::shared_ptr<std::size_t> output_sum = nullptr);
    ~tcp_stream();
    tcp_stream(const tcp_stream&) = delete;
    tcp_stream& operator=(const tcp_stream&) = delete;

    /// @brief Queues bytes and sends what the socket accepts immediately.
    void write(std::string_view bytes);

    /// @brief Shuts the output down once the queue is empty.
    void shutdown_output();

    /// @brief Closes the connection so that the peer sees a reset. `on_end` is
    ///     not called.
    void reset();

    /// @brief Handles the input that has already arrived, without waiting for
    ///     the event loop. Does nothing while input is paused.
    /// @return whether any input was handled
    bool read_arrived();

    /// @brief Pauses or resumes reading, to apply back-pressure.
    void pause_input(bool paused);

    /// @brief Calls the function once, from the event loop, when at most
    ///     `bytes` of the output are unsent. Replaces an earlier call.
    /// @pre more than `bytes` are unsent
    void when_output_below(std::size_t bytes, std::function<void()> function);

    /// @brief Bytes of the output that the socket has not accepted.
    [[nodiscard]] std::size_t queued_bytes() const;
    /// @brief Since when the socket has accepted no byte of the unsent output;
    ///     nothing if all was sent.
    [[nodiscard]] std::optional<time_point> blocked_since() const;
    /// @brief True until the connection ends or a write finds it broken.
    [[nodiscard]] bool connected() const;
    /// @brief True once any byte was passed to the socket.
    [[nodiscard]] bool any_bytes_sent() const;

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace bamboogate::net

#endif
