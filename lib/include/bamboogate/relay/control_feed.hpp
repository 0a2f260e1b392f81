#ifndef BAMBOOGATE_RELAY_CONTROL_FEED_HPP
#define BAMBOOGATE_RELAY_CONTROL_FEED_HPP

#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/link_hub.hpp>
#include <bamboogate/relay/messages.hpp>
#include <bamboogate/relay/protocol.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bamboogate::relay {

/// A gate's links to the control replicas: discovers them from the seeds,
/// receives the newest configuration and the upstreams' announcements, and
/// reports suspected upstreams. Not thread safe.
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
        duration fetch_deadline = std::chrono::milliseconds(600);
    };

    /// Called on the loop's thread; all of them must be set.
    struct observers
    {
        /// Receives a newer configuration; it was validated when it was stored.
        std::function<void(configuration)> on_configuration;
        std::function<void(const announcement&)> on_announcement;
        /// An upstream deregistered.
        std::function<void(const announcement&)> on_departure;
        /// Another process suspects an upstream.
        std::function<void(const upstream_id&)> on_suspicion;
        /// The leader changed, or the link to it was established again.
        std::function<void()> on_new_leader;
    };

    control_feed(net::event_loop& loop, relay_protocol protocol,
                 options settings, observers functions);
    ~control_feed();
    control_feed(const control_feed&) = delete;
    control_feed& operator=(const control_feed&) = delete;

    /// @brief Reports a suspected upstream to the control replicas, which
    ///     inform the other gates. Dropped while no link is up.
    void report_suspicion(const upstream_id& id);

    /// @brief Number of control replicas whose link is up.
    [[nodiscard]] std::size_t links_up() const;
    /// @brief Version of the configuration in use; 0 if none was received.
    [[nodiscard]] std::uint64_t version() const { return version_; }
    /// @brief Number of gates known to the control replicas, at least 1.
    [[nodiscard]] std::uint64_t gates() const { return gates_; }
    [[nodiscard]] net::link_hub& hub() { return hub_; }
    /// @brief The leader of the control replicas; empty if unknown.
    [[nodiscard]] const node_id& leader() const { return leader_; }

private:
    void add_replica(const std::string& node);
    void on_view(const net::peer_info& peer, const control_view& view);
    void fetch();
    void on_document(const node_id& from, result<configuration_document> reply);

    relay_protocol protocol_;
    options settings_;
    observers observers_;
    net::link_hub hub_;
    std::set<std::string> known_replicas_;
    std::uint64_t version_ = 0;
    std::uint64_t gates_ = 1;
    node_id leader_;
    /// Replicas that have reported a newer version, the latest report last.
    std::vector<node_id> sources_;
    std::uint64_t target_version_ = 0;
    bool fetching_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace bamboogate::relay

#endif
