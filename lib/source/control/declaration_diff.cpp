#include <bamboogate/control/declaration_diff.hpp>

#include <fmt/format.h>

#include <map>

#include "declaration_reader.hpp"

namespace bamboogate::control {

namespace {

/// The key that identifies a list element, or empty.
std::string element_key(const json& element)
{
    if (!element.is_object()) {
        return {};
    }
    for (const char* field : {"id", "name", "service_class"}) {
        if (const auto found = element.find(field);
            found != element.end() && found->is_string()) {
            return found->get<std::string>();
        }
    }
    return {};
}

class document_differ
{
public:
    std::vector<std::string> lines;

    void compare(const std::string& path, const json& before, const json& after)
    {
        if (before == after) {
            return;
        }
        if (before.is_object() && after.is_object()) {
            compare_members(path, members_of(before), members_of(after));
            return;
        }
        if (keyed(before) && keyed(after)) {
            compare_members(path, elements_of(before), elements_of(after));
            return;
        }
        lines.push_back(fmt::format("~ {} {} -> {}", path, excerpt(before),
                                    excerpt(after)));
    }

private:
    using member_map = std::map<std::string, const json*>;

    static bool keyed(const json& list)
    {
        if (!list.is_array()) {
            return false;
        }
        for (const auto& element : list) {
            if (element_key(element).empty()) {
                return false;
            }
        }
        return true;
    }

    static member_map members_of(const json& object)
    {
        member_map out;
        for (const auto& [name, value] : object.items()) {
            out.emplace(name, &value);
        }
        return out;
    }

    static member_map elements_of(const json& list)
    {
        member_map out;
        for (const auto& element : list) {
            out.emplace(element_key(element), &element);
        }
        return out;
    }

    void compare_members(const std::string& path, const member_map& before,
                         const member_map& after)
    {
        for (const auto& [name, value] : before) {
            if (!after.contains(name)) {
                lines.push_back(
                    fmt::format("- {}/{} {}", path, name, excerpt(*value)));
            }
        }
        for (const auto& [name, value] : after) {
            const auto old = before.find(name);
            if (old == before.end()) {
                lines.push_back(
                    fmt::format("+ {}/{} {}", path, name, excerpt(*value)));
                continue;
            }
            compare(fmt::format("{}/{}", path, name), *old->second, *value);
        }
    }
};

} // namespace

std::vector<std::string> difference(const declarations& before,
                                    const declarations& after)
{
    document_differ differ;
    differ.compare("", to_document(before), to_document(after));
    return std::move(differ.lines);
}

} // namespace bamboogate::control
