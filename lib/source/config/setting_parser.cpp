#include <bamboogate/config/registry.hpp>
#include <bamboogate/config/setting_parser.hpp>

#include <fmt/format.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <memory>

#ifndef BAMBOOGATE_VERSION
#define BAMBOOGATE_VERSION "unknown"
#endif

namespace bamboogate::config {

namespace {

/// The part of an argument before `=`, so that the value of a misspelt flag,
/// which may be a secret, is not shown.
std::string flag_part(const std::string& argument)
{
    return argument.substr(0, argument.find('='));
}

const setting* find_setting(std::span<const setting> registry,
                            std::string_view name)
{
    const auto found =
        std::find_if(registry.begin(), registry.end(),
                     [&](const setting& one) { return one.name == name; });
    return found == registry.end() ? nullptr : &*found;
}

/// TCLAP accepts one delimiter, so `--name=value` becomes `--name value`.
std::vector<std::string> split_assignments(std::span<const setting> registry,
                                           std::span<const std::string> given)
{
    std::vector<std::string> arguments;
    for (const auto& argument : given) {
        const auto equals = argument.find('=');
        const bool assignment =
            argument.starts_with("--") && equals != std::string::npos;
        const auto* known =
            assignment ? find_setting(registry, argument.substr(2, equals - 2))
                       : nullptr;
        if (known == nullptr || known->type == setting_type::flag) {
            arguments.push_back(argument);
            continue;
        }
        arguments.push_back(argument.substr(0, equals));
        arguments.push_back(argument.substr(equals + 1));
    }
    return arguments;
}

/// The flags of a program as TCLAP arguments.
class command_line
{
public:
    explicit command_line(const program_description& program)
        : line_("", ' ', "", false), help_("", "help", "", line_),
          version_("", "version", "", line_), check_("", "check", "", line_)
    {
        line_.setExceptionHandling(false);
        for (const auto& one : program.registry) {
            const std::string name(one.name);
            if (one.source == setting_source::environment_only) {
                continue;
            }
            if (one.type == setting_type::flag) {
                flags_.emplace(name, std::make_unique<TCLAP::SwitchArg>(
                                         "", name, "", line_));
                continue;
            }
            values_.emplace(name,
                            std::make_unique<TCLAP::ValueArg<std::string>>(
                                "", name, "", false, "", "value", line_));
        }
        if (!program.positional.empty()) {
            // TCLAP compares arguments by description as well as by name.
            rest_ = std::make_unique<TCLAP::UnlabeledMultiArg<std::string>>(
                "arguments", "positional arguments", false, "text", line_);
        }
    }

    /// @return the problem, or an empty text
    std::string parse(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.begin(), "program");
        try {
            line_.parse(arguments);
        } catch (const TCLAP::ArgException& problem) {
            return fmt::format("{}: {}", flag_part(problem.argId()),
                               flag_part(problem.error()));
        }
        return {};
    }

    [[nodiscard]] std::optional<std::string>
    value(const std::string& name) const
    {
        if (const auto flag = flags_.find(name); flag != flags_.end()) {
            return flag->second->getValue() ? std::optional<std::string>("on")
                                            : std::nullopt;
        }
        const auto found = values_.find(name);
        if (found == values_.end() || !found->second->isSet()) {
            return std::nullopt;
        }
        return found->second->getValue();
    }

    void fill(parsed_settings& into) const
    {
        into.help = help_.isSet();
        into.version = version_.isSet();
        into.check = check_.isSet();
        if (rest_) {
            into.positional = rest_->getValue();
        }
    }

private:
    TCLAP::CmdLine line_;
    TCLAP::SwitchArg help_;
    TCLAP::SwitchArg version_;
    TCLAP::SwitchArg check_;
    std::map<std::string, std::unique_ptr<TCLAP::SwitchArg>> flags_;
    std::map<std::string, std::unique_ptr<TCLAP::ValueArg<std::string>>>
        values_;
    std::unique_ptr<TCLAP::UnlabeledMultiArg<std::string>> rest_;
};

void take_value(const setting& what, std::optional<std::string> given,
                parsed_settings& into)
{
    if (!given && what.default_value.empty()) {
        if (what.required) {
            into.faults.push_back(
                {std::string(what.name), std::nullopt, allowed_values(what)});
        }
        return;
    }
    std::string value = given ? *given : std::string(what.default_value);
    if (const auto checked = check_value(what, value); !checked) {
        into.faults.push_back(
            {std::string(what.name),
             what.secret() ? std::nullopt : std::optional(std::move(value)),
             checked.error().detail});
        return;
    }
    into.values.set(std::string(what.name), std::move(value));
}

} // namespace

environment process_environment()
{
    environment variables;
    for (char** entry = environ; entry != nullptr && *entry != nullptr;
         ++entry) {
        const std::string_view text(*entry);
        const auto equals = text.find('=');
        if (text.starts_with("BAMBOOGATE_") &&
            equals != std::string_view::npos) {
            variables.emplace(text.substr(0, equals), text.substr(equals + 1));
        }
    }
    return variables;
}

std::vector<std::string> arguments_of(int argc, char** argv)
{
    return argc > 1 ? std::vector<std::string>(argv + 1, argv + argc)
                    : std::vector<std::string>();
}

std::string to_text(const setting_fault& fault)
{
    if (!fault.value) {
        return fmt::format("setting {}: needs {}", fault.name, fault.allowed);
    }
    return fmt::format("setting {}: value \"{}\" is not allowed; needs {}",
                       fault.name, *fault.value, fault.allowed);
}

const std::string& setting_values::text(std::string_view name) const
{
    static const std::string none;
    const auto found = values_.find(name);
    return found == values_.end() ? none : found->second;
}

std::optional<std::string> setting_values::find(std::string_view name) const
{
    const auto found = values_.find(name);
    return found == values_.end() ? std::nullopt : std::optional(found->second);
}

bool setting_values::enabled(std::string_view name) const
{
    return text(name) == "on";
}

std::uint64_t setting_values::count(std::string_view name) const
{
    const auto value = parse_count(text(name));
    return value ? value.value() : 0;
}

duration setting_values::time_span(std::string_view name) const
{
    const auto value = parse_time_span(text(name));
    return value ? value.value() : duration::zero();
}

net::address setting_values::address(std::string_view name) const
{
    auto value = net::parse_address(text(name));
    return value ? std::move(value).value() : net::address{};
}

std::vector<peer_address> setting_values::peers(std::string_view name) const
{
    auto value = parse_peers(text(name));
    return value ? std::move(value).value() : std::vector<peer_address>{};
}

void setting_values::set(std::string name, std::string value)
{
    values_.insert_or_assign(std::move(name), std::move(value));
}

parsed_settings parse_settings(const program_description& program,
                               std::span<const std::string> arguments,
                               const environment& variables)
{
    parsed_settings parsed;
    command_line line(program);
    parsed.usage_problem =
        line.parse(split_assignments(program.registry, arguments));
    if (!parsed.usage_problem.empty()) {
        return parsed;
    }
    line.fill(parsed);
    // TCLAP takes an unknown flag as a positional argument where these are
    // allowed. Its value may be a secret and is not shown.
    for (const auto& argument : parsed.positional) {
        if (argument.starts_with("-")) {
            parsed.usage_problem = flag_part(argument) + ": no such flag";
            return parsed;
        }
    }
    for (const auto& one : program.registry) {
        auto given = line.value(std::string(one.name));
        if (!given && one.source != setting_source::flag_only) {
            const auto variable = variables.find(environment_name(one));
            if (variable != variables.end()) {
                given = variable->second;
            }
        }
        take_value(one, std::move(given), parsed);
    }
    for (const auto& [name, value] : variables) {
        if (!is_known_variable(name)) {
            parsed.unknown_variables.push_back(name);
        }
    }
    return parsed;
}

std::string help_text(const program_description& program)
{
    std::string text =
        fmt::format("{}: {}\n\nusage: {} [--name value]... {}\n", program.name,
                    program.summary, program.name, program.positional);
    text += "\n  --help\n      Prints this text.\n"
            "  --version\n      Prints the version.\n"
            "  --check\n      Checks all settings and ends.\n";
    for (const auto& one : program.registry) {
        std::string head = one.source == setting_source::environment_only
                               ? environment_name(one)
                               : fmt::format("--{}", one.name);
        if (one.source == setting_source::flag_or_environment) {
            head += fmt::format(" ({})", environment_name(one));
        }
        text += fmt::format("  {}\n      {}\n", head, one.help);
        if (one.type != setting_type::flag) {
            text +=
                fmt::format("      {}; {}\n", allowed_values(one),
                            one.required ? std::string("required")
                            : one.default_value.empty()
                                ? std::string("optional")
                                : fmt::format("default {}", one.default_value));
        }
    }
    return text;
}

std::string version_text(const program_description& program)
{
    return fmt::format("{} {}\n", program.name, BAMBOOGATE_VERSION);
}

int print_and_exit_code(std::string_view output, std::string_view diagnostics,
                        exit_code code)
{
    fmt::print(stdout, "{}", output);
    fmt::print(stderr, "{}", diagnostics);
    return to_int(code);
}

} // namespace bamboogate::config
