#include <bamboogate/relay/instance_registry.hpp>

#include <algorithm>

namespace bamboogate::relay {

namespace {

bool is_newer(const announcement& received, const announcement& known)
{
    if (received.started_at != known.started_at) {
        return received.started_at > known.started_at;
    }
    return received.sequence > known.sequence;
}

} // namespace

std::string_view name_of(instance_state state)
{
    switch (state) {
    case instance_state::ready:
        return "ready";
    case instance_state::leaving:
        return "leaving";
    case instance_state::lost:
        return "lost";
    }
    return "unknown";
}

bool instance_registry::is_declared(const service_id& service) const
{
    return !services_ || services_->contains(service);
}

bool instance_registry::is_foreign(const announcement& received,
                                   const announcement& known) const
{
    return !is_declared(received.service) && is_declared(known.service);
}

void instance_registry::declare_services(std::set<service_id> services)
{
    services_ = std::move(services);
    // Upstreams of services that are named now take their addresses.
    for (const auto& [id, each] : instances_) {
        if (each.state == instance_state::ready &&
            is_declared(each.announced.service)) {
            static_cast<void>(claim_address(each.announced));
        }
    }
}

bool instance_registry::claim_address(const announcement& received)
{
    const instance* owner = find_at(received.address);
    if (owner != nullptr && owner->announced.id != received.id) {
        if (is_foreign(received, owner->announced)) {
            return true;
        }
        if (owner->announced.started_at > received.started_at) {
            return false;
        }
        instances_.at(owner->announced.id).state = instance_state::lost;
    }
    by_address_[received.address.text()] = received.id;
    return true;
}

bool instance_registry::has_departed(const announcement& received) const
{
    // A departure without a start time applies only to the start that was known
    // when it was recorded.
    const auto found = departures_.find(received.id);
    return found != departures_.end() &&
           received.started_at <= found->second.started_at;
}

instance_registry::change
instance_registry::record_announcement(const announcement& received,
                                       time_point now)
{
    const auto found = instances_.find(received.id);
    if (found != instances_.end() &&
        !is_newer(received, found->second.announced)) {
        return change::none;
    }
    const bool foreign = found != instances_.end() &&
                         is_foreign(received, found->second.announced);
    if (foreign || !claim_address(received)) {
        return change::none;
    }
    const auto state = received.draining || has_departed(received)
                           ? instance_state::leaving
                           : instance_state::ready;
    if (found == instances_.end()) {
        instances_[received.id] = {received, state, now};
        return change::updated;
    }
    instance& known = found->second;
    const bool same_start = known.announced.started_at == received.started_at;
    // Within one start, the states leaving and lost are final.
    const auto next = same_start && known.state != instance_state::ready
                          ? known.state
                          : state;
    const bool changed = !same_start || next != known.state ||
                         known.announced.address != received.address ||
                         known.announced.service != received.service ||
                         (known.announced.warm_up_left > duration::zero()) !=
                             (received.warm_up_left > duration::zero());
    known = {received, next, now};
    return changed ? change::updated : change::refreshed;
}

instance_registry::change
instance_registry::record_refresh(const upstream_id& id,
                                  std::uint64_t started_at,
                                  std::uint64_t sequence, time_point now)
{
    const auto found = instances_.find(id);
    if (found == instances_.end() ||
        found->second.announced.started_at != started_at ||
        sequence <= found->second.announced.sequence) {
        return change::none;
    }
    found->second.announced.sequence = sequence;
    found->second.last_seen = now;
    return change::refreshed;
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
    std::vector<upstream_id> expired;
    for (const auto& [id, each] : instances_) {
        if (now - each.last_seen > settings_.expiry) {
            expired.push_back(id);
        }
    }
    for (const auto& id : expired) {
        const auto found = instances_.find(id);
        const auto owner =
            by_address_.find(found->second.announced.address.text());
        if (owner != by_address_.end() && owner->second == id) {
            by_address_.erase(owner);
        }
        instances_.erase(found);
    }
    return expired;
}

const instance* instance_registry::find(const upstream_id& id) const
{
    const auto found = instances_.find(id);
    return found == instances_.end() ? nullptr : &found->second;
}

const instance* instance_registry::find_at(const net::address& address) const
{
    const auto owner = by_address_.find(address.text());
    const instance* known =
        owner == by_address_.end() ? nullptr : find(owner->second);
    // The owner may have moved since.
    return known != nullptr && known->announced.address == address ? known
                                                                   : nullptr;
}

std::string_view instance_registry::state_name(const upstream_id& id) const
{
    const instance* known = find(id);
    return known == nullptr ? "unknown" : name_of(known->state);
}

} // namespace bamboogate::relay
