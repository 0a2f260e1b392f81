#include <bamboogate/net/http_router.hpp>

#include <optional>

namespace bamboogate::net {

namespace {

std::vector<std::string> split_path(std::string_view path)
{
    std::vector<std::string> out;
    while (!path.empty()) {
        if (path.front() == '/') {
            path.remove_prefix(1);
        }
        const auto end = path.find('/');
        out.emplace_back(path.substr(0, end));
        path = end == std::string_view::npos ? std::string_view()
                                             : path.substr(end);
    }
    return out;
}

bool is_variable(std::string_view segment)
{
    return segment.size() > 2 && segment.front() == '{' &&
           segment.back() == '}';
}

bool matches_rest(std::string_view segment)
{
    return is_variable(segment) && segment.ends_with("...}");
}

std::string rest_of(const std::vector<std::string>& path, std::size_t from)
{
    std::string out;
    for (std::size_t i = from; i < path.size(); ++i) {
        out += '/';
        out += path[i];
    }
    return out.empty() ? "/" : out;
}

std::optional<path_values> match(const std::vector<std::string>& pattern,
                                 const std::vector<std::string>& path)
{
    path_values values;
    for (std::size_t i = 0; i < pattern.size(); ++i) {
        const std::string_view segment = pattern[i];
        if (matches_rest(segment)) {
            values.emplace(segment.substr(1, segment.size() - 5),
                           rest_of(path, i));
            return values;
        }
        if (i >= path.size()) {
            return std::nullopt;
        }
        if (is_variable(segment)) {
            values.emplace(segment.substr(1, segment.size() - 2), path[i]);
            continue;
        }
        if (segment != path[i]) {
            return std::nullopt;
        }
    }
    if (path.size() != pattern.size()) {
        return std::nullopt;
    }
    return values;
}

} // namespace

http_router::http_router(fallback on_no_match)
    : fallback_(std::move(on_no_match))
{}

void http_router::add(std::string method, std::string_view pattern,
                      handler function)
{
    entries_.push_back(
        {std::move(method), split_path(pattern), std::move(function)});
}

void http_router::route(const http_request& request,
                        const std::shared_ptr<responder>& out) const
{
    const auto path = split_path(request.path);
    bool path_known = false;
    for (const auto& each : entries_) {
        const auto values = match(each.segments, path);
        if (!values) {
            continue;
        }
        path_known = true;
        if (each.method == "*" || each.method == request.method) {
            each.function(request, *values, out);
            return;
        }
    }
    fallback_(request, path_known, out);
}

std::string_view query_value(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const auto end = query.find('&');
        const std::string_view part = query.substr(0, end);
        const auto equals = part.find('=');
        if (part.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string_view()
                                                    : part.substr(equals + 1);
        }
        query = end == std::string_view::npos ? std::string_view()
                                              : query.substr(end + 1);
    }
    return {};
}

} // namespace bamboogate::net
