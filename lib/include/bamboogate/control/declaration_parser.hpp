#ifndef BAMBOOGATE_CONTROL_DECLARATION_PARSER_HPP
#define BAMBOOGATE_CONTROL_DECLARATION_PARSER_HPP

#include <bamboogate/control/declaration_json.hpp>

#include <filesystem>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bamboogate::control {

/// A declaration file.
struct declaration_file
{
    std::string name;
    std::string text;
};

/// Parsed declarations with all faults that were found.
struct parsed_declarations
{
    declarations declared; ///< complete only if there are no faults
    std::vector<declaration_fault> faults;
};

/// @brief Merges the files and validates the result. Each file is an object
///     with any of `presets`, `service_classes`, `client_accounts`, `services`,
///     `operators` and `limits`. Thread safe.
[[nodiscard]] parsed_declarations
parse_declarations(const std::vector<declaration_file>& files);

/// @brief Reads all `*.json` files of a folder, sorted by name.
/// @return a fault without a line for a folder or file that cannot be read
[[nodiscard]] parsed_declarations
parse_declaration_folder(const std::filesystem::path& folder);

/// @brief Line number of each value of a JSON text, by JSON pointer.
/// @pre the text is valid JSON
[[nodiscard]] std::map<std::string, std::size_t>
locate_values(std::string_view text);

} // namespace bamboogate::control

#endif
