#include <bamboogate/net/http1.hpp>
#include <bamboogate/net/http_syntax.hpp>

#include <algorithm>
#include <utility>

namespace bamboogate::net {

namespace {

bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}

bool is_token_character(char c)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return is_digit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           marks.find(c) != std::string_view::npos;
}

bool is_value_character(char c)
{
    constexpr unsigned char first_visible = 0x20;
    constexpr unsigned char del = 0x7f;
    const auto byte = static_cast<unsigned char>(c);
    return c == '\t' || (byte >= first_visible && byte != del);
}

bool all_of(std::string_view text, bool (*condition)(char))
{
    return std::all_of(text.begin(), text.end(), condition);
}

} // namespace

bool is_field_name(std::string_view text) noexcept
{
    return !text.empty() && all_of(text, is_token_character);
}

bool is_field_value(std::string_view text) noexcept
{
    return all_of(text, is_value_character);
}

bool framing_check::accept(std::string_view name, std::string_view value)
{
    if (equal_ignoring_case(name, "Transfer-Encoding")) {
        const bool repeated = std::exchange(chunked_, true);
        return !repeated && !length_ && equal_ignoring_case(value, "chunked");
    }
    if (equal_ignoring_case(name, "Content-Length")) {
        const bool known = length_.has_value();
        if (!known) {
            length_ = std::string(value);
        }
        return !chunked_ && length_ == value && !value.empty() &&
               all_of(value, is_digit);
    }
    return true;
}

} // namespace bamboogate::net
