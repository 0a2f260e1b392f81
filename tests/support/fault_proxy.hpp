#ifndef BAMBOOGATE_TESTS_SUPPORT_FAULT_PROXY_HPP
#define BAMBOOGATE_TESTS_SUPPORT_FAULT_PROXY_HPP

#include <bamboogate/net/address.hpp>
#include <bamboogate/net/event_loop.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bamboogate::tests {

/// A TCP proxy that injects faults: it swallows the bytes of its open
/// connections for good, holds or delays the bytes of all connections, in one
/// direction or both, or resets what is open. Not thread safe.
class fault_proxy
{
public:
    enum class direction : std::uint8_t
    {
        to_target,
        to_client,
        both,
    };

    fault_proxy(net::event_loop& loop, net::address target)
        : loop_(loop), target_(std::move(target)),
          listener_(net::listen_on({"127.0.0.1", 0}).value()),
          accept_watcher_(loop, listener_, [this](net::io_event) { accept(); }),
          pass_timer_(loop, [this] {
              for (auto& each : pipes_) {
                  each->pass_kept(loop_.now());
              }
          })
    {
        pass_timer_.start_periodic(pass_interval);
        accept_watcher_.await(net::io_event::read);
    }

    ~fault_proxy()
    {
        pipes_.clear();
        accept_watcher_.await(net::io_event::none);
        ::close(listener_);
    }
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    [[nodiscard]] net::address address() const
    {
        return net::local_address(listener_);
    }

    /// @brief Connects new clients to another target; open connections stay.
    void change_target(net::address target) { target_ = std::move(target); }

    /// @brief Keeps the bytes of open and new connections until `release`.
    void hold(direction which) { held_ = which; }

    /// @brief Ends holding and delaying; what was kept is passed on in order.
    void release()
    {
        held_.reset();
        delay_ = {};
    }

    /// @brief Passes bytes on later by this time.
    void delay(duration time) { delay_ = time; }

    /// @brief Resets all open connections on both sides.
    void reset()
    {
        constexpr linger at_once{.l_onoff = 1, .l_linger = 0};
        for (auto& each : pipes_) {
            each->set_linger(at_once);
        }
        pipes_.clear();
    }

    /// @brief Drops what arrives on the open connections from now on. Their
    ///     sockets stay open and take input.
    void blackhole(direction which)
    {
        for (auto& each : pipes_) {
            each->blackhole(which);
        }
    }

    [[nodiscard]] std::size_t connections() const { return pipes_.size(); }

private:
    /// Resolution of delays.
    static constexpr duration pass_interval = std::chrono::milliseconds(5);

    /// Both sockets of one connection.
    class pipe
    {
    public:
        pipe(fault_proxy& proxy, int client, int target)
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

        void set_linger(const linger& value)
        {
            for (const auto& each : ends_) {
                setsockopt(each.descriptor, SOL_SOCKET, SO_LINGER, &value,
                           sizeof value);
            }
        }

        /// Passes on what has been kept long enough.
        void pass_kept(time_point now)
        {
            for (std::size_t i = 0; i < 2; ++i) {
                auto& kept = ends_[i].kept;
                bool passed = false;
                while (!kept.empty() && !proxy_.holds(i) &&
                       now >= kept.front().first + proxy_.delay_) {
                    ends_[1 - i].output += kept.front().second;
                    kept.pop_front();
                    passed = true;
                }
                if (passed) {
                    flush(1 - i);
                }
            }
        }

        void blackhole(direction which)
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
            /// Read here and not passed on yet, with the time of arrival.
            std::deque<std::pair<time_point, std::string>> kept{};
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
            std::string_view bytes(buffer.data(),
                                   static_cast<std::size_t>(size));
            if (!ends_[i].kept.empty() || proxy_.holds(i) ||
                proxy_.delay_ > duration::zero()) {
                ends_[i].kept.emplace_back(proxy_.loop_.now(), bytes);
                return;
            }
            ends_[1 - i].output.append(bytes);
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

        fault_proxy& proxy_;
        std::array<end, 2> ends_;
    };

    /// True when bytes that were read at this end are kept.
    [[nodiscard]] bool holds(std::size_t end) const
    {
        return held_ && (*held_ == direction::both ||
                         (*held_ == direction::to_target) == (end == 0));
    }

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
    std::optional<direction> held_;
    duration delay_{};
    net::io_watcher accept_watcher_;
    net::timer pass_timer_;
};

} // namespace bamboogate::tests

#endif
