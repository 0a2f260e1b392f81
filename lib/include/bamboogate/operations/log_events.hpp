#ifndef BAMBOOGATE_OPERATIONS_LOG_EVENTS_HPP
#define BAMBOOGATE_OPERATIONS_LOG_EVENTS_HPP

#include <bamboogate/observability/logger.hpp>

namespace bamboogate::operations::log_events {

using observability::log_event;
using observability::severity;

inline constexpr log_event replica_not_used{
    950, severity::debug, "replica_not_used",
    "a control replica did not respond or is not the leader; the next is "
    "tried"};

inline constexpr log_event gate_not_reached{
    951, severity::warning, "gate_not_reached",
    "a gate returned no burn data; the report lacks its counts"};

} // namespace bamboogate::operations::log_events

#endif
