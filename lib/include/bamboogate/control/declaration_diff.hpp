#ifndef BAMBOOGATE_CONTROL_DECLARATION_DIFF_HPP
#define BAMBOOGATE_CONTROL_DECLARATION_DIFF_HPP

#include <bamboogate/control/declarations.hpp>

#include <string>
#include <vector>

namespace bamboogate::control {

/// @brief The differences between two declarations, one line each, in a fixed
///     order: `+ path value` added, `- path value` removed, `~ path old -> new`
///     changed. List elements with an id are matched by id, so reordering a
///     list is not a difference. Thread safe.
[[nodiscard]] std::vector<std::string> difference(const declarations& before,
                                                  const declarations& after);

} // namespace bamboogate::control

#endif
