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

/// What a gate does with new requests after its configuration lease has
/// expired.
enum class stale_policy : std::uint8_t
{
    refuse, ///< default: no gate reverts to an earlier preset
    serve,  ///< fail-static, for comparison only
};

/// Settings common to gates and control replicas.
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
    bool join = false; ///< join as a learner if the data folder is empty
    std::filesystem::path data_folder;
    std::optional<secret> bootstrap_operator_key;
    duration election_timeout = std::chrono::milliseconds(300);
    std::uint64_t snapshot_interval = 1000; ///< log entries
};

/// @brief Parses and validates all settings of a gate.
/// @return settings, or an exit code with the texts to print: every fault with
///     name, value and allowed values. Secrets are never printed.
[[nodiscard]] settings_result<gate_settings>
load_gate_settings(std::span<const std::string> arguments,
                   const environment& variables);

/// @brief Parses and validates all settings of a control replica.
[[nodiscard]] settings_result<control_settings>
load_control_settings(std::span<const std::string> arguments,
                      const environment& variables);

/// @brief Reads a secret from the file `<name>-file`, or else from the
///     environment setting `<name>`, and reports a fault in either.
[[nodiscard]] std::optional<secret>
resolve_secret(const parsed_settings& parsed, const std::string& name,
               std::vector<setting_fault>& faults);

/// @brief Sets the log level and source and logs unknown variables.
void start_logging(const daemon_settings& settings,
                   std::span<const std::string> unknown_variables);

} // namespace bamboogate::config

#endif
