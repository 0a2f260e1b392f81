#ifndef BAMBOOGATE_CONFIG_LOG_EVENTS_HPP
#define BAMBOOGATE_CONFIG_LOG_EVENTS_HPP

#include <bamboogate/observability/logger.hpp>

namespace bamboogate::config::log_events {

using observability::log_event;
using observability::severity;

inline constexpr log_event settings_accepted{
    900, severity::info, "settings_accepted",
    "all settings are valid and the process starts"};

inline constexpr log_event unknown_variable{
    901, severity::warning, "unknown_variable",
    "an environment variable with the prefix BAMBOOGATE_ matches no setting"};

} // namespace bamboogate::config::log_events

#endif
