#ifndef BAMBOOGATE_CORE_TEXT_TABLE_HPP
#define BAMBOOGATE_CORE_TEXT_TABLE_HPP

#include <string>
#include <string_view>
#include <vector>

namespace bamboogate {

/// Lines of cells that are printed in aligned columns. Control characters in
/// cells are replaced, because they come from outside and reach a terminal.
class text_table
{
public:
    explicit text_table(std::vector<std::string> header);

    /// @brief Adds a line; missing cells are empty, further ones are dropped.
    void add(std::vector<std::string> cells);

    /// @brief The table, with two spaces between columns and no trailing ones.
    [[nodiscard]] std::string text() const;

private:
    std::vector<std::vector<std::string>> lines_;
};

/// @brief A text with control characters replaced by `?`.
[[nodiscard]] std::string printable(std::string_view text);

} // namespace bamboogate

#endif
