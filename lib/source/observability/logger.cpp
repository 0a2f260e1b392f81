#include <bamboogate/observability/logger.hpp>

#include <fmt/chrono.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <mutex>

namespace bamboogate::observability {

namespace {

std::atomic<severity> minimum_level{severity::info};
std::mutex output_mutex;
std::string source_name = "bamboogate";

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
    fmt::print(stderr, "{:%Y-%m-%dT%H:%M:%S}Z {} {}\n", now, source_name, line);
}

} // namespace bamboogate::observability
