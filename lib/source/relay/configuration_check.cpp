#include <bamboogate/relay/configuration_check.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace bamboogate::relay {

namespace {

using section = configuration_section;

/// Collects findings on the entries of one configuration.
class finding_list
{
public:
    void add(finding_kind kind, section where, std::size_t index,
             std::string detail)
    {
        found_.push_back({kind, where, index, std::move(detail)});
    }
    void error(section where, std::size_t index, std::string detail)
    {
        add(finding_kind::error, where, index, std::move(detail));
    }
    void unreachable(section where, std::size_t index, std::string detail)
    {
        add(finding_kind::unreachable, where, index, std::move(detail));
    }
    void contradiction(section where, std::size_t index, std::string detail)
    {
        add(finding_kind::contradiction, where, index, std::move(detail));
    }
    [[nodiscard]] std::vector<configuration_finding> take()
    {
        return std::move(found_);
    }

private:
    std::vector<configuration_finding> found_;
};

void find_route_errors(const route& candidate, std::size_t index,
                       const std::set<service_id>& services, finding_list& out)
{
    if (candidate.timeout <= duration::zero()) {
        out.error(section::routes, index,
                  fmt::format("route {} has no time-out", candidate.name));
    }
    std::uint64_t weights = 0;
    for (const auto& target : candidate.targets) {
        if (!services.contains(target.service)) {
            out.error(section::routes, index,
                      fmt::format("route {} names unknown service {}",
                                  candidate.name, target.service.value()));
        }
        weights += target.weight;
    }
    if (weights == 0) {
        out.error(
            section::routes, index,
            fmt::format("the weights of route {} add up to 0", candidate.name));
    }
}

const service* service_named(const configuration& candidate,
                             const service_id& name)
{
    const auto found =
        std::find_if(candidate.services.begin(), candidate.services.end(),
                     [&](const auto& each) { return each.name == name; });
    return found == candidate.services.end() ? nullptr : &*found;
}

void find_route_doubts(const configuration& candidate, std::size_t index,
                       finding_list& out)
{
    const route& each = candidate.routes[index];
    const auto contradiction = [&](std::string_view detail) {
        out.contradiction(section::routes, index,
                          fmt::format("route {}: {}", each.name, detail));
    };
    if (!each.path_prefix.starts_with('/') || each.host.empty()) {
        out.unreachable(
            section::routes, index,
            fmt::format("route {}: no request matches host \"{}\" and prefix "
                        "\"{}\"",
                        each.name, each.host, each.path_prefix));
    }
    if (each.latency_objective > each.timeout) {
        contradiction("its latency objective is longer than its time-out");
    }
    if (each.event_gap_objective > each.timeout) {
        contradiction("its longest pause is longer than its time-out");
    }
    const bool streaming = each.policy == retry_policy::streaming;
    if (each.resumable && !streaming) {
        contradiction("only streams can be resumable");
    }
    if (each.policy == retry_policy::non_idempotent && each.max_attempts > 1) {
        contradiction("a non-idempotent request is not repeated, but more "
                      "than one attempt is allowed");
    }
    for (const auto& target : each.targets) {
        if (target.weight == 0) {
            out.unreachable(section::routes, index,
                            fmt::format("route {}: service {} has weight 0",
                                        each.name, target.service.value()));
        }
        const service* named = service_named(candidate, target.service);
        if (streaming && each.resumable && named != nullptr && !named->engine) {
            contradiction(fmt::format("its streams are resumable, but service "
                                      "{} has no engines",
                                      target.service.value()));
        }
    }
}

void find_service_doubts(const configuration& candidate,
                         const std::set<service_id>& used, finding_list& out)
{
    for (std::size_t i = 0; i < candidate.services.size(); ++i) {
        const service& each = candidate.services[i];
        if (!used.contains(each.name)) {
            out.unreachable(
                section::services, i,
                fmt::format("no route leads to service {}", each.name.value()));
        }
        if (each.engine && each.engine->slots == 0) {
            out.contradiction(section::services, i,
                              fmt::format("the engines of service {} have no "
                                          "slots",
                                          each.name.value()));
        }
        if (each.engine && each.engine->kv_capacity_tokens == 0) {
            out.contradiction(section::services, i,
                              fmt::format("the engines of service {} have no "
                                          "memory for a prompt",
                                          each.name.value()));
        }
    }
}

void find_account_doubts(const configuration& candidate, finding_list& out)
{
    if (candidate.requires_key() && candidate.accounts.empty()) {
        out.unreachable(section::accounts, 0,
                        "there is no account: every request without an "
                        "anonymous route is refused");
    }
    for (std::size_t i = 0; i < candidate.accounts.size(); ++i) {
        const client_account& each = candidate.accounts[i];
        if (each.keys.empty()) {
            out.unreachable(
                section::accounts, i,
                fmt::format("account {} has no key", each.name.value()));
        }
        if (std::find(each.keys.begin(), each.keys.end(), "") !=
            each.keys.end()) {
            out.contradiction(section::accounts, i,
                              fmt::format("an empty key of account {} admits "
                                          "requests without a key",
                                          each.name.value()));
        }
    }
}

void find_limit_doubts(const caller_limits& limits, finding_list& out)
{
    if (limits.header_bytes == 0 || limits.header_timeout <= duration::zero()) {
        out.contradiction(section::limits, 0,
                          "no request fits into the limits of its head");
    }
    if (limits.idle_timeout <= duration::zero()) {
        out.contradiction(section::limits, 0,
                          "connections are closed as soon as they are idle");
    }
    if (limits.header_timeout > limits.idle_timeout) {
        out.contradiction(section::limits, 0,
                          "a head may take longer than a connection may be "
                          "idle");
    }
}

/// The fields in which two routes of one name differ.
std::string differing_fields(const route& before, const route& after)
{
    std::vector<std::string_view> fields;
    const auto compare = [&](bool equal, std::string_view name) {
        if (!equal) {
            fields.push_back(name);
        }
    };
    compare(before.host == after.host, "host");
    compare(before.path_prefix == after.path_prefix, "prefix");
    compare(before.policy == after.policy, "retry policy");
    compare(before.timeout == after.timeout, "time-out");
    compare(before.latency_objective == after.latency_objective,
            "latency objective");
    compare(before.event_gap_objective == after.event_gap_objective,
            "longest pause");
    compare(before.rank == after.rank, "rank");
    compare(before.targets == after.targets, "services");
    compare(before.max_attempts == after.max_attempts, "attempts");
    compare(before.anonymous == after.anonymous, "anonymous");
    compare(before.resumable == after.resumable, "resumable");
    return fmt::format("{}", fmt::join(fields, ", "));
}

std::string differing_fields(const service& before, const service& after)
{
    std::vector<std::string_view> fields;
    if (before.health_path != after.health_path) {
        fields.push_back("health path");
    }
    if (before.max_connections != after.max_connections) {
        fields.push_back("connections");
    }
    if (before.engine != after.engine) {
        fields.push_back("engine");
    }
    return fmt::format("{}", fmt::join(fields, ", "));
}

std::string differing_fields(const client_account& before,
                             const client_account& after)
{
    const std::set<std::string> old_keys(before.keys.begin(),
                                         before.keys.end());
    const std::set<std::string> new_keys(after.keys.begin(), after.keys.end());
    const auto missing_in = [](const auto& from, const auto& other) {
        return std::count_if(from.begin(), from.end(), [&](const auto& key) {
            return !other.contains(key);
        });
    };
    const auto added = missing_in(new_keys, old_keys);
    const auto removed = missing_in(old_keys, new_keys);
    std::string out;
    if (added + removed > 0) {
        out = fmt::format("{} keys added, {} removed", added, removed);
    }
    if (before.rank != after.rank) {
        out += out.empty() ? "rank" : ", rank";
    }
    return out;
}

const std::string& key_of(const route& each)
{
    return each.name;
}
const std::string& key_of(const service& each)
{
    return each.name.value();
}
const std::string& key_of(const client_account& each)
{
    return each.name.value();
}

template <typename Entry>
void find_entry_changes(section where, std::string_view word,
                        const std::vector<Entry>& before,
                        const std::vector<Entry>& after,
                        std::vector<configuration_change>& out)
{
    std::map<std::string, const Entry*> old_entries;
    for (const auto& each : before) {
        old_entries.emplace(key_of(each), &each);
    }
    for (const auto& each : after) {
        const auto old_entry = old_entries.find(key_of(each));
        if (old_entry == old_entries.end()) {
            out.push_back(
                {where, fmt::format("{} {} is added", word, key_of(each))});
            continue;
        }
        const auto fields = differing_fields(*old_entry->second, each);
        if (!fields.empty()) {
            out.push_back({where, fmt::format("{} {} changes: {}", word,
                                              key_of(each), fields)});
        }
        old_entries.erase(old_entry);
    }
    for (const auto& [name, entry] : old_entries) {
        out.push_back({where, fmt::format("{} {} is removed", word, name)});
    }
}

} // namespace

std::string_view name_of(finding_kind kind)
{
    switch (kind) {
    case finding_kind::error:
        return "error";
    case finding_kind::unreachable:
        return "unreachable";
    case finding_kind::contradiction:
        return "contradiction";
    }
    return "unknown";
}

std::string_view name_of(configuration_section section)
{
    switch (section) {
    case configuration_section::document:
        return "document";
    case configuration_section::services:
        return "services";
    case configuration_section::routes:
        return "routes";
    case configuration_section::accounts:
        return "accounts";
    case configuration_section::limits:
        return "limits";
    }
    return "unknown";
}

std::vector<configuration_finding> find_errors(const configuration& candidate)
{
    finding_list out;
    std::set<service_id> services;
    for (std::size_t i = 0; i < candidate.services.size(); ++i) {
        const auto& name = candidate.services[i].name;
        if (!services.insert(name).second) {
            out.error(section::services, i,
                      fmt::format("two services are named {}", name.value()));
        }
    }
    std::set<std::pair<std::string, std::string>> prefixes;
    for (std::size_t i = 0; i < candidate.routes.size(); ++i) {
        const route& each = candidate.routes[i];
        find_route_errors(each, i, services, out);
        if (!prefixes.emplace(normalized_host(each.host), each.path_prefix)
                 .second) {
            out.error(section::routes, i,
                      fmt::format("two routes share host and prefix {}{}",
                                  each.host, each.path_prefix));
        }
    }
    std::map<std::string, client_account_id> keys;
    for (std::size_t i = 0; i < candidate.accounts.size(); ++i) {
        const client_account& account = candidate.accounts[i];
        for (const auto& key : account.keys) {
            const auto [found, added] = keys.emplace(key, account.name);
            if (!added && found->second != account.name) {
                out.error(section::accounts, i,
                          fmt::format("accounts {} and {} share a key",
                                      found->second.value(),
                                      account.name.value()));
            }
        }
    }
    return out.take();
}

std::vector<configuration_finding> find_doubts(const configuration& candidate)
{
    finding_list out;
    std::set<service_id> used;
    for (const auto& each : candidate.routes) {
        for (const auto& target : each.targets) {
            if (target.weight > 0) {
                used.insert(target.service);
            }
        }
    }
    find_service_doubts(candidate, used, out);
    for (std::size_t i = 0; i < candidate.routes.size(); ++i) {
        find_route_doubts(candidate, i, out);
    }
    find_account_doubts(candidate, out);
    find_limit_doubts(candidate.limits, out);
    return out.take();
}

std::vector<configuration_change> find_changes(const configuration& in_force,
                                               const configuration& candidate)
{
    std::vector<configuration_change> out;
    if (candidate.version <= in_force.version) {
        out.push_back(
            {section::document,
             fmt::format("version {} is not higher than version {} in force: "
                         "it would change nothing",
                         candidate.version, in_force.version)});
    }
    find_entry_changes(section::services, "service", in_force.services,
                       candidate.services, out);
    find_entry_changes(section::routes, "route", in_force.routes,
                       candidate.routes, out);
    find_entry_changes(section::accounts, "account", in_force.accounts,
                       candidate.accounts, out);
    if (in_force.requires_key() && !candidate.requires_key()) {
        out.push_back({section::accounts, "requests need no API key any more"});
    }
    if (in_force.limits != candidate.limits) {
        out.push_back({section::limits, "the limits for callers change"});
    }
    return out;
}

} // namespace bamboogate::relay
