#ifndef BAMBOOGATE_SOURCE_OPERATIONS_CTL_TABLES_HPP
#define BAMBOOGATE_SOURCE_OPERATIONS_CTL_TABLES_HPP

#include <bamboogate/core/json.hpp>

#include <string>

namespace bamboogate::operations {

// These format a control replica's response; fields that are absent or of
// another type become empty cells.
[[nodiscard]] std::string status_table(const json& response);
[[nodiscard]] std::string members_table(const json& response);
[[nodiscard]] std::string history_table(const json& response);
[[nodiscard]] std::string difference_table(const json& response);
[[nodiscard]] std::string fields_table(const json& response);
[[nodiscard]] std::string document_text(const json& response);

} // namespace bamboogate::operations

#endif
