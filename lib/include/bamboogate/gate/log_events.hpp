#ifndef BAMBOOGATE_GATE_LOG_EVENTS_HPP
#define BAMBOOGATE_GATE_LOG_EVENTS_HPP

#include <bamboogate/observability/logger.hpp>

namespace bamboogate::gate::log_events {

using observability::log_event;
using observability::severity;

inline constexpr log_event gate_started{
    800, severity::info, "gate_started",
    "the gate listens for callers and links"};
inline constexpr log_event configuration_applied{
    801, severity::info, "configuration_applied",
    "a newer revision of the configuration is in force at this gate"};
inline constexpr log_event drain_started{
    802, severity::info, "drain_started",
    "the gate takes no new work and waits for running requests"};
inline constexpr log_event drain_finished{
    803, severity::info, "drain_finished",
    "no request is running any more; the gate stops"};
inline constexpr log_event drain_limit_reached{
    804, severity::error, "drain_limit_reached",
    "requests were still running when the drain limit passed; the gate stops "
    "and their callers continue at the gates that hold the copies"};
inline constexpr log_event readiness_changed{
    805, severity::info, "readiness_changed",
    "the gate began or ceased to accept new work"};

} // namespace bamboogate::gate::log_events

#endif
