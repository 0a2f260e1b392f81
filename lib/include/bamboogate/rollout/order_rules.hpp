#ifndef BAMBOOGATE_ROLLOUT_ORDER_RULES_HPP
#define BAMBOOGATE_ROLLOUT_ORDER_RULES_HPP

#include <bamboogate/core/result.hpp>
#include <bamboogate/core/time.hpp>
#include <bamboogate/rollout/rollout.hpp>

#include <set>

namespace bamboogate::rollout {

/// An operator's order to move a service to another version.
struct rollout_order
{
    service_id service;
    software_version target;
    duration allowed{}; ///< from the order to its deadline
};

/// What the leader knows when an order arrives.
struct order_situation
{
    bool service_declared = false; ///< by the configuration in effect
    /// The last rollout of the service; null if it never had one.
    const rollout_record* last = nullptr;
    duration since_begun{}; ///< of `last`
    /// Versions of the service's ready upstreams.
    std::set<software_version> ready_versions;
};

enum class order_answer : std::uint8_t
{
    begin,       ///< a new rollout
    acknowledge, ///< `last` was begun by this order, which is sent again
};

/// @brief Decides on an order. An order that has been accepted is accepted
///     again when its sender repeats it, whatever has changed since: its sender
///     may not have received the acknowledgement. Answers the load of repeated
///     orders and of several operators at once. Pure; thread safe.
/// @return `invalid_argument` for an order that can't be served at any time,
///     `conflict` while another rollout of the service is in progress
[[nodiscard]] result<order_answer> judge_order(const rollout_order& order,
                                               const order_situation& known);

/// @return whether an order asks for this rollout
[[nodiscard]] bool asks_for(const rollout_order& order,
                            const rollout_record& record);

} // namespace bamboogate::rollout

#endif
