#include <bamboogate/core/chart_definition.hpp>
#include <bamboogate/core/state_chart.hpp>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <initializer_list>
#include <set>

namespace bamboogate {

namespace {

/// States and events are stored as bytes.
constexpr std::size_t max_names = 255;

using faults = std::vector<std::string>;

void add(faults& into, std::string_view path, std::string_view problem)
{
    into.push_back(fmt::format("{}: {}", path, problem));
}

bool check_object(const json& document, const std::string& path,
                  std::initializer_list<std::string_view> keys, faults& into)
{
    if (!document.is_object()) {
        add(into, path, "not an object");
        return false;
    }
    for (const auto& [key, value] : document.items()) {
        if (std::find(keys.begin(), keys.end(), key) == keys.end()) {
            add(into, path, fmt::format("unknown key \"{}\"", key));
        }
    }
    return true;
}

std::optional<std::string> read_text(const json& parent, const char* key,
                                     const std::string& path, bool required,
                                     faults& into)
{
    const auto found = parent.find(key);
    if (found == parent.end()) {
        if (required) {
            add(into, fmt::format("{}/{}", path, key), "missing");
        }
        return std::nullopt;
    }
    if (!found->is_string() || found->get_ref<const std::string&>().empty()) {
        add(into, fmt::format("{}/{}", path, key), "not a text");
        return std::nullopt;
    }
    return found->get<std::string>();
}

std::vector<std::string> read_texts(const json& parent, const char* key,
                                    const std::string& path, faults& into)
{
    std::vector<std::string> texts;
    const auto found = parent.find(key);
    if (found == parent.end()) {
        return texts;
    }
    if (!found->is_array()) {
        add(into, fmt::format("{}/{}", path, key), "not a list");
        return texts;
    }
    for (const auto& one : *found) {
        if (!one.is_string()) {
            add(into, fmt::format("{}/{}", path, key), "not a list of texts");
            return texts;
        }
        texts.push_back(one.get<std::string>());
    }
    return texts;
}

class chart_reader
{
public:
    result<chart_definition> read(const json& document)
    {
        if (!check_object(document, "chart",
                          {"name", "meaning", "initial", "events", "states"},
                          faults_)) {
            return detail::chart_error("", faults_);
        }
        chart_.name =
            read_text(document, "name", "chart", true, faults_).value_or("");
        read_events(document);
        read_states(document);
        if (const auto initial =
                read_text(document, "initial", "chart", true, faults_)) {
            if (const auto index = chart_.state_index(*initial)) {
                chart_.initial = *index;
            } else {
                add(faults_, "initial",
                    fmt::format("unknown state \"{}\"", *initial));
            }
        }
        if (faults_.empty()) {
            check_paths();
        }
        if (!faults_.empty()) {
            return detail::chart_error(chart_.name, faults_);
        }
        return std::move(chart_);
    }

private:
    void read_events(const json& document)
    {
        chart_.events = read_texts(document, "events", "chart", faults_);
        const std::set<std::string> unique(chart_.events.begin(),
                                           chart_.events.end());
        if (unique.size() != chart_.events.size()) {
            add(faults_, "events", "an event is repeated");
        }
        if (chart_.events.empty() || chart_.events.size() > max_names) {
            add(faults_, "events", "needs 1 to 255 events");
        }
    }

    void read_states(const json& document)
    {
        const auto states = document.find("states");
        if (states == document.end() || !states->is_object() ||
            states->empty() || states->size() > max_names) {
            add(faults_, "states", "needs an object with 1 to 255 states");
            return;
        }
        for (const auto& [name, body] : states->items()) {
            chart_.states.push_back({.name = name});
        }
        std::size_t at = 0;
        for (const auto& [name, body] : states->items()) {
            read_state(body, "states/" + name, chart_.states[at]);
            ++at;
        }
    }

    void read_state(const json& body, const std::string& path,
                    chart_state& into)
    {
        into.reactions.resize(chart_.events.size());
        if (!check_object(body, path, {"meaning", "final", "on", "ignore"},
                          faults_)) {
            return;
        }
        if (const auto final = body.find("final"); final != body.end()) {
            if (!final->is_boolean()) {
                add(faults_, path + "/final", "not true or false");
                return;
            }
            into.final = final->get<bool>();
        }
        if (into.final) {
            if (body.contains("on") || body.contains("ignore")) {
                add(faults_, path, "a final state handles no event");
            }
            return;
        }
        std::vector<bool> covered(chart_.events.size());
        read_ignored(body, path, covered);
        read_reactions(body, path, into, covered);
        for (std::size_t at = 0; at < covered.size(); ++at) {
            if (!covered[at]) {
                add(faults_, path,
                    fmt::format("event \"{}\" is neither handled nor ignored",
                                chart_.events[at]));
            }
        }
    }

    void read_ignored(const json& body, const std::string& path,
                      std::vector<bool>& covered)
    {
        for (const auto& name : read_texts(body, "ignore", path, faults_)) {
            cover(name, path + "/ignore", covered);
        }
    }

    std::optional<std::uint8_t> cover(const std::string& event,
                                      const std::string& path,
                                      std::vector<bool>& covered)
    {
        const auto index = chart_.event_index(event);
        if (!index) {
            add(faults_, path, fmt::format("unknown event \"{}\"", event));
            return std::nullopt;
        }
        if (covered[*index]) {
            add(faults_, path,
                fmt::format("event \"{}\" appears twice", event));
        }
        covered[*index] = true;
        return index;
    }

    void read_reactions(const json& body, const std::string& path,
                        chart_state& into, std::vector<bool>& covered)
    {
        const auto on = body.find("on");
        if (on == body.end()) {
            return;
        }
        if (!on->is_object()) {
            add(faults_, path + "/on", "not an object");
            return;
        }
        for (const auto& [event, reaction] : on->items()) {
            const auto place = fmt::format("{}/on/{}", path, event);
            const auto index = cover(event, place, covered);
            if (index) {
                into.reactions[*index] = read_reaction(reaction, place, into);
            }
        }
    }

    chart_reaction read_reaction(const json& reaction, const std::string& path,
                                 const chart_state& state)
    {
        if (!reaction.is_array()) {
            return check_guards({read_branch(reaction, path, state)}, path);
        }
        chart_reaction branches;
        for (std::size_t at = 0; at < reaction.size(); ++at) {
            branches.push_back(read_branch(
                reaction[at], fmt::format("{}/{}", path, at), state));
        }
        return check_guards(std::move(branches), path);
    }

    chart_reaction check_guards(chart_reaction branches,
                                const std::string& path)
    {
        if (branches.empty() || branches.back().guard) {
            add(faults_, path, "the last branch must have no guard");
        }
        for (std::size_t at = 0; at + 1 < branches.size(); ++at) {
            if (!branches[at].guard) {
                add(faults_, fmt::format("{}/{}", path, at),
                    "branches after one without guard are never taken");
            }
        }
        return branches;
    }

    chart_transition read_branch(const json& body, const std::string& path,
                                 const chart_state& state)
    {
        chart_transition branch;
        if (!check_object(body, path, {"guard", "to", "actions"}, faults_)) {
            return branch;
        }
        branch.guard = read_text(body, "guard", path, false, faults_);
        branch.actions = read_texts(body, "actions", path, faults_);
        const auto target = read_text(body, "to", path, false, faults_);
        const auto index = chart_.state_index(target.value_or(state.name));
        if (!index) {
            add(faults_, path + "/to",
                fmt::format("unknown state \"{}\"", *target));
            return branch;
        }
        branch.target = *index;
        return branch;
    }

    void check_paths()
    {
        const auto count = chart_.states.size();
        std::vector<bool> reached(count);
        reached[chart_.initial] = true;
        std::vector<bool> ends(count);
        for (std::size_t at = 0; at < count; ++at) {
            ends[at] = chart_.states[at].final;
        }
        // At most `count` rounds: each either adds a state or is the last.
        for (bool grew = true; grew;) {
            grew = false;
            for (std::size_t from = 0; from < count; ++from) {
                for (const auto& reaction : chart_.states[from].reactions) {
                    for (const auto& branch : reaction) {
                        if (reached[from] && !reached[branch.target]) {
                            reached[branch.target] = grew = true;
                        }
                        if (ends[branch.target] && !ends[from]) {
                            ends[from] = grew = true;
                        }
                    }
                }
            }
        }
        for (std::size_t at = 0; at < count; ++at) {
            const auto path = "states/" + chart_.states[at].name;
            if (!reached[at]) {
                add(faults_, path, "cannot be reached");
            }
            if (!ends[at]) {
                add(faults_, path, "no path to a final state");
            }
        }
    }

    chart_definition chart_;
    faults faults_;
};

std::vector<std::string> sorted_unique(std::vector<std::string> names)
{
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
}

template <typename Function>
void for_each_branch(const chart_definition& chart, Function function)
{
    for (const auto& state : chart.states) {
        for (const auto& reaction : state.reactions) {
            for (const auto& branch : reaction) {
                function(branch);
            }
        }
    }
}

} // namespace

std::vector<std::string> chart_definition::guards() const
{
    std::vector<std::string> names;
    for_each_branch(*this, [&](const chart_transition& branch) {
        if (branch.guard) {
            names.push_back(*branch.guard);
        }
    });
    return sorted_unique(std::move(names));
}

std::vector<std::string> chart_definition::actions() const
{
    std::vector<std::string> names;
    for_each_branch(*this, [&](const chart_transition& branch) {
        names.insert(names.end(), branch.actions.begin(), branch.actions.end());
    });
    return sorted_unique(std::move(names));
}

std::optional<std::uint8_t>
chart_definition::state_index(std::string_view state) const
{
    const auto found =
        std::find_if(states.begin(), states.end(),
                     [&](const chart_state& one) { return one.name == state; });
    if (found == states.end()) {
        return std::nullopt;
    }
    return static_cast<std::uint8_t>(found - states.begin());
}

std::optional<std::uint8_t>
chart_definition::event_index(std::string_view event) const
{
    const auto found = std::find(events.begin(), events.end(), event);
    if (found == events.end()) {
        return std::nullopt;
    }
    return static_cast<std::uint8_t>(found - events.begin());
}

result<chart_definition> read_chart(const json& document)
{
    return chart_reader().read(document);
}

result<chart_definition> parse_chart(std::string_view text)
{
    auto document = parse_json(text);
    if (!document) {
        return fail(errc::state_chart_invalid,
                    "chart: " + document.error().detail);
    }
    return read_chart(document.value());
}

namespace detail {

void compare_names(std::string_view what,
                   std::span<const std::string_view> bound,
                   const std::vector<std::string>& declared,
                   std::vector<std::string>& faults)
{
    for (const auto name : bound) {
        if (std::find(declared.begin(), declared.end(), name) ==
            declared.end()) {
            faults.push_back(fmt::format(
                "{}/{}: used by the code but not in the chart", what, name));
        }
    }
    for (const auto& name : declared) {
        if (std::find(bound.begin(), bound.end(), name) == bound.end()) {
            faults.push_back(
                fmt::format("{}/{}: not known to the code", what, name));
        }
    }
}

error chart_error(std::string_view chart,
                  const std::vector<std::string>& faults)
{
    return {errc::state_chart_invalid,
            fmt::format("{}: {}", chart, fmt::join(faults, "; "))};
}

} // namespace detail

} // namespace bamboogate
