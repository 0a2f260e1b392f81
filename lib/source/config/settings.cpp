#include <bamboogate/config/log_events.hpp>
#include <bamboogate/config/registry.hpp>
#include <bamboogate/config/settings.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace bamboogate::config {

namespace {

constexpr program_description gate_program()
{
    return {.name = "bamboogate-gate",
            .summary = "serves callers: admission, scheduling, streaming"};
}

constexpr program_description control_program()
{
    return {.name = "bamboogate-control",
            .summary = "keeps the replicated configuration and its history"};
}

observability::severity severity_of(std::string_view name)
{
    using observability::severity;
    for (const auto level : {severity::debug, severity::info, severity::warning,
                             severity::error}) {
        if (observability::name_of(level) == name) {
            return level;
        }
    }
    return severity::info;
}

void fill_daemon(const parsed_settings& parsed, daemon_settings& into,
                 std::vector<setting_fault>& faults)
{
    const auto& values = parsed.values;
    into.node = node_id(values.text("node-id"));
    into.failure_domain = failure_domain_id(values.text("failure-domain"));
    into.link_address = values.address("link-address");
    into.log_level = severity_of(values.text("log-level"));
    into.max_connections =
        static_cast<unsigned>(values.count("max-connections"));
    into.body_limit = values.count("body-limit");
    into.drain_limit = values.time_span("drain-limit");
    const auto before = faults.size();
    if (auto found = resolve_secret(parsed, "secret", faults)) {
        into.shared_secret = std::move(*found);
    } else if (faults.size() == before && !parsed.values.find("secret-file")) {
        faults.push_back({"secret-file", std::nullopt,
                          "a file here or the variable BAMBOOGATE_SECRET"});
    }
}

/// The entry of the node itself is left out of its peers.
std::vector<peer_address> other_peers(std::vector<peer_address> peers,
                                      const node_id& self)
{
    std::erase_if(peers,
                  [&](const peer_address& peer) { return peer.node == self; });
    return peers;
}

void check_different(std::string_view left_name, const net::address& left,
                     std::string_view right_name, const net::address& right,
                     std::vector<setting_fault>& faults)
{
    if (left.port != 0 && left == right) {
        faults.push_back({std::string(right_name), right.text(),
                          fmt::format("an address other than {}", left_name)});
    }
}

/// Ids and addresses must be unique over gates and replicas: links find
/// their peer by node id.
void check_disjoint(std::span<const peer_address> gates,
                    std::span<const peer_address> replicas,
                    std::vector<setting_fault>& faults)
{
    for (const auto& replica : replicas) {
        const auto clash = std::any_of(
            gates.begin(), gates.end(), [&](const peer_address& gate) {
                return gate.node == replica.node ||
                       gate.address == replica.address;
            });
        if (clash) {
            faults.push_back(
                {"control-replicas",
                 fmt::format("{}={}", replica.node.value(),
                             replica.address.text()),
                 "ids and addresses that are not among the gates"});
        }
    }
}

void check_unique_addresses(std::string_view name,
                            std::span<const peer_address> peers,
                            std::vector<setting_fault>& faults)
{
    for (auto peer = peers.begin(); peer != peers.end(); ++peer) {
        const bool repeated =
            std::any_of(peers.begin(), peer, [&](const peer_address& other) {
                return other.address == peer->address;
            });
        if (repeated) {
            faults.push_back({std::string(name), peer->address.text(),
                              "different addresses for different ids"});
        }
    }
}

template <typename Settings>
void finish(const program_description& program, const parsed_settings& parsed,
            std::optional<Settings> settings, settings_result<Settings>& into)
{
    if (!into.faults.empty()) {
        into.code = exit_code::config;
        for (const auto& fault : into.faults) {
            into.diagnostics +=
                fmt::format("{}: {}\n", program.name, to_text(fault));
        }
        return;
    }
    if (parsed.check) {
        into.output = "all settings are allowed\n";
        return;
    }
    into.settings = std::move(settings);
}

} // namespace

std::optional<secret> resolve_secret(const parsed_settings& parsed,
                                     const std::string& name,
                                     std::vector<setting_fault>& faults)
{
    const std::string file_setting = name + "-file";
    const auto path = parsed.values.find(file_setting);
    if (!path) {
        const auto value = parsed.values.find(name);
        return value ? std::optional(secret(*value)) : std::nullopt;
    }
    auto read = read_secret_file(*path);
    if (!read) {
        faults.push_back({file_setting, *path, read.error().detail});
        return std::nullopt;
    }
    if (read.value().reveal().size() < min_secret_bytes) {
        faults.push_back(
            {file_setting, *path,
             fmt::format("a file with at least {} bytes", min_secret_bytes)});
        return std::nullopt;
    }
    return std::move(read).value();
}

settings_result<gate_settings>
load_gate_settings(std::span<const std::string> arguments,
                   const environment& variables)
{
    auto program = gate_program();
    program.registry = gate_registry();
    const auto parsed = parse_settings(program, arguments, variables);
    settings_result<gate_settings> launched;
    if (handle_early_exit(program, parsed, launched)) {
        return launched;
    }
    launched.faults = parsed.faults;
    auto& faults = launched.faults;
    const auto& values = parsed.values;
    gate_settings settings;
    fill_daemon(parsed, settings, faults);
    settings.http_address = values.address("http-address");
    const auto gates = values.peers("gates");
    settings.gates = other_peers(gates, settings.node);
    settings.control_replicas = values.peers("control-replicas");
    settings.upstream_key = resolve_secret(parsed, "upstream-key", faults);
    settings.stale = values.text("stale-policy") == "serve"
                         ? stale_policy::serve
                         : stale_policy::refuse;
    settings.buddy = values.enabled("buddy");
    settings.silence_min = values.time_span("silence-min");
    settings.silence_max = values.time_span("silence-max");
    if (values.find("silence-min") && values.find("silence-max") &&
        settings.silence_min >= settings.silence_max) {
        faults.push_back({"silence-max", values.text("silence-max"),
                          "a time above silence-min"});
    }
    check_different("link-address", settings.link_address, "http-address",
                    settings.http_address, faults);
    check_unique_addresses("gates", gates, faults);
    check_unique_addresses("control-replicas", settings.control_replicas,
                           faults);
    auto all_gates = settings.gates;
    all_gates.push_back({settings.node, settings.link_address});
    check_disjoint(all_gates, settings.control_replicas, faults);
    finish(program, parsed, std::optional(std::move(settings)), launched);
    return launched;
}

settings_result<control_settings>
load_control_settings(std::span<const std::string> arguments,
                      const environment& variables)
{
    auto program = control_program();
    program.registry = control_registry();
    const auto parsed = parse_settings(program, arguments, variables);
    settings_result<control_settings> launched;
    if (handle_early_exit(program, parsed, launched)) {
        return launched;
    }
    launched.faults = parsed.faults;
    auto& faults = launched.faults;
    const auto& values = parsed.values;
    control_settings settings;
    fill_daemon(parsed, settings, faults);
    settings.operator_address = values.address("operator-address");
    const auto peers = values.peers("peers");
    settings.peers = other_peers(peers, settings.node);
    settings.join = values.enabled("join");
    settings.data_folder = values.text("data-folder");
    settings.bootstrap_operator_key =
        resolve_secret(parsed, "bootstrap-operator-key", faults);
    settings.election_timeout = values.time_span("election-timeout");
    settings.snapshot_interval = values.count("snapshot-interval");
    check_different("link-address", settings.link_address, "operator-address",
                    settings.operator_address, faults);
    check_unique_addresses("peers", peers, faults);
    finish(program, parsed, std::optional(std::move(settings)), launched);
    return launched;
}

void start_logging(const daemon_settings& settings,
                   std::span<const std::string> unknown_variables)
{
    observability::set_log_level(settings.log_level);
    observability::set_log_source(settings.node.value());
    for (const auto& name : unknown_variables) {
        observability::log(log_events::unknown_variable, {{"variable", name}});
    }
    observability::log(log_events::settings_accepted,
                       {{"failure_domain", settings.failure_domain.value()},
                        {"link_address", settings.link_address.text()}});
}

} // namespace bamboogate::config
