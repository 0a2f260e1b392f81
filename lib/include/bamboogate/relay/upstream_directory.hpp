#ifndef BAMBOOGATE_RELAY_UPSTREAM_DIRECTORY_HPP
#define BAMBOOGATE_RELAY_UPSTREAM_DIRECTORY_HPP

#include <bamboogate/relay/instance_registry.hpp>
#include <bamboogate/relay/upstream_health.hpp>

#include <map>
#include <set>
#include <vector>

namespace bamboogate::relay {

/// The upstreams as one gate believes them to be: what they announce, and
/// what the gate has seen of them. Pure. Not thread safe.
class upstream_directory
{
public:
    struct options
    {
        failure_domain_id own_domain;
        instance_registry::options registry;
        /// Latency assumed of an upstream without a sample.
        double assumed_latency_ms = 30.0;
        /// Factor on the cost of an upstream in another failure domain:
        /// traffic between domains is paid for.
        double remote_factor = 1.3;
    };

    explicit upstream_directory(options settings);

    instance_registry::change record_announcement(const announcement& said,
                                                  time_point now)
    {
        return registry_.record_announcement(said, now);
    }
    instance_registry::change record_departure(const announcement& said,
                                               time_point now)
    {
        return registry_.record_departure(said.id, said.started_at, now);
    }
    std::vector<upstream_id> expire(time_point now);

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

    /// @brief The upstream of a plain service that should answer soonest.
    /// Suspended ones are used only when no other is left.
    /// @return null when every upstream is excluded
    [[nodiscard]] const instance* choose(const service_id& service,
                                         const std::set<upstream_id>& excluded,
                                         time_point now) const;

    /// @brief True when an upstream may be given new work.
    [[nodiscard]] bool usable(const instance& which, time_point now) const;

private:
    [[nodiscard]] const upstream_health*
    find_health(const upstream_id& id) const;

    options settings_;
    instance_registry registry_;
    std::map<upstream_id, upstream_health> health_;
};

} // namespace bamboogate::relay

#endif
