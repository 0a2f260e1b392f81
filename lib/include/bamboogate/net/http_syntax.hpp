#ifndef BAMBOOGATE_NET_HTTP_SYNTAX_HPP
#define BAMBOOGATE_NET_HTTP_SYNTAX_HPP

namespace bamboogate::net {

/// @brief Whether HTTP has the status code: 100 to 599 (RFC 9110, section 15).
///     Parsers accept any three digits. Thread safe.
[[nodiscard]] constexpr bool is_status_code(unsigned status) noexcept
{
    constexpr unsigned first = 100;
    constexpr unsigned last = 599;
    return status >= first && status <= last;
}

} // namespace bamboogate::net

#endif
