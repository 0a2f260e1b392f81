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

/// A gate's links to the control replicas: it finds them from seeds, takes
/// the newest configuration and the upstreams' announcements from them, and
/// passes on suspicions. Not thread safe.
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
        /// A replica that doesn't hand out its configuration in this time is
        /// passed over for another one.
        duration fetch_deadline = std::chrono::milliseconds(600);
    };

    struct observers
    {
        /// A newer configuration; already checked when it was stored.
        std::function<void(configuration)> on_configuration;
        std::function<void(const announcement&)> on_announcement;
        std::function<void(const announcement&)> on_departure;
        std::function<void(const upstream_id&)> on_suspicion;
        std::function<void()> on_new_leader;
    };

    control_feed(net::event_loop& loop, relay_protocol protocol,
                 options settings, observers functions);
    ~control_feed();
    control_feed(const control_feed&) = delete;
    control_feed& operator=(const control_feed&) = delete;

    /// @brief Tells other gates that an upstream seems to be lost.
    void report_suspicion(const upstream_id& id);

    [[nodiscard]] std::size_t links_up() const;
    /// @brief Version in use; 0: none yet.
    [[nodiscard]] std::uint64_t version() const { return version_; }
    /// @brief Number of gates as far as the replicas know, at least 1.
    [[nodiscard]] std::uint64_t gates() const { return gates_; }
    [[nodiscard]] net::link_hub& hub() { return hub_; }
    [[nodiscard]] const node_id& leader() const { return leader_; }

private:
    void learn_replica(const std::string& node);
    void on_view(const net::peer_info& peer, const control_view& said);
    void fetch();
    void on_document(const node_id& from, result<configuration_document> reply);

    relay_protocol protocol_;
    options settings_;
    observers functions_;
    net::link_hub hub_;
    std::set<std::string> known_replicas_;
    std::uint64_t version_ = 0;
    std::uint64_t gates_ = 1;
    node_id leader_;
    /// Replicas that have announced a version above ours, newest word last.
    std::vector<node_id> sources_;
    std::uint64_t wanted_ = 0;
    bool fetching_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace bamboogate::relay

#endif
