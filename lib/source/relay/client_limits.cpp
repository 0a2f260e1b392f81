#include <bamboogate/relay/client_limits.hpp>
#include <bamboogate/relay/log_events.hpp>

#include <algorithm>

namespace bamboogate::relay {

namespace {

constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();
constexpr duration line_interval = std::chrono::seconds(1);
/// Tools poll a few connections with small requests.
constexpr client_limits tool_limits{.request_bytes = 512u << 10,
                                    .connections = 32};

/// Returns `parts` / `whole` of a limit, if there is one.
std::size_t share(const std::optional<std::size_t>& limit, std::size_t parts,
                  std::size_t whole)
{
    return limit ? std::max<std::size_t>(*limit * parts / whole, 1) : unlimited;
}

} // namespace

client_limits gate_client_limits(const process_limits& process)
{
    return {.request_bytes = share(process.memory_bytes, 1, 3),
            .connections = share(process.descriptors, 7, 16)};
}

client_limits control_client_limits(const process_limits& process)
{
    return {.request_bytes = share(process.memory_bytes, 1, 8),
            .connections = share(process.descriptors, 1, 2)};
}

client_limits tool_client_limits(const process_limits& process)
{
    return process.memory_bytes ? tool_limits : client_limits();
}

void apply(const client_limits& limits, net::http1_server::options& server)
{
    server.memory.total_bytes = limits.request_bytes;
    server.max_connections = limits.connections;
}

client_limit_monitor::client_limit_monitor(
    observability::metric_registry& registry)
    : request_bytes_(
          registry.add_gauge("bamboogate_client_request_bytes",
                             "Memory of clients' requests in progress.")),
      connections_(registry.add_gauge("bamboogate_client_connections",
                                      "Open connections of clients."))
{
    for (std::size_t i = 0; i < actions; ++i) {
        const auto action = static_cast<net::client_limit_action>(i);
        totals_[i] = &registry.add_counter(
            "bamboogate_client_limits_total",
            "Requests and connections of clients that were refused or closed "
            "for lack of room.",
            {{"action", std::string(net::name_of(action))}});
    }
}

void client_limit_monitor::note(net::client_limit_action action)
{
    totals_[static_cast<std::size_t>(action)]->add();
}

void client_limit_monitor::report(time_point now,
                                  const net::http1_server& server)
{
    request_bytes_.set(static_cast<double>(server.request_bytes()));
    connections_.set(static_cast<double>(server.connections()));
    if (last_line_ && now - *last_line_ < line_interval) {
        return;
    }
    std::array<std::uint64_t, actions> added{};
    bool any = false;
    for (std::size_t i = 0; i < actions; ++i) {
        added[i] = totals_[i]->value() - logged_[i];
        logged_[i] = totals_[i]->value();
        any = any || added[i] > 0;
    }
    if (!any) {
        return;
    }
    last_line_ = now;
    const auto count = [&](net::client_limit_action action) {
        return added[static_cast<std::size_t>(action)];
    };
    using enum net::client_limit_action;
    observability::log(log_events::client_limit_reached,
                       {{"requests_refused", count(request_refused)},
                        {"senders_closed", count(sender_closed)},
                        {"input_dropped", count(input_dropped)},
                        {"connections_closed", count(connection_closed)},
                        {"connections_refused", count(connection_refused)},
                        {"request_bytes", server.request_bytes()},
                        {"connections", server.connections()}});
}

} // namespace bamboogate::relay
