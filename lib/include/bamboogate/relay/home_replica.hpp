#ifndef BAMBOOGATE_RELAY_HOME_REPLICA_HPP
#define BAMBOOGATE_RELAY_HOME_REPLICA_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/time.hpp>
#include <bamboogate/relay/version_lag.hpp>

#include <cstdint>
#include <map>
#include <set>

namespace bamboogate::relay {

/// Chooses the control replicas that a gate keeps links to. The home replica,
/// in the gate's own failure domain where there is one, sends the gate all
/// announcements and configurations; the leader places the gate's streams. With
/// links to every replica the bytes between failure domains and the
/// connections of a replica grow with gates times replicas. Performs no I/O.
/// Not thread safe.
class home_replica
{
public:
    struct options
    {
        failure_domain_id own_domain;
        /// A replica that has known no leader for this long is cut off from the
        /// others and misses their announcements. Longer than an election.
        duration max_leaderless = std::chrono::milliseconds(1500);
        /// A replica that has lacked a configuration of another one for this
        /// long passes on nothing that is replicated.
        duration max_lag = std::chrono::milliseconds(1500);
        /// Links that are no longer needed are kept for this long, so that a
        /// short loss of the leader does not replace all of them.
        duration link_retention = std::chrono::seconds(2);
    };

    explicit home_replica(options settings) : settings_(std::move(settings)) {}

    /// @brief Adds a replica whose link is not up yet; known ones are ignored.
    void add(const node_id& replica) { replicas_[replica]; }

    /// @brief Records that the link to a replica came up.
    void on_link_up(const node_id& replica, const failure_domain_id& domain,
                    time_point now);
    void on_link_down(const node_id& replica);

    /// @brief Records a replica's view of the control plane.
    /// @param knows_leader the replica knows a leader
    /// @param forwards the replica passes on what others have received; false
    ///     for earlier builds, whose gates subscribe to every replica
    void on_view(const node_id& replica, bool knows_leader, bool forwards,
                 time_point now);

    /// @brief Records the version of the configuration that a replica has.
    void on_version(const node_id& replica, std::uint64_t version,
                    time_point now);

    /// @brief The replica to subscribe to; empty if no link is up. Stays the
    ///     same while that replica is suitable.
    [[nodiscard]] const node_id& choose(const node_id& leader, time_point now);

    /// @brief The replica returned by the last `choose`.
    [[nodiscard]] const node_id& current() const { return current_; }

    /// @brief The replicas to keep links to: home and leader, and all of them
    ///     while a better home or the leader is looked for.
    [[nodiscard]] std::set<node_id> wanted_links(const node_id& leader,
                                                 time_point now);

    /// @brief The gate subscribes to its home and, until home and leader have
    ///     sufficed for `link_retention`, to the leader: a home that was just
    ///     cut off still reports a leader and passes nothing on.
    /// @return whether the gate has to subscribe to this replica
    /// @pre `wanted_links` was called for the same leader
    [[nodiscard]] bool needs_subscription(const node_id& replica,
                                          const node_id& leader) const;

private:
    struct replica_state
    {
        failure_domain_id domain; ///< empty until the first link is up
        bool up = false;
        bool forwards = true;
        bool knows_leader = false;
        time_point leaderless_since;
        version_lag lag; ///< behind the other replicas
    };

    /// True if the replica is cut off from the others or does not follow them.
    [[nodiscard]] bool is_unsuitable(const replica_state& replica,
                                     time_point now) const;

    options settings_;
    std::map<node_id, replica_state> replicas_;
    std::uint64_t newest_version_ = 0;
    node_id current_;
    /// Since when home and leader suffice; the epoch if they don't.
    time_point sufficient_since_{};
    bool settled_ = false; ///< home and leader have sufficed long enough
};

} // namespace bamboogate::relay

#endif
