#ifndef BAMBOOGATE_ORDERS_LOG_EVENTS_HPP
#define BAMBOOGATE_ORDERS_LOG_EVENTS_HPP

#include <bamboogate/observability/logger.hpp>

namespace bamboogate::orders::log_events {

using observability::log_event;
using observability::severity;

inline constexpr log_event outcome_unknown{
    700, severity::warning, "call_outcome_unknown",
    "bytes of a non-idempotent call may have left and no answer came"};
inline constexpr log_event answer_not_recorded{
    701, severity::warning, "call_answer_not_recorded",
    "the answer of a non-idempotent call went to its caller, but the commit "
    "of the answer was not confirmed"};
inline constexpr log_event call_not_run{
    702, severity::info, "call_not_run",
    "a non-idempotent call was not dispatched to any upstream"};

} // namespace bamboogate::orders::log_events

#endif
