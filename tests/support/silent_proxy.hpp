#ifndef BAMBOOGATE_TESTS_SUPPORT_SILENT_PROXY_HPP
#define BAMBOOGATE_TESTS_SUPPORT_SILENT_PROXY_HPP

#include <bamboogate/net/address.hpp>
#include <bamboogate/net/event_loop.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <vector>

namespace bamboogate::tests {

/// A TCP proxy that can swallow the bytes of its open connections for good,
/// in one direction or both, while new connections work.
class silent_proxy
{
public:
    enum class direction : std::uint8_t
    {
        to_target,
        to_client,
        both,
    };

    silent_proxy(net::event_loop& loop, net::address target)
        : loop_(loop), target_(std::move(target)),
          listener_(net::listen_on({"127.0.0.1", 0}).value()),
          accept_watcher_(loop, listener_, [this](net::io_event) { accept(); })
    {
        accept_watcher_.await(net::io_event::read);
    }

    ~silent_proxy()
    {
        pipes_.clear();
        accept_watcher_.await(net::io_event::none);
        ::close(listener_);
    }
    silent_proxy(const silent_proxy&) = delete;
    silent_proxy& operator=(const silent_proxy&) = delete;

    [[nodiscard]] net::address where() const
    {
        return net::local_address(listener_);
    }

    /// @brief Drops what arrives on the open connections from now on. Their
    ///     sockets stay open and take input.
    void swallow(direction which)
    {
        for (auto& each : pipes_) {
            each->swallow(which);
        }
    }

    [[nodiscard]] std::size_t connections() const { return pipes_.size(); }

private:
    /// Both sockets of one connection.
    class pipe
    {
    public:
        pipe(silent_proxy& proxy, int client, int target)
            : proxy_(proxy), ends_{end{client}, end{target}}
        {
            for (std::size_t i = 0; i < 2; ++i) {
                ends_[i].watcher = std::make_unique<net::io_watcher>(
                    proxy.loop_, ends_[i].descriptor,
                    [this, i](net::io_event events) { on_ready(i, events); });
                ends_[i].watcher->await(net::io_event::read);
            }
        }

        ~pipe()
        {
            for (auto& each : ends_) {
                each.watcher.reset();
                ::close(each.descriptor);
            }
        }
        pipe(const pipe&) = delete;
        pipe& operator=(const pipe&) = delete;

        void swallow(direction which)
        {
            if (which != direction::to_client) {
                ends_[0].swallowed = true;
            }
            if (which != direction::to_target) {
                ends_[1].swallowed = true;
            }
        }

    private:
        struct end
        {
            int descriptor;
            std::string output;     ///< to be written to this end
            bool swallowed = false; ///< what is read here is dropped
            std::unique_ptr<net::io_watcher> watcher{};
        };

        void on_ready(std::size_t i, net::io_event events)
        {
            if (net::has(events, net::io_event::write)) {
                flush(i);
            }
            if (net::has(events, net::io_event::read)) {
                read(i);
            }
        }

        void read(std::size_t i)
        {
            std::array<char, 16384> buffer{};
            const auto size = recv(ends_[i].descriptor, buffer.data(),
                                   buffer.size(), MSG_DONTWAIT);
            if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
                return;
            }
            if (size <= 0) {
                // A swallowed connection does not pass its end on, either.
                ends_[i].watcher->await(net::io_event::none);
                if (!ends_[i].swallowed) {
                    proxy_.remove(this);
                }
                return;
            }
            if (ends_[i].swallowed) {
                return;
            }
            ends_[1 - i].output.append(buffer.data(),
                                       static_cast<std::size_t>(size));
            flush(1 - i);
        }

        void flush(std::size_t i)
        {
            end& target = ends_[i];
            if (!target.output.empty()) {
                const auto size =
                    ::send(target.descriptor, target.output.data(),
                           target.output.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
                if (size > 0) {
                    target.output.erase(0, static_cast<std::size_t>(size));
                }
            }
            target.watcher->await(target.output.empty()
                                      ? net::io_event::read
                                      : net::io_event::read_write);
        }

        silent_proxy& proxy_;
        std::array<end, 2> ends_;
    };

    void accept()
    {
        const int client =
            accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (client < 0) {
            return;
        }
        auto target = net::start_connect(target_);
        if (!target) {
            ::close(client);
            return;
        }
        net::set_no_delay(client);
        pipes_.push_back(std::make_unique<pipe>(*this, client, target.value()));
    }

    void remove(const pipe* which)
    {
        // The pipe is on the call stack.
        loop_.post([this, which, guard = alive_] {
            if (*guard) {
                std::erase_if(pipes_, [which](const auto& each) {
                    return each.get() == which;
                });
            }
        });
    }

    struct life
    {
        std::shared_ptr<bool> value = std::make_shared<bool>(true);
        ~life() { *value = false; }
    };

    net::event_loop& loop_;
    net::address target_;
    int listener_;
    life life_;
    std::shared_ptr<bool> alive_ = life_.value;
    std::vector<std::unique_ptr<pipe>> pipes_;
    net::io_watcher accept_watcher_;
};

} // namespace bamboogate::tests

#endif
