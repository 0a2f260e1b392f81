#include <bamboogate/relay/instance_registry.hpp>

#include <algorithm>

namespace bamboogate::relay {

namespace {

bool is_newer(const announcement& said, const announcement& known)
{
    if (said.started_at != known.started_at) {
        return said.started_at > known.started_at;
    }
    return said.sequence > known.sequence;
}

} // namespace

bool instance_registry::claim_address(const announcement& said)
{
    const std::string where = said.address.text();
    const auto holder = by_address_.find(where);
    if (holder != by_address_.end() && holder->second != said.id) {
        const auto known = instances_.find(holder->second);
        if (known != instances_.end() &&
            known->second.announced.address == said.address) {
            if (known->second.announced.started_at > said.started_at) {
                return false;
            }
            known->second.state = instance_state::lost;
        }
    }
    by_address_[where] = said.id;
    return true;
}

bool instance_registry::has_departed(const announcement& said) const
{
    // A word that names no start holds for the start that was known by then.
    const auto found = departures_.find(said.id);
    return found != departures_.end() &&
           said.started_at <= found->second.started_at;
}

instance_registry::change
instance_registry::record_announcement(const announcement& said, time_point now)
{
    const auto found = instances_.find(said.id);
    if (found != instances_.end() && !is_newer(said, found->second.announced)) {
        return change::none;
    }
    if (!claim_address(said)) {
        return change::none;
    }
    const auto state = said.draining || has_departed(said)
                           ? instance_state::leaving
                           : instance_state::ready;
    if (found == instances_.end()) {
        instances_[said.id] = {said, state, now};
        return change::updated;
    }
    instance& known = found->second;
    const bool same_start = known.announced.started_at == said.started_at;
    // Within one start, leaving and loss are final.
    const auto next = same_start && known.state != instance_state::ready
                          ? known.state
                          : state;
    const bool changed = !same_start || next != known.state ||
                         known.announced.address != said.address ||
                         known.announced.service != said.service ||
                         (known.announced.warm_up_left > duration::zero()) !=
                             (said.warm_up_left > duration::zero());
    known = {said, next, now};
    return changed ? change::updated : change::refreshed;
}

instance_registry::change
instance_registry::record_departure(const upstream_id& id,
                                    std::uint64_t started_at, time_point now)
{
    departure& departed = departures_[id];
    departed.started_at = std::max(departed.started_at, started_at);
    departed.recorded_at = now;
    const auto found = instances_.find(id);
    if (found == instances_.end() ||
        found->second.state != instance_state::ready ||
        (started_at != 0 && started_at < found->second.announced.started_at)) {
        return change::none;
    }
    found->second.state = instance_state::leaving;
    found->second.last_seen = now;
    return change::updated;
}

std::vector<upstream_id> instance_registry::expire(time_point now)
{
    std::erase_if(departures_, [&](const auto& each) {
        return now - each.second.recorded_at > settings_.expiry;
    });
    std::vector<upstream_id> gone;
    for (const auto& [id, each] : instances_) {
        if (now - each.last_seen > settings_.expiry) {
            gone.push_back(id);
        }
    }
    for (const auto& id : gone) {
        const auto found = instances_.find(id);
        const auto holder =
            by_address_.find(found->second.announced.address.text());
        if (holder != by_address_.end() && holder->second == id) {
            by_address_.erase(holder);
        }
        instances_.erase(found);
    }
    return gone;
}

const instance* instance_registry::find(const upstream_id& id) const
{
    const auto found = instances_.find(id);
    return found == instances_.end() ? nullptr : &found->second;
}

} // namespace bamboogate::relay
