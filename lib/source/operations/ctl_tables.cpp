#include "ctl_tables.hpp"

#include <bamboogate/core/text_table.hpp>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <initializer_list>

namespace bamboogate::operations {

namespace {

std::string cell(const json& row, const char* field)
{
    if (!row.is_object() || !row.contains(field) || row[field].is_null()) {
        return {};
    }
    const json& value = row[field];
    if (value.is_string()) {
        return value.get<std::string>();
    }
    return value.is_number_float() ? fmt::format("{:.0f}", value.get<double>())
                                   : value.dump();
}

json list_of(const json& response, const char* field)
{
    return response.is_object() && response.contains(field) &&
                   response[field].is_array()
               ? response[field]
               : json::array();
}

std::string rows_of(const json& list, std::vector<std::string> header,
                    std::initializer_list<const char*> fields)
{
    text_table table(std::move(header));
    for (const auto& row : list) {
        std::vector<std::string> cells;
        for (const char* field : fields) {
            cells.push_back(cell(row, field));
        }
        table.add(std::move(cells));
    }
    return table.text();
}

std::string time_cell(const json& row)
{
    if (!row.is_object() || !row.contains("wall_time_ms") ||
        !row["wall_time_ms"].is_number_unsigned()) {
        return {};
    }
    // About 20,000 years; larger values have no calendar date.
    const auto milliseconds = std::min<std::uint64_t>(
        row["wall_time_ms"].get<std::uint64_t>(), 630'000'000'000'000);
    const std::chrono::sys_time<std::chrono::seconds> when{
        std::chrono::seconds(static_cast<std::int64_t>(milliseconds / 1000))};
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}Z", when);
}

} // namespace

std::string fields_table(const json& response)
{
    text_table table({"FIELD", "VALUE"});
    if (response.is_object()) {
        for (const auto& [name, value] : response.items()) {
            table.add({name, cell(response, name.c_str())});
        }
    }
    return table.text();
}

std::string status_table(const json& response)
{
    json fields = response;
    if (fields.is_object()) {
        fields.erase("gates");
    }
    return fields_table(fields) + "\n" +
           rows_of(
               list_of(response, "gates"),
               {"GATE", "INCARNATION", "REVISION", "LEASE LEFT MS"},
               {"gate", "incarnation", "applied_revision", "lease_left_ms"});
}

std::string members_table(const json& response)
{
    return rows_of(list_of(response, "members"),
                   {"NODE", "ROLE", "REACHABLE", "MATCH INDEX", "FOLDER"},
                   {"node", "role", "reachable", "match_index", "folder"});
}

std::string history_table(const json& response)
{
    text_table table({"REVISION", "TIME", "OPERATOR", "KIND", "BASED ON",
                      "OPERATION", "CHANGES"});
    for (const auto& entry : list_of(response, "history")) {
        const auto changes = list_of(entry, "summary");
        table.add({cell(entry, "revision"), time_cell(entry),
                   cell(entry, "operator_id"), cell(entry, "kind"),
                   cell(entry, "based_on"), cell(entry, "operation"),
                   fmt::format("{}", changes.size())});
    }
    return table.text();
}

std::string difference_table(const json& response)
{
    const auto lines = list_of(response, "difference");
    if (lines.empty()) {
        return "no difference\n";
    }
    std::string text;
    for (const auto& line : lines) {
        if (line.is_string()) {
            text += printable(line.get_ref<const std::string&>()) + "\n";
        }
    }
    return text;
}

std::string document_text(const json& response)
{
    return response.dump(2) + "\n";
}

} // namespace bamboogate::operations
