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
std::string line_start(const setting& one)
{
    const bool variable_only = one.source == setting_source::environment_only;
    return "| `" + std::string(one.name) + "`" +
           (variable_only ? " (variable only)" : "") + " | " +
           (one.source == setting_source::flag_only
                ? "none"
                : "`" + environment_name(one) + "`") +
           " | ";
}

std::string default_cell(const setting& one)
{
    if (one.required) {
        return " | required | ";
    }
    return one.default_value.empty()
               ? " | none | "
               : " | `" + std::string(one.default_value) + "` | ";
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
    for (const auto& one : {program{"Gate", gate_registry()},
                            program{"Control", control_registry()},
                            program{"bamboogatectl", ctl_registry()}}) {
        CAPTURE(one.section);
        const bool daemon = std::string(one.section) != "bamboogatectl";
        const std::string text =
            documented.at(one.section) + (daemon ? common : std::string());
        for (const auto& wanted : one.registry) {
            CAPTURE(wanted.name);
            const auto at = text.find("\n" + line_start(wanted));
            REQUIRE(at != std::string::npos);
            const auto line =
                text.substr(at + 1, text.find('\n', at + 1) - at - 1);
            CAPTURE(line);
            CHECK(line.find(default_cell(wanted)) != std::string::npos);
            CHECK(line.ends_with(std::string(wanted.help) + " |"));
            for (const auto choice : wanted.choices) {
                CHECK(line.find("`" + std::string(choice) + "`") !=
                      std::string::npos);
            }
        }
        CHECK(count_settings(text) == one.registry.size());
    }
}
