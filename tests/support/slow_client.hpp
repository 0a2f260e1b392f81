#ifndef BAMBOOGATE_TESTS_SUPPORT_SLOW_CLIENT_HPP
#define BAMBOOGATE_TESTS_SUPPORT_SLOW_CLIENT_HPP

#include <bamboogate/net/address.hpp>
#include <bamboogate/net/event_loop.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <string>

namespace bamboogate::tests {

/// A TCP client that sends a request and reads nothing until the test asks for
/// it. Works while the event loop runs; not thread safe.
class slow_client
{
public:
    /// @param receive_buffer in bytes, so that the kernel holds little of what
    ///     is not read; 0 for the default
    slow_client(net::event_loop& loop, const net::address& server,
                std::string request, int receive_buffer = 0)
        : descriptor_(net::start_connect(server).value()),
          unsent_(std::move(request)),
          watcher_(loop, descriptor_, [this](net::io_event e) { on_ready(e); })
    {
        if (receive_buffer > 0) {
            ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                         sizeof receive_buffer);
        }
        watcher_.await(net::io_event::write);
    }
    ~slow_client()
    {
        watcher_.await(net::io_event::none);
        ::close(descriptor_);
    }
    slow_client(const slow_client&) = delete;
    slow_client& operator=(const slow_client&) = delete;

    /// @pre the request was sent
    void read() { watcher_.await(net::io_event::read); }

    [[nodiscard]] const std::string& received() const { return received_; }
    /// @brief True after the end of the stream or an error on receive.
    [[nodiscard]] bool closed() const { return closed_; }

private:
    void on_ready(net::io_event events)
    {
        if (net::has(events, net::io_event::write)) {
            const auto count = ::send(descriptor_, unsent_.data(),
                                      unsent_.size(), MSG_NOSIGNAL);
            if (count > 0) {
                unsent_.erase(0, static_cast<std::size_t>(count));
            }
            watcher_.await(unsent_.empty() ? net::io_event::none
                                           : net::io_event::write);
        }
        if (net::has(events, net::io_event::read)) {
            char buffer[65536];
            const auto count = ::recv(descriptor_, buffer, sizeof buffer, 0);
            if (count > 0) {
                received_.append(buffer, static_cast<std::size_t>(count));
                return;
            }
            closed_ = true;
            watcher_.await(net::io_event::none);
        }
    }

    int descriptor_;
    std::string unsent_;
    std::string received_;
    bool closed_ = false;
    net::io_watcher watcher_;
};

} // namespace bamboogate::tests

#endif
