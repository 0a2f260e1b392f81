#ifndef BAMBOOGATE_CONFIG_SETTING_PARSER_HPP
#define BAMBOOGATE_CONFIG_SETTING_PARSER_HPP

#include <bamboogate/config/exit_code.hpp>
#include <bamboogate/config/setting.hpp>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboogate::config {

/// Environment variables that start with `BAMBOOGATE_`.
using environment = std::map<std::string, std::string, std::less<>>;

/// @brief Reads the environment of the process. Not thread safe.
[[nodiscard]] environment process_environment();

/// @brief The arguments of `main` without the program name.
[[nodiscard]] std::vector<std::string> arguments_of(int argc, char** argv);

/// A setting whose value is not allowed, or settings that do not fit together.
struct setting_fault
{
    std::string name;
    std::optional<std::string> value; ///< absent: none given, or a secret
    std::string allowed;

    bool operator==(const setting_fault&) const = default;
};

/// @brief The fault as one line for people.
[[nodiscard]] std::string to_text(const setting_fault& fault);

/// What a program says of itself in `--help` and `--version`.
struct program_description
{
    std::string_view name;
    std::string_view summary;
    std::span<const setting> registry;
    std::string_view positional; ///< help on positional arguments; empty: none
};

/// Checked values by setting name. Settings without a value are absent.
class setting_values
{
public:
    /// @brief The value of a setting. @pre it is required or has a default
    [[nodiscard]] const std::string& text(std::string_view name) const;
    [[nodiscard]] std::optional<std::string> find(std::string_view name) const;
    /// @brief True for a flag that is present or a boolean that is `on`.
    [[nodiscard]] bool enabled(std::string_view name) const;
    [[nodiscard]] std::uint64_t count(std::string_view name) const;
    [[nodiscard]] duration time_span(std::string_view name) const;
    [[nodiscard]] net::address address(std::string_view name) const;
    [[nodiscard]] std::vector<peer_address> peers(std::string_view name) const;

    void set(std::string name, std::string value);

private:
    std::map<std::string, std::string, std::less<>> values_;
};

/// The outcome of reading the command line and the environment.
struct parsed_settings
{
    setting_values values;
    std::vector<std::string> positional;
    /// Variables that no program of bamboogate knows; probably misspelt.
    std::vector<std::string> unknown_variables;
    std::vector<setting_fault> faults;
    std::string usage_problem; ///< not empty: the command line does not parse
    bool help = false;
    bool version = false;
    bool check = false;
};

/// @brief Reads flags (TCLAP) and environment variables, flags first, and
///     checks every value on its own. Thread safe.
[[nodiscard]] parsed_settings
parse_settings(const program_description& program,
               std::span<const std::string> arguments,
               const environment& variables);

/// @brief The text of `--help`.
[[nodiscard]] std::string help_text(const program_description& program);

/// @brief The text of `--version`.
[[nodiscard]] std::string version_text(const program_description& program);

/// The end of a start attempt: either settings, or an exit code with texts.
template <typename Settings>
struct settings_result
{
    std::optional<Settings> settings; ///< present: start the program
    exit_code code = exit_code::ok;
    std::string output;      ///< for standard output
    std::string diagnostics; ///< for standard error
    std::vector<std::string> unknown_variables;
    std::vector<setting_fault> faults;
};

/// @brief Fills the parts of a launch that do not depend on the settings.
/// @return true when the program ends with what the launch says
template <typename Settings>
[[nodiscard]] bool handle_early_exit(const program_description& program,
                                     const parsed_settings& parsed,
                                     settings_result<Settings>& into)
{
    into.unknown_variables = parsed.unknown_variables;
    if (parsed.help) {
        into.output = help_text(program);
        return true;
    }
    if (parsed.version) {
        into.output = version_text(program);
        return true;
    }
    if (!parsed.usage_problem.empty()) {
        into.code = exit_code::usage;
        into.diagnostics = std::string(program.name) + ": " +
                           parsed.usage_problem + "\ntry --help\n";
        return true;
    }
    return false;
}

/// @brief Prints the texts of a launch that does not start the program.
/// @return the exit code for `main`
[[nodiscard]] int print_and_exit_code(std::string_view output,
                                      std::string_view diagnostics,
                                      exit_code code);

} // namespace bamboogate::config

#endif
