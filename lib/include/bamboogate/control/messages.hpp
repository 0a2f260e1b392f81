#ifndef BAMBOOGATE_CONTROL_MESSAGES_HPP
#define BAMBOOGATE_CONTROL_MESSAGES_HPP

#include <bamboogate/control/declarations.hpp>
#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bamboogate::control {

using header_list = std::vector<std::pair<std::string, std::string>>;

/// Gate to leader: requests a new configuration lease.
struct gate_renew
{
    static constexpr std::string_view type = "gate_renew";
    node_id gate;
    bamboogate::incarnation incarnation;
    bamboogate::revision applied_revision;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(gate_renew, gate, incarnation,
                                   applied_revision)
};

/// Leader to gate: grants a lease, which starts at the time the renewal was
/// sent.
struct gate_grant
{
    static constexpr std::string_view type = "gate_grant";
    bamboogate::revision revision;
    std::uint64_t lease_ms = 0;
    /// See `pack_configuration`; null if the gate has already applied it.
    json configuration;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(gate_grant, revision, lease_ms,
                                   configuration)
};

/// Leader to gate, right after a commit; grants no lease.
struct config_push
{
    static constexpr std::string_view type = "config_push";
    json configuration;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(config_push, configuration)
};

/// Leader to gate: an operator requests a planned stop of the gate.
struct drain_request
{
    static constexpr std::string_view type = "drain_request";
    std::string operator_id;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(drain_request, operator_id)
};

/// Gate to leader: the gate has applied a revision.
struct config_applied
{
    static constexpr std::string_view type = "config_applied";
    node_id gate;
    bamboogate::incarnation incarnation;
    bamboogate::revision revision;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(config_applied, gate, incarnation, revision)
};

/// Identifies one attempt of a gate to run a non-idempotent call.
/// `control_client` sets gate, incarnation and `call_number` of a `call_begin`;
/// the messages that follow carry the complete ticket of the decision.
struct call_ticket
{
    client_account_id account;
    std::string idempotency_key;
    node_id gate;
    bamboogate::incarnation gate_incarnation;
    /// Unique among the calls of one gate and equal in all retries of one call:
    /// a retry gets `run` again, another call does not.
    std::uint64_t call_number = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(call_ticket, account, idempotency_key, gate,
                                   gate_incarnation, call_number)
};

/// Gate to leader: requests permission to dispatch a non-idempotent call.
struct call_begin
{
    static constexpr std::string_view type = "call_begin";
    call_ticket ticket;
    service_id service;
    /// SHA-256 of method, path and body, in lower-case hexadecimal.
    std::string body_digest;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(call_begin, ticket, service, body_digest)
};

enum class decision_kind : std::uint8_t
{
    run,         ///< only the requesting gate may dispatch, once
    answered,    ///< the stored answer follows
    in_progress, ///< another call with this key has not ended
    unknown,     ///< it may have run; it is never dispatched again
    key_reused,  ///< the key was used with another body
};

NLOHMANN_JSON_SERIALIZE_ENUM(decision_kind,
                             {{decision_kind::unknown, "unknown"},
                              {decision_kind::run, "run"},
                              {decision_kind::answered, "answered"},
                              {decision_kind::in_progress, "in_progress"},
                              {decision_kind::key_reused, "key_reused"}})

/// The stored answer of a plain service.
struct stored_answer
{
    unsigned status = 0;
    header_list headers;
    std::string body;

    bool operator==(const stored_answer&) const = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(stored_answer, status, headers, body)
};

/// Leader to gate: what to do with a call.
struct call_decision
{
    static constexpr std::string_view type = "call_decision";
    decision_kind kind = decision_kind::unknown;
    /// Set with `run`; sent back in the messages that end this call.
    call_ticket ticket;
    /// Set with `answered`.
    stored_answer answer;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(call_decision, kind, ticket, answer)
};

/// Gate to leader: the service has answered.
struct call_complete
{
    static constexpr std::string_view type = "call_complete";
    call_ticket ticket;
    stored_answer answer;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(call_complete, ticket, answer)
};

/// Gate to leader: the request may have been sent, and no answer was received.
struct call_unknown
{
    static constexpr std::string_view type = "call_unknown";
    call_ticket ticket;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(call_unknown, ticket)
};

/// Gate to leader: nothing was sent, and nothing will be sent.
struct call_abort
{
    static constexpr std::string_view type = "call_abort";
    call_ticket ticket;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(call_abort, ticket)
};

/// Leader to gate: the outcome of a call is committed.
struct call_recorded
{
    static constexpr std::string_view type = "call_recorded";
    bool recorded = true;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(call_recorded, recorded)
};

} // namespace bamboogate::control

#endif
