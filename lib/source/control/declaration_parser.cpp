#include <bamboogate/control/declaration_parser.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <iterator>

namespace bamboogate::control {

namespace {

/// Scans valid JSON text and records the line of each value.
class value_locator
{
public:
    explicit value_locator(std::string_view text) : text_(text) {}

    std::map<std::string, std::size_t> run()
    {
        value("");
        return std::move(lines_);
    }

private:
    [[nodiscard]] bool more() const { return position_ < text_.size(); }

    void skip_space()
    {
        while (more() &&
               (text_[position_] == ' ' || text_[position_] == '\t' ||
                text_[position_] == '\r' || text_[position_] == '\n')) {
            line_ += text_[position_] == '\n' ? 1 : 0;
            ++position_;
        }
    }

    std::string quoted()
    {
        const std::size_t begin = position_++;
        while (more() && text_[position_] != '"') {
            position_ += text_[position_] == '\\' ? 2 : 1;
        }
        ++position_;
        const json name =
            json::parse(text_.substr(begin, position_ - begin), nullptr, false);
        return name.is_string() ? name.get<std::string>() : std::string();
    }

    void value(const std::string& path)
    {
        skip_space();
        lines_.emplace(path, line_);
        if (!more()) {
            return;
        }
        if (text_[position_] == '{') {
            members(path);
        } else if (text_[position_] == '[') {
            elements(path);
        } else if (text_[position_] == '"') {
            quoted();
        } else {
            position_ = std::min(text_.find_first_of(",]} \t\r\n", position_),
                                 text_.size());
        }
    }

    void members(const std::string& path)
    {
        ++position_;
        skip_space();
        while (more() && text_[position_] != '}') {
            const std::string name = quoted();
            skip_space();
            ++position_; // colon
            value(fmt::format("{}/{}", path, name));
            next_item();
        }
        ++position_;
    }

    void elements(const std::string& path)
    {
        ++position_;
        skip_space();
        for (std::size_t i = 0; more() && text_[position_] != ']'; ++i) {
            value(fmt::format("{}/{}", path, i));
            next_item();
        }
        ++position_;
    }

    void next_item()
    {
        skip_space();
        if (more() && text_[position_] == ',') {
            ++position_;
            skip_space();
        }
    }

    std::string_view text_;
    std::size_t position_ = 0;
    std::size_t line_ = 1;
    std::map<std::string, std::size_t> lines_;
};

using line_map = std::map<std::string, std::size_t>;

/// The line of a path, or of the nearest enclosing value.
std::size_t line_of(const line_map& lines, std::string path)
{
    for (;;) {
        if (const auto found = lines.find(path); found != lines.end()) {
            return found->second;
        }
        const auto separator = path.rfind('/');
        if (separator == std::string::npos) {
            return 0;
        }
        path.resize(separator);
    }
}

constexpr const char* list_names[] = {
    "presets", "service_classes", "client_accounts", "services", "operators"};

std::size_t list_size(const declarations& declared, std::string_view name)
{
    if (name == "presets") {
        return declared.presets.size();
    }
    if (name == "service_classes") {
        return declared.service_classes.size();
    }
    if (name == "client_accounts") {
        return declared.client_accounts.size();
    }
    return name == "services" ? declared.services.size()
                              : declared.operators.size();
}

/// Maps paths into the merged declarations to their files.
class merged_index
{
public:
    void add(const std::string& file, line_map lines,
             const declarations& before, const declarations& after)
    {
        for (const char* name : list_names) {
            ranges_[name].push_back({list_size(before, name),
                                     list_size(after, name), files_.size()});
        }
        files_.push_back({file, std::move(lines)});
    }

    void locate(declaration_fault& fault) const
    {
        // Paths have the form /list/index/rest.
        const auto list_end = fault.path.find('/', 1);
        const auto list = fault.path.substr(1, list_end - 1);
        const auto found = ranges_.find(list);
        if (found == ranges_.end() || list_end == std::string::npos) {
            return;
        }
        const auto index_end = fault.path.find('/', list_end + 1);
        const std::size_t index = std::stoul(
            fault.path.substr(list_end + 1, index_end - list_end - 1));
        const std::string rest = index_end == std::string::npos
                                     ? std::string()
                                     : fault.path.substr(index_end);
        for (const auto& range : found->second) {
            if (index >= range.begin && index < range.end) {
                const auto& file = files_[range.file];
                fault.file = file.name;
                fault.path =
                    fmt::format("/{}/{}{}", list, index - range.begin, rest);
                fault.line = line_of(file.lines, fault.path);
            }
        }
    }

private:
    struct range
    {
        std::size_t begin;
        std::size_t end;
        std::size_t file;
    };
    struct located_file
    {
        std::string name;
        line_map lines;
    };

    std::map<std::string, std::vector<range>> ranges_;
    std::vector<located_file> files_;
};

std::size_t line_in(std::string_view detail)
{
    constexpr std::string_view prefix = "line ";
    if (!detail.starts_with(prefix)) {
        return 0;
    }
    return std::strtoul(detail.data() + prefix.size(), nullptr, 10);
}

} // namespace

std::map<std::string, std::size_t> locate_values(std::string_view text)
{
    return value_locator(text).run();
}

parsed_declarations
parse_declarations(const std::vector<declaration_file>& files)
{
    parsed_declarations out;
    merged_index index;
    std::string limits_file;
    for (const auto& file : files) {
        const auto document = parse_json(file.text);
        if (!document) {
            out.faults.push_back({.file = file.name,
                                  .line = line_in(document.error().detail),
                                  .path = "",
                                  .value = document.error().detail,
                                  .allowed = "a JSON object"});
            continue;
        }
        auto lines = locate_values(file.text);
        const declarations before = out.declared;
        declarations part;
        part.limits = before.limits;
        std::vector<declaration_fault> faults;
        read_declarations(document.value(), unknown_fields::refuse, part,
                          faults);
        const bool has_limits =
            document.value().is_object() && document.value().contains("limits");
        if (has_limits && !limits_file.empty()) {
            faults.push_back(
                {.path = "/limits",
                 .value = "a second object",
                 .allowed = "one, and " + limits_file + " has it already"});
        }
        limits_file = has_limits ? file.name : limits_file;
        for (auto& fault : faults) {
            fault.file = file.name;
            fault.line = line_of(lines, fault.path);
            out.faults.push_back(std::move(fault));
        }
        auto append = [](auto& to, auto& from) {
            std::move(from.begin(), from.end(), std::back_inserter(to));
        };
        append(out.declared.presets, part.presets);
        append(out.declared.service_classes, part.service_classes);
        append(out.declared.client_accounts, part.client_accounts);
        append(out.declared.services, part.services);
        append(out.declared.operators, part.operators);
        out.declared.limits = part.limits;
        index.add(file.name, std::move(lines), before, out.declared);
    }
    for (auto& fault : check_references(out.declared)) {
        index.locate(fault);
        out.faults.push_back(std::move(fault));
    }
    return out;
}

parsed_declarations
parse_declaration_folder(const std::filesystem::path& folder)
{
    std::error_code problem;
    std::vector<std::filesystem::path> paths;
    for (const auto& entry :
         std::filesystem::directory_iterator(folder, problem)) {
        if (entry.path().extension() == ".json") {
            paths.push_back(entry.path());
        }
    }
    std::sort(paths.begin(), paths.end());
    if (problem || paths.empty()) {
        return {
            .declared = {},
            .faults = {{.file = folder.string(),
                        .line = 0,
                        .path = "",
                        .value = problem ? problem.message() : "no *.json file",
                        .allowed = "a readable folder with *.json files"}}};
    }
    std::vector<declaration_file> files;
    std::vector<declaration_fault> unreadable;
    for (const auto& path : paths) {
        std::ifstream in(path, std::ios::binary);
        std::string text((std::istreambuf_iterator<char>(in)),
                         std::istreambuf_iterator<char>());
        if (!in) {
            unreadable.push_back({.file = path.filename().string(),
                                  .line = 0,
                                  .path = "",
                                  .value = "no content",
                                  .allowed = "a readable file"});
            continue;
        }
        files.push_back({path.filename().string(), std::move(text)});
    }
    auto out = parse_declarations(files);
    out.faults.insert(out.faults.begin(), unreadable.begin(), unreadable.end());
    return out;
}

} // namespace bamboogate::control
