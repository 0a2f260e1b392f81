#include <bamboogate/control/leases.hpp>

#include <algorithm>

namespace bamboogate::control {

void gate_leases::start_leadership(time_point now)
{
    leader_since_ = now;
    leases_.clear();
}

void gate_leases::renew(const owner& gate, bamboogate::revision applied,
                        time_point now)
{
    auto& lease = leases_[gate];
    lease.expires = std::max(lease.expires, now + length_);
    lease.last_renewal = std::max(lease.last_renewal, now);
    lease.applied = std::max(lease.applied, applied);
}

void gate_leases::record_applied(const owner& gate,
                                 bamboogate::revision applied)
{
    const auto found = leases_.find(gate);
    if (found != leases_.end()) {
        found->second.applied = std::max(found->second.applied, applied);
    }
}

bool gate_leases::in_force(bamboogate::revision wanted, time_point now) const
{
    if (now < leader_since_ + length_) {
        return false;
    }
    return std::all_of(leases_.begin(), leases_.end(), [&](const auto& each) {
        return each.second.applied >= wanted || each.second.expires <= now;
    });
}

bool gate_leases::is_lost(const owner& gate, time_point now,
                          duration silence) const
{
    const auto newer = leases_.upper_bound({gate.gate, gate.incarnation});
    if (newer != leases_.end() && newer->first.gate == gate.gate) {
        return true;
    }
    const auto found = leases_.find(gate);
    const time_point last_renewal =
        found == leases_.end() ? leader_since_ : found->second.last_renewal;
    return now - last_renewal >= silence;
}

void gate_leases::remove_lost(time_point now, duration silence)
{
    std::erase_if(leases_, [&](const auto& each) {
        return now - each.second.last_renewal >= silence &&
               each.second.expires <= now;
    });
}

} // namespace bamboogate::control
