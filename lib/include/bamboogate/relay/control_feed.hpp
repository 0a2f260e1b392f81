#ifndef BAMBOOGATE_RELAY_CONTROL_FEED_HPP
#define BAMBOOGATE_RELAY_CONTROL_FEED_HPP

#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/link_hub.hpp>
#include <bamboogate/relay/home_replica.hpp>
#include <bamboogate/relay/messages.hpp>
#include <bamboogate/relay/protocol.hpp>
#include <bamboogate/relay/rollout_messages.hpp>
#include <bamboogate/relay/version_lag.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace bamboogate::relay {

/// A gate's links to the control replicas: discovers them from the seeds,
/// receives the newest configuration and the upstreams' announcements from its
/// home replica, and reports suspected upstreams. Not thread safe.
class control_feed
{
public:
    struct options
    {
        node_id self;
        failure_domain_id failure_domain;
        bamboogate::incarnation incarnation;
        secret shared_secret;
        std::vector<net::address> seeds; ///< link addresses
        /// If a replica doesn't send its configuration within this time,
        /// another replica is asked.
        duration fetch_patience = std::chrono::milliseconds(600);
        /// A reply that arrives within this time is still used. Answers to
        /// callers may fill the link for longer than `fetch_patience`.
        duration fetch_deadline = std::chrono::seconds(5);
        /// Another replica is asked if the home does not have a version this
        /// long after its report. It usually lags behind the leader by less
        /// than a heartbeat.
        duration home_lag = std::chrono::milliseconds(250);
        /// How long a gate without a configuration waits for the leader's
        /// view. Another replica may have restarted with an old snapshot.
        duration first_leader_wait = std::chrono::milliseconds(800);
    };

    /// Called on the loop's thread; all of them must be set.
    struct observers
    {
        /// Receives a newer configuration; it was validated when it was stored.
        std::function<void(configuration)> on_configuration;
        std::function<void(const announcement&)> on_announcement;
        /// A known upstream announced itself again without a change.
        std::function<void(const upstream_refresh&)> on_refresh;
        /// An upstream deregistered.
        std::function<void(const announcement&)> on_departure;
        /// Another process suspects an upstream.
        std::function<void(const upstream_id&)> on_suspicion;
        /// Requests that would crash their engines have to be refused.
        std::function<void(const quarantine_update&)> on_quarantine;
        /// Upstreams have crashed under a request, or it was answered since.
        std::function<void(const suspicion_update&)> on_request_suspicion;
        /// The last rollouts of services.
        std::function<void(const rollout_update&)> on_rollouts;
        /// The versions at which streams may begin.
        std::function<void(const recorded_versions&)> on_recorded_versions;
        /// The leader still judges the rollouts in progress.
        std::function<void(const rollout_lease&)> on_rollout_lease;
        /// The leader changed, or the link to it was established again.
        std::function<void()> on_new_leader;
        /// Whether other gates may reach upstreams over this one; unset, or
        /// without a value, if it opens no tunnels.
        std::function<std::optional<bool>()> serves_tunnels = nullptr;
    };

    control_feed(net::event_loop& loop, relay_protocol protocol,
                 options settings, observers functions);
    ~control_feed();
    control_feed(const control_feed&) = delete;
    control_feed& operator=(const control_feed&) = delete;

    /// @brief Reports a suspected upstream to the control replicas, which
    ///     inform the other gates. Dropped while no link is up.
    void report_suspicion(const upstream_id& id);

    /// @brief Reports to the control replicas that an upstream stated that it
    ///     leaves. Dropped while no link is up.
    void report_leaving(const announcement& announced);

    /// @brief Reports to the leader that an engine asked for a pause. Dropped
    ///     without a leader.
    void report_pause(const pause_statement& statement);

    /// @brief Reports to the leader that a suspected request was answered.
    ///     Dropped without a leader.
    void report_answered(const suspect_answered& answered);

    /// @brief Reports the origins of streams to the leader, or without one to
    ///     the home replica. Dropped while no link is up.
    void report_origins(std::span<const origin_batch> batches);

    /// @brief Sends the evidence of a rollout to the leader.
    /// @return false if there is no link to a leader
    [[nodiscard]] bool report_evidence(const rollout_evidence& evidence);

    /// @brief Reports to all linked replicas whether other gates may reach
    ///     upstreams over this one.
    void report_reachability(bool reaches_upstreams);

    /// @brief Requests gates that reach the upstreams from the leader, or
    ///     without one from the home replica.
    void find_gates(const relay::find_gates& request,
                    std::function<void(result<gates_found>)> on_reply);

    /// @brief Number of control replicas whose link is up.
    [[nodiscard]] std::size_t links_up() const;
    /// @brief Version of the configuration in use; 0 if none was received.
    [[nodiscard]] std::uint64_t version() const { return version_; }
    /// @brief Number of gates known to the control replicas, at least 1.
    [[nodiscard]] std::uint64_t gates() const { return gates_; }
    [[nodiscard]] net::link_hub& hub() { return hub_; }
    /// @brief The leader of the control replicas; empty if unknown.
    [[nodiscard]] const node_id& leader() const { return leader_; }
    /// @brief The replica that this gate is subscribed to; empty if none.
    [[nodiscard]] const node_id& home() const { return home_.current(); }

private:
    void add_replica(const std::string& node);
    void on_peer_state(const net::peer_info& peer, bool up);
    void on_view(const net::peer_info& peer, const control_view& view);
    /// Chooses the home replica, subscribes to it and opens missing links.
    void update_links();
    void close_surplus_links();
    void update_subscriptions();
    void fetch();
    template <typename Message>
    void send_to_leader_or_home(const Message& message);
    /// The replica to request the configuration from; empty if it is better to
    /// wait.
    [[nodiscard]] node_id fetch_source() const;
    /// @param number of the fetch that the reply belongs to
    void on_document(const node_id& from, std::uint64_t number,
                     result<configuration_document> reply);
    /// Ends the wait for the newest fetch and tries again after a delay.
    void on_fetch_failed(const node_id& source, errc code);

    net::event_loop& loop_;
    relay_protocol protocol_;
    options settings_;
    observers observers_;
    net::link_hub hub_;
    /// Link addresses of the replicas that are known.
    std::map<node_id, net::address> known_replicas_;
    home_replica home_;
    std::set<node_id> subscribed_; ///< on the links that are up
    std::set<node_id> linked_;     ///< replicas that the hub connects to
    net::timer links_timer_;
    net::timer fetch_timer_;    ///< fetches from another replica than the home
    net::timer patience_timer_; ///< ends the wait for the newest fetch
    std::uint64_t version_ = 0;
    std::uint64_t gates_ = 1;
    node_id leader_;
    /// The version that each replica has reported.
    std::map<node_id, std::uint64_t> offered_;
    version_lag lag_;              ///< of `version_` behind the reports
    bool leader_reported_ = false; ///< a leader has sent its own view
    std::optional<time_point> first_link_up_at_;
    /// The replica whose reply to the newest fetch is awaited.
    std::optional<node_id> fetching_from_;
    std::uint64_t fetch_number_ = 0;
    std::size_t open_fetches_ = 0; ///< without a reply, also earlier ones
    node_id failed_source_;        ///< did not answer the last fetch
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace bamboogate::relay

#endif
