#ifndef BAMBOOGATE_RELAY_CLIENT_LIMITS_HPP
#define BAMBOOGATE_RELAY_CLIENT_LIMITS_HPP

#include <bamboogate/net/http1_server.hpp>
#include <bamboogate/observability/metrics.hpp>

#include <array>
#include <cstddef>
#include <limits>
#include <optional>

namespace bamboogate::relay {

/// What a process may use of its vm; unlimited without a value.
struct process_limits
{
    std::optional<std::size_t> memory_bytes;
    /// For sockets and files, without those that the vm reserves.
    std::optional<std::size_t> descriptors;
};

/// What all clients of a process may use together.
struct client_limits
{
    /// Memory of requests that are being received or handled.
    std::size_t request_bytes = std::numeric_limits<std::size_t>::max();
    std::size_t connections = std::numeric_limits<std::size_t>::max();
};

/// @brief The limits of a gate's callers. Requests get a third of the memory,
///     like the buffers of responses; the last third is for the program.
///     Callers get 7/16 of the descriptors, because each request may need a
///     connection to an upstream. Thread safe.
[[nodiscard]] client_limits gate_client_limits(const process_limits& process);

/// @brief The limits of a control node's clients. Requests get an eighth of the
///     memory, because a configuration document takes several times its size
///     while it is parsed, stored and copied to the other replicas. Thread
///     safe.
[[nodiscard]] client_limits
control_client_limits(const process_limits& process);

/// @brief The limits of a port for operators' tools, such as metrics, in a
///     process whose memory is limited; unlimited in others. Thread safe.
[[nodiscard]] client_limits tool_client_limits(const process_limits& process);

/// @brief Applies limits to a server. Thread safe.
void apply(const client_limits& limits, net::http1_server::options& server);

/// Counts what a server did because of its limits, and logs it at most once per
/// second: a crowd of clients causes thousands of such events. Not thread safe.
class client_limit_monitor
{
public:
    /// @param registry must outlive the monitor
    explicit client_limit_monitor(observability::metric_registry& registry);

    void note(net::client_limit_action action);

    /// @brief Updates the gauges and logs what was noted since the last line.
    ///     Called periodically.
    void report(time_point now, const net::http1_server& server);

private:
    static constexpr std::size_t actions = 5;

    std::array<observability::counter*, actions> totals_{};
    std::array<std::uint64_t, actions> logged_{};
    observability::gauge& request_bytes_;
    observability::gauge& connections_;
    std::optional<time_point> last_line_;
};

} // namespace bamboogate::relay

#endif
