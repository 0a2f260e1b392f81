#include <bamboogate/rollout/order_rules.hpp>

namespace bamboogate::rollout {

namespace {

/// Shorter rollouts leave no time to judge the version; longer ones are not
/// meant.
constexpr duration min_allowed = std::chrono::seconds(1);
constexpr duration max_allowed = std::chrono::hours(1);
/// Operators repeat an order for 5 s at most. An order that comes later than
/// this after its rollout has ended asks for another rollout.
constexpr duration repetition_window = std::chrono::seconds(10);

} // namespace

bool asks_for(const rollout_order& order, const rollout_record& record)
{
    return record.service == order.service && record.target == order.target &&
           std::chrono::milliseconds(record.duration_ms) == order.allowed;
}

result<order_answer> judge_order(const rollout_order& order,
                                 const order_situation& known)
{
    if (known.last != nullptr && asks_for(order, *known.last) &&
        (known.last->in_progress() || known.since_begun < repetition_window)) {
        return order_answer::acknowledge;
    }
    if (order.target.empty()) {
        return fail(errc::invalid_argument, "no target version is named");
    }
    if (order.allowed < min_allowed || order.allowed > max_allowed) {
        return fail(errc::invalid_argument,
                    "the time of a rollout is from 1 s to 1 h");
    }
    if (!known.service_declared) {
        return fail(errc::invalid_argument,
                    "the configuration doesn't name the service");
    }
    if (known.last != nullptr && known.last->in_progress()) {
        return fail(errc::conflict,
                    "another rollout of the service is in progress");
    }
    if (known.ready_versions == std::set{order.target}) {
        return fail(errc::invalid_argument,
                    "all upstreams of the service run the target version");
    }
    return order_answer::begin;
}

} // namespace bamboogate::rollout
