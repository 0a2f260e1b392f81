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

/// Where a setting may be specified.
enum class setting_source : std::uint8_t
{
    flag_or_environment,
    flag_only,
    environment_only, ///< for secrets: other users can see command lines
};

/// Description of one setting of a program. Bounds of a time span are in
/// milliseconds.
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

    /// @brief True if the value must not be printed.
    [[nodiscard]] bool secret() const noexcept
    {
        return type == setting_type::secret;
    }
};

/// A peer given in the settings.
struct peer_address
{
    node_id node;
    net::address address;

    bool operator==(const peer_address&) const = default;
};

/// @brief The environment variable of a setting, `BAMBOOGATE_<NAME>`.
[[nodiscard]] std::string environment_name(const setting& definition);

/// @brief Describes the values that a setting allows.
[[nodiscard]] std::string allowed_values(const setting& definition);

/// @brief Validates a value independently of other settings.
/// @return `invalid_argument` with the allowed values. Thread safe.
[[nodiscard]] result<void> check_value(const setting& definition,
                                       std::string_view value);

/// @brief Parses `250ms`, `2s`, `5m` or `1h`.
/// @return `invalid_argument` without a unit or above ten years. Thread safe.
[[nodiscard]] result<duration> parse_time_span(std::string_view text);

/// @brief Parses a non-negative decimal integer.
/// @return `invalid_argument` for other text. Thread safe.
[[nodiscard]] result<std::uint64_t> parse_count(std::string_view text);

/// @brief Parses `id=ip:port`, separated by commas. An empty text gives no
///     peers.
/// @return `invalid_argument` for a malformed entry or a duplicate id
[[nodiscard]] result<std::vector<peer_address>>
parse_peers(std::string_view text);

/// @brief Parses `ip:port` or `id=ip:port`, separated by commas; ports must not
///     be 0. The id of an entry without one is empty.
/// @return `invalid_argument` for a malformed entry or no entry
[[nodiscard]] result<std::vector<peer_address>>
parse_endpoints(std::string_view text);

/// @brief Reads a key from a file; leading and trailing white space is removed.
/// @return `invalid_argument` if the file cannot be read or is larger than 4
///     KiB
[[nodiscard]] result<secret> read_secret_file(const std::string& path);

/// Shorter keys are rejected, because the HMAC-SHA256 keys of links must resist
/// brute force.
inline constexpr std::size_t min_secret_bytes = 16;

} // namespace bamboogate::config

#endif
