#ifndef BAMBOOGATE_RELAY_LOG_EVENTS_HPP
#define BAMBOOGATE_RELAY_LOG_EVENTS_HPP

#include <bamboogate/observability/logger.hpp>

namespace bamboogate::relay::log_events {

using observability::log_event;
using observability::severity;

inline constexpr log_event process_started{
    1000, severity::info, "relay_process_started",
    "A relay process listens on its addresses."};
inline constexpr log_event process_stopping{
    1001, severity::info, "relay_process_stopping",
    "The process was told to stop; it takes no new work and lets running work "
    "finish."};
inline constexpr log_event process_stopped{
    1002, severity::info, "relay_process_stopped",
    "The process ends; open work is counted."};
inline constexpr log_event settings_reloaded{
    1003, severity::info, "relay_settings_reloaded",
    "The settings were read again; what changed is listed."};
inline constexpr log_event process_failed{1004, severity::error,
                                          "relay_process_failed",
                                          "The process ends by an error."};
inline constexpr log_event control_link_up{
    1010, severity::info, "control_link_up",
    "A link to another process of the system came up."};
inline constexpr log_event control_link_down{
    1011, severity::warning, "control_link_down",
    "A link to another process of the system was lost."};
inline constexpr log_event configuration_applied{
    1012, severity::info, "relay_configuration_applied",
    "This process uses a newer configuration."};
inline constexpr log_event configuration_rejected{
    1013, severity::warning, "relay_configuration_rejected",
    "A configuration could not be read or is invalid."};
inline constexpr log_event configuration_stored{
    1014, severity::info, "relay_configuration_stored",
    "A configuration is committed on a majority of the replicas."};
inline constexpr log_event configuration_answered{
    1015, severity::info, "relay_configuration_answered",
    "An operator's call was answered."};
inline constexpr log_event readiness_changed{
    1016, severity::info, "readiness_changed",
    "This process takes new callers, or no longer does."};
inline constexpr log_event members_changed{
    1017, severity::info, "control_members_changed",
    "The leader adds, promotes or removes a control replica."};
inline constexpr log_event upstream_changed{
    1020, severity::info, "relay_upstream_changed",
    "An upstream is new, leaves, was replaced or is forgotten."};
inline constexpr log_event announcement_rejected{
    1021, severity::warning, "announcement_rejected",
    "An announcement could not be read; it names no upstream to use."};
inline constexpr log_event upstream_suspended{
    1022, severity::warning, "upstream_suspended",
    "An upstream failed and gets no new work for a while."};
inline constexpr log_event stream_placed{
    1023, severity::info, "stream_placed",
    "The leader gave a stream its engine and the holder of its copy, or "
    "refused it."};
inline constexpr log_event copy_placed{
    1026, severity::info, "stream_copy_placed",
    "The leader named another holder for the copy of a running stream, or "
    "found none with room."};
inline constexpr log_event copy_ordered{
    1024, severity::info, "stream_copy_ordered",
    "An engine was told to copy the memory of a stream that had lost its "
    "copy."};
inline constexpr log_event copy_order_failed{
    1025, severity::warning, "stream_copy_order_failed",
    "An ordered copy was not made; another holder is asked for."};
inline constexpr log_event engine_cache_read{
    1027, severity::info, "relay_engine_cache_read",
    "A new leader knows which prompts an engine keeps."};
inline constexpr log_event engine_cache_unreadable{
    1028, severity::warning, "relay_engine_cache_unreadable",
    "An engine's answer about its cache could not be read."};
inline constexpr log_event request_refused{
    1030, severity::info, "relay_request_refused",
    "A request was refused without being sent to an upstream."};
inline constexpr log_event request_held{
    1036, severity::info, "relay_request_held",
    "A request waits for the gate's first configuration."};
inline constexpr log_event attempt_started{
    1031, severity::info, "relay_attempt_started",
    "A request was sent to an upstream."};
inline constexpr log_event attempt_failed{
    1032, severity::warning, "relay_attempt_failed",
    "An attempt ended without a usable answer."};
inline constexpr log_event request_ended{
    1033, severity::info, "relay_request_ended",
    "The caller has its final answer, or none can be given."};
inline constexpr log_event stream_ended{
    1035, severity::info, "relay_stream_ended",
    "A stream is over: its first event, its longest pause and where that "
    "pause was."};
inline constexpr log_event caller_left{
    1034, severity::info, "relay_caller_left",
    "The caller closed its connection; its work is cancelled."};
inline constexpr log_event log_lines_dropped{
    1040, severity::warning, "log_lines_dropped",
    "The reader of the log was too slow; lines were left out."};

} // namespace bamboogate::relay::log_events

#endif
