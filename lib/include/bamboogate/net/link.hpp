#ifndef BAMBOOGATE_NET_LINK_HPP
#define BAMBOOGATE_NET_LINK_HPP

#include <bamboogate/net/link_hub.hpp>
#include <bamboogate/net/websocket_codec.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace bamboogate::net {

/// One TCP connection to a peer: websocket framing, mutual authentication,
/// heartbeats and the heartbeat time-out. Used by `link_hub` only. Not thread
/// safe.
class link
{
public:
    enum class side
    {
        dialer,
        acceptor,
    };

    enum class close_reason
    {
        peer_closed,       ///< by the peer, or a socket error
        heartbeat_timeout, ///< no input within the heartbeat time-out
        refused,           ///< malformed input or failed authentication
        queue_full,        ///< more queued output than `max_queued_bytes`
        dropped,           ///< closed by its owner
        not_connected,     ///< not established within `connect_timeout`
    };

    struct callbacks
    {
        /// Authentication succeeded.
        std::function<void()> on_up;
        /// One application message; the view is valid during the call.
        std::function<void(std::string_view)> on_message;
        /// The connection ended. The owner destroys the link after the call.
        std::function<void(close_reason)> on_closed;
    };

    /// @param descriptor a connected or connecting socket; the link owns it
    /// @param priority until the peer is known
    link(event_loop& loop, const link_hub::options& settings, side own_side,
         int descriptor, loop_priority priority, callbacks handlers);
    ~link();
    link(const link&) = delete;
    link& operator=(const link&) = delete;

    /// @brief Sends an application message. @return false unless up.
    bool send(std::string_view message);

    /// @brief Closes the connection without a closing handshake.
    void close(close_reason reason);

    [[nodiscard]] bool up() const noexcept { return state_ == state::up; }
    [[nodiscard]] bool closed() const noexcept
    {
        return state_ == state::closed;
    }
    [[nodiscard]] const peer_info& peer() const noexcept { return peer_; }
    [[nodiscard]] std::size_t queued_bytes() const noexcept
    {
        return output_.size() - output_offset_;
    }
    /// @brief When the link last received bytes, at first when it was created.
    [[nodiscard]] time_point last_input() const noexcept { return last_input_; }
    [[nodiscard]] std::uint64_t bytes_sent() const noexcept { return sent_; }
    [[nodiscard]] std::uint64_t bytes_received() const noexcept
    {
        return received_;
    }

    /// @brief Writes the queued output as far as the socket accepts it. Closes
    ///     the link if that fails.
    void flush_output();

private:
    enum class state
    {
        handshake,
        authenticating,
        up,
        closed,
    };

    void on_ready(io_event events);
    void read_input();
    void on_frame(std::string_view frame);
    void on_hello(std::string_view body);
    void on_proof(std::string_view body);
    void send_hello();
    void send_frame(char kind, std::string_view body);
    void check_liveness();
    [[nodiscard]] digest proof_of(side prover) const;

    event_loop& loop_;
    const link_hub::options& settings_;
    side side_;
    int descriptor_;
    callbacks handlers_;
    state state_ = state::handshake;
    peer_info peer_;
    std::string own_hello_;
    std::string peer_hello_;
    std::string output_;
    std::size_t output_offset_ = 0;
    std::uint64_t sent_ = 0;
    std::uint64_t received_ = 0;
    time_point last_input_;
    time_point last_output_;
    bool flush_posted_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    websocket_codec codec_;
    io_watcher watcher_;
    timer liveness_timer_;
};

/// @brief The name of a reason in logs.
[[nodiscard]] std::string_view name_of(link::close_reason reason) noexcept;

} // namespace bamboogate::net

#endif
