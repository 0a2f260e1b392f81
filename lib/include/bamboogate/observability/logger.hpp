#ifndef BAMBOOGATE_OBSERVABILITY_LOGGER_HPP
#define BAMBOOGATE_OBSERVABILITY_LOGGER_HPP

#include <fmt/format.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace bamboogate::observability {

enum class severity : std::uint8_t
{
    debug,
    info,
    warning,
    error,
};

[[nodiscard]] std::string_view name_of(severity level) noexcept;

/// A kind of log line with its unique number. Every area defines its own as
/// constants in `<area>/log_events.hpp`; `docs/events.md` lists all of them.
/// Numbers: net 100, consensus 200, control 300, routing 400, scheduling 500,
/// streaming 600, orders 700, gate 800, observability 850, config 900,
/// operations 950, relay 1000.
struct log_event
{
    unsigned number;
    severity level;
    std::string_view name;
    std::string_view meaning;
};

/// One `key=value` of a log line.
struct log_field
{
    template <typename T>
    log_field(std::string_view field_key, const T& field_value)
        : key(field_key), value(fmt::format("{}", field_value))
    {}

    std::string_view key;
    std::string value;
};

/// @brief Sets the minimum severity of events that are logged. Default: info.
///     Thread safe.
void set_log_level(severity level) noexcept;

/// @brief Sets the process name in all following lines. Thread safe.
void set_log_source(std::string_view source);

/// @brief Writes one line to the log's output: time, level, source, event
///     number and name, then the fields. Values with spaces, quotes or
///     control characters are quoted and escaped. Thread safe.
void log(const log_event& event, std::initializer_list<log_field> fields = {});

/// @brief Redirects following lines from standard error to a buffer for
///     standard output. Lines that do not fit are dropped and counted, so that
///     a slow reader never blocks the caller.
///     Thread safe.
/// @param max_bytes size of the buffer
void buffer_log(std::size_t max_bytes);

/// @brief Writes as much of the buffer as standard output accepts without
///     blocking. Thread safe.
void flush_log();

/// @brief Number of lines dropped since the start. Thread safe.
[[nodiscard]] std::uint64_t dropped_log_lines();

/// @brief The line that `log` would write, without the time.
[[nodiscard]] std::string
format_log_line(const log_event& event,
                std::initializer_list<log_field> fields);

} // namespace bamboogate::observability

#endif
