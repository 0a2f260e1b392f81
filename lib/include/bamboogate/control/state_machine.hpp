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

/// One line of the history: who changed what, at which revision.
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

/// An order to an upstream that has not ended.
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

/// How an order ended.
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
/// clock; logical time comes in commands. Not thread safe.
class state_machine : public consensus::replicated_state
{
public:
    std::string apply(const consensus::log_position& position,
                      std::string_view command) override;
    [[nodiscard]] std::string snapshot() const override;
    result<void> restore(std::string_view snapshot) override;

    /// @brief Called after each accepted change and each restore.
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
                         const apply_declarations& what);
    command_response run(const position_type& position, const use_preset& what);
    command_response run(const position_type& position,
                         const record_order& what);
    command_response run(const position_type& position,
                         const finish_order& what);
    command_response run(const position_type& position, const call_begin& what);
    command_response run(const position_type& position,
                         const call_complete& what);
    command_response run(const position_type& position,
                         const call_unknown& what);
    command_response run(const position_type& position, const call_abort& what);
    command_response run(const position_type& position,
                         const end_incarnation& what);
    command_response run(const position_type& position,
                         const advance_time& what);

    /// Answers a resend from the operation table, or runs the change and
    /// remembers its answer.
    template <typename Change>
    command_response run_once(const position_type& position,
                              const Change& what);
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
