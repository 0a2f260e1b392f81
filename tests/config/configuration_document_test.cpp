#include <bamboogate/config/registry.hpp>

#include <doctest/doctest.h>

#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <span>
#include <string>

using namespace bamboogate::config;

namespace {

/// Sections of the document by heading.
std::map<std::string, std::string> sections()
{
    std::ifstream file(std::string(BAMBOOGATE_SOURCE_DIR) +
                       "/docs/configuration.md");
    REQUIRE(file.good());
    std::map<std::string, std::string> out;
    std::string heading;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("#")) {
            heading = line.substr(line.find(' ') + 1);
        }
        out[heading] += line + "\n";
    }
    return out;
}

/// Start of a setting's table row: its name and its variable.
std::string line_start(const setting& definition)
{
    const bool variable_only =
        definition.source == setting_source::environment_only;
    return "| `" + std::string(definition.name) + "`" +
           (variable_only ? " (variable only)" : "") + " | " +
           (definition.source == setting_source::flag_only
                ? "none"
                : "`" + environment_name(definition) + "`") +
           " | ";
}

std::string default_cell(const setting& definition)
{
    if (definition.required) {
        return " | required | ";
    }
    return definition.default_value.empty()
               ? " | none | "
               : " | `" + std::string(definition.default_value) + "` | ";
}

std::size_t count_settings(const std::string& section)
{
    std::size_t lines = 0;
    for (auto at = section.find("\n| `"); at != std::string::npos;
         at = section.find("\n| `", at + 1)) {
        ++lines;
    }
    return lines;
}

} // namespace

// Guards against a setting without documentation, a documented setting that
// does not exist, and a default or help text that has changed since.
TEST_CASE("configuration_document_and_registry_agree_in_both_directions")
{
    const auto documented = sections();
    struct program
    {
        const char* section;
        std::span<const setting> registry;
    };
    const std::string& common = documented.at("Gate and control");
    for (const auto& program_case :
         {program{"Gate", gate_registry()},
          program{"Control", control_registry()},
          program{"bamboogatectl", ctl_registry()}}) {
        CAPTURE(program_case.section);
        const bool daemon =
            std::string(program_case.section) != "bamboogatectl";
        const std::string text = documented.at(program_case.section) +
                                 (daemon ? common : std::string());
        for (const auto& definition : program_case.registry) {
            CAPTURE(definition.name);
            const auto at = text.find("\n" + line_start(definition));
            REQUIRE(at != std::string::npos);
            const auto line =
                text.substr(at + 1, text.find('\n', at + 1) - at - 1);
            CAPTURE(line);
            CHECK(line.find(default_cell(definition)) != std::string::npos);
            CHECK(line.ends_with(std::string(definition.help) + " |"));
            for (const auto choice : definition.choices) {
                CHECK(line.find("`" + std::string(choice) + "`") !=
                      std::string::npos);
            }
        }
        CHECK(count_settings(text) == program_case.registry.size());
    }
}
