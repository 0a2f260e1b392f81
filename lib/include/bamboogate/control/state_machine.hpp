#ifndef BAMBOOGATE_CONTROL_STATE_MACHINE_HPP
#define BAMBOOGATE_CONTROL_STATE_MACHINE_HPP

#include <bamboogate/consensus/replicated_state.hpp>
#include <bamboogate/control/commands.hpp>
#include <bamboogate/control/declarations.hpp>
#include <bamboogate/control/journal.hpp>
#include <bamboogate/control/operation_table.hpp>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboogate::control {

/// An entry of the history: a change, its operator and its revision.
struct history_entry
{
    bamboogate::revision revision;
    std::string kind; ///< type of the command
    operation_id operation;
    std::string operator_id;
    bamboogate::revision based_on;
    std::uint64_t wall_time_ms = 0;
    std::vector<std::string> summary;

    bool operator==(const history_entry&) const = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(history_entry, revision, kind, operation,
                                   operator_id, based_on, wall_time_ms, summary)
};

/// An order to an upstream that is not finished.
struct open_order
{
    upstream_id upstream;
    operation_id operation;
    std::string address;
    json order;
    std::uint64_t deadline_ms = 0;
    std::uint64_t token = 0; ///< log index: grows with every order
    std::uint64_t term = 0;

    bool operator==(const open_order&) const = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(open_order, upstream, operation, address,
                                   order, deadline_ms, token, term)
};

/// The outcome of an order.
struct ended_order
{
    upstream_id upstream;
    operation_id operation;
    std::uint64_t token = 0;
    std::string outcome;
    unsigned status = 0;

    bool operator==(const ended_order&) const = default;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(ended_order, upstream, operation, token,
                                   outcome, status)
};

/// The replicated state of the control service. Deterministic: it reads no
/// clock; logical time is advanced by commands. Not thread safe.
class state_machine : public consensus::replicated_state
{
public:
    std::string apply(const consensus::log_position& position,
                      std::string_view command) override;
    [[nodiscard]] std::string snapshot() const override;
    /// @return `malformed_input`; the state is then unchanged
    result<void> restore(std::string_view snapshot) override;

    /// @brief Registers an observer that is called after each accepted change
    ///     and each restore.
    void on_configuration(std::function<void(const configuration&)> observer);

    [[nodiscard]] const configuration& current() const noexcept
    {
        return configuration_;
    }
    [[nodiscard]] const std::deque<history_entry>& history() const noexcept
    {
        return history_;
    }
    [[nodiscard]] const std::map<upstream_id, open_order>&
    open_orders() const noexcept
    {
        return open_orders_;
    }
    /// @brief The newest ended orders, oldest first.
    [[nodiscard]] const std::deque<ended_order>& ended_orders() const noexcept
    {
        return ended_orders_;
    }
    [[nodiscard]] const journal& call_journal() const noexcept
    {
        return journal_;
    }
    [[nodiscard]] std::size_t operation_count() const noexcept
    {
        return operations_.size();
    }
    [[nodiscard]] std::uint64_t time_ms() const noexcept { return time_ms_; }

private:
    using position_type = consensus::log_position;

    command_response run(const position_type& position,
                         const apply_declarations& request);
    command_response run(const position_type& position,
                         const use_preset& request);
    command_response run(const position_type& position,
                         const record_order& request);
    command_response run(const position_type& position,
                         const finish_order& request);
    command_response run(const position_type& position,
                         const call_begin& request);
    command_response run(const position_type& position,
                         const call_complete& request);
    command_response run(const position_type& position,
                         const call_unknown& request);
    command_response run(const position_type& position,
                         const call_abort& request);
    command_response run(const position_type& position,
                         const end_incarnation& request);
    command_response run(const position_type& position,
                         const advance_time& request);

    /// Answers a retry from the operation table; otherwise runs the change and
    /// stores its response.
    template <typename Change>
    command_response run_once(const position_type& position,
                              const Change& request);
    [[nodiscard]] std::optional<command_response>
    check_revision(const change_origin& origin) const;
    command_response accept(const change_origin& origin, std::string_view kind,
                            std::vector<std::string> summary);
    void add_history(history_entry entry);
    void notify();

    configuration configuration_;
    std::deque<history_entry> history_;
    operation_table operations_;
    journal journal_;
    std::map<upstream_id, open_order> open_orders_;
    std::deque<ended_order> ended_orders_;
    std::uint64_t time_ms_ = 0;
    std::vector<std::function<void(const configuration&)>> observers_;
};

} // namespace bamboogate::control

#endif
