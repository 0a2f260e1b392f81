#ifndef BAMBOOGATE_CORE_STATE_CHART_HPP
#define BAMBOOGATE_CORE_STATE_CHART_HPP

#include <bamboogate/core/chart_definition.hpp>
#include <bamboogate/core/result.hpp>

#include <array>
#include <concepts>
#include <cstdint>
#include <iterator>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bamboogate {

/// A condition that a chart refers to by name.
template <typename Context>
struct chart_guard
{
    std::string_view name;
    bool (*function)(const Context&);
};

/// A step that a chart refers to by name.
template <typename Context>
struct chart_action
{
    std::string_view name;
    void (*function)(Context&);
};

/// Connects a chart to code: the context type, enumerations of states and
/// events whose names stand in the same order as the enumerators, and the
/// registered guards and actions.
template <typename T>
concept ChartBinding = requires
{
    typename T::context;
    typename T::state;
    typename T::event;
    requires std::is_enum_v<typename T::state>;
    requires std::is_enum_v<typename T::event>;
    {std::span<const std::string_view>(T::states)};
    {std::span<const std::string_view>(T::events)};
    {std::span<const chart_guard<typename T::context>>(T::guards)};
    {std::span<const chart_action<typename T::context>>(T::actions)};
};

/// What an event did.
enum class transition_result : std::uint8_t
{
    state_changed, ///< a branch with another target state was taken
    state_kept,    ///< a branch within the state was taken
    ignored,       ///< the state ignores the event
};

namespace detail {

/// @brief Compares the names that code binds with those of the chart and
///     adds a fault per difference.
void compare_names(std::string_view what,
                   std::span<const std::string_view> bound,
                   const std::vector<std::string>& declared,
                   std::vector<std::string>& faults);

/// @brief Joins faults into one `state_chart_invalid`.
[[nodiscard]] error chart_error(std::string_view chart,
                                const std::vector<std::string>& faults);

} // namespace detail

/// A chart bound to code. It holds no state of a run: the caller keeps one
/// `state` value per machine, so that thousands of streams share one chart.
/// Thread safe after binding, as far as guards and actions are.
template <ChartBinding Binding>
class state_chart
{
public:
    using context = typename Binding::context;
    using state = typename Binding::state;
    using event = typename Binding::event;

    /// @brief Resolves all names of a chart.
    /// @return `state_chart_invalid` when the states or events differ from
    ///     those of the binding, or a guard or action is not registered
    [[nodiscard]] static result<state_chart>
    bind(const chart_definition& definition)
    {
        std::vector<std::string> faults;
        std::vector<std::string> state_names;
        for (const auto& one : definition.states) {
            state_names.push_back(one.name);
        }
        detail::compare_names("states", Binding::states, state_names, faults);
        detail::compare_names("events", Binding::events, definition.events,
                              faults);
        state_chart chart;
        if (faults.empty()) {
            chart.fill(definition, faults);
        }
        if (!faults.empty()) {
            return detail::chart_error(definition.name, faults);
        }
        return chart;
    }

    /// @brief Binds the embedded chart of this name.
    [[nodiscard]] static result<state_chart>
    bind_embedded(std::string_view name)
    {
        BOOST_OUTCOME_TRY(text, embedded_chart(name));
        BOOST_OUTCOME_TRY(definition, parse_chart(text));
        return bind(definition);
    }

    [[nodiscard]] state initial() const noexcept { return initial_; }

    [[nodiscard]] bool is_final(state which) const noexcept
    {
        return final_[index_of(which)];
    }

    /// @brief Handles one event: the first branch whose guard holds sets the
    ///     state, then its actions run in order.
    /// @param current the machine's state; an action sees the new one
    /// @pre no action fires an event of the same machine; it posts instead,
    ///     because the remaining actions would run after the inner event
    transition_result fire(state& current, event what, context& with) const
    {
        const auto from = index_of(current);
        const auto& range = reactions_[from * event_count + index_of(what)];
        for (auto at = range.first; at != range.last; ++at) {
            const auto& taken = branches_[at];
            if (taken.guard != nullptr && !taken.guard(with)) {
                continue;
            }
            current = static_cast<state>(taken.target);
            for (auto step = taken.first_action; step != taken.last_action;
                 ++step) {
                steps_[step](with);
            }
            return taken.target == from ? transition_result::state_kept
                                        : transition_result::state_changed;
        }
        return transition_result::ignored;
    }

    /// @brief The name of a state, for logs.
    [[nodiscard]] static std::string_view name_of(state which) noexcept
    {
        return Binding::states[index_of(which)];
    }

    /// @brief The name of an event, for logs.
    [[nodiscard]] static std::string_view name_of(event what) noexcept
    {
        return Binding::events[index_of(what)];
    }

private:
    struct branch
    {
        bool (*guard)(const context&) = nullptr;
        std::uint16_t first_action = 0;
        std::uint16_t last_action = 0;
        std::uint8_t target = 0;
    };

    struct branch_range
    {
        std::uint16_t first = 0;
        std::uint16_t last = 0;
    };

    static constexpr std::size_t event_count = std::size(Binding::events);

    template <typename Enum>
    static constexpr std::size_t index_of(Enum value) noexcept
    {
        return static_cast<std::size_t>(value);
    }

    template <typename Table>
    static auto find(const Table& table, std::string_view name)
        -> decltype(table[0].function)
    {
        for (const auto& one : table) {
            if (one.name == name) {
                return one.function;
            }
        }
        return nullptr;
    }

    /// Position of a chart's state among the enumerators of the binding.
    static std::uint8_t bound_state(const chart_definition& definition,
                                    std::uint8_t declared)
    {
        std::uint8_t at = 0;
        while (Binding::states[at] != definition.states[declared].name) {
            ++at;
        }
        return at;
    }

    void fill(const chart_definition& definition,
              std::vector<std::string>& faults)
    {
        initial_ =
            static_cast<state>(bound_state(definition, definition.initial));
        reactions_.resize(definition.states.size() * event_count);
        final_.resize(definition.states.size());
        for (std::size_t at = 0; at < definition.states.size(); ++at) {
            const auto bound =
                bound_state(definition, static_cast<std::uint8_t>(at));
            final_[bound] = definition.states[at].final;
            for (std::size_t what = 0; what < event_count; ++what) {
                const auto declared =
                    definition.event_index(Binding::events[what]);
                const auto& reaction =
                    definition.states[at].reactions[*declared];
                auto& range = reactions_[bound * event_count + what];
                range.first = static_cast<std::uint16_t>(branches_.size());
                for (const auto& one : reaction) {
                    add_branch(definition, one, faults);
                }
                range.last = static_cast<std::uint16_t>(branches_.size());
            }
        }
    }

    void add_branch(const chart_definition& definition,
                    const chart_transition& from,
                    std::vector<std::string>& faults)
    {
        branch added;
        added.target = bound_state(definition, from.target);
        if (from.guard) {
            added.guard = find(Binding::guards, *from.guard);
            if (added.guard == nullptr) {
                faults.push_back("guards/" + *from.guard +
                                 ": not registered by the code");
            }
        }
        added.first_action = static_cast<std::uint16_t>(steps_.size());
        for (const auto& name : from.actions) {
            steps_.push_back(find(Binding::actions, name));
            if (steps_.back() == nullptr) {
                faults.push_back("actions/" + name +
                                 ": not registered by the code");
            }
        }
        added.last_action = static_cast<std::uint16_t>(steps_.size());
        branches_.push_back(added);
    }

    state initial_{};
    std::vector<branch_range> reactions_; ///< by state, then event
    std::vector<branch> branches_;
    std::vector<void (*)(context&)> steps_;
    std::vector<bool> final_;
};

} // namespace bamboogate

#endif
