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

/// An invalid value of a setting, or settings that are inconsistent.
struct setting_fault
{
    std::string name;
    std::optional<std::string> value; ///< absent if not given or a secret
    std::string allowed;

    bool operator==(const setting_fault&) const = default;
};

/// @brief Formats the fault as one line for people.
[[nodiscard]] std::string to_text(const setting_fault& fault);

/// Contents of a program's `--help` and `--version`.
struct program_description
{
    std::string_view name;
    std::string_view summary;
    std::span<const setting> registry;
    std::string_view positional; ///< help on positional arguments, or empty
};

/// Validated values by setting name. Settings without a value are absent; the
/// typed members then return zero, false or an empty value.
class setting_values
{
public:
    /// @brief The value of a setting, or an empty text.
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

/// Result of parsing the command line and the environment.
struct parsed_settings
{
    setting_values values;
    std::vector<std::string> positional;
    /// Variables that no program of bamboogate reads; probably misspelt.
    std::vector<std::string> unknown_variables;
    std::vector<setting_fault> faults;
    std::string usage_error; ///< not empty if the command line is invalid
    bool help = false;
    bool version = false;
    bool check = false;
};

/// @brief Parses flags (TCLAP) and environment variables, where flags take
///     precedence, and validates each value independently. Thread safe.
[[nodiscard]] parsed_settings
parse_settings(const program_description& program,
               std::span<const std::string> arguments,
               const environment& variables);

/// @brief The text of `--help`.
[[nodiscard]] std::string help_text(const program_description& program);

/// @brief The text of `--version`.
[[nodiscard]] std::string version_text(const program_description& program);

/// Result of loading the settings: either the settings, or an exit code with
/// texts to print.
template <typename Settings>
struct settings_result
{
    std::optional<Settings> settings; ///< present if the program shall start
    exit_code code = exit_code::ok;
    std::string output;      ///< for standard output
    std::string diagnostics; ///< for standard error
    std::vector<std::string> unknown_variables;
    std::vector<setting_fault> faults;
};

/// @brief Handles `--help`, `--version` and an invalid command line.
/// @return true if the program must exit with the code and texts in `loaded`
template <typename Settings>
[[nodiscard]] bool handle_early_exit(const program_description& program,
                                     const parsed_settings& parsed,
                                     settings_result<Settings>& loaded)
{
    loaded.unknown_variables = parsed.unknown_variables;
    if (parsed.help) {
        loaded.output = help_text(program);
        return true;
    }
    if (parsed.version) {
        loaded.output = version_text(program);
        return true;
    }
    if (!parsed.usage_error.empty()) {
        loaded.code = exit_code::usage;
        loaded.diagnostics = std::string(program.name) + ": " +
                             parsed.usage_error + "\ntry --help\n";
        return true;
    }
    return false;
}

/// @brief Prints the texts of a result without settings.
/// @return the exit code for `main`
[[nodiscard]] int print_and_exit_code(std::string_view output,
                                      std::string_view diagnostics,
                                      exit_code code);

} // namespace bamboogate::config

#endif
