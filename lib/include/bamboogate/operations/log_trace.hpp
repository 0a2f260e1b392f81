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

/// @brief Reads a log line. Thread safe.
/// @return nothing for lines of another form
[[nodiscard]] std::optional<log_line> parse_log_line(std::string_view text);

/// Follows one request through the logs of several processes: its own lines,
/// what became of the upstreams that it met while it ran, the processes that
/// started, stopped or changed their role meanwhile, and other attempts of the
/// same prompt. Logs are read twice, because a line that explains a request
/// may come before the one that names the upstream. Not thread safe.
class log_trace
{
public:
    explicit log_trace(std::string request) : request_(std::move(request)) {}

    /// @brief Takes every line of every log, in any order.
    void find_request(const log_line& line);

    /// @brief Takes every line again, after `find_request` has seen all.
    void find_related(const log_line& line);

    [[nodiscard]] bool found() const { return !lines_.empty(); }

    /// @brief The lines in the order of time.
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
