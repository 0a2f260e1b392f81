#include <bamboogate/relay/configuration.hpp>
#include <bamboogate/relay/configuration_check.hpp>

#include <algorithm>

namespace bamboogate::relay {

std::string normalized_host(std::string_view host)
{
    const auto colon = host.rfind(':');
    if (colon != std::string_view::npos &&
        host.find(']', colon) == std::string_view::npos) {
        host = host.substr(0, colon);
    }
    std::string key(host);
    std::transform(key.begin(), key.end(), key.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
    });
    return key;
}

unsigned combined_rank(std::optional<unsigned> account, unsigned route)
{
    // Three route ranks times three account ranks fit into the ten urgency
    // levels of the engines.
    constexpr unsigned route_ranks = 3;
    constexpr unsigned default_account_rank = 1;
    return account.value_or(default_account_rank) * route_ranks +
           std::min(route, route_ranks - 1);
}

result<void> validate(const configuration& candidate)
{
    auto errors = find_errors(candidate);
    if (!errors.empty()) {
        return fail(errc::invalid_argument, std::move(errors.front().detail));
    }
    return outcome::success();
}

route_table::route_table(configuration source) : source_(std::move(source))
{
    for (const auto& each : source_.routes) {
        by_host_[normalized_host(each.host)].push_back(&each);
    }
    for (auto& [host, routes] : by_host_) {
        std::stable_sort(
            routes.begin(), routes.end(), [](const route* a, const route* b) {
                return a->path_prefix.size() > b->path_prefix.size();
            });
    }
    for (const auto& account : source_.accounts) {
        for (const auto& key : account.keys) {
            by_key_.emplace(key, &account);
        }
    }
    for (const auto& each : source_.services) {
        by_name_.emplace(each.name, &each);
    }
}

const route* route_table::find_route(std::string_view host,
                                     std::string_view path) const
{
    const auto routes = by_host_.find(normalized_host(host));
    if (routes == by_host_.end()) {
        return nullptr;
    }
    const auto found = std::find_if(
        routes->second.begin(), routes->second.end(),
        [&](const route* each) { return path.starts_with(each->path_prefix); });
    return found == routes->second.end() ? nullptr : *found;
}

const client_account* route_table::find_account(std::string_view key) const
{
    const auto found = by_key_.find(std::string(key));
    return found == by_key_.end() ? nullptr : found->second;
}

const service* route_table::find_service(const service_id& name) const
{
    const auto found = by_name_.find(name);
    return found == by_name_.end() ? nullptr : found->second;
}

const service_id& route_table::pick_service(const route& candidate,
                                            std::uint64_t random)
{
    std::uint64_t total = 0;
    for (const auto& each : candidate.targets) {
        total += each.weight;
    }
    std::uint64_t position = random % total;
    for (const auto& each : candidate.targets) {
        if (position < each.weight) {
            return each.service;
        }
        position -= each.weight;
    }
    return candidate.targets.back().service;
}

} // namespace bamboogate::relay
