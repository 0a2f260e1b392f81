#ifndef BAMBOOGATE_CONTROL_CONTROL_SERVER_HPP
#define BAMBOOGATE_CONTROL_CONTROL_SERVER_HPP

#include <bamboogate/control/command_log.hpp>
#include <bamboogate/control/commands.hpp>
#include <bamboogate/control/leases.hpp>
#include <bamboogate/control/state_machine.hpp>
#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/link_hub.hpp>

#include <functional>
#include <memory>

namespace bamboogate::control {

/// The task of a control replica that faces the gates: renewals, pushes and
/// the journal. Serves while its replica leads, and names the leader
/// otherwise. Not thread safe.
class control_server
{
public:
    struct options
    {
        /// Length of a gate's configuration lease.
        duration lease = std::chrono::seconds(2);
        /// A gate that was not heard for this long counts as lost: its open
        /// calls become unknown. Well above the lease, because a gate that
        /// only paused can still report the answer.
        duration gate_loss_timeout = std::chrono::seconds(10);
        /// Step of the logical clock of retention.
        duration time_step = std::chrono::seconds(10);
        /// How often lost gates and waiters are looked at.
        duration check_interval = std::chrono::milliseconds(20);
    };

    /// @pre all arguments outlive the server
    control_server(net::event_loop& loop, net::link_hub& hub, command_log& log,
                   state_machine& state, const options& settings);
    ~control_server();
    control_server(const control_server&) = delete;
    control_server& operator=(const control_server&) = delete;

    using response_callback = std::function<void(result<command_response>)>;

    /// @brief Commits a command.
    /// @param callback its response, also a refusal; or `not_leader` with the
    ///     leader's id, or `outcome_unknown`
    void submit(const command& what, response_callback callback);

    /// @brief Waits until a revision is in force everywhere.
    /// @param callback gets false at the deadline or when leadership is lost
    void wait_in_force(bamboogate::revision wanted, duration deadline,
                       std::function<void(bool in_force)> callback);

    /// @brief True when this replica leads and no gate admits work under an
    ///     older revision.
    [[nodiscard]] bool in_force(bamboogate::revision wanted) const;

    /// @brief True when this replica may answer as the leader now.
    [[nodiscard]] bool leads() const;

    /// @brief The refusal of a replica that does not lead.
    [[nodiscard]] error not_leader() const;

    [[nodiscard]] const gate_leases& leases() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace bamboogate::control

#endif
