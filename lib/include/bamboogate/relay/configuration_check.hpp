#ifndef BAMBOOGATE_RELAY_CONFIGURATION_CHECK_HPP
#define BAMBOOGATE_RELAY_CONFIGURATION_CHECK_HPP

#include <bamboogate/relay/configuration.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bamboogate::relay {

/// What a finding means for the operator.
enum class finding_kind : std::uint8_t
{
    error,         ///< the configuration is refused
    unreachable,   ///< an entry that never takes effect
    contradiction, ///< values that cannot hold together
};

/// The part of a configuration that a finding or a change is about.
enum class configuration_section : std::uint8_t
{
    document,
    services,
    routes,
    accounts,
    limits,
};

[[nodiscard]] std::string_view name_of(finding_kind kind);
[[nodiscard]] std::string_view name_of(configuration_section section);

/// One finding of a check.
struct configuration_finding
{
    finding_kind kind = finding_kind::error;
    configuration_section section = configuration_section::document;
    std::size_t index = 0; ///< position of the entry in its section
    std::string detail;
};

/// One difference between two configurations. API keys are counted, not shown.
struct configuration_change
{
    configuration_section section = configuration_section::document;
    std::string detail;
};

/// @brief Finds all violations for which a configuration is refused.
/// @return in the order of services, routes and accounts. Thread safe.
[[nodiscard]] std::vector<configuration_finding>
find_errors(const configuration& candidate);

/// @brief Finds entries that never take effect and values that contradict each
///     other, in a configuration that is accepted all the same. Thread safe.
[[nodiscard]] std::vector<configuration_finding>
find_doubts(const configuration& candidate);

/// @brief Compares a candidate with the configuration in force. Thread safe.
[[nodiscard]] std::vector<configuration_change>
find_changes(const configuration& in_force, const configuration& candidate);

} // namespace bamboogate::relay

#endif
