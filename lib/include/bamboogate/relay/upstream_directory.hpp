#ifndef BAMBOOGATE_RELAY_UPSTREAM_DIRECTORY_HPP
#define BAMBOOGATE_RELAY_UPSTREAM_DIRECTORY_HPP

#include <bamboogate/relay/instance_registry.hpp>
#include <bamboogate/relay/upstream_health.hpp>
#include <bamboogate/rollout/rollout.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bamboogate::relay {

/// One gate's view of the upstreams: their announcements, and their health as
/// observed by the gate. Performs no I/O. Not thread safe.
class upstream_directory
{
public:
    struct options
    {
        failure_domain_id own_domain;
        instance_registry::options registry;
        /// Latency assumed for an upstream without samples.
        double assumed_latency_ms = 30.0;
        /// Cost factor for upstreams in another failure domain, because traffic
        /// between domains is charged.
        double remote_factor = 1.3;
    };

    explicit upstream_directory(options settings);

    instance_registry::change record_announcement(const announcement& received,
                                                  time_point now);
    instance_registry::change record_departure(const announcement& received,
                                               time_point now)
    {
        return registry_.record_departure(received.id, received.started_at,
                                          now);
    }
    instance_registry::change record_refresh(const upstream_id& id,
                                             std::uint64_t started_at,
                                             std::uint64_t sequence,
                                             time_point now)
    {
        return registry_.record_refresh(id, started_at, sequence, now);
    }
    /// @brief See `instance_registry::declare_services`.
    void declare_services(std::set<service_id> services)
    {
        registry_.declare_services(std::move(services));
    }
    /// @brief Removes upstreams without announcements, with their health.
    /// @return the removed upstreams
    std::vector<upstream_id> expire(time_point now);

    /// @return null for unknown upstreams
    [[nodiscard]] const instance* find(const upstream_id& id) const
    {
        return registry_.find(id);
    }
    [[nodiscard]] upstream_health& health(const upstream_id& id)
    {
        return health_[id];
    }
    [[nodiscard]] const instance_registry& registry() const
    {
        return registry_;
    }

    /// @brief Chooses the upstream of a plain service with the lowest expected
    ///     latency. Suspended ones are used only if no other is left, paused
    ///     ones never.
    /// @param versions that may be chosen
    /// @return null if every upstream is excluded or paused, or none is ready
    [[nodiscard]] const instance*
    choose(const service_id& service, const std::set<upstream_id>& excluded,
           time_point now, const rollout::version_filter& versions = {}) const;

    /// @return whether an upstream of one of the versions is ready, whatever
    ///     its health
    [[nodiscard]] bool any_ready(const service_id& service,
                                 const rollout::version_filter& versions) const;

    /// @return the time until an upstream of the service may receive requests
    ///     again, if all that are ready have asked for a pause
    [[nodiscard]] std::optional<duration> pause_left(const service_id& service,
                                                     time_point now) const;

    /// @brief True if an upstream may receive new work.
    [[nodiscard]] bool usable(const instance& candidate, time_point now) const;

private:
    [[nodiscard]] const upstream_health*
    find_health(const upstream_id& id) const;

    options settings_;
    instance_registry registry_;
    std::map<upstream_id, upstream_health> health_;
};

} // namespace bamboogate::relay

#endif
