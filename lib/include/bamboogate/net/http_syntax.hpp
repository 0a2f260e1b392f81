#ifndef BAMBOOGATE_NET_HTTP_SYNTAX_HPP
#define BAMBOOGATE_NET_HTTP_SYNTAX_HPP

#include <optional>
#include <string>
#include <string_view>

namespace bamboogate::net {

/// @brief Whether HTTP has the status code: 100 to 599 (RFC 9110, section 15).
///     Parsers accept any three digits. Thread safe.
[[nodiscard]] constexpr bool is_status_code(unsigned status) noexcept
{
    constexpr unsigned first = 100;
    constexpr unsigned last = 599;
    return status >= first && status <= last;
}

/// @brief Whether a text can be the name of a header field: a token (RFC 9110,
///     section 5.6.2). Thread safe.
[[nodiscard]] bool is_field_name(std::string_view text) noexcept;

/// @brief Whether a text can be the value of a header field: no control byte
///     but tabs (RFC 9110, section 5.5). Thread safe.
[[nodiscard]] bool is_field_value(std::string_view text) noexcept;

/// Checks that the fields of one head leave no doubt about the end of its body:
/// no transfer coding but `chunked`, and one length at most (RFC 9112, section
/// 6.3). Not thread safe.
class framing_check
{
public:
    /// @brief Takes the next field of the head.
    /// @return false if the end of the body cannot be known with this field
    [[nodiscard]] bool accept(std::string_view name, std::string_view value);

    /// @brief Whether a field has stated how the body ends.
    [[nodiscard]] bool states_end() const
    {
        return chunked_ || length_.has_value();
    }

private:
    bool chunked_ = false;
    std::optional<std::string> length_; ///< as written
};

} // namespace bamboogate::net

#endif
