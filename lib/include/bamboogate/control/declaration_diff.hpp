#ifndef BAMBOOGATE_CONTROL_DECLARATION_DIFF_HPP
#define BAMBOOGATE_CONTROL_DECLARATION_DIFF_HPP

#include <bamboogate/control/declarations.hpp>

#include <string>
#include <vector>

namespace bamboogate::control {

/// @brief The difference between two declarations, one line each, in a fixed
///     order: `+ path value` added, `- path value` removed,
///     `~ path old -> new` changed. Parts with an id are matched by it, so a
///     move within a list is no difference. Thread safe.
[[nodiscard]] std::vector<std::string> difference(const declarations& before,
                                                  const declarations& after);

} // namespace bamboogate::control

#endif
