#ifndef BAMBOOGATE_CONTROL_DECLARATIONS_HPP
#define BAMBOOGATE_CONTROL_DECLARATIONS_HPP

#include <bamboogate/core/ids.hpp>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace bamboogate::control {

using std::chrono::milliseconds;

/// Scheduling policy for one rank of generations in a preset.
struct rank_policy
{
    std::string name;
    unsigned priority = 0; ///< 0 is the most urgent
    milliseconds first_token_target{630};
    milliseconds max_queue_wait{5000};
    double floor_share = 0.0; ///< capacity share kept under higher ranks' load
    double objective = 0.99;  ///< share of requests that meet the target
    bool preemptible = false;
    std::size_t queue_limit = 1000;

    bool operator==(const rank_policy&) const = default;
};

/// Capacity share of a service class in a preset.
struct class_share
{
    std::string service_class;
    double share = 0.0; ///< kept for the class under overload by others

    bool operator==(const class_share&) const = default;
};

/// A complete set of policy parameters. Exactly one preset is in force.
struct preset
{
    preset_id id;
    std::vector<rank_policy> ranks;
    std::vector<class_share> class_shares;
    double retry_budget = 0.1; ///< retries allowed per first attempt
    bool preemption = true;
    std::size_t max_streams_per_gate = 5000;

    bool operator==(const preset&) const = default;
};

/// A class of generations that callers request, such as manifests.
struct service_class
{
    std::string id;
    std::string rank;
    std::vector<model_id> models;

    bool operator==(const service_class&) const = default;
};

/// A client account of the deployment. Only the digest of its key is declared.
struct client_account
{
    client_account_id id;
    std::string key_sha256; ///< lower-case hexadecimal
    double weight = 1.0;
    std::vector<std::string> service_classes; ///< allowed; first is default
    std::vector<service_id> services;         ///< allowed plain services

    bool operator==(const client_account&) const = default;
};

/// A plain service: an upstream that is not an engine.
struct plain_service
{
    service_id id;
    std::vector<std::string> idempotent_methods; ///< may be retried
    milliseconds timeout{5000};
    milliseconds answer_retention{86'400'000};

    bool operator==(const plain_service&) const = default;
};

/// An operator, who may change the declarations and the preset in force.
struct operator_account
{
    std::string id;
    std::string key_sha256; ///< lower-case hexadecimal

    bool operator==(const operator_account&) const = default;
};

/// Limits of the replicated state. They are part of the declarations, so that
/// every replica applies the same limits.
struct state_limits
{
    /// Responses to accepted changes that are kept for retries.
    std::size_t operations = 4096;
    /// Responses to refused changes that are kept for retries. Counted
    /// separately, so that refusals never evict the responses to accepted
    /// changes.
    std::size_t refused_operations = 1024;
    /// Entries of the change history.
    std::size_t history = 4096;
    /// Calls in the idempotency journal; new calls are refused at this limit.
    std::size_t journal_entries = 50'000;
    /// A larger answer is forwarded but not stored.
    std::size_t answer_bytes = 64u << 10;
    /// New calls are refused while the stored answers take this many bytes or
    /// more.
    std::size_t total_answer_bytes = 8u << 20;

    bool operator==(const state_limits&) const = default;
};

/// The complete declarations, which operators keep under version control.
struct declarations
{
    std::vector<preset> presets;
    std::vector<service_class> service_classes;
    std::vector<client_account> client_accounts;
    std::vector<plain_service> services;
    std::vector<operator_account> operators;
    state_limits limits;

    bool operator==(const declarations&) const = default;
};

/// The configuration that a gate applies: one revision of the declarations with
/// the preset in force.
struct configuration
{
    bamboogate::revision revision;
    preset_id preset_in_force;
    declarations declared;

    bool operator==(const configuration&) const = default;
};

} // namespace bamboogate::control

#endif
