#include <bamboogate/config/setting.hpp>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <set>
#include <string>

namespace bamboogate::config {

namespace {

constexpr std::size_t max_secret_file_bytes = 4096;

bool is_identifier(std::string_view text)
{
    if (text.empty() || text.size() > 64) {
        return false;
    }
    return std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
    });
}

std::vector<std::string_view> split(std::string_view text)
{
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        const auto comma = text.find(',');
        parts.push_back(text.substr(0, comma));
        if (comma == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(comma + 1);
        if (text.empty()) {
            parts.emplace_back();
        }
    }
    return parts;
}

result<net::address> parse_peer_address(std::string_view text)
{
    BOOST_OUTCOME_TRY(address, net::parse_address(text));
    if (address.port == 0) {
        return fail(errc::invalid_argument, "port 0");
    }
    return std::move(address);
}

bool readable_file(const std::string& path)
{
    std::error_code problem;
    return std::filesystem::is_regular_file(path, problem) &&
           std::ifstream(path).good();
}

bool folder_or_absent(const std::string& path)
{
    std::error_code problem;
    const auto status = std::filesystem::status(path, problem);
    return std::filesystem::is_directory(status) ||
           !std::filesystem::exists(status);
}

std::string span_text(std::uint64_t milliseconds)
{
    if (milliseconds != 0 && milliseconds % 1000 == 0) {
        return fmt::format("{}s", milliseconds / 1000);
    }
    return fmt::format("{}ms", milliseconds);
}

bool within(const setting& definition, std::uint64_t value)
{
    return value >= definition.minimum && value <= definition.maximum;
}

bool is_allowed(const setting& definition, std::string_view value)
{
    switch (definition.type) {
    case setting_type::identifier:
        return is_identifier(value);
    case setting_type::text:
        return !value.empty();
    case setting_type::listener:
        return net::parse_address(value).has_value();
    case setting_type::endpoints:
        return parse_endpoints(value).has_value();
    case setting_type::peers:
        return parse_peers(value).has_value();
    case setting_type::file:
        return readable_file(std::string(value));
    case setting_type::folder:
        return !value.empty() && folder_or_absent(std::string(value));
    case setting_type::secret:
        return value.size() >= min_secret_bytes;
    case setting_type::boolean:
    case setting_type::flag:
        return value == "on" || value == "off";
    case setting_type::choice:
        return std::find(definition.choices.begin(), definition.choices.end(),
                         value) != definition.choices.end();
    case setting_type::count: {
        const auto number = parse_count(value);
        return number && within(definition, number.value());
    }
    case setting_type::time_span: {
        const auto span = parse_time_span(value);
        return span && within(definition,
                              static_cast<std::uint64_t>(
                                  span.value() / std::chrono::milliseconds(1)));
    }
    }
    return false;
}

} // namespace

std::string environment_name(const setting& definition)
{
    std::string name = "BAMBOOGATE_";
    for (const char c : definition.name) {
        const bool lower = c >= 'a' && c <= 'z';
        name.push_back(c == '-' ? '_' : static_cast<char>(lower ? c - 32 : c));
    }
    return name;
}

std::string allowed_values(const setting& definition)
{
    switch (definition.type) {
    case setting_type::identifier:
        return "1 to 64 letters, digits, '.', '_' or '-'";
    case setting_type::text:
        return "a non-empty text";
    case setting_type::listener:
        return "an IP address and port, such as 10.0.0.1:7000";
    case setting_type::endpoints:
        return "a list such as 10.0.0.1:7000,10.0.0.2:7000 or "
               "c1=10.0.0.1:7000,c2=10.0.0.2:7000 with ports above 0";
    case setting_type::peers:
        return "a list such as a=10.0.0.1:7000,b=10.0.0.2:7000 with unique "
               "ids and ports above 0";
    case setting_type::file:
        return "the path of a file that can be read";
    case setting_type::folder:
        return "the path of a folder, which may be absent";
    case setting_type::secret:
        return fmt::format("at least {} bytes", min_secret_bytes);
    case setting_type::boolean:
        return "on or off";
    case setting_type::flag:
        return "no value";
    case setting_type::choice:
        return fmt::format("one of {}", fmt::join(definition.choices, ", "));
    case setting_type::count:
        return fmt::format("a whole number from {} to {}", definition.minimum,
                           definition.maximum);
    case setting_type::time_span:
        return fmt::format("a time from {} to {}, such as 250ms, 2s, 5m or 1h",
                           span_text(definition.minimum),
                           span_text(definition.maximum));
    }
    return {};
}

result<void> check_value(const setting& definition, std::string_view value)
{
    if (is_allowed(definition, value)) {
        return outcome::success();
    }
    return fail(errc::invalid_argument, allowed_values(definition));
}

result<std::uint64_t> parse_count(std::string_view text)
{
    std::uint64_t value = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, problem] = std::from_chars(text.data(), end, value);
    if (problem != std::errc{} || stop != end) {
        return fail(errc::invalid_argument, "not a non-negative integer");
    }
    return value;
}

result<duration> parse_time_span(std::string_view text)
{
    struct unit
    {
        std::string_view suffix;
        std::chrono::milliseconds factor;
    };
    // `ms` precedes `s`, which is a suffix of it.
    constexpr unit units[] = {{"ms", std::chrono::milliseconds(1)},
                              {"s", std::chrono::seconds(1)},
                              {"m", std::chrono::minutes(1)},
                              {"h", std::chrono::hours(1)}};
    for (const auto& [suffix, factor] : units) {
        if (!text.ends_with(suffix)) {
            continue;
        }
        text.remove_suffix(suffix.size());
        BOOST_OUTCOME_TRY(number, parse_count(text));
        // Ten years; larger values could overflow the nanosecond count.
        constexpr std::chrono::milliseconds longest = std::chrono::hours(87600);
        if (number > static_cast<std::uint64_t>(longest / factor)) {
            return fail(errc::invalid_argument, "longer than ten years");
        }
        return duration(factor * static_cast<std::int64_t>(number));
    }
    return fail(errc::invalid_argument, "missing or unknown unit");
}

result<std::vector<peer_address>> parse_peers(std::string_view text)
{
    std::vector<peer_address> peers;
    std::set<std::string_view> known_ids;
    for (const auto part : split(text)) {
        const auto equals = part.find('=');
        const auto id = part.substr(0, equals);
        if (equals == std::string_view::npos || !is_identifier(id) ||
            !known_ids.insert(id).second) {
            return fail(errc::invalid_argument, std::string(part));
        }
        BOOST_OUTCOME_TRY(address, parse_peer_address(part.substr(equals + 1)));
        peers.push_back({node_id(std::string(id)), std::move(address)});
    }
    return peers;
}

result<std::vector<peer_address>> parse_endpoints(std::string_view text)
{
    std::vector<peer_address> endpoints;
    for (const auto part : split(text)) {
        const auto equals = part.find('=');
        const bool named = equals != std::string_view::npos;
        const auto id = part.substr(0, named ? equals : 0);
        if (named && !is_identifier(id)) {
            return fail(errc::invalid_argument, std::string(part));
        }
        BOOST_OUTCOME_TRY(
            address, parse_peer_address(part.substr(named ? equals + 1 : 0)));
        endpoints.push_back({node_id(std::string(id)), std::move(address)});
    }
    if (endpoints.empty()) {
        return fail(errc::invalid_argument, "no address");
    }
    return endpoints;
}

result<secret> read_secret_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::string bytes(max_secret_file_bytes + 1, '\0');
    file.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    if (file.bad() || (!file.eof() && file.fail())) {
        return fail(errc::invalid_argument, "the file cannot be read");
    }
    bytes.resize(static_cast<std::size_t>(file.gcount()));
    if (bytes.size() > max_secret_file_bytes) {
        return fail(errc::invalid_argument, "the file exceeds 4096 bytes");
    }
    constexpr std::string_view blank = " \t\r\n";
    const auto first = bytes.find_first_not_of(blank);
    if (first == std::string::npos) {
        return secret();
    }
    const auto last = bytes.find_last_not_of(blank);
    return secret(bytes.substr(first, last - first + 1));
}

} // namespace bamboogate::config
