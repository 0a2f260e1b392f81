// Joins the consensus group of the control replicas and maintains its
// membership.
#include <bamboogate/relay/control_node.hpp>
#include <bamboogate/relay/log_events.hpp>

#include <algorithm>

namespace bamboogate::relay {

namespace {

using observability::log;
namespace events = log_events;

constexpr duration join_interval = std::chrono::milliseconds(400);

} // namespace

bool control_node::is_member(const node_id& node) const
{
    const auto members = replica_->members();
    return std::any_of(members.begin(), members.end(),
                       [&](const auto& each) { return each.node == node; });
}

void control_node::join_group()
{
    const time_point now = loop_.now();
    if (replica_->is_leader() || now - last_join_ < join_interval ||
        (is_member(self_) && replica_->leader())) {
        return;
    }
    last_join_ = now;
    for (const auto& node : known_replicas_) {
        hub_.send(node_id(node), join_request{self_.value()});
    }
}

std::vector<replica_status> control_node::replica_statuses()
{
    const time_point now = loop_.now();
    const auto members = replica_->members();
    const std::uint64_t applied = replica_->applied().index;
    std::vector<replica_status> out;
    for (const auto& each : members) {
        auto [seen, added] = last_reachable_.try_emplace(each.node, now);
        if (each.reachable || each.node == self_) {
            seen->second = now;
        }
        out.push_back({.node = each.node,
                       .voter = each.role == consensus::member_role::voter,
                       .caught_up = each.match_index >= applied,
                       .unreachable = now - seen->second});
    }
    return out;
}

void control_node::update_membership()
{
    if (!replica_->is_leader()) {
        last_reachable_.clear();
        return;
    }
    const membership_policy policy{.voters =
                                       2 * settings_.tolerated_losses + 1};
    const auto step = next_membership_step(replica_statuses(), self_, policy);
    if (!step) {
        return;
    }
    const bool promote = step->kind == membership_step::action::promote;
    const auto done = [node = step->node, promote](const result<void>& result) {
        log(events::members_changed,
            {{"action", promote ? "promote" : "remove"},
             {"node", node.value()},
             {"outcome", result ? "done" : name_of(result.error().code)}});
    };
    if (promote) {
        replica_->promote(step->node, done);
    } else {
        replica_->remove(step->node, done);
    }
}

} // namespace bamboogate::relay
