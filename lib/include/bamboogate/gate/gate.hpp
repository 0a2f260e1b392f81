#ifndef BAMBOOGATE_GATE_GATE_HPP
#define BAMBOOGATE_GATE_GATE_HPP

#include <bamboogate/config/settings.hpp>
#include <bamboogate/core/result.hpp>
#include <bamboogate/net/event_loop.hpp>

#include <functional>
#include <memory>

namespace bamboogate::gate {

/// The gate daemon: serves callers and upstreams over HTTP and exchanges
/// state with the other gates and the control replicas over links.
/// Not thread safe.
class gate
{
public:
    /// @brief Opens all sockets and starts to serve.
    /// @param loop must outlive the gate
    /// @return `connection_failed` when an address is in use
    [[nodiscard]] static result<std::unique_ptr<gate>>
    start(net::event_loop& loop, config::gate_settings settings);

    ~gate();
    gate(const gate&) = delete;
    gate& operator=(const gate&) = delete;

    /// @brief Refuses new work and calls back once no request is running, or
    ///     when the drain limit has passed. A second call
    ///     replaces the callback and restarts the limit.
    void drain(std::function<void()> done);

    /// @brief The bound address of the HTTP server.
    [[nodiscard]] net::address http_address() const;

private:
    struct impl;
    explicit gate(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

} // namespace bamboogate::gate

#endif
