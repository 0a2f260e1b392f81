#ifndef BAMBOOGATE_CONTROL_UPSTREAM_ORDERS_HPP
#define BAMBOOGATE_CONTROL_UPSTREAM_ORDERS_HPP

#include <bamboogate/control/control_server.hpp>
#include <bamboogate/control/state_machine.hpp>
#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/http_client.hpp>

#include <functional>
#include <memory>

namespace bamboogate::control {

/// The task of the leader that sends orders to upstreams.
///
/// An order is committed before it is sent, and its token is its log index.
/// At most one order per upstream is open. An order that an earlier leader
/// may still send is not sent again: after the earlier leader's lease and the
/// order's deadline it ends as `unknown`, and only then is another order to
/// that upstream accepted. This also protects upstreams that ignore the token,
/// as long as a leader does not pause between its check of the lease and the
/// send for longer than that.
class upstream_orders
{
public:
    struct options
    {
        /// Time after which an earlier leader certainly knows that its lease
        /// is over; at least the lease of a control leader.
        duration previous_leader_grace = std::chrono::seconds(2);
        duration sweep_interval = std::chrono::milliseconds(100);
    };

    /// @pre all arguments outlive the task
    upstream_orders(net::event_loop& loop, net::http_client& http,
                    control_server& server, state_machine& state,
                    const options& settings);
    ~upstream_orders();
    upstream_orders(const upstream_orders&) = delete;
    upstream_orders& operator=(const upstream_orders&) = delete;

    /// @brief Commits and sends an order.
    /// @param callback how it ended; for a resend, how the first one ended.
    ///     `in_progress` while another order to the upstream is open, and the
    ///     errors of `control_server::submit`
    void submit(const record_order& order,
                std::function<void(result<ended_order>)> callback);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace bamboogate::control

#endif
