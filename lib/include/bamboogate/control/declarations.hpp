#ifndef BAMBOOGATE_CONTROL_DECLARATIONS_HPP
#define BAMBOOGATE_CONTROL_DECLARATIONS_HPP

#include <bamboogate/core/ids.hpp>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace bamboogate::control {

using std::chrono::milliseconds;

/// How one rank of generations is served while a preset is in force.
struct rank_policy
{
    std::string name;
    unsigned priority = 0; ///< 0 is the most urgent
    milliseconds first_token_target{630};
    milliseconds max_queue_wait{5000};
    double floor_share = 0.0; ///< share of capacity under higher ranks' load
    double objective = 0.99;  ///< share of requests that meet the target
    bool preemptible = false;
    std::size_t queue_limit = 1000;

    bool operator==(const rank_policy&) const = default;
};

/// Share of a service class while a preset is in force.
struct class_share
{
    std::string service_class;
    double share = 0.0; ///< kept for the class in a flood of others

    bool operator==(const class_share&) const = default;
};

/// One complete set of policy numbers. Exactly one preset is in force.
struct preset
{
    preset_id id;
    std::vector<rank_policy> ranks;
    std::vector<class_share> class_shares;
    double retry_budget = 0.1; ///< retries allowed per first try
    bool preemption = true;
    std::size_t max_streams_per_gate = 5000;

    bool operator==(const preset&) const = default;
};

/// A kind of generation that callers ask for, such as a manifest.
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

/// A plain service beside the engines.
struct plain_service
{
    service_id id;
    std::vector<std::string> idempotent_methods; ///< may be repeated
    milliseconds timeout{5000};
    milliseconds answer_retention{86'400'000};

    bool operator==(const plain_service&) const = default;
};

/// Somebody who may change declarations and the preset in force.
struct operator_account
{
    std::string id;
    std::string key_sha256; ///< lower-case hexadecimal

    bool operator==(const operator_account&) const = default;
};

/// Bounds of the replicated state. They are declared, so that every replica
/// applies the same ones.
struct state_limits
{
    /// First answers kept for resends of accepted changes.
    std::size_t operations = 4096;
    /// First answers kept for resends of refused changes. Counted apart, so
    /// that refusals never displace the answers of accepted changes.
    std::size_t refused_operations = 1024;
    std::size_t history = 4096;
    /// Calls in the idempotency journal; new calls are refused above it.
    std::size_t journal_entries = 50'000;
    /// A larger answer is passed on but not kept.
    std::size_t answer_bytes = 64u << 10;
    /// New calls are refused while the answers kept exceed this.
    std::size_t total_answer_bytes = 8u << 20;

    bool operator==(const state_limits&) const = default;
};

/// Everything that operators keep under version control.
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

/// What a gate applies: one revision of everything.
struct configuration
{
    bamboogate::revision revision;
    preset_id preset_in_force;
    declarations declared;

    bool operator==(const configuration&) const = default;
};

} // namespace bamboogate::control

#endif
