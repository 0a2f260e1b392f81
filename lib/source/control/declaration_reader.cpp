#include "declaration_reader.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace bamboogate::control {

namespace {

constexpr std::size_t max_text_bytes = 256;
constexpr std::size_t excerpt_bytes = 60;

bool plain_text(const json& value)
{
    if (!value.is_string()) {
        return false;
    }
    const auto& text = value.get_ref<const std::string&>();
    return !text.empty() && text.size() <= max_text_bytes &&
           std::all_of(text.begin(), text.end(),
                       [](unsigned char c) { return c >= 0x20 && c != 0x7f; });
}

constexpr const char* text_rule =
    "text of 1 to 256 bytes without control characters";

} // namespace

std::string excerpt(const json& value)
{
    std::string text =
        value.dump(-1, ' ', true, json::error_handler_t::replace);
    if (text.size() > excerpt_bytes) {
        text.resize(excerpt_bytes);
        text += "...";
    }
    return text;
}

object_reader::object_reader(const json& document, std::string path,
                             unknown_fields policy,
                             std::vector<declaration_fault>& faults)
    : document_(document), path_(std::move(path)), policy_(policy),
      faults_(faults), valid_(document.is_object())
{
    if (!valid_) {
        faults_.push_back({.path = path_,
                           .value = excerpt(document_),
                           .allowed = "an object"});
    }
}

void object_reader::finish()
{
    if (policy_ == unknown_fields::ignore || !valid_) {
        return;
    }
    for (const auto& [name, value] : document_.items()) {
        if (!known_.contains(name)) {
            std::string allowed = "no such field; known: ";
            std::string separator;
            for (const auto& each : known_) {
                allowed += separator + each;
                separator = ", ";
            }
            report(name.c_str(), value, std::move(allowed));
        }
    }
}

const json* object_reader::find(const char* name)
{
    known_.insert(name);
    if (!valid_) {
        return nullptr;
    }
    const auto found = document_.find(name);
    return found == document_.end() ? nullptr : &*found;
}

void object_reader::report(const char* name, const json& value,
                           std::string allowed)
{
    faults_.push_back({.path = path_ + "/" + name,
                       .value = excerpt(value),
                       .allowed = std::move(allowed)});
}

void object_reader::required_text(const char* name, std::string& out)
{
    const json* value = find(name);
    if (value == nullptr) {
        faults_.push_back({.path = path_ + "/" + name,
                           .value = "nothing",
                           .allowed = text_rule});
        return;
    }
    if (!plain_text(*value)) {
        report(name, *value, text_rule);
        return;
    }
    out = value->get<std::string>();
}

void object_reader::optional_text(const char* name, std::string& out)
{
    if (find(name) != nullptr) {
        required_text(name, out);
    }
}

void object_reader::key_digest(const char* name, std::string& out)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr const char* rule = "64 lower-case hexadecimal digits (SHA-256)";
    const json* value = find(name);
    if (value == nullptr) {
        faults_.push_back(
            {.path = path_ + "/" + name, .value = "nothing", .allowed = rule});
        return;
    }
    const bool valid = value->is_string() &&
                       value->get_ref<const std::string&>().size() == 64 &&
                       value->get_ref<const std::string&>().find_first_not_of(
                           digits) == std::string::npos;
    if (!valid) {
        report(name, *value, rule);
        return;
    }
    out = value->get<std::string>();
}

void object_reader::number(const char* name, double& out, double low,
                           double high)
{
    const json* value = find(name);
    if (value == nullptr) {
        return;
    }
    const double read = value->is_number() ? value->get<double>() : NAN;
    if (!(read >= low && read <= high)) {
        report(name, *value, fmt::format("a number from {} to {}", low, high));
        return;
    }
    out = read;
}

void object_reader::boolean(const char* name, bool& out)
{
    const json* value = find(name);
    if (value == nullptr) {
        return;
    }
    if (!value->is_boolean()) {
        report(name, *value, "true or false");
        return;
    }
    out = value->get<bool>();
}

void object_reader::read_count(const char* name, std::uint64_t& out,
                               std::uint64_t low, std::uint64_t high)
{
    const json* value = find(name);
    if (value == nullptr) {
        return;
    }
    // The parser stores non-negative integers as unsigned; a document built in
    // memory may hold them as signed.
    const bool is_count =
        value->is_number_unsigned() ||
        (value->is_number_integer() && value->get<std::int64_t>() >= 0);
    if (!is_count || value->get<std::uint64_t>() < low ||
        value->get<std::uint64_t>() > high) {
        report(name, *value,
               fmt::format("a whole number from {} to {}", low, high));
        return;
    }
    out = value->get<std::uint64_t>();
}

void object_reader::duration_ms(const char* name, milliseconds& out,
                                std::int64_t low, std::int64_t high)
{
    auto value = static_cast<std::uint64_t>(out.count());
    read_count(name, value, static_cast<std::uint64_t>(low),
               static_cast<std::uint64_t>(high));
    out = milliseconds(static_cast<std::int64_t>(value));
}

void object_reader::texts(const char* name, std::vector<std::string>& out)
{
    const json* list = find(name);
    if (list == nullptr) {
        return;
    }
    if (!list->is_array()) {
        report(name, *list, "a list of texts");
        return;
    }
    std::size_t index = 0;
    for (const auto& element : *list) {
        const std::string path = fmt::format("{}/{}", name, index++);
        if (!plain_text(element)) {
            report(path.c_str(), element, text_rule);
            out.emplace_back();
            continue;
        }
        out.push_back(element.get<std::string>());
    }
}

} // namespace bamboogate::control
