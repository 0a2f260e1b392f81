#ifndef BAMBOOGATE_OPERATIONS_LOG_TRACE_HPP
#define BAMBOOGATE_OPERATIONS_LOG_TRACE_HPP

#include <bamboogate/core/result.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bamboogate::operations {

/// One line of a process's log, as `observability::log` writes it.
struct log_line
{
    std::string time; ///< UTC with milliseconds; sorts as text
    std::string process;
    std::string event;
    std::map<std::string, std::string, std::less<>> fields;
    std::string text;

    /// @return the value of a field, or empty text
    [[nodiscard]] std::string_view field(std::string_view name) const;
};

/// @brief Parses a log line. Thread safe.
/// @return `nullopt` for lines of another format
[[nodiscard]] std::optional<log_line> parse_log_line(std::string_view text);

/// Collects the log lines of several processes that concern one request: its
/// own lines, events of the upstreams that it used while it ran, starts, stops
/// and role changes of processes in that time, and other attempts of the same
/// prompt. Logs are read twice, because a line that explains a request may
/// precede the one that names the upstream. Not thread safe.
class log_trace
{
public:
    explicit log_trace(std::string request) : request_(std::move(request)) {}

    /// @brief First pass: called for every line of every log, in any order.
    void find_request(const log_line& line);

    /// @brief Second pass: called for every line again.
    /// @pre `find_request` was called for all lines
    void find_related(const log_line& line);

    [[nodiscard]] bool found() const { return !lines_.empty(); }

    /// @brief The collected lines, sorted by time.
    [[nodiscard]] std::string text() const;

private:
    [[nodiscard]] bool concerns(const log_line& line) const;

    std::string request_;
    std::vector<log_line> lines_;
    std::set<std::string, std::less<>> upstreams_;
    std::set<std::string, std::less<>> processes_;
    std::string prompt_;
    std::string first_time_;
    std::string last_time_;
    std::set<std::string> other_attempts_;
};

/// @brief Traces a request through log files.
/// @return the lines; `not_found` when no line names the request, or when a
///     file cannot be read
[[nodiscard]] result<std::string>
trace_request(const std::string& request,
              const std::vector<std::string>& files);

} // namespace bamboogate::operations

#endif
