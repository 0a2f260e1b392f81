#ifndef BAMBOOGATE_SCHEDULING_LOG_EVENTS_HPP
#define BAMBOOGATE_SCHEDULING_LOG_EVENTS_HPP

#include <bamboogate/observability/logger.hpp>

namespace bamboogate::scheduling::log_events {

using observability::log_event;
using observability::severity;

inline constexpr log_event preset_applied{
    500, severity::info, "preset_applied",
    "the scheduler switched to another preset"};
inline constexpr log_event work_displaced{
    501, severity::warning, "work_displaced",
    "queued requests were refused because a new preset has no room for them"};
inline constexpr log_event usage_news_lost{
    502, severity::warning, "usage_news_lost",
    "another gate's usage reports stopped; usage there is not charged here"};
inline constexpr log_event usage_news_back{
    503, severity::info, "usage_news_back",
    "another gate's usage reports arrive again"};

} // namespace bamboogate::scheduling::log_events

#endif
