#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <regex>
#include <set>
#include <string>

namespace {

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream file(path);
    REQUIRE(file.good());
    return {std::istreambuf_iterator<char>(file), {}};
}

/// The text of adjacent string literals.
std::string joined_literals(const std::string& source)
{
    static const std::regex literal("\"([^\"]*)\"");
    std::string out;
    for (std::sregex_iterator at(source.begin(), source.end(), literal), end;
         at != end; ++at) {
        out += (*at)[1];
    }
    return out;
}

/// Expected lines of the catalogue by event number, derived from the headers.
std::map<std::string, std::string> declared_events()
{
    static const std::regex start("log_event\\s+\\w+\\s*\\{");
    static const std::regex definition(
        "log_event\\s+\\w+\\s*\\{\\s*(\\d+),\\s*(?:\\w+::)*(\\w+),\\s*"
        "\"([^\"]+)\",\\s*((?:\"[^\"]*\"\\s*)+)\\}");
    std::map<std::string, std::string> events;
    const std::filesystem::path base =
        std::string(BAMBOOGATE_SOURCE_DIR) + "/lib/include/bamboogate";
    for (const auto& area : std::filesystem::directory_iterator(base)) {
        const auto header = area.path() / "log_events.hpp";
        if (!std::filesystem::exists(header)) {
            continue;
        }
        const std::string text = read_file(header);
        const std::sregex_iterator end;
        const auto begun = std::distance(
            std::sregex_iterator(text.begin(), text.end(), start), end);
        std::ptrdiff_t matched = 0;
        for (std::sregex_iterator at(text.begin(), text.end(), definition);
             at != end; ++at, ++matched) {
            const std::string number = (*at)[1];
            CAPTURE(number);
            const std::string line = "| " + number + " | " + (*at)[2].str() +
                                     " | `" + (*at)[3].str() + "` | " +
                                     area.path().filename().string() + " | " +
                                     joined_literals((*at)[4]) + " |";
            CHECK_MESSAGE(events.emplace(number, line).second,
                          "the number is used twice");
        }
        CAPTURE(header.string());
        CHECK_MESSAGE(begun == matched, "an event has another form");
    }
    return events;
}

} // namespace

// Guards against events that are not documented, documented events that no
// longer exist, and numbers used twice.
TEST_CASE("event_catalogue_headers_and_document_agree_in_both_directions")
{
    const auto declared = declared_events();
    REQUIRE(declared.size() > 10);
    std::set<std::string> documented;
    std::ifstream file(std::string(BAMBOOGATE_SOURCE_DIR) + "/docs/events.md");
    REQUIRE(file.good());
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("| ") && line[2] >= '0' && line[2] <= '9') {
            CAPTURE(line);
            CHECK_MESSAGE(documented.insert(line).second, "listed twice");
        }
    }
    for (const auto& one : declared) {
        const auto& line = one.second;
        CHECK_MESSAGE(documented.erase(line) == 1,
                      "docs/events.md lacks the line: " << line);
    }
    for (const auto& line : documented) {
        FAIL_CHECK("docs/events.md lists what no header declares: " << line);
    }
}
