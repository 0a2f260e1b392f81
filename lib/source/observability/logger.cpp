#include <bamboogate/observability/logger.hpp>

#include <fmt/chrono.h>
#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <mutex>

namespace bamboogate::observability {

namespace {

std::atomic<severity> minimum_level{severity::info};
std::mutex output_mutex;
std::string source_name = "bamboogate";
std::size_t buffer_limit = 0; ///< 0: unbuffered, to standard error
std::string buffer;
std::uint64_t dropped_lines = 0;
std::uint64_t reported_dropped_lines = 0;

/// True if a write of at most PIPE_BUF bytes does not block.
bool standard_output_is_writable()
{
    pollfd state{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    return poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

bool needs_quotes(std::string_view value)
{
    if (value.empty()) {
        return true;
    }
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte <= ' ' || byte == 127 || c == '"' || c == '=' || c == '\\') {
            return true;
        }
    }
    return false;
}

std::string escaped(std::string_view value)
{
    std::string out = "\"";
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            out.push_back('\\');
            out.push_back(c);
        } else if (byte < ' ' || byte == 127) {
            out += fmt::format("\\x{:02x}", byte);
        } else {
            out.push_back(c);
        }
    }
    out.push_back('"');
    return out;
}

} // namespace

std::string_view name_of(severity level) noexcept
{
    switch (level) {
    case severity::debug:
        return "debug";
    case severity::info:
        return "info";
    case severity::warning:
        return "warning";
    case severity::error:
        return "error";
    }
    return "error";
}

void set_log_level(severity level) noexcept
{
    minimum_level = level;
}

void set_log_source(std::string_view source)
{
    const std::lock_guard lock(output_mutex);
    source_name = source;
}

std::string format_log_line(const log_event& event,
                            std::initializer_list<log_field> fields)
{
    std::string line = fmt::format("{} E{:03} {}", name_of(event.level),
                                   event.number, event.name);
    for (const auto& field : fields) {
        line += fmt::format(" {}={}", field.key,
                            needs_quotes(field.value) ? escaped(field.value)
                                                      : field.value);
    }
    return line;
}

void log(const log_event& event, std::initializer_list<log_field> fields)
{
    if (event.level < minimum_level.load()) {
        return;
    }
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
    const std::string line = format_log_line(event, fields);
    const std::lock_guard lock(output_mutex);
    const auto second = std::chrono::floor<std::chrono::seconds>(now);
    // Milliseconds, so that the lines of several processes can be sorted by
    // time.
    const std::string full_line =
        fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {}\n", second,
                    (now - second).count(), source_name, line);
    if (buffer_limit == 0) {
        fmt::print(stderr, "{}", full_line);
        return;
    }
    if (buffer.size() + full_line.size() > buffer_limit) {
        ++dropped_lines;
        return;
    }
    buffer += full_line;
}

void buffer_log(std::size_t max_bytes)
{
    const std::lock_guard lock(output_mutex);
    buffer_limit = max_bytes;
}

void flush_log()
{
    const std::lock_guard lock(output_mutex);
    if (dropped_lines != reported_dropped_lines && buffer.empty()) {
        // relay::log_events::log_lines_dropped, written out because this area
        // does not depend on relay.
        buffer = fmt::format("{} warning E1040 log_lines_dropped total={}\n",
                             source_name, dropped_lines);
        reported_dropped_lines = dropped_lines;
    }
    std::size_t written = 0;
    while (written < buffer.size() && standard_output_is_writable()) {
        const std::size_t size =
            std::min<std::size_t>(buffer.size() - written, PIPE_BUF);
        const auto count =
            ::write(STDOUT_FILENO, buffer.data() + written, size);
        if (count <= 0) {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    buffer.erase(0, written);
}

std::uint64_t dropped_log_lines()
{
    const std::lock_guard lock(output_mutex);
    return dropped_lines;
}

} // namespace bamboogate::observability
