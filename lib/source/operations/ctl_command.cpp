#include <bamboogate/config/registry.hpp>
#include <bamboogate/operations/ctl_command.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace bamboogate::operations {

namespace {

/// Flags that only some commands use.
constexpr std::string_view special_flags[] = {
    "operation-id", "based-on", "revision", "html", "dry-run", "wait"};

std::vector<std::string> words_of(std::string_view words)
{
    const auto space = words.find(' ');
    if (space == std::string_view::npos) {
        return {std::string(words)};
    }
    return {std::string(words.substr(0, space)),
            std::string(words.substr(space + 1))};
}

bool takes(const ctl_command& command, std::string_view flag)
{
    return std::find(command.flags.begin(), command.flags.end(), flag) !=
           command.flags.end();
}

} // namespace

std::span<const ctl_command> ctl_commands()
{
    using enum ctl_verb;
    static const std::vector<ctl_command> commands = {
        {apply,
         "apply",
         "FOLDER",
         1,
         {"dry-run", "wait", "operation-id", "based-on"}},
        {preset_use,
         "preset use",
         "ID",
         1,
         {"wait", "operation-id", "based-on"}},
        {status, "status", "", 0, {}},
        {members_list, "members list", "", 0, {}},
        {members_add, "members add", "ID", 1, {}},
        {members_promote, "members promote", "ID", 1, {}},
        {members_remove, "members remove", "ID", 1, {}},
        {drain, "drain", "ID", 1, {}},
        {burn, "burn", "", 0, {"html"}},
        {history, "history", "", 0, {}},
        {show, "show", "", 0, {"revision"}},
        {order,
         "order",
         "UPSTREAM IP:PORT JSON",
         3,
         {"operation-id", "based-on"}},
        {.verb = trace,
         .name = "trace",
         .arguments = "ID LOGFILE...",
         .argument_count = 2,
         .last_repeats = true,
         .offline = true},
        {.verb = completion_bash,
         .name = "completion bash",
         .argument_count = 0,
         .offline = true},
    };
    return commands;
}

result<ctl_request> read_command(const config::parsed_settings& parsed)
{
    const auto& given = parsed.positional;
    if (given.empty()) {
        return fail(errc::invalid_argument, "no command is given");
    }
    for (const auto& command : ctl_commands()) {
        const auto words = words_of(command.name);
        if (given.size() < words.size() ||
            !std::equal(words.begin(), words.end(), given.begin())) {
            continue;
        }
        ctl_request request{
            &command,
            {given.begin() + static_cast<std::ptrdiff_t>(words.size()),
             given.end()}};
        const std::size_t count = request.arguments.size();
        if (command.last_repeats ? count < command.argument_count
                                 : count != command.argument_count) {
            return fail(errc::invalid_argument,
                        fmt::format("{}: needs {}", command.name,
                                    command.arguments.empty()
                                        ? "no argument"
                                        : command.arguments));
        }
        for (const auto flag : special_flags) {
            if (parsed.values.find(flag) && !takes(command, flag)) {
                return fail(
                    errc::invalid_argument,
                    fmt::format("{}: has no flag --{}", command.name, flag));
            }
        }
        return request;
    }
    return fail(errc::invalid_argument,
                fmt::format("unknown command \"{}\"", given.front()));
}

std::string commands_text()
{
    std::string text = "\ncommands:\n";
    for (const auto& command : ctl_commands()) {
        text += fmt::format("  {}{}{}", command.name,
                            command.arguments.empty() ? "" : " ",
                            command.arguments);
        for (const auto flag : command.flags) {
            text += fmt::format(" [--{}]", flag);
        }
        text += '\n';
    }
    return text;
}

std::string bash_completion()
{
    std::string first;
    std::string second;
    for (const auto& command : ctl_commands()) {
        const auto words = words_of(command.name);
        if (first.find(words[0] + " ") == std::string::npos) {
            first += words[0] + " ";
        }
        if (words.size() > 1) {
            second += fmt::format("{}:{} ", words[0], words[1]);
        }
    }
    std::string flags = "--help --version --check ";
    for (const auto& one : config::ctl_registry()) {
        if (one.source != config::setting_source::environment_only) {
            flags += fmt::format("--{} ", one.name);
        }
    }
    return fmt::format(R"(_bamboogatectl()
{{
    local word=${{COMP_WORDS[COMP_CWORD]}} before=${{COMP_WORDS[COMP_CWORD-1]}}
    local pair subcommands=""
    for pair in {}; do
        if [ "${{pair%%:*}}" = "$before" ]; then
            subcommands="$subcommands ${{pair#*:}}"
        fi
    done
    if [[ $word == -* ]]; then
        COMPREPLY=($(compgen -W "{}" -- "$word"))
    elif [ -n "$subcommands" ]; then
        COMPREPLY=($(compgen -W "$subcommands" -- "$word"))
    elif [ "$before" = apply ]; then
        COMPREPLY=($(compgen -d -- "$word"))
    else
        COMPREPLY=($(compgen -W "{}" -- "$word"))
    fi
}}
complete -F _bamboogatectl bamboogatectl
)",
                       second, flags, first);
}

} // namespace bamboogate::operations
