#ifndef BAMBOOGATE_CONSENSUS_LOG_EVENTS_HPP
#define BAMBOOGATE_CONSENSUS_LOG_EVENTS_HPP

#include <bamboogate/observability/logger.hpp>

namespace bamboogate::consensus::log_events {

using observability::log_event;
using observability::severity;

inline constexpr log_event replica_started{
    200, severity::info, "replica_started",
    "The data folder was read and the replica joins the protocol."};
inline constexpr log_event torn_tail_cut{
    201, severity::warning, "torn_tail_cut",
    "An incomplete last batch, which was never acknowledged, was truncated "
    "from the log."};
inline constexpr log_event role_changed{
    202, severity::info, "role_changed",
    "This replica became leader, or stopped being leader."};
inline constexpr log_event leader_changed{
    203, severity::info, "leader_changed",
    "The leader known to this replica changed; it may be none."};
inline constexpr log_event snapshot_stored{
    204, severity::info, "snapshot_stored",
    "A snapshot is on disk and the log segments that it covers were removed."};
inline constexpr log_event snapshot_installed{
    205, severity::info, "snapshot_installed",
    "The state was replaced with a snapshot from the leader."};
inline constexpr log_event members_changed{
    206, severity::info, "members_changed",
    "A configuration of the cluster was committed."};
inline constexpr log_event folder_refused{
    207, severity::warning, "folder_refused",
    "The configuration names another data folder for this replica; it has no "
    "vote until the leader has accepted the new folder."};
inline constexpr log_event replica_failed{
    208, severity::error, "replica_failed",
    "Storage failed, or a snapshot could not be restored; the replica takes no "
    "part. After storage_full and storage_failed it opens its folder again."};
inline constexpr log_event transfer_started{
    209, severity::info, "transfer_started",
    "A leadership transfer to another voter has started."};
inline constexpr log_event replica_recovered{
    210, severity::info, "replica_recovered",
    "The folder of a failed replica was opened again; it takes part again."};
inline constexpr log_event snapshot_refused{
    211, severity::warning, "snapshot_refused",
    "A snapshot could not be written; the log is kept and the next snapshot is "
    "attempted later."};
inline constexpr log_event storage_stalled{
    212, severity::warning, "storage_stalled",
    "A write of the leader to its disk takes long; another voter is asked to "
    "lead."};

} // namespace bamboogate::consensus::log_events

#endif
