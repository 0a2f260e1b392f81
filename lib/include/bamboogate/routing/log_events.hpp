#ifndef BAMBOOGATE_ROUTING_LOG_EVENTS_HPP
#define BAMBOOGATE_ROUTING_LOG_EVENTS_HPP

#include <bamboogate/observability/logger.hpp>

namespace bamboogate::routing::log_events {

using observability::log_event;
using observability::severity;

inline constexpr log_event upstream_joined{
    400, severity::info, "upstream_joined",
    "an upstream announced itself for the first time or with a new "
    "incarnation"};
inline constexpr log_event upstream_left{
    401, severity::info, "upstream_left",
    "an upstream reported that it leaves and gets no new work"};
inline constexpr log_event upstream_suspected{
    402, severity::warning, "upstream_suspected",
    "no announcement of an upstream arrived within the TTL"};
inline constexpr log_event upstream_removed{
    403, severity::warning, "upstream_removed",
    "a majority of the gates suspects the upstream; it gets no new work"};
inline constexpr log_event upstream_recovered{
    404, severity::info, "upstream_recovered",
    "a suspected upstream announced itself again"};
inline constexpr log_event delta_refused{
    405, severity::warning, "delta_refused",
    "another gate sent an invalid announcement, which was ignored"};

} // namespace bamboogate::routing::log_events

#endif
