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

/// One way on from a state: taken when its guard holds or there is none.
struct chart_transition
{
    std::optional<std::string> guard;
    std::uint8_t target = 0; ///< the state itself when `to` is absent
    std::vector<std::string> actions;

    bool operator==(const chart_transition&) const = default;
};

/// What a state does with one event. No branch: the event is ignored.
using chart_reaction = std::vector<chart_transition>;

struct chart_state
{
    std::string name;
    bool final = false;
    std::vector<chart_reaction> reactions; ///< by event index
};

/// A checked state chart, not yet bound to code.
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

/// @brief Reads and checks a state chart.
///
/// The form, with `to` absent for a branch that stays in its state:
///
///     {"name": "door", "initial": "shut", "events": ["push", "leave"],
///      "states": {
///        "shut": {"on": {"push": [{"guard": "unlocked", "to": "open",
///                                  "actions": ["ring"]},
///                                 {"actions": ["complain"]}]},
///                 "ignore": ["leave"]},
///        "open": {"final": true}}}
///
/// One branch may stand without its list. Every state that is not final
/// handles or ignores every event explicitly; a final state ignores all,
/// because nothing may follow an end. The last branch of a list has no guard,
/// so that no combination of guards leaves an event unhandled.
///
/// @return `state_chart_invalid` with all faults as `path: problem`, where a
///     path is such as `states/shut/on/push/0/to`: states that cannot be
///     reached, events that are not handled, names that are not declared,
///     states without a path to a final state, unknown keys. Thread safe.
[[nodiscard]] result<chart_definition> read_chart(const json& document);

/// @brief Parses text and reads the chart in it.
[[nodiscard]] result<chart_definition> parse_chart(std::string_view text);

/// @brief The text of a chart of `charts/`, which is part of the program.
/// @param name file name without `.json`
/// @return `not_found` for an unknown name. Thread safe.
[[nodiscard]] result<std::string_view> embedded_chart(std::string_view name);

/// @brief Names of all embedded charts, sorted.
[[nodiscard]] std::vector<std::string_view> embedded_chart_names();

} // namespace bamboogate

#endif
