#ifndef BAMBOOGATE_RELAY_PROCESS_LOG_HPP
#define BAMBOOGATE_RELAY_PROCESS_LOG_HPP

#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/link_hub.hpp>

#include <string>

// What a process of the relay logs and counts about its links and its loop.
// Call all functions from the loop's thread.
namespace bamboogate::relay {

void log_link_established(const net::peer_info& peer);

/// @brief Logs how the last link to a peer ended.
void log_link_lost(const net::peer_info& peer, const net::link_end& end);

/// @brief Logs the traffic of a hub by message type.
void log_link_traffic(const net::link_hub::traffic& totals);

/// @brief Logs each turn of the loop that delays heartbeats noticeably.
void log_long_turns(net::event_loop& loop);

/// @brief The loop's turns as metrics, in the text format of Prometheus.
[[nodiscard]] std::string turn_metrics(const net::event_loop& loop);

} // namespace bamboogate::relay

#endif
