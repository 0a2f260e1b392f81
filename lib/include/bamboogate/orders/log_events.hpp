#ifndef BAMBOOGATE_ORDERS_LOG_EVENTS_HPP
#define BAMBOOGATE_ORDERS_LOG_EVENTS_HPP

#include <bamboogate/observability/logger.hpp>

namespace bamboogate::orders::log_events {

using observability::log_event;
using observability::severity;

inline constexpr log_event outcome_unknown{
    700, severity::warning, "call_outcome_unknown",
    "bytes of a non-idempotent call may have been sent and no answer was "
    "received"};
inline constexpr log_event answer_not_recorded{
    701, severity::warning, "call_answer_not_recorded",
    "the answer to a non-idempotent call was sent to its caller, but its "
    "commit was not confirmed"};
inline constexpr log_event call_not_run{
    702, severity::info, "call_not_run",
    "a non-idempotent call was not dispatched to any upstream"};

} // namespace bamboogate::orders::log_events

#endif
