#include <bamboogate/core/json_lines.hpp>

namespace bamboogate {

namespace {

/// Reads the tokens of a valid JSON text and follows its nesting.
class json_scanner
{
public:
    explicit json_scanner(std::string_view text) : text_(text) {}

    member_lines find(std::string_view name)
    {
        member_lines out;
        while (position_ < text_.size()) {
            const char c = text_[position_];
            if (c == '"') {
                const std::size_t line = line_;
                const auto value = read_string();
                note_element(out, line);
                if (depth_ == 1 && is_name() && value == name) {
                    out = {.line = line, .elements = {}};
                    inside_member_ = true;
                } else if (depth_ == 1 && is_name()) {
                    inside_member_ = false;
                }
                continue;
            }
            if (c == '{' || c == '[') {
                note_element(out, line_);
                ++depth_;
                is_array_ = depth_ == 2 ? c == '[' : is_array_;
                expects_element_ = depth_ == 2;
            } else if (c == '}' || c == ']') {
                --depth_;
            } else if (c == ',' && depth_ == 2) {
                expects_element_ = true;
            } else if (c == '\n') {
                ++line_;
            } else if (c != ' ' && c != '\t' && c != '\r' && c != ':') {
                note_element(out, line_);
            }
            ++position_;
        }
        return out;
    }

private:
    /// Reads a string that begins here. @return its text without unescaping
    std::string_view read_string()
    {
        const std::size_t begin = ++position_;
        while (position_ < text_.size() && text_[position_] != '"') {
            position_ += text_[position_] == '\\' ? 2 : 1;
        }
        const auto value = text_.substr(begin, position_ - begin);
        ++position_;
        return value;
    }
    /// @return whether the string just read is the name of a member
    [[nodiscard]] bool is_name() const
    {
        const auto next = text_.find_first_not_of(" \t\r\n", position_);
        return next != std::string_view::npos && text_[next] == ':';
    }
    void note_element(member_lines& out, std::size_t line)
    {
        if (depth_ == 2 && is_array_ && inside_member_ && expects_element_) {
            out.elements.push_back(line);
            expects_element_ = false;
        }
    }

    std::string_view text_;
    std::size_t position_ = 0;
    std::size_t line_ = 1;
    int depth_ = 0;
    bool is_array_ = false;      ///< the container at depth 2
    bool inside_member_ = false; ///< the value of the member
    bool expects_element_ = false;
};

} // namespace

member_lines find_member_lines(std::string_view text, std::string_view name)
{
    return json_scanner(text).find(name);
}

} // namespace bamboogate
