#include <bamboogate/relay/upstream_directory.hpp>

#include <algorithm>
#include <tuple>

namespace bamboogate::relay {

upstream_directory::upstream_directory(options settings)
    : settings_(std::move(settings)), registry_(settings_.registry)
{}

instance_registry::change
upstream_directory::record_announcement(const announcement& received,
                                        time_point now)
{
    const instance* before = registry_.find(received.id);
    const auto known_start =
        before != nullptr ? before->announced.started_at : 0;
    const auto change = registry_.record_announcement(received, now);
    const bool new_start = before != nullptr &&
                           change == instance_registry::change::updated &&
                           known_start < received.started_at;
    if (new_start) {
        health_[received.id].end_pause();
    }
    return change;
}

std::optional<duration>
upstream_directory::pause_left(const service_id& service, time_point now) const
{
    std::optional<duration> shortest;
    for (const auto& [id, each] : registry_.instances()) {
        if (each.announced.service != service ||
            each.state != instance_state::ready) {
            continue;
        }
        const upstream_health* observed = find_health(id);
        const duration left =
            observed != nullptr ? observed->pause_left(now) : duration::zero();
        if (left == duration::zero()) {
            return std::nullopt;
        }
        shortest = std::min(shortest.value_or(left), left);
    }
    return shortest;
}

std::vector<upstream_id> upstream_directory::expire(time_point now)
{
    auto expired = registry_.expire(now);
    for (const auto& id : expired) {
        health_.erase(id);
    }
    return expired;
}

const upstream_health*
upstream_directory::find_health(const upstream_id& id) const
{
    const auto found = health_.find(id);
    return found == health_.end() ? nullptr : &found->second;
}

bool upstream_directory::usable(const instance& candidate, time_point now) const
{
    if (candidate.state != instance_state::ready) {
        return false;
    }
    const upstream_health* observed = find_health(candidate.announced.id);
    return observed == nullptr ||
           (!observed->suspended(now) && !observed->paused(now));
}

const instance* upstream_directory::choose(
    const service_id& service, const std::set<upstream_id>& excluded,
    time_point now, const rollout::version_filter& versions) const
{
    const instance* best = nullptr;
    std::tuple<bool, double> best_key;
    for (const auto& [id, each] : registry_.instances()) {
        if (each.announced.service != service ||
            each.state != instance_state::ready || excluded.contains(id) ||
            !versions.admits(each.announced.version)) {
            continue;
        }
        const upstream_health* observed = find_health(id);
        double latency = settings_.assumed_latency_ms;
        unsigned in_flight = 0;
        bool suspended = false;
        if (observed != nullptr) {
            if (observed->paused(now)) {
                continue;
            }
            latency =
                observed->latency_ms() > 0 ? observed->latency_ms() : latency;
            in_flight = observed->in_flight();
            suspended = observed->suspended(now);
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

bool upstream_directory::any_ready(
    const service_id& service, const rollout::version_filter& versions) const
{
    const auto& known = registry_.instances();
    return std::any_of(known.begin(), known.end(), [&](const auto& entry) {
        const instance& each = entry.second;
        return each.announced.service == service &&
               each.state == instance_state::ready &&
               versions.admits(each.announced.version);
    });
}

} // namespace bamboogate::relay
