#ifndef BAMBOOGATE_TESTS_SUPPORT_RAW_CLIENT_HPP
#define BAMBOOGATE_TESTS_SUPPORT_RAW_CLIENT_HPP

#include <bamboogate/net/address.hpp>
#include <bamboogate/net/event_loop.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <string_view>

namespace bamboogate::tests {

/// A TCP client that sends bytes unchanged and collects the received ones.
/// Works while the event loop runs; not thread safe.
class raw_client
{
public:
    raw_client(net::event_loop& loop, const net::address& server)
        : descriptor_(net::start_connect(server).value()),
          watcher_(loop, descriptor_, [this](net::io_event e) { on_ready(e); })
    {
        watcher_.await(net::io_event::read_write);
    }
    ~raw_client()
    {
        watcher_.await(net::io_event::none);
        ::close(descriptor_);
    }
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;

    void send(std::string_view bytes)
    {
        pending_.append(bytes);
        if (!closed_) {
            watcher_.await(net::io_event::read_write);
        }
    }

    /// @brief Sends at once, without a turn of the event loop.
    /// @pre connected, and nothing waits to be sent
    void send_now(std::string_view bytes)
    {
        pending_.append(bytes);
        flush();
    }

    [[nodiscard]] const std::string& received() const { return received_; }
    /// @brief True after the end of the stream or an error on receive.
    [[nodiscard]] bool closed() const { return closed_; }

private:
    void on_ready(net::io_event events)
    {
        if (net::has(events, net::io_event::write)) {
            flush();
        }
        if (net::has(events, net::io_event::read)) {
            read();
        }
    }

    void flush()
    {
        const auto count =
            ::send(descriptor_, pending_.data(), pending_.size(), MSG_NOSIGNAL);
        if (count > 0) {
            pending_.erase(0, static_cast<std::size_t>(count));
        }
        if (pending_.empty()) {
            watcher_.await(net::io_event::read);
        }
    }

    void read()
    {
        char buffer[16384];
        const auto count = recv(descriptor_, buffer, sizeof buffer, 0);
        if (count > 0) {
            received_.append(buffer, static_cast<std::size_t>(count));
            return;
        }
        closed_ = true;
        watcher_.await(net::io_event::none);
    }

    int descriptor_;
    net::io_watcher watcher_;
    std::string pending_;
    std::string received_;
    bool closed_ = false;
};

} // namespace bamboogate::tests

#endif
