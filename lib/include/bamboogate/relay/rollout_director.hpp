#ifndef BAMBOOGATE_RELAY_ROLLOUT_DIRECTOR_HPP
#define BAMBOOGATE_RELAY_ROLLOUT_DIRECTOR_HPP

#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/relay/instance_registry.hpp>
#include <bamboogate/relay/rollout_messages.hpp>
#include <bamboogate/relay/rollout_store.hpp>
#include <bamboogate/rollout/progress.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bamboogate::relay {

/// A rollout with what this replica knows of its course, for operators.
struct rollout_status
{
    rollout::rollout_record record;
    duration elapsed{}; ///< since it began, at most the time that it has
    /// What this replica knows of the evidence, if it led when the last of it
    /// arrived.
    std::optional<rollout::judgement> evidence;
};

/// Directs the rollouts while this replica is the leader: combines the evidence
/// of all gates, decides on the phases and proposes them to the replicated log,
/// and tells the gates that it still does. The decisions themselves are made by
/// `rollout::next_step`. Every replica follows the records, so that it knows
/// their age when it becomes the leader; the evidence is not replicated, as the
/// gates send all of it to a new leader. Not thread safe.
class rollout_director
{
public:
    struct options
    {
        rollout::exposure_limits exposure;
        /// The evidence is tested at this interval. Gates report at about the
        /// same one, and each report covers both sides of the comparison.
        duration evidence_interval = std::chrono::milliseconds(250);
        /// The shift begins as late as the exposure allows, 340 ms before the
        /// deadline of a rollout of 4 s with 200 requests a second. At 250 ms
        /// between two decisions its completion came 20 ms too late.
        duration decision_interval = std::chrono::milliseconds(50);
        /// A quarter of the time after which gates end their trials, see
        /// `rollout::trial_selector`.
        duration lease_interval = std::chrono::milliseconds(400);
    };

    struct hooks
    {
        /// Whether this replica holds the leader lease; asked only while it
        /// leads.
        std::function<bool()> leads;
        /// Streams that run on an upstream.
        std::function<std::size_t(const upstream_id&)> running_on;
        /// Proposes a phase; calls the function when the outcome is known.
        std::function<void(const rollout_phase_change&, std::function<void()>)>
            propose;
        /// Sends a lease to the replicas and the gates.
        std::function<void(const rollout_lease&)> send_lease;
    };

    /// @param registry must outlive the director
    rollout_director(net::event_loop& loop, const instance_registry& registry,
                     options settings, hooks functions);

    /// @brief Follows a record that was applied or restored.
    void on_record(const rollout::rollout_record& record);

    /// @brief Takes in a gate's evidence; ignored unless the rollout is in
    ///     progress. A gate may know of a new leader before the leader itself,
    ///     so this replica need not lead yet.
    void on_evidence(const node_id& gate, const rollout_evidence& reported);

    /// @brief This replica became the leader, or lost the leadership.
    void on_leadership(bool leading);

    /// @brief Sets the services that the configuration in effect names.
    void declare_services(std::set<service_id> services)
    {
        services_ = std::move(services);
    }
    [[nodiscard]] bool is_declared(const service_id& service) const
    {
        return services_.contains(service);
    }

    /// @brief Limits for the record of a new rollout.
    [[nodiscard]] const rollout::exposure_limits& exposure() const
    {
        return settings_.exposure;
    }
    /// @return time since the last rollout of the service began; 0 if none did
    [[nodiscard]] duration since_begun(const service_id& service) const;
    /// @return versions of the service's ready upstreams
    [[nodiscard]] std::set<software_version>
    ready_versions(const service_id& service) const;

    [[nodiscard]] std::vector<rollout_status> statuses() const;

private:
    /// The last rollout of a service.
    struct course
    {
        rollout::rollout_record record;
        time_point began_at;
        time_point phase_began_at;
        std::optional<rollout::version_judge> judge;
        std::optional<rollout::judgement> evidence;
        time_point evidence_tested_at;
        bool proposing = false;
    };

    [[nodiscard]] bool leads() const { return leading_ && hooks_.leads(); }
    [[nodiscard]] time_point
    began_at(const rollout::rollout_record& record) const;
    [[nodiscard]] static duration allowed(const course& followed);
    [[nodiscard]] duration elapsed(const course& followed) const;
    [[nodiscard]] rollout::rollout_situation
    situation_of(const course& followed) const;
    void decide();
    void decide(course& followed);
    void send_lease();

    net::event_loop& loop_;
    const instance_registry& registry_;
    options settings_;
    hooks hooks_;
    std::int64_t started_unix_ms_;
    std::set<service_id> services_;
    std::map<service_id, course> courses_;
    bool leading_ = false;
    time_point leading_since_;
    net::timer decision_timer_;
    net::timer lease_timer_;
};

} // namespace bamboogate::relay

#endif
