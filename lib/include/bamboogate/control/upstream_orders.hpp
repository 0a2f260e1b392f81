#ifndef BAMBOOGATE_CONTROL_UPSTREAM_ORDERS_HPP
#define BAMBOOGATE_CONTROL_UPSTREAM_ORDERS_HPP

#include <bamboogate/control/control_server.hpp>
#include <bamboogate/control/state_machine.hpp>
#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/http_client.hpp>

#include <functional>
#include <memory>

namespace bamboogate::control {

/// Sends orders to upstreams while this replica leads.
///
/// An order is committed before it is sent, and its token is its log index. At
/// most one order per upstream is open. An order that a previous leader may
/// still send is not sent again: after that leader's lease and the order's
/// deadline it ends as `unknown`, and only then is another order to that
/// upstream accepted. This also protects upstreams that ignore the token, as
/// long as a leader is not paused for longer than that between checking its
/// lease and sending. Not thread safe.
class upstream_orders
{
public:
    struct options
    {
        /// Time after which a previous leader certainly knows that its lease
        /// has expired; at least the lease duration of a control leader.
        duration previous_leader_grace = std::chrono::seconds(2);
        /// Interval of the checks for orders of a previous leader.
        duration sweep_interval = std::chrono::milliseconds(100);
    };

    /// @pre all arguments outlive this object
    upstream_orders(net::event_loop& loop, net::http_client& http,
                    control_server& server, state_machine& state,
                    const options& settings);
    ~upstream_orders();
    upstream_orders(const upstream_orders&) = delete;
    upstream_orders& operator=(const upstream_orders&) = delete;

    /// @brief Commits and sends an order.
    /// @param callback the outcome; for a retry, the outcome of the original
    ///     order. `in_progress` while another order to the upstream is open,
    ///     `outcome_unknown` if a previous leader may have sent the order,
    ///     `not_found` if its outcome is no longer stored, and the errors of
    ///     `control_server::submit`
    void submit(const record_order& order,
                std::function<void(result<ended_order>)> callback);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace bamboogate::control

#endif
