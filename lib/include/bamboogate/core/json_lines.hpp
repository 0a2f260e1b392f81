#ifndef BAMBOOGATE_CORE_JSON_LINES_HPP
#define BAMBOOGATE_CORE_JSON_LINES_HPP

#include <cstddef>
#include <string_view>
#include <vector>

namespace bamboogate {

/// Where a member of a JSON object stands in its text. Lines count from 1.
struct member_lines
{
    std::size_t line =
        0; ///< of the member's name; 0 if there is no such member
    std::vector<std::size_t> elements; ///< of the values, if it is an array
};

/// @brief Finds a member of the outermost object of a JSON text, for messages
///     to the author of a file: the parser's documents hold no positions.
/// @pre the text is valid JSON. Thread safe.
[[nodiscard]] member_lines find_member_lines(std::string_view text,
                                             std::string_view name);

} // namespace bamboogate

#endif
