#ifndef BAMBOOGATE_OBSERVABILITY_LOG_EVENTS_HPP
#define BAMBOOGATE_OBSERVABILITY_LOG_EVENTS_HPP

#include <bamboogate/observability/logger.hpp>

namespace bamboogate::observability::log_events {

inline constexpr log_event burn_alert_fired{
    850, severity::warning, "burn_alert_fired",
    "the burn rate of both windows of an alert pair reaches its threshold"};

inline constexpr log_event burn_alert_ceased{
    851, severity::info, "burn_alert_ceased",
    "the burn rate of an alert pair is no longer at its threshold in both "
    "windows"};

} // namespace bamboogate::observability::log_events

#endif
