#ifndef BAMBOOGATE_TESTS_PLATFORM_SUPPORT_CLIENT_CROWD_HPP
#define BAMBOOGATE_TESTS_PLATFORM_SUPPORT_CLIENT_CROWD_HPP

#include <bamboogate/net/address.hpp>
#include <bamboogate/net/event_loop.hpp>

#include <sys/types.h>

#include <cstddef>
#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace bamboogate::tests {

/// @brief Peak resident memory of a process in MiB; 0 if it does not exist.
[[nodiscard]] double peak_resident_mib(pid_t process);

/// @brief Resident memory of a process in MiB; 0 if it does not exist.
[[nodiscard]] double resident_mib(pid_t process);

/// @brief Number of open descriptors of a process; 0 if it does not exist.
[[nodiscard]] std::size_t open_descriptors(pid_t process);

/// Connections that all send the same bytes and stay open. Each reads and drops
/// what it is sent, until the server closes it. Works while the event loop
/// runs; not thread safe.
class client_crowd
{
public:
    struct options
    {
        net::address server;
        std::size_t clients = 0;
        std::string text;
        /// Bytes that each client sends per millisecond.
        std::size_t bytes_per_step = std::numeric_limits<std::size_t>::max();
        /// Sent forever after `text`, one byte every 100 ms; not if it is 0.
        char filler = 0;
    };

    client_crowd(net::event_loop& loop, options settings);
    ~client_crowd();
    client_crowd(const client_crowd&) = delete;
    client_crowd& operator=(const client_crowd&) = delete;

    /// @brief True once each client has sent `text` or is closed.
    [[nodiscard]] bool settled() const;
    [[nodiscard]] std::size_t open_clients() const;

private:
    struct client;
    void step();

    net::event_loop& loop_;
    options settings_;
    std::vector<std::unique_ptr<client>> clients_;
    unsigned steps_ = 0;
    net::timer step_timer_;
};

} // namespace bamboogate::tests

#endif
