#ifndef BAMBOOGATE_RELAY_MESSAGES_HPP
#define BAMBOOGATE_RELAY_MESSAGES_HPP

#include <bamboogate/core/json.hpp>
#include <bamboogate/relay/origin_messages.hpp>
#include <bamboogate/relay/prompt_quarantine.hpp>
#include <bamboogate/relay/protocol.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bamboogate::relay {

void to_json(json& document, const announcement& value);
void from_json(const json& document, announcement& value);

// Messages between gates and control replicas, and among replicas. Replicas are
// identified by the address of their link listener, so that the id is
// sufficient to connect to them.

/// Gate to replica: subscribes to announcements, or ends the subscription.
struct subscribe
{
    static constexpr std::string_view type = "relay_subscribe";
    std::uint64_t version = 0; ///< configuration in use by the gate
    /// False ends the subscription. Earlier builds don't send the field.
    bool active = true;
    /// The gate reads `announcement_update::refreshed`. Earlier builds don't.
    bool reads_refreshes = false;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(subscribe, version, active,
                                                reads_refreshes)
};

/// Replica to all peers: its view of the control plane.
struct control_view
{
    static constexpr std::string_view type = "relay_control_view";
    std::vector<std::string> replicas;
    std::string leader;           ///< empty: unknown
    std::uint64_t version = 0;    ///< newest committed configuration
    std::uint64_t gates = 0;      ///< all gates, as far as this replica knows
    std::uint64_t subscribed = 0; ///< gates subscribed to this replica
    /// The replica passes on what other replicas have received, so that one
    /// subscription is enough. Earlier builds don't and don't send the field.
    bool forwards = false;
    /// The replica is about to stop. Earlier builds don't send the field.
    bool stopping = false;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(control_view, replicas, leader,
                                                version, gates, subscribed,
                                                forwards, stopping)
};

/// Requests the newest configuration that a replica has applied.
struct fetch_configuration
{
    static constexpr std::string_view type = "relay_fetch_configuration";
    std::uint64_t above = 0; ///< sent only if newer than this version
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(fetch_configuration, above)
};

/// A configuration as submitted by the operator; version 0 means none.
struct configuration_document
{
    static constexpr std::string_view type = "relay_configuration_document";
    std::uint64_t version = 0;
    std::string text;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(configuration_document, version, text)
};

/// Replica to leader: stores a validated configuration.
struct store_configuration
{
    static constexpr std::string_view type = "relay_store_configuration";
    std::uint64_t version = 0;
    std::string text;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(store_configuration, version, text)
};

/// The version in effect after a `store_configuration`.
struct configuration_stored_reply
{
    static constexpr std::string_view type = "relay_configuration_stored";
    std::uint64_t version = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(configuration_stored_reply, version)
};

/// Replica to leader: reads the configuration that is provably the newest.
struct read_configuration
{
    static constexpr std::string_view type = "relay_read_configuration";
    std::uint64_t held = 0; ///< version that the sender already has
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(read_configuration, held)
};

/// Request of a replica outside of the group to become a member.
struct join_request
{
    static constexpr std::string_view type = "relay_join_request";
    std::string node;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(join_request, node)
};

/// Replica to leader: the sender is about to stop and may not come back. The
/// reply confirms that it has no vote any more; `not_found` if no other replica
/// can take it.
struct leave_group
{
    static constexpr std::string_view type = "relay_leave_group";
    std::string node;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(leave_group, node)
};

struct group_left
{
    static constexpr std::string_view type = "relay_group_left";
    std::string node;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(group_left, node)
};

/// An announcement that changed nothing but the time at which the upstream was
/// last heard.
struct upstream_refresh
{
    upstream_id id;
    std::uint64_t started_at = 0;
    std::uint64_t sequence = 0;
};

void to_json(json& document, const upstream_refresh& value);
void from_json(const json& document, upstream_refresh& value);

/// Announcements and deregistrations that a replica has received from
/// upstreams.
struct announcement_update
{
    static constexpr std::string_view type = "relay_announcement_news";
    std::vector<announcement> heard;   ///< announced
    std::vector<announcement> leaving; ///< deregistered; id and start time
    std::vector<upstream_refresh> refreshed; ///< announced without a change
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(announcement_update, heard,
                                                leaving, refreshed)
};

/// Replica to leader: records the departure of an upstream in the replicated
/// state. The reply confirms that it is committed.
struct record_departure
{
    static constexpr std::string_view type = "relay_record_departure";
    upstream_id id;
    std::uint64_t started_at = 0; ///< 0: the upstream does not tell it
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(record_departure, id, started_at)
};

struct departure_recorded
{
    static constexpr std::string_view type = "relay_departure_recorded";
    std::string upstream;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(departure_recorded, upstream)
};

/// Replica to replica while the leader is of an earlier build: an upstream
/// leaves. The reply confirms that the receiver has recorded it in memory.
struct record_leaving
{
    static constexpr std::string_view type = "relay_record_leaving";
    announcement announced;
    bool deregistered = false; ///< only id and start time are known
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(record_leaving, announced, deregistered)
};

struct leaving_recorded
{
    static constexpr std::string_view type = "relay_leaving_recorded";
    std::string upstream;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(leaving_recorded, upstream)
};

/// Gate to replica: an upstream stated in a response that it leaves.
struct leaving_statement
{
    static constexpr std::string_view type = "relay_leaving_statement";
    announcement announced;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(leaving_statement, announced)
};

/// Gate to leader: an engine refused a request and asked for a pause.
struct pause_statement
{
    static constexpr std::string_view type = "relay_pause_statement";
    upstream_id upstream;
    std::uint64_t started_at = 0;
    std::int64_t pause_ms = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(pause_statement, upstream, started_at,
                                   pause_ms)
};

/// Gate to replicas: the gate opens tunnels to upstreams for other gates. Sent
/// when a link comes up and at each change. Earlier builds don't send it.
struct gate_reachability
{
    static constexpr std::string_view type = "relay_gate_reachability";
    bool reaches_upstreams = true;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(gate_reachability, reaches_upstreams)
};

/// Gate to replica: requests gates that reach the upstreams. Earlier builds
/// don't serve it.
struct find_gates
{
    static constexpr std::string_view type = "relay_find_gates";
    std::uint64_t count = 0; ///< at most, of the own and of other domains
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(find_gates, count)
};

/// The addresses at which these gates open tunnels.
struct gates_found
{
    static constexpr std::string_view type = "relay_gates_found";
    std::vector<std::string> near; ///< of the requester's failure domain
    std::vector<std::string> far;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(gates_found, near, far)
};

/// Gate to replicas, and replicas to gates: connections to an upstream broke or
/// stalled.
struct upstream_suspicion
{
    static constexpr std::string_view type = "relay_upstream_suspicion";
    std::string upstream;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(upstream_suspicion, upstream)
};

/// Gate to leader: requests a placement for a stream. The reply is sent once
/// the stream is placed or refused.
struct place_request
{
    static constexpr std::string_view type = "relay_place_request";
    service_id service;
    request_id id;
    client_account_id account;
    unsigned rank = 0;
    bool urgent = false; ///< the route has the most urgent rank
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0;
    std::string prompt; ///< identifies the prompt, see `request_description`
    std::vector<upstream_id> excluded;
    bool resuming = false;
    std::int64_t start_within_ms = 0; ///< a later start misses the objective
    /// Parts of the prompt that other requests may share, see
    /// `prompt_quarantine`. Earlier builds don't send them.
    std::vector<std::string> shared_parts;
    /// Takes part in the trial of a version, see `rollout::trial_selector`.
    /// Earlier builds don't send it.
    bool trial = false;
    /// Identifies the stream over all attempts of its caller, see
    /// `request_description::stream`. Earlier builds don't send this and the
    /// next two.
    request_id stream;
    bool version_known = false; ///< of the stream's origin
    software_version version;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(
        place_request, service, id, account, rank, urgent, prompt_tokens,
        output_tokens, prompt, excluded, resuming, start_within_ms,
        shared_parts, trial, stream, version_known, version)
};

/// @brief Converts the copy holder in a message, where empty means none.
[[nodiscard]] inline std::optional<upstream_id>
named_holder(const upstream_id& id)
{
    return id.empty() ? std::nullopt : std::optional(id);
}

/// The leader's placement decision.
struct place_reply
{
    static constexpr std::string_view type = "relay_place_reply";
    upstream_id engine;              ///< empty: refused
    upstream_id copy_holder;         ///< empty: no copy
    std::int64_t retry_after_ms = 0; ///< if refused
    bool quarantined = false; ///< refused because it would crash its engine
    std::uint8_t origin = 0;  ///< value of `origin_state`, for a resumed stream
    software_version version; ///< of the engine
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(place_reply, engine,
                                                copy_holder, retry_after_ms,
                                                quarantined, origin, version)
};

/// Gate to leader: requests another copy holder for a running stream.
struct copy_request
{
    static constexpr std::string_view type = "relay_copy_request";
    service_id service;
    request_id id;
    std::vector<upstream_id> excluded; ///< engines that refused the copy
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(copy_request, service, id, excluded)
};

/// The engine chosen to hold the copy.
struct copy_reply
{
    static constexpr std::string_view type = "relay_copy_reply";
    upstream_id holder; ///< empty: none has capacity
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(copy_reply, holder)
};

/// Gate to leader: requests a retry of the leader's reserve for a stream that
/// has begun. Earlier builds don't serve it.
struct retry_request
{
    static constexpr std::string_view type = "relay_retry_request";
    service_id service;
    request_id id;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(retry_request, service, id)
};

/// The leader's decision on a `retry_request`.
struct retry_reply
{
    static constexpr std::string_view type = "relay_retry_reply";
    bool granted = false;
    std::int64_t wait_ms = 0; ///< until the next one can be granted; if refused
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(retry_reply, granted, wait_ms)
};

/// Gate to leader: a state change of a run. A new leader receives one for each
/// running stream.
struct run_update
{
    static constexpr std::string_view type = "relay_run_update";
    enum class change : std::uint8_t
    {
        placed = 0,  ///< runs on `engine`, chosen by the gate
        started = 1, ///< its first event arrived
        ended = 2,
    };

    service_id service;
    request_id id;
    std::uint8_t what = 0; ///< value of `change`
    client_account_id account;
    unsigned rank = 0;
    bool urgent = false;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0;
    std::string prompt;
    std::uint64_t unread_tokens = 0; ///< of the prompt, not prefilled yet
    upstream_id engine;
    upstream_id copy_holder;
    std::vector<std::string> shared_parts; ///< of a run that has not begun
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(run_update, service, id, what,
                                                account, rank, urgent,
                                                prompt_tokens, output_tokens,
                                                prompt, unread_tokens, engine,
                                                copy_holder, shared_parts)
};

/// Gate to leader: the connection of a request broke before its first event or
/// response. If the upstream doesn't accept connections either, the report is
/// repeated as confirmed.
struct crash_report
{
    static constexpr std::string_view type = "relay_crash_report";
    service_id service;
    request_id id;
    upstream_id engine;
    std::uint64_t engine_started_at = 0;
    std::vector<std::string> shared_parts;
    bool confirmed = false; ///< the engine is gone
    /// `request_fingerprint`. Earlier builds don't send this and the next one.
    std::string request;
    bool repeated = false; ///< sent again after an earlier crash under it
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(crash_report, service, id,
                                                engine, engine_started_at,
                                                shared_parts, confirmed,
                                                request, repeated)

    /// @return identifies the start of the engine that crashed
    [[nodiscard]] std::string engine_start() const;
};

/// Leader to replicas, and replicas to gates: requests of the service that
/// contain all of these parts are refused.
struct quarantine_update
{
    static constexpr std::string_view type = "relay_quarantine_update";
    service_id service;
    std::vector<std::string> parts;
    unsigned crashes = 0;
    unsigned repetitions = 0;
    std::int64_t remaining_ms = 0; ///< 0: lifted by an operator
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(quarantine_update, service, parts, crashes,
                                   repetitions, remaining_ms)
};

/// Leader to replicas, and replicas to gates: upstreams have crashed under this
/// request, or it has been answered since.
struct suspicion_update
{
    static constexpr std::string_view type = "relay_suspicion_update";
    service_id service;
    std::string request;  ///< `request_fingerprint`
    unsigned crashes = 0; ///< 0: answered
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(suspicion_update, service, request, crashes)
};

/// Gate to leader: an upstream has answered a suspected request.
struct suspect_answered
{
    static constexpr std::string_view type = "relay_suspect_answered";
    service_id service;
    std::string request; ///< `request_fingerprint`
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(suspect_answered, service, request)
};

[[nodiscard]] quarantine_update
make_quarantine_update(const service_id& service,
                       const quarantined_parts& quarantine);
[[nodiscard]] quarantined_parts to_quarantine(const quarantine_update& update);

} // namespace bamboogate::relay

#endif
