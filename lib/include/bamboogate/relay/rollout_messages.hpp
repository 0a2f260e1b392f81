#ifndef BAMBOOGATE_RELAY_ROLLOUT_MESSAGES_HPP
#define BAMBOOGATE_RELAY_ROLLOUT_MESSAGES_HPP

#include <bamboogate/rollout/rollout.hpp>

#include <cstdint>
#include <string_view>
#include <vector>

namespace bamboogate::relay {

/// Replica to gates, on each change and to new subscribers: the last rollout of
/// each service. A gate keeps the record with the highest number and, within
/// one rollout, the highest phase.
struct rollout_update
{
    static constexpr std::string_view type = "relay_rollout_update";
    std::vector<rollout::rollout_record> records;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(rollout_update, records)
};

/// Leader to replicas, and replicas to gates, while a rollout is in progress:
/// the leader still judges it. A gate that has received none for
/// `trial_lease` gives the target version no further requests.
struct rollout_lease
{
    static constexpr std::string_view type = "relay_rollout_lease";
    std::vector<std::uint64_t> numbers; ///< of the rollouts in progress
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(rollout_lease, numbers)
};

/// Gate to leader: all that the gate has observed since the rollout began. Sent
/// again in full to a new leader.
struct rollout_evidence
{
    static constexpr std::string_view type = "relay_rollout_evidence";
    service_id service;
    std::uint64_t number = 0; ///< of the rollout
    std::vector<rollout::version_evidence> evidence;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(rollout_evidence, service, number, evidence)
};

/// Replica to leader: begins a rollout for an operator.
struct begin_rollout
{
    static constexpr std::string_view type = "relay_begin_rollout";
    service_id service;
    software_version target;
    std::int64_t duration_ms = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(begin_rollout, service, target, duration_ms)
};

/// Replica to leader: reads the rollout of a service that is provably the last
/// one.
struct read_rollout
{
    static constexpr std::string_view type = "relay_read_rollout";
    service_id service;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(read_rollout, service)
};

/// The record in effect after `begin_rollout`, or the answer to `read_rollout`;
/// `number` is 0 if the service never had a rollout.
struct rollout_reply
{
    static constexpr std::string_view type = "relay_rollout_reply";
    rollout::rollout_record record;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(rollout_reply, record)
};

} // namespace bamboogate::relay

#endif
