#ifndef BAMBOOGATE_TESTS_SUPPORT_RAW_SERVER_HPP
#define BAMBOOGATE_TESTS_SUPPORT_RAW_SERVER_HPP

#include <bamboogate/net/address.hpp>
#include <bamboogate/net/event_loop.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bamboogate::tests {

/// A TCP server whose bytes are chosen by the test, for peers that break the
/// protocol. Works while the event loop runs; not thread safe.
class raw_server
{
public:
    /// One accepted connection.
    class connection
    {
    public:
        connection(net::event_loop& loop, int descriptor,
                   std::function<void(connection&)> on_input)
            : descriptor_(descriptor), on_input_(std::move(on_input)),
              watcher_(loop, descriptor,
                       [this](net::io_event e) { on_ready(e); })
        {
            watcher_.await(net::io_event::read);
        }
        ~connection() { close(); }
        connection(const connection&) = delete;
        connection& operator=(const connection&) = delete;

        void send(std::string_view bytes)
        {
            pending_.append(bytes);
            flush();
        }
        /// Sends a text again and again until the peer closes.
        void send_without_end(std::string text)
        {
            repeated_ = std::move(text);
            flush();
        }
        /// Leaves further input unread, so that a peer with much to send has
        /// to wait.
        void stop_reading()
        {
            reading_ = false;
            flush();
        }
        /// Ends the output; the peer sees the end of the connection.
        /// @pre nothing waits to be sent
        void end_output() { ::shutdown(descriptor_, SHUT_WR); }
        /// Closes the connection; the peer sees a reset.
        void reset()
        {
            const linger discard{.l_onoff = 1, .l_linger = 0};
            ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &discard,
                         sizeof discard);
            close();
        }
        void close()
        {
            if (descriptor_ >= 0) {
                watcher_.await(net::io_event::none);
                ::close(descriptor_);
                descriptor_ = -1;
            }
        }

        std::string received; ///< cleared by the test
        [[nodiscard]] bool closed() const { return descriptor_ < 0; }
        [[nodiscard]] std::size_t sent_bytes() const { return sent_; }

    private:
        void on_ready(net::io_event events)
        {
            if (reading_ && net::has(events, net::io_event::read)) {
                char buffer[16384];
                const auto count =
                    ::recv(descriptor_, buffer, sizeof buffer, 0);
                if (count == 0 || (count < 0 && errno != EAGAIN)) {
                    close();
                    return;
                }
                if (count > 0) {
                    received.append(buffer, static_cast<std::size_t>(count));
                    on_input_(*this);
                }
            }
            if (!closed() && net::has(events, net::io_event::write)) {
                flush();
            }
        }
        void flush()
        {
            // Bounded, so that one connection does not occupy the loop.
            for (int writes = 0; writes < 16 && !closed(); ++writes) {
                while (!repeated_.empty() && pending_.size() < 16384) {
                    pending_.append(repeated_);
                }
                if (pending_.empty()) {
                    break;
                }
                const auto count = ::send(descriptor_, pending_.data(),
                                          pending_.size(), MSG_NOSIGNAL);
                if (count < 0 && errno == EAGAIN) {
                    break;
                }
                if (count < 0) {
                    close();
                    return;
                }
                sent_ += static_cast<std::size_t>(count);
                pending_.erase(0, static_cast<std::size_t>(count));
            }
            if (!closed()) {
                const bool writing = !pending_.empty() || !repeated_.empty();
                watcher_.await(static_cast<net::io_event>((reading_ ? 1 : 0) |
                                                          (writing ? 2 : 0)));
            }
        }

        int descriptor_;
        std::function<void(connection&)> on_input_;
        std::string pending_;
        std::string repeated_;
        std::size_t sent_ = 0;
        bool reading_ = true;
        net::io_watcher watcher_;
    };

    /// @param on_input called whenever a connection has received bytes
    raw_server(net::event_loop& loop, std::function<void(connection&)> on_input)
        : loop_(loop), on_input_(std::move(on_input)),
          listener_(net::listen_on({"127.0.0.1", 0}).value()),
          watcher_(loop, listener_, [this](net::io_event) { accept_all(); })
    {
        watcher_.await(net::io_event::read);
    }
    ~raw_server() { stop_listening(); }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    /// Refuses new connections, like the host of a process that has ended.
    void stop_listening()
    {
        if (listener_ >= 0) {
            watcher_.await(net::io_event::none);
            ::close(listener_);
            listener_ = -1;
        }
    }

    [[nodiscard]] net::address bound_address() const
    {
        return net::local_address(listener_);
    }
    std::vector<std::unique_ptr<connection>> connections;

private:
    void accept_all()
    {
        for (;;) {
            const int descriptor = accept4(listener_, nullptr, nullptr,
                                           SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (descriptor < 0) {
                return;
            }
            connections.push_back(
                std::make_unique<connection>(loop_, descriptor, on_input_));
        }
    }

    net::event_loop& loop_;
    std::function<void(connection&)> on_input_;
    int listener_;
    net::io_watcher watcher_;
};

/// @return whether a whole request without a chunked body has arrived
[[nodiscard]] inline bool holds_request(std::string_view received,
                                        std::string_view body_end)
{
    return received.find("\r\n\r\n") != std::string_view::npos &&
           received.ends_with(body_end);
}

} // namespace bamboogate::tests

#endif
