#include <bamboogate/control/declaration_diff.hpp>
#include <bamboogate/control/declaration_parser.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>

#include "support/samples.hpp"

using namespace bamboogate;
using namespace bamboogate::control;
using bamboogate::tests::sample_declarations;

namespace {

std::string sample_text()
{
    return to_document(sample_declarations()).dump(2);
}

/// The sample with one value replaced, or removed for null.
std::string changed(const std::string& pointer, const json& value)
{
    json document = to_document(sample_declarations());
    const json::json_pointer target(pointer);
    if (value.is_null()) {
        document[target.parent_pointer()].erase(target.back());
    } else {
        document[target] = value;
    }
    return document.dump(2);
}

struct fault_case
{
    const char* name;
    const char* pointer;
    json value;
    const char* fault_path;
    const char* allowed;
};

} // namespace

// Guards against fields that are lost between declarations, their JSON form and
// the packed form sent to gates.
TEST_CASE("declaration_parser_sample_round_trip")
{
    const auto parsed = parse_declarations({{"all.json", sample_text()}});
    for (const auto& fault : parsed.faults) {
        MESSAGE(fault.text());
    }
    CHECK(parsed.faults.empty());
    CHECK(parsed.declared == sample_declarations());
    const configuration applied{{7}, preset_id("peak"), sample_declarations()};
    const auto unpacked = unpack_configuration(pack_configuration(applied));
    REQUIRE(unpacked);
    CHECK(unpacked.value() == applied);
}

// Guards against faults that reach the state machine, and against fault reports
// without file, line, path or allowed values.
TEST_CASE("declaration_parser_each_fault_is_reported_with_its_place")
{
    const fault_case cases[] = {
        {"unknown field", "/presets/0/speed", 3, "/presets/0/speed",
         "no such field"},
        {"unknown part", "/prests", json::array(), "/prests", "no such field"},
        {"unknown rank", "/service_classes/1/rank", "later",
         "/service_classes/1/rank", "a rank of preset ordinary"},
        {"unknown class", "/client_accounts/0/service_classes/1", "maps",
         "/client_accounts/0/service_classes/1", "one of manifest, route"},
        {"unknown class of a share", "/presets/1/class_shares/0/service_class",
         "maps", "/presets/1/class_shares/0/service_class",
         "one of manifest, route"},
        {"unknown service", "/client_accounts/0/services/0", "hotel",
         "/client_accounts/0/services/0", "one of booking"},
        {"no model", "/service_classes/0/models", json::array(),
         "/service_classes/0/models", "at least one model"},
        {"bad model", "/service_classes/0/models/0", 5,
         "/service_classes/0/models/0", "text"},
        {"duplicate id", "/presets/2/id", "peak", "/presets/2/id",
         "not used by /presets/1"},
        {"duplicate rank", "/presets/0/ranks/1/name", "urgent",
         "/presets/0/ranks/1/name", "not used before"},
        {"duplicate priority", "/presets/0/ranks/1/priority", 0,
         "/presets/0/ranks/1/priority", "not used before"},
        {"shares above 1", "/presets/0/class_shares/0/share", 0.8,
         "/presets/0/class_shares", "at most 1"},
        {"floors above 1", "/presets/0/ranks/0/floor_share", 0.95,
         "/presets/0/ranks", "at most 1"},
        {"share out of range", "/presets/0/class_shares/0/share", 1.5,
         "/presets/0/class_shares/0/share", "from 0 to 1"},
        {"no ranks", "/presets/0/ranks", json::array(), "/presets/0/ranks",
         "at least one rank"},
        {"negative", "/presets/0/ranks/0/queue_limit", -1,
         "/presets/0/ranks/0/queue_limit", "a whole number from 0"},
        {"fraction", "/services/0/timeout_ms", 0.5, "/services/0/timeout_ms",
         "a whole number from 1"},
        {"text for number", "/services/0/timeout_ms", "5s",
         "/services/0/timeout_ms", "a whole number from 1"},
        {"short retention", "/services/0/answer_retention_ms", 10,
         "/services/0/answer_retention_ms", "from 60000"},
        {"number for boolean", "/presets/0/preemption", 1,
         "/presets/0/preemption", "true or false"},
        {"bad digest", "/operators/0/key_sha256", "ABC",
         "/operators/0/key_sha256", "64 lower-case"},
        {"missing digest", "/operators/0/key_sha256", nullptr,
         "/operators/0/key_sha256", "64 lower-case"},
        {"missing id", "/presets/1/id", nullptr, "/presets/1/id", "text"},
        {"empty id", "/presets/1/id", "", "/presets/1/id", "text"},
        {"bad method", "/services/0/idempotent_methods/0", "FETCH",
         "/services/0/idempotent_methods/0", "one of DELETE"},
        {"object for list", "/operators", json::object(), "/operators",
         "a list"},
        {"list for object", "/limits", json::array(), "/limits", "an object"},
        {"limit out of range", "/limits/operations", 1, "/limits/operations",
         "from 256"},
    };
    for (const auto& each : cases) {
        CAPTURE(each.name);
        const auto parsed = parse_declarations(
            {{"all.json", changed(each.pointer, each.value)}});
        const auto found = std::find_if(
            parsed.faults.begin(), parsed.faults.end(),
            [&](const auto& fault) { return fault.path == each.fault_path; });
        REQUIRE(found != parsed.faults.end());
        CHECK(found->allowed.find(each.allowed) != std::string::npos);
        CHECK(found->file == "all.json");
        CHECK(found->line > 0);
    }
}

// Guards against faults that are reported with the position in the merged
// declarations instead of the file, or only up to the first faulty file.
TEST_CASE("declaration_parser_several_files_all_faults_with_lines")
{
    const auto parsed = parse_declarations(
        {{"a.json", "{\n \"presets\": [\n  {\"id\": \"p\",\n   \"speed\": 1,\n"
                    "   \"ranks\": [{\"name\": \"r\"}]}\n ]\n}"},
         {"b.json", "{\"presets\": [\n {\"id\": \"q\", \"ranks\": "
                    "[{\"name\": \"r\"}]},\n {\"id\": \"p\", \"ranks\": "
                    "[{\"name\": \"r\"}]}\n]}"},
         {"c.json", "{\n\"operators\": [,]}"}});
    REQUIRE(parsed.faults.size() == 3);
    CHECK(parsed.faults[0].file == "a.json");
    CHECK(parsed.faults[0].line == 4);
    CHECK(parsed.faults[0].path == "/presets/0/speed");
    CHECK(parsed.faults[1].file == "c.json");
    CHECK(parsed.faults[1].line == 2);
    CHECK(parsed.faults[2].file == "b.json");
    CHECK(parsed.faults[2].line == 3);
    CHECK(parsed.faults[2].path == "/presets/1/id");
}

// Guards against files that are skipped, or read although they are not
// `*.json`, and against a missing folder that is read as empty declarations.
TEST_CASE("declaration_parser_folder_merges_files_in_name_order")
{
    const auto folder =
        std::filesystem::temp_directory_path() / "bamboogate_declarations";
    std::filesystem::remove_all(folder);
    CHECK(parse_declaration_folder(folder).faults.size() == 1);
    std::filesystem::create_directories(folder);
    json document = to_document(sample_declarations());
    const json presets = {{"presets", document["presets"]}};
    document.erase("presets");
    std::ofstream(folder / "10-presets.json") << presets.dump();
    std::ofstream(folder / "20-rest.json") << document.dump();
    std::ofstream(folder / "notes.txt") << "not read";
    const auto parsed = parse_declaration_folder(folder);
    CHECK(parsed.faults.empty());
    CHECK(parsed.declared == sample_declarations());
    std::filesystem::remove_all(folder);
}

// Guards against a reordered list that is reported as changes, and against
// changes that are missing or reported twice.
TEST_CASE("declaration_diff_names_each_change_once")
{
    const auto before = sample_declarations();
    CHECK(difference(before, before).empty());
    auto after = before;
    std::swap(after.presets[0], after.presets[1]);
    CHECK(difference(before, after).empty());
    after.presets[0].retry_budget = 0.2;
    after.operators.push_back({"ben", std::string(64, 'b')});
    after.services.clear();
    const auto lines = difference(before, after);
    REQUIRE(lines.size() == 3);
    CHECK(lines[0].starts_with("+ /operators/ben"));
    CHECK(lines[1] == "~ /presets/peak/retry_budget 0.1 -> 0.2");
    CHECK(lines[2].starts_with("- /services/booking"));
}
