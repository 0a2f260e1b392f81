#include <bamboogate/relay/upstream_directory.hpp>

#include <tuple>

namespace bamboogate::relay {

upstream_directory::upstream_directory(options settings)
    : settings_(std::move(settings)), registry_(settings_.registry)
{}

std::vector<upstream_id> upstream_directory::expire(time_point now)
{
    auto gone = registry_.expire(now);
    for (const auto& id : gone) {
        health_.erase(id);
    }
    return gone;
}

const upstream_health*
upstream_directory::find_health(const upstream_id& id) const
{
    const auto found = health_.find(id);
    return found == health_.end() ? nullptr : &found->second;
}

bool upstream_directory::usable(const instance& which, time_point now) const
{
    if (which.state != instance_state::ready) {
        return false;
    }
    const upstream_health* seen = find_health(which.announced.id);
    return seen == nullptr || !seen->suspended(now);
}

const instance*
upstream_directory::choose(const service_id& service,
                           const std::set<upstream_id>& excluded,
                           time_point now) const
{
    const instance* best = nullptr;
    std::tuple<bool, double> best_key;
    for (const auto& [id, each] : registry_.instances()) {
        if (each.announced.service != service ||
            each.state != instance_state::ready || excluded.contains(id)) {
            continue;
        }
        const upstream_health* seen = find_health(id);
        double latency = settings_.assumed_latency_ms;
        unsigned in_flight = 0;
        bool suspended = false;
        if (seen != nullptr) {
            latency = seen->latency_ms() > 0 ? seen->latency_ms() : latency;
            in_flight = seen->in_flight();
            suspended = seen->suspended(now);
        }
        double cost = latency * (1.0 + in_flight);
        if (each.announced.domain != settings_.own_domain) {
            cost *= settings_.remote_factor;
        }
        const std::tuple key{suspended, cost};
        if (best == nullptr || key < best_key) {
            best = &each;
            best_key = key;
        }
    }
    return best;
}

} // namespace bamboogate::relay
