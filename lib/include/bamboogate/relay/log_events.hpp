#ifndef BAMBOOGATE_RELAY_LOG_EVENTS_HPP
#define BAMBOOGATE_RELAY_LOG_EVENTS_HPP

#include <bamboogate/observability/logger.hpp>

namespace bamboogate::relay::log_events {

using observability::log_event;
using observability::severity;

inline constexpr log_event process_started{
    1000, severity::info, "relay_process_started",
    "The process has started and listens on its addresses."};
inline constexpr log_event process_stopping{
    1001, severity::info, "relay_process_stopping",
    "A planned stop has started: new work is refused, short requests only "
    "after a transition period, and running work is completed."};
inline constexpr log_event process_stopped{
    1002, severity::info, "relay_process_stopped",
    "The process exits; the number of unfinished requests is recorded."};
inline constexpr log_event settings_reloaded{
    1003, severity::info, "relay_settings_reloaded",
    "The settings were reloaded; the changed ones are recorded."};
inline constexpr log_event process_failed{
    1004, severity::error, "relay_process_failed",
    "The process exits because of an error, or its metrics endpoint could not "
    "be started."};
inline constexpr log_event control_link_up{
    1010, severity::info, "control_link_up",
    "A link to another process of the system was established."};
inline constexpr log_event control_link_down{
    1011, severity::warning, "control_link_down",
    "A link to another process of the system was lost."};
inline constexpr log_event configuration_applied{
    1012, severity::info, "relay_configuration_applied",
    "The process applied a newer configuration."};
inline constexpr log_event configuration_rejected{
    1013, severity::warning, "relay_configuration_rejected",
    "A configuration could not be fetched or parsed, or is invalid."};
inline constexpr log_event configuration_stored{
    1014, severity::info, "relay_configuration_stored",
    "A configuration was committed by a majority of the control replicas."};
inline constexpr log_event configuration_answered{
    1015, severity::info, "relay_configuration_answered",
    "An operator's call to store or read the configuration was answered."};
inline constexpr log_event readiness_changed{
    1016, severity::info, "readiness_changed",
    "The gate became ready for new callers, or is no longer ready."};
inline constexpr log_event members_changed{
    1017, severity::info, "control_members_changed",
    "The leader adds, promotes or removes a control replica."};
inline constexpr log_event home_replica_changed{
    1018, severity::info, "home_replica_changed",
    "The gate subscribed to another control replica for announcements and "
    "configurations."};
inline constexpr log_event link_traffic{
    1019, severity::info, "relay_link_traffic",
    "The bytes and messages sent over links since the start, by message "
    "type."};
inline constexpr log_event upstream_changed{
    1020, severity::info, "relay_upstream_changed",
    "An upstream was added, deregistered or drains, was replaced or has "
    "expired."};
inline constexpr log_event announcement_rejected{
    1021, severity::warning, "announcement_rejected",
    "An announcement of an upstream could not be parsed and was ignored."};
inline constexpr log_event upstream_suspended{
    1022, severity::warning, "upstream_suspended",
    "An upstream failed and temporarily receives no new work; its state and, "
    "after a probe, whether the connection was refused or not answered are "
    "recorded."};
inline constexpr log_event stream_placed{
    1023, severity::info, "stream_placed",
    "The leader assigned an engine and a copy holder to a stream, or refused "
    "the stream."};
inline constexpr log_event copy_placed{
    1026, severity::info, "stream_copy_placed",
    "The leader chose another holder for the copy of a running stream, or "
    "found none with free capacity."};
inline constexpr log_event copy_ordered{
    1024, severity::info, "stream_copy_ordered",
    "The engine of a stream without a copy copied its KV cache to another "
    "engine on request."};
inline constexpr log_event copy_order_failed{
    1025, severity::warning, "stream_copy_order_failed",
    "A requested copy was not made; the gate retries, after a refusal with "
    "another holder."};
inline constexpr log_event engine_cache_read{
    1027, severity::info, "relay_engine_cache_read",
    "The leader read which prompts an engine caches."};
inline constexpr log_event engine_cache_unreadable{
    1028, severity::warning, "relay_engine_cache_unreadable",
    "An engine's response to the cache call could not be parsed."};
inline constexpr log_event leaving_unconfirmed{
    1029, severity::warning, "relay_upstream_leaving_unconfirmed",
    "An upstream that leaves got no acknowledgement, because the replicas did "
    "not record it in time; it has to tell another replica."};
inline constexpr log_event upstream_paused{
    1039, severity::info, "relay_upstream_paused",
    "An upstream refused a request and asked for no requests for the stated "
    "time; kept_ms is 0 if the time was not positive or could not be read."};
inline constexpr log_event quarantine_decided{
    1037, severity::warning, "relay_quarantine_decided",
    "The leader found parts of prompts, or a request as a whole, under which "
    "upstreams crash; requests that contain all of them are refused for the "
    "recorded time."};
inline constexpr log_event quarantine_added{
    1038, severity::info, "relay_quarantine_added",
    "A process refuses requests with the recorded parts of a prompt, or the "
    "recorded request, as the leader has decided; remaining_ms is 0 if an "
    "operator lifted it."};
inline constexpr log_event crash_counted{
    1041, severity::warning, "relay_crash_counted",
    "An upstream crashed under a request; the crashes counted against the "
    "request as a whole since its last answer are recorded."};
inline constexpr log_event suspicion_changed{
    1042, severity::info, "relay_suspicion_changed",
    "The leader told the gates to report answers to a request under which "
    "upstreams have crashed; crashes is 0 after such an answer."};
inline constexpr log_event retry_refused{
    1250, severity::warning, "relay_retry_refused",
    "A request gets no further attempt now: its sends, its runs or its time "
    "are used up, or the gate's part of the limit of retries is; the retries "
    "used and allowed in the window are recorded."};
inline constexpr log_event retry_granted{
    1251, severity::info, "relay_retry_granted",
    "The leader granted a retry of its reserve to a stream whose gate has used "
    "up its part of the limit of retries."};
inline constexpr log_event request_refused{
    1030, severity::info, "relay_request_refused",
    "A request was refused; no upstream has executed it."};
inline constexpr log_event request_held{
    1036, severity::info, "relay_request_held",
    "A request waits for the gate's first configuration."};
inline constexpr log_event attempt_started{
    1031, severity::info, "relay_attempt_started",
    "A request was sent to an upstream."};
inline constexpr log_event upstream_paths_changed{
    1045, severity::warning, "relay_upstream_paths_changed",
    "The gate reaches no upstream directly any more and connects over other "
    "gates, or reaches upstreams directly again."};
inline constexpr log_event attempt_failed{
    1032, severity::warning, "relay_attempt_failed",
    "An attempt ended without a usable response."};
inline constexpr log_event request_ended{
    1033, severity::info, "relay_request_ended",
    "A request ended: its final response was sent, or none can be sent."};
inline constexpr log_event stream_ended{
    1035, severity::info, "relay_stream_ended",
    "A stream was completed; its time to the first event and its longest "
    "pause, with the engine, are recorded."};
inline constexpr log_event caller_left{
    1034, severity::info, "relay_caller_left",
    "The caller closed its connection; its request was cancelled."};
inline constexpr log_event input_discarded{
    1043, severity::warning, "relay_input_discarded",
    "A caller sent more on a connection that the gate had closed; its request "
    "was neither read nor answered."};
inline constexpr log_event client_limit_reached{
    1220, severity::warning, "relay_client_limit_reached",
    "Requests or connections of clients were refused or closed since the last "
    "such line, because together they would exceed the memory or the "
    "descriptors that the process has for them; none of these requests was "
    "run."};
inline constexpr log_event client_limits_set{
    1221, severity::info, "relay_client_limits_set",
    "The process starts with these limits on the requests and connections of "
    "all its clients."};
inline constexpr log_event reading_paused{
    1240, severity::info, "relay_reading_paused",
    "A stream's engine is read no further, because the caller reads slowly; "
    "the unread bytes are recorded."};
inline constexpr log_event reading_resumed{
    1241, severity::info, "relay_reading_resumed",
    "A stream's engine is read again, because its caller has read; the time "
    "of the pause is recorded."};
inline constexpr log_event reader_given_up{
    1242, severity::warning, "relay_reader_given_up",
    "A caller that does not read its answer was disconnected: for longer than "
    "the limit, or because the memory for answers was used up."};
inline constexpr log_event log_lines_dropped{
    1040, severity::warning, "log_lines_dropped",
    "Log lines were dropped, because the reader of the log was too slow."};
inline constexpr log_event loop_turn_long{
    1044, severity::warning, "loop_turn_long",
    "The process handled the events of one poll for longer than its peers "
    "should wait; messages that arrived meanwhile were read late."};
inline constexpr log_event rollout_begun{
    1200, severity::info, "relay_rollout_begun",
    "A rollout was committed by a majority of the control replicas; the target "
    "version begins its trial."};
inline constexpr log_event rollout_phase_changed{
    1201, severity::info, "relay_rollout_phase_changed",
    "The phase of a rollout was committed, with the reason; the replica that "
    "decided adds the counts of its evidence."};
inline constexpr log_event rollout_order_refused{
    1202, severity::warning, "relay_rollout_order_refused",
    "An operator's order of a rollout was refused: it can't be served, or "
    "another rollout of the service is in progress."};
inline constexpr log_event rollout_answered{
    1203, severity::info, "relay_rollout_answered",
    "An operator's call to begin or read a rollout was answered."};
inline constexpr log_event trial_attempt{
    1210, severity::info, "relay_trial_attempt",
    "A request was sent to an upstream of a version on trial."};
inline constexpr log_event rollout_applied{
    1211, severity::info, "relay_rollout_applied",
    "The gate applied a newer record of a service's rollout; its phase decides "
    "which versions get later attempts."};
inline constexpr log_event version_recorded{
    1260, severity::info, "relay_version_recorded",
    "The leader recorded that engines of a software version may begin streams, "
    "or that no stream of the version is left to resume."};
inline constexpr log_event origin_missing{
    1261, severity::warning, "relay_origin_missing",
    "A caller resumes a stream, but the software version that began it is not "
    "known yet, is unknown, or has no engine left."};
inline constexpr log_event departure_recorded{
    1262, severity::info, "relay_departure_recorded",
    "The leader recorded that an upstream leaves, so that a late announcement "
    "does not bring it back after a restart of all replicas."};

} // namespace bamboogate::relay::log_events

#endif
