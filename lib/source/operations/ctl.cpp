#include <bamboogate/config/registry.hpp>
#include <bamboogate/config/settings.hpp>
#include <bamboogate/control/declaration_json.hpp>
#include <bamboogate/control/declaration_parser.hpp>
#include <bamboogate/observability/burn_report.hpp>
#include <bamboogate/operations/control_session.hpp>
#include <bamboogate/operations/ctl.hpp>
#include <bamboogate/operations/ctl_command.hpp>
#include <bamboogate/operations/log_events.hpp>
#include <bamboogate/operations/log_trace.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <fstream>

#include "ctl_tables.hpp"

namespace bamboogate::operations {

namespace {

using config::exit_code;

class ctl_run
{
public:
    ctl_run(net::event_loop& loop, const config::parsed_settings& parsed,
            const secret& key, const ctl_streams& streams)
        : values_(parsed.values), streams_(streams),
          timeout_(values_.time_span("timeout")),
          session_(loop, {.replicas = endpoints("control"),
                          .operator_key = key,
                          .timeout = timeout_})
    {}

    exit_code run(const ctl_request& request)
    {
        const auto& arguments = request.arguments;
        switch (request.command->verb) {
        case ctl_verb::apply:
            return apply(arguments[0]);
        case ctl_verb::preset_use:
            return change("/v1/preset", {{"preset", arguments[0]}});
        case ctl_verb::status:
            return status();
        case ctl_verb::members_list:
            return read("/v1/members", members_table);
        case ctl_verb::members_add:
            return member("add_learner", arguments[0]);
        case ctl_verb::members_promote:
            return member("promote", arguments[0]);
        case ctl_verb::members_remove:
            return member("remove", arguments[0]);
        case ctl_verb::drain:
            return send_once("/v1/drain", {{"node", arguments[0]}});
        case ctl_verb::burn:
            return burn();
        case ctl_verb::history:
            return read("/v1/history", history_table);
        case ctl_verb::show:
            return show();
        case ctl_verb::order:
            return order(arguments);
        case ctl_verb::trace:
            return trace(arguments);
        case ctl_verb::completion_bash:
            break;
        }
        streams_.output(bash_completion());
        return exit_code::ok;
    }

private:
    [[nodiscard]] std::vector<config::peer_address>
    endpoints(std::string_view name) const
    {
        auto parsed = config::parse_endpoints(values_.text(name));
        return parsed ? std::move(parsed).value()
                      : std::vector<config::peer_address>{};
    }

    exit_code failed(const error& problem)
    {
        streams_.diagnostics(
            fmt::format("{}: {}\n", name_of(problem.code), problem.detail));
        return config::exit_code_of(problem.code);
    }

    void print(const json& document, std::string (*table)(const json&))
    {
        streams_.output(values_.text("output") == "json"
                            ? document.dump(2) + "\n"
                            : table(document));
    }

    /// Only the leader knows the gates' leases; any replica's view must do
    /// when there is none.
    exit_code status()
    {
        const auto leader = session_.call({.path = "/v1/status?leader=1"});
        if (!leader) {
            return read("/v1/status", status_table);
        }
        print(leader.value(), status_table);
        return exit_code::ok;
    }

    exit_code read(const std::string& path, std::string (*table)(const json&))
    {
        const auto answer = session_.call({.path = path});
        if (!answer) {
            return failed(answer.error());
        }
        print(answer.value(), table);
        return exit_code::ok;
    }

    exit_code trace(const std::vector<std::string>& arguments)
    {
        const auto lines = trace_request(
            arguments.front(), {arguments.begin() + 1, arguments.end()});
        if (!lines) {
            return failed(lines.error());
        }
        streams_.output(lines.value());
        return exit_code::ok;
    }

    exit_code send_once(const std::string& path, const json& body)
    {
        const auto answer = session_.call({.method = "POST",
                                           .path = path,
                                           .body = body,
                                           .after_loss = resend::forbidden,
                                           .attempt_timeout = timeout_});
        if (!answer) {
            return failed(answer.error());
        }
        print(answer.value(), fields_table);
        return exit_code::ok;
    }

    exit_code member(const std::string& action, const std::string& node)
    {
        return send_once("/v1/members", {{"action", action}, {"node", node}});
    }

    /// The revision in `--based-on`, or else the leader's newest.
    result<std::uint64_t> base_revision()
    {
        if (values_.find("based-on")) {
            return values_.count("based-on");
        }
        BOOST_OUTCOME_TRY(current, session_.call({.path = "/v1/declarations"}));
        const auto found = current.find("revision");
        if (found == current.end() || !found->is_number_unsigned()) {
            return fail(errc::malformed_input, "declarations: no revision");
        }
        return found->get<std::uint64_t>();
    }

    /// @param announce whether the answer of a resend matters
    result<json> send_change(const std::string& path, json body, bool announce)
    {
        BOOST_OUTCOME_TRY(based_on, base_revision());
        std::string operation = values_.text("operation-id");
        if (operation.empty()) {
            operation = fmt::format("ctl-{:016x}", random_u64());
        }
        body["operation_id"] = operation;
        body["based_on"] = based_on;
        if (announce) {
            streams_.diagnostics(fmt::format(
                "operation {} based on revision {}; to send it again: "
                "--operation-id {} --based-on {}\n",
                operation, based_on, operation, based_on));
        }
        return session_.call({.method = "POST",
                              .path = path,
                              .body = std::move(body),
                              .attempt_timeout = timeout_});
    }

    exit_code change(const std::string& path, json body)
    {
        const bool waits = values_.enabled("wait");
        const auto milliseconds =
            static_cast<std::uint64_t>(timeout_ / std::chrono::milliseconds(1));
        // The answer must arrive before this side gives up.
        body["wait_ms"] = waits ? milliseconds * 3 / 4 : 0;
        const auto answer = send_change(path, std::move(body), true);
        if (!answer) {
            return failed(answer.error());
        }
        print(answer.value(), fields_table);
        if (waits && answer.value().value("in_force", json()) != json(true)) {
            streams_.diagnostics("accepted, but not yet in force everywhere\n");
            return exit_code::temporary;
        }
        return exit_code::ok;
    }

    exit_code apply(const std::string& folder)
    {
        const auto parsed = control::parse_declaration_folder(folder);
        for (const auto& fault : parsed.faults) {
            streams_.diagnostics(fault.text() + "\n");
        }
        if (!parsed.faults.empty()) {
            return exit_code::data;
        }
        json body = {{"declarations", control::to_document(parsed.declared)}};
        if (!values_.enabled("dry-run")) {
            return change("/v1/apply", std::move(body));
        }
        body["dry_run"] = true;
        const auto answer = send_change("/v1/apply", std::move(body), false);
        if (!answer) {
            return failed(answer.error());
        }
        print(answer.value(), difference_table);
        return exit_code::ok;
    }

    exit_code show()
    {
        const auto current = session_.call({.path = "/v1/declarations"});
        if (!current) {
            return failed(current.error());
        }
        const auto wanted = values_.find("revision");
        if (!wanted || current.value().value("revision", json()) ==
                           json(values_.count("revision"))) {
            print(current.value(), document_text);
            return exit_code::ok;
        }
        // Of earlier revisions, control keeps who changed what.
        const auto answer = session_.call({.path = "/v1/history"});
        if (!answer) {
            return failed(answer.error());
        }
        for (const auto& entry : answer.value().value("history", json())) {
            if (entry.value("revision", json()) ==
                json(values_.count("revision"))) {
                print({{"history", json::array({entry})}}, history_table);
                return exit_code::ok;
            }
        }
        return failed({errc::not_found, "revision " + *wanted});
    }

    exit_code order(const std::vector<std::string>& arguments)
    {
        const auto document = parse_json(arguments[2]);
        if (!document || !document.value().is_object()) {
            return failed({errc::invalid_argument,
                           "order: the last argument is a JSON object"});
        }
        const auto answer = send_change("/v1/orders",
                                        {{"upstream", arguments[0]},
                                         {"address", arguments[1]},
                                         {"order", document.value()}},
                                        true);
        if (!answer) {
            return failed(answer.error());
        }
        print(answer.value(), fields_table);
        const json outcome = answer.value().value("outcome", json());
        if (outcome == json("accepted")) {
            return exit_code::ok;
        }
        return outcome == json("refused") ? exit_code::failure
                                          : exit_code::temporary;
    }

    exit_code burn()
    {
        const auto now = std::chrono::floor<std::chrono::seconds>(
            std::chrono::system_clock::now());
        observability::burn_tracker merged;
        std::size_t missing = 0;
        const auto gates = endpoints("gate-addresses");
        for (const auto& gate : gates) {
            if (const auto added = add_gate(gate.address, merged, now);
                !added) {
                ++missing;
                observability::log(log_events::gate_not_reached,
                                   {{"gate", gate.address.text()},
                                    {"code", name_of(added.error().code)},
                                    {"detail", added.error().detail}});
            }
        }
        if (missing == gates.size()) {
            return failed({errc::connection_failed, "no gate gave burn data"});
        }
        if (const auto path = values_.find("html")) {
            std::ofstream file(*path, std::ios::trunc);
            file << observability::burn_page(merged, now) << std::flush;
            if (!file) {
                streams_.diagnostics(*path + ": cannot be written\n");
                return exit_code::cannot_create;
            }
        }
        const auto rows = observability::burn_rows(merged, now);
        auto document = observability::burn_document(rows, now);
        document["gates"] = gates.size();
        document["gates_missing"] = missing;
        streams_.output(values_.text("output") == "json"
                            ? document.dump(2) + "\n"
                            : observability::burn_table(rows));
        // A report that lacks a gate must not pass for a whole one.
        return missing == 0 ? exit_code::ok : exit_code::temporary;
    }

    result<void> add_gate(const net::address& gate,
                          observability::burn_tracker& merged,
                          observability::burn_time now)
    {
        const auto answer = session_.send(
            gate, {.path = "/v1/burn"},
            std::min<duration>(timeout_, std::chrono::seconds(3)));
        if (!answer) {
            return answer.error().reason;
        }
        if (answer.value().status != 200) {
            return error_from_response(answer.value().status,
                                       answer.value().body);
        }
        BOOST_OUTCOME_TRY(document, parse_json(answer.value().body,
                                               {.max_bytes = 64u << 20}));
        return merged.merge(document, now);
    }

    const config::setting_values& values_;
    const ctl_streams& streams_;
    duration timeout_;
    control_session session_;
};

/// Settings that a command needs although they are optional by themselves.
void check_needs(const ctl_request& request,
                 const config::setting_values& values,
                 std::vector<config::setting_fault>& faults)
{
    const auto verb = request.command->verb;
    const std::string needed =
        verb == ctl_verb::burn ? "gate-addresses" : "control";
    if (!request.command->offline && !values.find(needed)) {
        faults.push_back({needed, std::nullopt, "an address for this command"});
    }
}

} // namespace

exit_code run_ctl(net::event_loop& loop, std::span<const std::string> arguments,
                  const config::environment& variables,
                  const ctl_streams& streams)
{
    const config::program_description program{
        .name = "bamboogatectl",
        .summary = "the operators' command line",
        .registry = config::ctl_registry(),
        .positional = "COMMAND [ARGUMENT]..."};
    const auto parsed = config::parse_settings(program, arguments, variables);
    config::settings_result<int> early;
    if (config::handle_early_exit(program, parsed, early)) {
        if (parsed.help) {
            early.output += commands_text();
        }
        streams.output(early.output);
        streams.diagnostics(early.diagnostics);
        return early.code;
    }
    const auto request = read_command(parsed);
    if (!request) {
        streams.diagnostics(fmt::format("bamboogatectl: {}\ntry --help\n",
                                        request.error().detail));
        return exit_code::usage;
    }
    auto faults = parsed.faults;
    const auto key = config::resolve_secret(parsed, "operator-key", faults);
    check_needs(request.value(), parsed.values, faults);
    if (!key && !request.value().command->offline && faults.empty()) {
        faults.push_back({"operator-key-file", std::nullopt,
                          "a file here or the variable "
                          "BAMBOOGATE_OPERATOR_KEY"});
    }
    for (const auto& fault : faults) {
        streams.diagnostics("bamboogatectl: " + config::to_text(fault) + "\n");
    }
    if (!faults.empty()) {
        return exit_code::config;
    }
    if (parsed.check) {
        streams.output("all settings are allowed\n");
        return exit_code::ok;
    }
    observability::set_log_source("bamboogatectl");
    return ctl_run(loop, parsed, key.value_or(secret()), streams)
        .run(request.value());
}

} // namespace bamboogate::operations
