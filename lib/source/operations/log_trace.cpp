#include <bamboogate/consensus/log_events.hpp>
#include <bamboogate/operations/log_trace.hpp>
#include <bamboogate/relay/log_events.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <functional>

namespace bamboogate::operations {

namespace {

/// Fields that name an upstream.
constexpr std::array<std::string_view, 5> upstream_fields{
    "upstream", "engine", "holder", "copy_holder", "paused_at"};

/// Events of a process that explain what happened to its requests.
constexpr std::array process_events{
    relay::log_events::process_started.name,
    relay::log_events::process_stopping.name,
    relay::log_events::process_failed.name,
    relay::log_events::configuration_applied.name,
    relay::log_events::control_link_up.name,
    relay::log_events::control_link_down.name,
    relay::log_events::log_lines_dropped.name,
    consensus::log_events::leader_changed.name,
    consensus::log_events::role_changed.name};

bool contains(const auto& set, std::string_view value)
{
    return std::find(set.begin(), set.end(), value) != set.end();
}

constexpr int max_prefix_words = 3;

bool is_time(std::string_view word)
{
    return word.size() > 1 && word.back() == 'Z' &&
           word.find('T') != std::string_view::npos;
}

/// Consumes the next word; a quoted value may contain spaces.
std::string_view next_word(std::string_view& rest)
{
    const auto begin = rest.find_first_not_of(' ');
    rest.remove_prefix(std::min(begin, rest.size()));
    std::size_t end = 0;
    bool quoted = false;
    while (end < rest.size() && (quoted || rest[end] != ' ')) {
        if (rest[end] == '\\' && quoted) {
            ++end;
        } else if (rest[end] == '"') {
            quoted = !quoted;
        }
        ++end;
    }
    end = std::min(end, rest.size());
    const auto word = rest.substr(0, end);
    rest.remove_prefix(end);
    return word;
}

std::string_view unquote(std::string_view value)
{
    if (value.size() >= 2 && value.front() == '"' && value.back() == '"') {
        value.remove_prefix(1);
        value.remove_suffix(1);
    }
    return value;
}

result<void> each_line(const std::vector<std::string>& files,
                       const std::function<void(const log_line&)>& function)
{
    for (const auto& name : files) {
        std::ifstream file(name);
        if (!file) {
            return fail(errc::not_found, fmt::format("cannot read {}", name));
        }
        for (std::string text; std::getline(file, text);) {
            if (const auto line = parse_log_line(text)) {
                function(*line);
            }
        }
    }
    return outcome::success();
}

} // namespace

std::string_view log_line::field(std::string_view name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string_view() : found->second;
}

std::optional<log_line> parse_log_line(std::string_view text)
{
    std::string_view rest = text;
    log_line out;
    out.text = text;
    std::string_view time = next_word(rest);
    // Log collectors prefix lines with words of their own.
    for (int skipped = 0; skipped < max_prefix_words && !is_time(time);
         ++skipped) {
        time = next_word(rest);
    }
    out.time = time;
    out.process = next_word(rest);
    next_word(rest); // severity
    const auto number = next_word(rest);
    out.event = next_word(rest);
    if (!is_time(time) || !number.starts_with('E') || out.event.empty()) {
        return std::nullopt;
    }
    for (auto word = next_word(rest); !word.empty(); word = next_word(rest)) {
        const auto equals = word.find('=');
        if (equals != std::string_view::npos) {
            out.fields.emplace(word.substr(0, equals),
                               unquote(word.substr(equals + 1)));
        }
    }
    return out;
}

void log_trace::find_request(const log_line& line)
{
    if (line.field("request") != request_) {
        return;
    }
    lines_.push_back(line);
    processes_.insert(line.process);
    for (const auto name : upstream_fields) {
        if (const auto id = line.field(name); !id.empty()) {
            upstreams_.emplace(id);
        }
    }
    if (const auto prompt = line.field("prompt"); !prompt.empty()) {
        prompt_ = prompt;
    }
    if (first_time_.empty() || line.time < first_time_) {
        first_time_ = line.time;
    }
    last_time_ = std::max(last_time_, line.time);
}

bool log_trace::concerns(const log_line& line) const
{
    if (contains(process_events, line.event)) {
        return processes_.contains(line.process);
    }
    const auto upstream = line.field("upstream");
    return line.field("request").empty() && !upstream.empty() &&
           upstreams_.contains(upstream);
}

void log_trace::find_related(const log_line& line)
{
    const auto request = line.field("request");
    if (!prompt_.empty() && !request.empty() && request != request_ &&
        line.field("prompt") == prompt_) {
        other_attempts_.emplace(request);
    }
    const bool during_request =
        line.time >= first_time_ && line.time <= last_time_;
    if (during_request && concerns(line)) {
        lines_.push_back(line);
    }
}

std::string log_trace::text() const
{
    auto sorted = lines_;
    std::stable_sort(
        sorted.begin(), sorted.end(),
        [](const auto& a, const auto& b) { return a.time < b.time; });
    std::string out;
    for (const auto& line : sorted) {
        const bool own = line.field("request") == request_;
        out += fmt::format("{} {}\n", own ? "*" : " ", line.text);
    }
    for (const auto& other : other_attempts_) {
        out += fmt::format("same prompt: request={}\n", other);
    }
    return out;
}

result<std::string> trace_request(const std::string& request,
                                  const std::vector<std::string>& files)
{
    log_trace trace(request);
    BOOST_OUTCOME_TRY(each_line(
        files, [&](const log_line& line) { trace.find_request(line); }));
    if (!trace.found()) {
        return fail(errc::not_found,
                    fmt::format("no line contains request {}", request));
    }
    BOOST_OUTCOME_TRY(each_line(
        files, [&](const log_line& line) { trace.find_related(line); }));
    return trace.text();
}

} // namespace bamboogate::operations
