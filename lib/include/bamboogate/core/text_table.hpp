#ifndef BAMBOOGATE_CORE_TEXT_TABLE_HPP
#define BAMBOOGATE_CORE_TEXT_TABLE_HPP

#include <string>
#include <string_view>
#include <vector>

namespace bamboogate {

/// Formats rows of cells in aligned columns. Control characters in cells are
/// replaced, because cells hold external input that is printed to a terminal.
class text_table
{
public:
    /// @param header the first row; its length is the number of columns
    explicit text_table(std::vector<std::string> header);

    /// @brief Adds a row; missing cells are left empty, surplus cells are
    ///     dropped.
    void add(std::vector<std::string> cells);

    /// @brief The table, with two spaces between columns and no trailing
    ///     spaces.
    [[nodiscard]] std::string text() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

/// @brief Replaces control characters by `?`.
[[nodiscard]] std::string printable(std::string_view text);

} // namespace bamboogate

#endif
