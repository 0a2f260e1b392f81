#ifndef BAMBOOGATE_CONTROL_LOG_EVENTS_HPP
#define BAMBOOGATE_CONTROL_LOG_EVENTS_HPP

#include <bamboogate/observability/logger.hpp>

/// Log events of the control area, numbers 300 to 399.
namespace bamboogate::control::log_events {

using observability::log_event;
using observability::severity;

inline constexpr log_event leadership_gained{
    300, severity::info, "leadership_gained",
    "This replica leads the control service."};
inline constexpr log_event leadership_lost{
    301, severity::info, "leadership_lost",
    "This replica no longer leads the control service."};
inline constexpr log_event configuration_accepted{
    302, severity::info, "configuration_accepted",
    "A new revision of the configuration is committed."};
inline constexpr log_event configuration_in_force{
    303, severity::info, "configuration_in_force",
    "No gate admits work under an older revision any more."};
inline constexpr log_event calls_marked_unknown{
    304, severity::warning, "calls_marked_unknown",
    "Open non-idempotent calls of a lost gate were marked unknown."};
inline constexpr log_event proposal_failed{
    305, severity::warning, "proposal_failed",
    "A command that the control service proposed itself failed."};
inline constexpr log_event order_ended{306, severity::info, "order_ended",
                                       "An order to an upstream has ended."};
inline constexpr log_event operator_refused{
    307, severity::warning, "operator_refused",
    "An operator request had no valid key."};
inline constexpr log_event operator_change{
    308, severity::info, "operator_change",
    "An operator requested a change; commits are logged with their outcome."};
inline constexpr log_event lease_lost{
    310, severity::warning, "lease_lost",
    "This gate has no valid configuration lease and refuses new work."};
inline constexpr log_event lease_gained{
    311, severity::info, "lease_gained",
    "This gate has a valid configuration lease."};
inline constexpr log_event configuration_applied{
    312, severity::info, "configuration_applied",
    "This gate applied a new revision of the configuration."};
inline constexpr log_event configuration_unreadable{
    313, severity::error, "configuration_unreadable",
    "This gate could not decode a configuration that it received."};
inline constexpr log_event process_started{
    320, severity::info, "control_started", "The control process is serving."};
inline constexpr log_event process_stopping{
    321, severity::info, "control_stopping",
    "A signal was received; the control process transfers its leadership, "
    "if any, and stops."};
inline constexpr log_event process_failed{
    322, severity::error, "control_failed",
    "The control process failed and exits."};

} // namespace bamboogate::control::log_events

#endif
