#ifndef BAMBOOGATE_CORE_CHART_DEFINITION_HPP
#define BAMBOOGATE_CORE_CHART_DEFINITION_HPP

#include <bamboogate/core/json.hpp>
#include <bamboogate/core/result.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboogate {

/// A transition: taken if its guard holds or it has none.
struct chart_transition
{
    std::optional<std::string> guard;
    std::uint8_t target = 0; ///< the source state if `to` is absent
    std::vector<std::string> actions;

    bool operator==(const chart_transition&) const = default;
};

/// Transitions of a state for one event, in order of evaluation. If empty, the
/// event is ignored.
using chart_reaction = std::vector<chart_transition>;

struct chart_state
{
    std::string name;
    bool final = false;
    std::vector<chart_reaction> reactions; ///< by event index
};

/// A validated state chart that is not bound to code yet.
struct chart_definition
{
    std::string name;
    std::uint8_t initial = 0;
    std::vector<std::string> events;
    std::vector<chart_state> states;

    /// @brief All guard names, sorted, each once.
    [[nodiscard]] std::vector<std::string> guards() const;
    /// @brief All action names, sorted, each once.
    [[nodiscard]] std::vector<std::string> actions() const;
    [[nodiscard]] std::optional<std::uint8_t>
    state_index(std::string_view state) const;
    [[nodiscard]] std::optional<std::uint8_t>
    event_index(std::string_view event) const;
};

/// @brief Parses and validates a state chart.
///
/// The format; a transition without `to` keeps the state:
///
///     {"name": "door", "initial": "shut", "events": ["push", "leave"],
///      "states": {
///        "shut": {"on": {"push": [{"guard": "unlocked", "to": "open",
///                                  "actions": ["ring"]},
///                                 {"actions": ["complain"]}]},
///                 "ignore": ["leave"]},
///        "open": {"final": true}}}
///
/// A single transition may be given without the list. Every non-final state
/// handles or ignores every event explicitly; a final state ignores all events,
/// because nothing may follow it. The last transition of a list has no guard,
/// so that an event is handled whatever the guards return.
///
/// @return `state_chart_invalid` with all errors as `path: problem`, where a
///     path is for example `states/shut/on/push/0/to`: unreachable states,
///     unhandled events, undeclared names, states without a path to a final
///     state, unknown keys. Thread safe.
[[nodiscard]] result<chart_definition> read_chart(const json& document);

/// @brief Parses and validates a state chart given as JSON text.
[[nodiscard]] result<chart_definition> parse_chart(std::string_view text);

/// @brief The JSON text of a chart in `charts/`, which is compiled into the
///     program.
/// @param name file name without `.json`
/// @return `not_found` for an unknown name. Thread safe.
[[nodiscard]] result<std::string_view> embedded_chart(std::string_view name);

/// @brief Names of all embedded charts, sorted.
[[nodiscard]] std::vector<std::string_view> embedded_chart_names();

} // namespace bamboogate

#endif
