#include <bamboogate/core/text_table.hpp>

#include <algorithm>

namespace bamboogate {

namespace {

/// Number of code points in UTF-8 text; double-width characters count as one.
std::size_t width_of(std::string_view text)
{
    return static_cast<std::size_t>(
        std::count_if(text.begin(), text.end(), [](char c) {
            return (static_cast<unsigned char>(c) & 0xc0u) != 0x80u;
        }));
}

} // namespace

std::string printable(std::string_view text)
{
    std::string out(text);
    std::replace_if(
        out.begin(), out.end(),
        [](char c) {
            const auto byte = static_cast<unsigned char>(c);
            return byte < ' ' || byte == 127;
        },
        '?');
    return out;
}

text_table::text_table(std::vector<std::string> header)
{
    rows_.push_back(std::move(header));
}

void text_table::add(std::vector<std::string> cells)
{
    cells.resize(rows_.front().size());
    std::transform(cells.begin(), cells.end(), cells.begin(), printable);
    rows_.push_back(std::move(cells));
}

std::string text_table::text() const
{
    std::vector<std::size_t> widths(rows_.front().size());
    for (const auto& row : rows_) {
        for (std::size_t at = 0; at < row.size(); ++at) {
            widths[at] = std::max(widths[at], width_of(row[at]));
        }
    }
    std::string out;
    for (const auto& row : rows_) {
        std::string line;
        for (std::size_t at = 0; at < row.size(); ++at) {
            line += row[at];
            line.append(widths[at] - width_of(row[at]) + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out += line + '\n';
    }
    return out;
}

} // namespace bamboogate
