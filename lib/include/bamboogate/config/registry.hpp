#ifndef BAMBOOGATE_CONFIG_REGISTRY_HPP
#define BAMBOOGATE_CONFIG_REGISTRY_HPP

#include <bamboogate/config/setting.hpp>

#include <span>
#include <string_view>

namespace bamboogate::config {

/// @brief The settings of `bamboogate-gate`.
[[nodiscard]] std::span<const setting> gate_registry();

/// @brief The settings of `bamboogate-control`.
[[nodiscard]] std::span<const setting> control_registry();

/// @brief The settings of `bamboogatectl`.
[[nodiscard]] std::span<const setting> ctl_registry();

/// @brief True if a program of bamboogate reads this variable.
[[nodiscard]] bool is_known_variable(std::string_view variable);

} // namespace bamboogate::config

#endif
