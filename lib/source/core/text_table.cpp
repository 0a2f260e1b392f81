#include <bamboogate/core/text_table.hpp>

#include <algorithm>

namespace bamboogate {

namespace {

/// Characters of UTF-8 text; the width of wide ones is not considered.
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
    lines_.push_back(std::move(header));
}

void text_table::add(std::vector<std::string> cells)
{
    cells.resize(lines_.front().size());
    std::transform(cells.begin(), cells.end(), cells.begin(), printable);
    lines_.push_back(std::move(cells));
}

std::string text_table::text() const
{
    std::vector<std::size_t> widths(lines_.front().size());
    for (const auto& line : lines_) {
        for (std::size_t at = 0; at < line.size(); ++at) {
            widths[at] = std::max(widths[at], width_of(line[at]));
        }
    }
    std::string out;
    for (const auto& line : lines_) {
        std::string row;
        for (std::size_t at = 0; at < line.size(); ++at) {
            row += line[at];
            row.append(widths[at] - width_of(line[at]) + 2, ' ');
        }
        row.erase(row.find_last_not_of(' ') + 1);
        out += row + '\n';
    }
    return out;
}

} // namespace bamboogate
