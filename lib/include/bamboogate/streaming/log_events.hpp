#ifndef BAMBOOGATE_STREAMING_LOG_EVENTS_HPP
#define BAMBOOGATE_STREAMING_LOG_EVENTS_HPP

#include <bamboogate/observability/logger.hpp>

namespace bamboogate::streaming::log_events {

using observability::log_event;
using observability::severity;

inline constexpr log_event attempt_lost{
    600, severity::info, "attempt_lost",
    "An engine attempt ended before the answer was complete; another attempt "
    "follows within the retry limits."};
inline constexpr log_event generation_failed{
    601, severity::warning, "generation_failed",
    "A generation ended without a complete answer."};
inline constexpr log_event released_without_copy{
    602, severity::warning, "released_without_copy",
    "No other gate is reachable; tokens are released without a copy."};
inline constexpr log_event copies_resumed{
    603, severity::info, "copies_resumed",
    "Another gate is reachable again; tokens are copied before their release."};
inline constexpr log_event buddy_changed{
    604, severity::info, "buddy_changed",
    "The gate that holds a generation's copy was replaced."};
inline constexpr log_event takeover{
    605, severity::info, "takeover",
    "This gate continues a generation of another gate."};
inline constexpr log_event superseded{
    606, severity::warning, "superseded",
    "Another gate has taken over a generation; this gate releases no more of "
    "its tokens."};
inline constexpr log_event copy_refused{
    607, severity::warning, "copy_refused",
    "The memory limit for copies of other gates' generations is reached."};
inline constexpr log_event attach_failed{
    608, severity::info, "attach_failed",
    "A reconnecting caller's generation was not found or cannot be continued."};
inline constexpr log_event caller_absent{
    609, severity::info, "caller_absent",
    "A generation ended because no caller took its tokens in time."};
inline constexpr log_event process_was_suspended{
    610, severity::warning, "process_was_suspended",
    "The event loop was suspended; the time-outs of streams are restarted."};

} // namespace bamboogate::streaming::log_events

#endif
