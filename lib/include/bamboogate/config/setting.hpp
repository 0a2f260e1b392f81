#ifndef BAMBOOGATE_CONFIG_SETTING_HPP
#define BAMBOOGATE_CONFIG_SETTING_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/result.hpp>
#include <bamboogate/core/secret.hpp>
#include <bamboogate/core/time.hpp>
#include <bamboogate/net/address.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboogate::config {

enum class setting_type : std::uint8_t
{
    identifier, ///< 1 to 64 of a-z, A-Z, 0-9, `.`, `_` and `-`
    text,       ///< any non-empty text
    listener,   ///< `ip:port`; port 0 lets the system choose
    endpoints,  ///< `ip:port` or `id=ip:port`, separated by commas
    peers,      ///< `id=ip:port`, separated by commas
    file,       ///< path of a file that can be read
    folder,     ///< path of a folder
    secret,     ///< key or secret, at least 16 bytes
    boolean,    ///< `on` or `off`
    choice,     ///< one of a list
    count,      ///< whole number within bounds
    time_span,  ///< number with the unit `ms`, `s`, `m` or `h`
    flag,       ///< present or absent; takes no value
};

/// Where a setting may be given.
enum class setting_source : std::uint8_t
{
    flag_or_environment,
    flag_only,
    environment_only, ///< for secrets: other users can list command lines
};

/// One setting of a program. Bounds of a time span are in milliseconds.
struct setting
{
    std::string_view name; ///< `link-address` is the flag `--link-address`
    setting_type type = setting_type::text;
    std::string_view help;
    std::string_view default_value; ///< empty: none
    bool required = false;
    setting_source source = setting_source::flag_or_environment;
    std::uint64_t minimum = 0;
    std::uint64_t maximum = std::numeric_limits<std::uint32_t>::max();
    std::vector<std::string_view> choices;

    /// @brief True when the value must never be shown.
    [[nodiscard]] bool secret() const noexcept
    {
        return type == setting_type::secret;
    }
};

/// A peer named in the settings.
struct peer_address
{
    node_id node;
    net::address address;

    bool operator==(const peer_address&) const = default;
};

/// @brief The environment variable of a setting, `BAMBOOGATE_<NAME>`.
[[nodiscard]] std::string environment_name(const setting& what);

/// @brief The values that a setting allows, as a phrase.
[[nodiscard]] std::string allowed_values(const setting& what);

/// @brief Checks one value on its own.
/// @return `invalid_argument` with the allowed values. Thread safe.
[[nodiscard]] result<void> check_value(const setting& what,
                                       std::string_view value);

/// @brief Reads `250ms`, `2s`, `5m` or `1h`.
[[nodiscard]] result<duration> parse_time_span(std::string_view text);

/// @brief Reads a whole decimal number.
[[nodiscard]] result<std::uint64_t> parse_count(std::string_view text);

/// @brief Reads `id=ip:port`, separated by commas. Empty text is no peer.
/// @return `invalid_argument` for a malformed entry or a repeated id
[[nodiscard]] result<std::vector<peer_address>>
parse_peers(std::string_view text);

/// @brief Reads `ip:port` or `id=ip:port`, separated by commas; ports above
///     0. The id of an entry without one is empty.
[[nodiscard]] result<std::vector<peer_address>>
parse_endpoints(std::string_view text);

/// @brief Reads a key from a file; spaces and line ends around it are cut.
/// @return `invalid_argument` when the file cannot be read or is larger than
///     4 KiB
[[nodiscard]] result<secret> read_secret_file(const std::string& path);

/// Shorter keys are refused: HMAC-SHA256 links must resist guessing.
inline constexpr std::size_t min_secret_bytes = 16;

} // namespace bamboogate::config

#endif
