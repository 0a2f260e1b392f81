#ifndef BAMBOOGATE_OBSERVABILITY_LOG_EVENTS_HPP
#define BAMBOOGATE_OBSERVABILITY_LOG_EVENTS_HPP

#include <bamboogate/observability/logger.hpp>

namespace bamboogate::observability::log_events {

inline constexpr log_event burn_alert_fired{
    850, severity::warning, "burn_alert_fired",
    "both windows of an alert pair spend the error budget too fast"};

inline constexpr log_event burn_alert_ceased{
    851, severity::info, "burn_alert_ceased",
    "an alert pair no longer spends the error budget too fast"};

} // namespace bamboogate::observability::log_events

#endif
