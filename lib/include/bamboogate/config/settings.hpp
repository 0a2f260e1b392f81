#ifndef BAMBOOGATE_CONFIG_SETTINGS_HPP
#define BAMBOOGATE_CONFIG_SETTINGS_HPP

#include <bamboogate/config/setting_parser.hpp>
#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/secret.hpp>
#include <bamboogate/core/time.hpp>
#include <bamboogate/net/address.hpp>
#include <bamboogate/observability/logger.hpp>

#include <cstdint>
#include <filesystem>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace bamboogate::config {

/// What a gate does with new work when its configuration lease has run out.
enum class stale_policy : std::uint8_t
{
    refuse, ///< the default: an accepted preset never reverts anywhere
    serve,  ///< fail-static, kept for comparison
};

/// What every daemon learns from its settings.
struct daemon_settings
{
    node_id node;
    failure_domain_id failure_domain;
    net::address link_address;
    secret shared_secret;
    observability::severity log_level = observability::severity::info;
    unsigned max_connections = 8192;
    std::size_t body_limit = 4u << 20;
    duration drain_limit = std::chrono::minutes(10);
};

struct gate_settings : daemon_settings
{
    net::address http_address;
    std::vector<peer_address> gates; ///< the other gates
    std::vector<peer_address> control_replicas;
    std::optional<secret> upstream_key;
    stale_policy stale = stale_policy::refuse;
    bool buddy = true;
    duration silence_min = std::chrono::milliseconds(200);
    duration silence_max = std::chrono::seconds(2);
};

struct control_settings : daemon_settings
{
    net::address operator_address;
    std::vector<peer_address> peers; ///< the other replicas
    bool join = false; ///< an empty data folder joins as a learner
    std::filesystem::path data_folder;
    std::optional<secret> bootstrap_operator_key;
    duration election_timeout = std::chrono::milliseconds(300);
    std::uint64_t snapshot_interval = 1000; ///< log entries
};

/// @brief Reads and checks the whole set of settings of a gate.
/// @return settings, or an exit code with the texts to print: every fault
///     with name, value and what is allowed. Secrets are never shown.
[[nodiscard]] settings_result<gate_settings>
load_gate_settings(std::span<const std::string> arguments,
                   const environment& variables);

/// @brief Reads and checks the whole set of settings of a control replica.
[[nodiscard]] settings_result<control_settings>
load_control_settings(std::span<const std::string> arguments,
                      const environment& variables);

/// @brief Takes a secret from `<name>-file` or else from the environment
///     setting `<name>`, and reports a fault in either.
[[nodiscard]] std::optional<secret>
resolve_secret(const parsed_settings& parsed, const std::string& name,
               std::vector<setting_fault>& faults);

/// @brief Sets the log level and source, and logs unknown variables.
void start_logging(const daemon_settings& settings,
                   std::span<const std::string> unknown_variables);

} // namespace bamboogate::config

#endif
