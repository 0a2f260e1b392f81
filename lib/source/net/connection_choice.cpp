#include <bamboogate/net/connection_choice.hpp>

#include <tuple>

namespace bamboogate::net {

namespace {

/// Smaller is closed first.
int order_of(connection_use use)
{
    switch (use) {
    case connection_use::idle:
        return 0;
    case connection_use::closing:
        return 1;
    case connection_use::sending:
    case connection_use::serving:
        break;
    }
    return 2;
}

} // namespace

std::optional<std::size_t>
connection_to_close(std::span<const connection_state> connections,
                    time_point now)
{
    std::optional<std::size_t> chosen;
    for (std::size_t i = 0; i < connections.size(); ++i) {
        const auto& [use, since] = connections[i];
        if (use == connection_use::serving ||
            (use == connection_use::sending &&
             now - since < slow_request_time)) {
            continue;
        }
        const auto key = std::tuple(order_of(use), since);
        if (!chosen || key < std::tuple(order_of(connections[*chosen].use),
                                        connections[*chosen].since)) {
            chosen = i;
        }
    }
    return chosen;
}

} // namespace bamboogate::net
