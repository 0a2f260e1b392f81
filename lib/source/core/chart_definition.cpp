#include <bamboogate/core/chart_definition.hpp>
#include <bamboogate/core/state_chart.hpp>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <initializer_list>
#include <set>

namespace bamboogate {

namespace {

/// State and event indices are stored in one byte.
constexpr std::size_t max_names = 255;

using faults = std::vector<std::string>;

void add(faults& errors, std::string_view path, std::string_view problem)
{
    errors.push_back(fmt::format("{}: {}", path, problem));
}

bool check_object(const json& document, const std::string& path,
                  std::initializer_list<std::string_view> keys, faults& errors)
{
    if (!document.is_object()) {
        add(errors, path, "not an object");
        return false;
    }
    for (const auto& [key, value] : document.items()) {
        if (std::find(keys.begin(), keys.end(), key) == keys.end()) {
            add(errors, path, fmt::format("unknown key \"{}\"", key));
        }
    }
    return true;
}

std::optional<std::string> read_string(const json& parent, const char* key,
                                       const std::string& path, bool required,
                                       faults& errors)
{
    const auto found = parent.find(key);
    if (found == parent.end()) {
        if (required) {
            add(errors, fmt::format("{}/{}", path, key), "missing");
        }
        return std::nullopt;
    }
    if (!found->is_string() || found->get_ref<const std::string&>().empty()) {
        add(errors, fmt::format("{}/{}", path, key), "not a non-empty string");
        return std::nullopt;
    }
    return found->get<std::string>();
}

std::vector<std::string> read_strings(const json& parent, const char* key,
                                      const std::string& path, faults& errors)
{
    std::vector<std::string> strings;
    const auto found = parent.find(key);
    if (found == parent.end()) {
        return strings;
    }
    if (!found->is_array()) {
        add(errors, fmt::format("{}/{}", path, key), "not a list");
        return strings;
    }
    for (const auto& element : *found) {
        if (!element.is_string()) {
            add(errors, fmt::format("{}/{}", path, key),
                "not a list of strings");
            return strings;
        }
        strings.push_back(element.get<std::string>());
    }
    return strings;
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
            read_string(document, "name", "chart", true, faults_).value_or("");
        read_events(document);
        read_states(document);
        if (const auto initial =
                read_string(document, "initial", "chart", true, faults_)) {
            if (const auto index = chart_.state_index(*initial)) {
                chart_.initial = *index;
            } else {
                add(faults_, "initial",
                    fmt::format("unknown state \"{}\"", *initial));
            }
        }
        if (faults_.empty()) {
            check_reachability();
        }
        if (!faults_.empty()) {
            return detail::chart_error(chart_.name, faults_);
        }
        return std::move(chart_);
    }

private:
    void read_events(const json& document)
    {
        chart_.events = read_strings(document, "events", "chart", faults_);
        const std::set<std::string> unique(chart_.events.begin(),
                                           chart_.events.end());
        if (unique.size() != chart_.events.size()) {
            add(faults_, "events", "duplicate event");
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
                    chart_state& state)
    {
        state.reactions.resize(chart_.events.size());
        if (!check_object(body, path, {"meaning", "final", "on", "ignore"},
                          faults_)) {
            return;
        }
        if (const auto final = body.find("final"); final != body.end()) {
            if (!final->is_boolean()) {
                add(faults_, path + "/final", "not a boolean");
                return;
            }
            state.final = final->get<bool>();
        }
        if (state.final) {
            if (body.contains("on") || body.contains("ignore")) {
                add(faults_, path, "a final state handles no event");
            }
            return;
        }
        std::vector<bool> covered(chart_.events.size());
        read_ignored(body, path, covered);
        read_reactions(body, path, state, covered);
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
        for (const auto& name : read_strings(body, "ignore", path, faults_)) {
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
                        chart_state& state, std::vector<bool>& covered)
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
            const auto reaction_path = fmt::format("{}/on/{}", path, event);
            const auto index = cover(event, reaction_path, covered);
            if (index) {
                state.reactions[*index] =
                    read_reaction(reaction, reaction_path, state);
            }
        }
    }

    chart_reaction read_reaction(const json& reaction, const std::string& path,
                                 const chart_state& state)
    {
        if (!reaction.is_array()) {
            return check_guards({read_transition(reaction, path, state)}, path);
        }
        chart_reaction transitions;
        for (std::size_t at = 0; at < reaction.size(); ++at) {
            transitions.push_back(read_transition(
                reaction[at], fmt::format("{}/{}", path, at), state));
        }
        return check_guards(std::move(transitions), path);
    }

    chart_reaction check_guards(chart_reaction transitions,
                                const std::string& path)
    {
        if (transitions.empty() || transitions.back().guard) {
            add(faults_, path, "the last transition must have no guard");
        }
        for (std::size_t at = 0; at + 1 < transitions.size(); ++at) {
            if (!transitions[at].guard) {
                add(faults_, fmt::format("{}/{}", path, at),
                    "transitions after one without a guard are never taken");
            }
        }
        return transitions;
    }

    chart_transition read_transition(const json& body, const std::string& path,
                                     const chart_state& state)
    {
        chart_transition transition;
        if (!check_object(body, path, {"guard", "to", "actions"}, faults_)) {
            return transition;
        }
        transition.guard = read_string(body, "guard", path, false, faults_);
        transition.actions = read_strings(body, "actions", path, faults_);
        const auto target = read_string(body, "to", path, false, faults_);
        const auto index = chart_.state_index(target.value_or(state.name));
        if (!index) {
            add(faults_, path + "/to",
                fmt::format("unknown state \"{}\"", *target));
            return transition;
        }
        transition.target = *index;
        return transition;
    }

    void check_reachability()
    {
        const auto count = chart_.states.size();
        std::vector<bool> reached(count);
        reached[chart_.initial] = true;
        std::vector<bool> can_finish(count);
        for (std::size_t at = 0; at < count; ++at) {
            can_finish[at] = chart_.states[at].final;
        }
        // Every round but the last adds a state, so at most `count` rounds run.
        for (bool changed = true; changed;) {
            changed = false;
            for (std::size_t from = 0; from < count; ++from) {
                for (const auto& reaction : chart_.states[from].reactions) {
                    for (const auto& transition : reaction) {
                        if (reached[from] && !reached[transition.target]) {
                            reached[transition.target] = changed = true;
                        }
                        if (can_finish[transition.target] &&
                            !can_finish[from]) {
                            can_finish[from] = changed = true;
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
            if (!can_finish[at]) {
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
void for_each_transition(const chart_definition& chart, Function function)
{
    for (const auto& state : chart.states) {
        for (const auto& reaction : state.reactions) {
            for (const auto& transition : reaction) {
                function(transition);
            }
        }
    }
}

} // namespace

std::vector<std::string> chart_definition::guards() const
{
    std::vector<std::string> names;
    for_each_transition(*this, [&](const chart_transition& transition) {
        if (transition.guard) {
            names.push_back(*transition.guard);
        }
    });
    return sorted_unique(std::move(names));
}

std::vector<std::string> chart_definition::actions() const
{
    std::vector<std::string> names;
    for_each_transition(*this, [&](const chart_transition& transition) {
        names.insert(names.end(), transition.actions.begin(),
                     transition.actions.end());
    });
    return sorted_unique(std::move(names));
}

std::optional<std::uint8_t>
chart_definition::state_index(std::string_view state) const
{
    const auto found = std::find_if(
        states.begin(), states.end(),
        [&](const chart_state& candidate) { return candidate.name == state; });
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

void compare_names(std::string_view kind,
                   std::span<const std::string_view> bound,
                   const std::vector<std::string>& declared,
                   std::vector<std::string>& faults)
{
    for (const auto name : bound) {
        if (std::find(declared.begin(), declared.end(), name) ==
            declared.end()) {
            faults.push_back(fmt::format(
                "{}/{}: used by the code but not in the chart", kind, name));
        }
    }
    for (const auto& name : declared) {
        if (std::find(bound.begin(), bound.end(), name) == bound.end()) {
            faults.push_back(
                fmt::format("{}/{}: not known to the code", kind, name));
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
