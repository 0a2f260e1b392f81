#include <bamboogate/core/state_chart.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace bamboogate;

namespace {

struct door
{
    bool unlocked = false;
    std::string log;
};

struct door_binding
{
    using context = door;
    enum class state
    {
        shut,
        open,
        removed,
    };
    enum class event
    {
        push,
        pull,
        remove,
    };
    static constexpr std::array<std::string_view, 3> states{"shut", "open",
                                                            "removed"};
    static constexpr std::array<std::string_view, 3> events{"push", "pull",
                                                            "remove"};
    static constexpr std::array<chart_guard<door>, 1> guards{
        {{"unlocked", [](const door& one) { return one.unlocked; }}}};
    static constexpr std::array<chart_action<door>, 2> actions{
        {{"ring", [](door& one) { one.log += "ring "; }},
         {"complain", [](door& one) { one.log += "complain "; }}}};
};

using door_chart = state_chart<door_binding>;

json door_document()
{
    // The order of states and events differs from the enumerations.
    return json::parse(R"({
        "name": "door", "initial": "shut",
        "events": ["remove", "pull", "push"],
        "states": {
            "shut": {"on": {"push": [
                                {"guard": "unlocked", "to": "open",
                                 "actions": ["ring"]},
                                {"actions": ["complain", "ring"]}],
                            "remove": {"to": "removed"}},
                     "ignore": ["pull"]},
            "open": {"on": {"pull": {"to": "shut"},
                            "remove": {"to": "removed"}},
                     "ignore": ["push"]},
            "removed": {"final": true}}})");
}

result<door_chart> bind_door(const json& document)
{
    BOOST_OUTCOME_TRY(definition, read_chart(document));
    return door_chart::bind(definition);
}

} // namespace

// Guards against an interpreter that takes another branch than declared.
TEST_CASE("state_chart_guard_decides_the_branch_and_actions_run_in_order")
{
    const auto bound = bind_door(door_document());
    REQUIRE(bound);
    const auto& chart = bound.value();
    using state = door_chart::state;
    using event = door_chart::event;
    door context;
    state current = chart.initial();
    CHECK(current == state::shut);
    CHECK(chart.fire(current, event::push, context) ==
          transition_result::state_kept);
    CHECK(current == state::shut);
    CHECK(context.log == "complain ring ");
    context = {.unlocked = true};
    CHECK(chart.fire(current, event::push, context) ==
          transition_result::state_changed);
    CHECK(current == state::open);
    CHECK(context.log == "ring ");
    CHECK(chart.fire(current, event::push, context) ==
          transition_result::ignored);
    CHECK(chart.fire(current, event::remove, context) ==
          transition_result::state_changed);
    CHECK(chart.is_final(current));
    CHECK(chart.fire(current, event::push, context) ==
          transition_result::ignored);
    CHECK(context.log == "ring ");
    CHECK(door_chart::name_of(current) == "removed");
}

// Guards against a faulty chart that is found only when a request meets it.
TEST_CASE("read_chart_fault_names_path_and_problem")
{
    struct fault_case
    {
        std::string patch; ///< JSON patch (RFC 6902) on the door chart
        std::string path;
        std::string problem;
    };
    const fault_case cases[] = {
        {R"([{"op": "add", "path": "/states/attic", "value":
             {"on": {"push": {"to": "removed"}},
              "ignore": ["pull", "remove"]}}])",
         "states/attic", "cannot be reached"},
        {R"([{"op": "replace", "path": "/states/open/ignore", "value": []}])",
         "states/open", "event \"push\" is neither handled nor ignored"},
        {R"([{"op": "replace", "path": "/states/open/on/remove/to",
              "value": "shut"},
             {"op": "replace", "path": "/states/shut/on/remove/to",
              "value": "open"},
             {"op": "remove", "path": "/states/removed"}])",
         "states/shut", "no path to a final state"},
        {R"([{"op": "replace", "path": "/states/open/on/pull/to",
              "value": "ajar"}])",
         "states/open/on/pull/to", "unknown state \"ajar\""},
        {R"([{"op": "add", "path": "/states/open/on/kick",
              "value": {"to": "shut"}}])",
         "states/open/on/kick", "unknown event \"kick\""},
        {R"([{"op": "add", "path": "/states/open/ignore/-",
              "value": "kick"}])",
         "states/open/ignore", "unknown event \"kick\""},
        {R"([{"op": "add", "path": "/states/open/ignore/-",
              "value": "pull"}])",
         "states/open/on/pull", "event \"pull\" appears twice"},
        {R"([{"op": "remove", "path": "/states/shut/on/push/1"}])",
         "states/shut/on/push", "the last branch must have no guard"},
        {R"([{"op": "remove", "path": "/states/shut/on/push/0/guard"}])",
         "states/shut/on/push/0", "never taken"},
        {R"([{"op": "replace", "path": "/states/shut/on/push",
              "value": []}])",
         "states/shut/on/push", "the last branch must have no guard"},
        {R"([{"op": "replace", "path": "/initial", "value": "attic"}])",
         "initial", "unknown state \"attic\""},
        {R"([{"op": "remove", "path": "/initial"}])", "chart/initial",
         "missing"},
        {R"([{"op": "add", "path": "/states/open/ingore", "value": []}])",
         "states/open", "unknown key \"ingore\""},
        {R"([{"op": "add", "path": "/states/open/on/pull/guards",
              "value": "unlocked"}])",
         "states/open/on/pull", "unknown key \"guards\""},
        {R"([{"op": "add", "path": "/states/removed/ignore", "value": []}])",
         "states/removed", "a final state handles no event"},
        {R"([{"op": "replace", "path": "/states/removed/final",
              "value": "yes"}])",
         "states/removed/final", "not true or false"},
        {R"([{"op": "add", "path": "/events/-", "value": "push"}])", "events",
         "an event is repeated"},
        {R"([{"op": "replace", "path": "/events", "value": []}])", "events",
         "needs 1 to 255 events"},
        {R"([{"op": "replace", "path": "/events", "value": 3}])",
         "chart/events", "not a list"},
        {R"([{"op": "replace", "path": "/events", "value": [3]}])",
         "chart/events", "not a list of texts"},
        {R"([{"op": "replace", "path": "/states", "value": {}}])", "states",
         "needs an object"},
        {R"([{"op": "replace", "path": "/states/open", "value": 1}])",
         "states/open", "not an object"},
        {R"([{"op": "replace", "path": "/states/open/on", "value": 1}])",
         "states/open/on", "not an object"},
        {R"([{"op": "replace", "path": "/states/open/on/pull",
              "value": "shut"}])",
         "states/open/on/pull", "not an object"},
        {R"([{"op": "replace", "path": "/states/open/on/pull/to",
              "value": 1}])",
         "states/open/on/pull/to", "not a text"},
    };
    for (const auto& one : cases) {
        CAPTURE(one.patch);
        const auto read =
            read_chart(door_document().patch(json::parse(one.patch)));
        REQUIRE_FALSE(read);
        CHECK(read.error().code == errc::state_chart_invalid);
        const auto& detail = read.error().detail;
        CAPTURE(detail);
        const auto at = detail.find(one.path + ": ");
        REQUIRE(at != std::string::npos);
        CHECK(detail.find(one.problem) != std::string::npos);
    }
}

TEST_CASE("parse_chart_bad_text_reports_state_chart_invalid")
{
    for (const auto* text : {"", "[]", "{", "null", "{}"}) {
        CAPTURE(text);
        const auto read = parse_chart(text);
        REQUIRE_FALSE(read);
        CHECK(read.error().code == errc::state_chart_invalid);
    }
}

// Guards against a chart that names code which does not exist.
TEST_CASE("state_chart_bind_unknown_name_reports_it")
{
    const std::pair<const char*, const char*> cases[] = {
        {R"([{"op": "replace", "path": "/states/shut/on/push/0/guard",
              "value": "lucky"}])",
         "guards/lucky: not registered"},
        {R"([{"op": "add", "path": "/states/shut/on/push/0/actions/-",
              "value": "sing"}])",
         "actions/sing: not registered"},
        {R"([{"op": "add", "path": "/events/-", "value": "kick"},
             {"op": "add", "path": "/states/shut/ignore/-", "value": "kick"},
             {"op": "add", "path": "/states/open/ignore/-",
              "value": "kick"}])",
         "events/kick: not known to the code"},
        {R"([{"op": "remove", "path": "/states/open"},
             {"op": "remove", "path": "/states/shut/on/push/0/to"}])",
         "states/open: used by the code but not in the chart"},
    };
    for (const auto& one : cases) {
        const auto& expected = one.second;
        CAPTURE(expected);
        const auto bound =
            bind_door(door_document().patch(json::parse(one.first)));
        REQUIRE_FALSE(bound);
        CHECK(bound.error().code == errc::state_chart_invalid);
        CHECK(bound.error().detail.find(expected) != std::string::npos);
    }
}

// Guards against a chart under charts/ that a program refuses at start.
TEST_CASE("embedded_charts_all_are_valid_and_named_after_their_file")
{
    const auto names = embedded_chart_names();
    for (const auto* expected :
         {"generation_attempt", "order", "replica", "request", "upstream"}) {
        CAPTURE(expected);
        CHECK(std::find(names.begin(), names.end(), expected) != names.end());
    }
    for (const auto name : names) {
        CAPTURE(name);
        const auto text = embedded_chart(name);
        REQUIRE(text);
        const auto chart = parse_chart(text.value());
        if (!chart) {
            FAIL_CHECK(chart.error().detail);
            continue;
        }
        CHECK(chart.value().name == name);
    }
    CHECK_FALSE(embedded_chart("no_such_chart"));
}

// Guards I4 and I5 in the chart itself: an order that may have been sent never
// reaches `refused`, and only one event dispatches.
TEST_CASE("order_chart_after_dispatch_refusal_needs_no_connection")
{
    const auto chart = parse_chart(embedded_chart("order").value());
    REQUIRE(chart);
    const auto& order = chart.value();
    unsigned dispatches = 0;
    for (const auto& state : order.states) {
        for (const auto& reaction : state.reactions) {
            for (const auto& branch : reaction) {
                dispatches += static_cast<unsigned>(
                    std::count(branch.actions.begin(), branch.actions.end(),
                               "dispatch_once"));
            }
        }
    }
    CHECK(dispatches == 1);
    const auto dispatching = order.state_index("dispatching");
    REQUIRE(dispatching);
    const auto& state = order.states[*dispatching];
    for (std::size_t event = 0; event < order.events.size(); ++event) {
        for (const auto& branch : state.reactions[event]) {
            const auto& target = order.states[branch.target].name;
            CAPTURE(order.events[event]);
            CHECK(target != "refused");
            CHECK((target != "aborting" ||
                   order.events[event] == "no_connection"));
        }
    }
}
