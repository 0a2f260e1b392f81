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

/// A TCP proxy that injects faults: it drops all further bytes of its open
/// connections, holds or delays the bytes of all connections, in one direction
/// or both, or resets the open ones. Not thread safe.
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
        : loop_(loop), target_(std::move(target)), forward_timer_(loop, [this] {
              for (auto& each : pipes_) {
                  each->forward_due(loop_.now());
              }
          })
    {
        forward_timer_.start_periodic(forward_interval);
        listen();
    }

    ~fault_proxy()
    {
        pipes_.clear();
        stop_listening();
    }
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    /// @brief The address of the last `listen`.
    [[nodiscard]] net::address address() const { return address_; }

    /// @brief Listens again after `stop_listening`, at the same address unless
    ///     another socket has its port now. Otherwise it has no effect.
    void listen()
    {
        if (accept_watcher_) {
            return;
        }
        auto listener = net::listen_on(address_);
        if (!listener) {
            address_.port = 0;
            listener = net::listen_on(address_);
        }
        listener_ = listener.value();
        address_ = net::local_address(listener_);
        accept_watcher_ = std::make_unique<net::io_watcher>(
            loop_, listener_, [this](net::io_event) { accept(); });
        accept_watcher_->await(net::io_event::read);
    }

    /// @brief Refuses new connections until `listen`; open ones are kept.
    void stop_listening()
    {
        if (accept_watcher_) {
            // Connections that wait would be reset instead.
            while (accept()) {
            }
            accept_watcher_.reset();
            ::close(listener_);
        }
    }

    /// @brief Connects new clients to another target; open connections are
    ///     kept.
    void change_target(net::address target) { target_ = std::move(target); }

    /// @brief Buffers the bytes of open and new connections until `release`.
    void hold(direction held) { held_ = held; }

    /// @brief Stops holding and delaying; buffered bytes are forwarded in
    ///     order.
    void release()
    {
        held_.reset();
        delay_ = {};
    }

    /// @brief Delays all bytes by this time, in steps of 5 ms.
    void delay(duration time) { delay_ = time; }

    /// @brief Resets all open connections on both sides and drops their
    ///     buffered bytes.
    void reset()
    {
        for (auto& each : pipes_) {
            each->reset_on_close();
        }
        pipes_.clear();
    }

    /// @brief Drops all further bytes of the open connections. Their sockets
    ///     stay open and accept input.
    void blackhole(direction dropped)
    {
        for (auto& each : pipes_) {
            each->blackhole(dropped);
        }
    }

    /// @brief Answers requests that are longer than `longest` with these bytes
    ///     before they have arrived, and resets their connections some
    ///     milliseconds later. Empty bytes end this.
    void cut_uploads(std::string answer, std::size_t longest)
    {
        early_answer_ = std::move(answer);
        longest_request_ = longest;
    }
    [[nodiscard]] unsigned uploads_cut() const { return uploads_cut_; }

    [[nodiscard]] std::size_t connections() const { return pipes_.size(); }

private:
    /// Resolution of delays.
    static constexpr duration forward_interval = std::chrono::milliseconds(5);

    /// Both sockets of one connection: end 0 is the client, end 1 the target.
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

        /// Both peers see a reset when the pipe is destroyed.
        void reset_on_close()
        {
            const linger discard{.l_onoff = 1, .l_linger = 0};
            for (const auto& each : ends_) {
                setsockopt(each.descriptor, SOL_SOCKET, SO_LINGER, &discard,
                           sizeof discard);
            }
        }

        /// Forwards buffered bytes whose delay has elapsed, or resets a
        /// connection whose upload was cut.
        void forward_due(time_point now)
        {
            if (cut_) {
                reset_on_close();
                proxy_.remove(this);
                return;
            }
            for (std::size_t i = 0; i < 2; ++i) {
                auto& buffered = ends_[i].buffered;
                bool forwarded = false;
                while (!buffered.empty() && !proxy_.holds(i) &&
                       now >= buffered.front().first + proxy_.delay_) {
                    ends_[1 - i].output += buffered.front().second;
                    buffered.pop_front();
                    forwarded = true;
                }
                if (forwarded) {
                    flush(1 - i);
                }
            }
        }

        void blackhole(direction dropped)
        {
            if (dropped != direction::to_client) {
                ends_[0].blackholed = true;
            }
            if (dropped != direction::to_target) {
                ends_[1].blackholed = true;
            }
        }

    private:
        struct end
        {
            int descriptor;
            std::string output;      ///< to be written to this end
            bool blackholed = false; ///< bytes read here are dropped
            /// Bytes read here and not forwarded yet, with the time of arrival.
            std::deque<std::pair<time_point, std::string>> buffered{};
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
                // A blackholed connection does not forward its end, either.
                ends_[i].watcher->await(net::io_event::none);
                if (!ends_[i].blackholed) {
                    proxy_.remove(this);
                }
                return;
            }
            if (ends_[i].blackholed) {
                return;
            }
            std::string_view bytes(buffer.data(),
                                   static_cast<std::size_t>(size));
            request_bytes_ = i == 0 ? request_bytes_ + bytes.size() : 0;
            if (!proxy_.early_answer_.empty() &&
                request_bytes_ > proxy_.longest_request_) {
                cut_upload();
                return;
            }
            if (!ends_[i].buffered.empty() || proxy_.holds(i) ||
                proxy_.delay_ > duration::zero()) {
                ends_[i].buffered.emplace_back(proxy_.loop_.now(), bytes);
                return;
            }
            ends_[1 - i].output.append(bytes);
            flush(1 - i);
        }

        /// Answers the client and leaves the rest of its request unread.
        void cut_upload()
        {
            cut_ = true;
            ++proxy_.uploads_cut_;
            ends_[0].output = proxy_.early_answer_;
            flush(0);
            for (auto& each : ends_) {
                each.watcher->await(net::io_event::none);
            }
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
        std::size_t request_bytes_ = 0; ///< since the last answer
        bool cut_ = false;
    };

    /// True if bytes read at this end are held.
    [[nodiscard]] bool holds(std::size_t end) const
    {
        return held_ && (*held_ == direction::both ||
                         (*held_ == direction::to_target) == (end == 0));
    }

    /// @return true if a connection was waiting
    bool accept()
    {
        const int client =
            accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (client < 0) {
            return false;
        }
        auto target = net::start_connect(target_);
        if (!target) {
            ::close(client);
            return true;
        }
        net::set_no_delay(client);
        pipes_.push_back(std::make_unique<pipe>(*this, client, target.value()));
        return true;
    }

    void remove(const pipe* removed)
    {
        // The pipe is on the call stack, so it is destroyed later.
        loop_.post([this, removed, guard = alive_] {
            if (*guard) {
                std::erase_if(pipes_, [removed](const auto& each) {
                    return each.get() == removed;
                });
            }
        });
    }

    struct alive_flag
    {
        std::shared_ptr<bool> value = std::make_shared<bool>(true);
        ~alive_flag() { *value = false; }
    };

    net::event_loop& loop_;
    net::address target_;
    net::address address_{"127.0.0.1", 0};
    int listener_ = -1;
    alive_flag alive_flag_;
    std::shared_ptr<bool> alive_ = alive_flag_.value;
    std::vector<std::unique_ptr<pipe>> pipes_;
    std::string early_answer_; ///< to long requests; empty for none
    std::size_t longest_request_ = 0;
    unsigned uploads_cut_ = 0;
    std::optional<direction> held_;
    duration delay_{};
    std::unique_ptr<net::io_watcher> accept_watcher_; ///< while it listens
    net::timer forward_timer_;
};

} // namespace bamboogate::tests

#endif
