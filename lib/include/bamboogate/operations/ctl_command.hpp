#ifndef BAMBOOGATE_OPERATIONS_CTL_COMMAND_HPP
#define BAMBOOGATE_OPERATIONS_CTL_COMMAND_HPP

#include <bamboogate/config/setting_parser.hpp>
#include <bamboogate/core/result.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboogate::operations {

enum class ctl_verb : std::uint8_t
{
    apply,
    preset_use,
    status,
    members_list,
    members_add,
    members_promote,
    members_remove,
    drain,
    burn,
    history,
    show,
    order,
    trace,
    completion_bash,
};

/// One command of `bamboogatectl`.
struct ctl_command
{
    ctl_verb verb;
    std::string_view name; ///< such as `preset use`
    std::string_view arguments;
    std::size_t argument_count; ///< at least, when the last one repeats
    /// Flags with a meaning for this command, beside the general ones.
    std::vector<std::string_view> flags;
    bool last_repeats = false;
    bool offline = false; ///< asks no process, so it needs no address or key
};

/// A command as given.
struct ctl_request
{
    const ctl_command* command;
    std::vector<std::string> arguments;
};

[[nodiscard]] std::span<const ctl_command> ctl_commands();

/// @brief Finds the command and checks the number of its arguments and that
///     no flag of another command was given.
/// @return `invalid_argument` with a text for the operator
[[nodiscard]] result<ctl_request>
read_command(const config::parsed_settings& parsed);

/// @brief The commands, one per line, for `--help`.
[[nodiscard]] std::string commands_text();

/// @brief A completion script for bash.
[[nodiscard]] std::string bash_completion();

} // namespace bamboogate::operations

#endif
