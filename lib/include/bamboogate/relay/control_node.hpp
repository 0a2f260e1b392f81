#ifndef BAMBOOGATE_RELAY_CONTROL_NODE_HPP
#define BAMBOOGATE_RELAY_CONTROL_NODE_HPP

#include <bamboogate/consensus/replica.hpp>
#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/link_hub.hpp>
#include <bamboogate/relay/configuration_store.hpp>
#include <bamboogate/relay/engine_watcher.hpp>
#include <bamboogate/relay/instance_registry.hpp>
#include <bamboogate/relay/membership_plan.hpp>
#include <bamboogate/relay/placement_server.hpp>
#include <bamboogate/relay/protocol.hpp>

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bamboogate::relay {

/// One control replica of the relay: it finds the others from seeds, keeps
/// the configuration with them, takes announcements from upstreams and passes
/// both on to the gates. Nodes are named by the address of their link
/// listener. Not thread safe.
class control_node
{
public:
    struct options
    {
        net::address link_address;
        failure_domain_id failure_domain;
        bamboogate::incarnation incarnation;
        secret shared_secret;
        std::filesystem::path data_folder;
        std::vector<net::address> seeds; ///< link addresses
        /// True at the first start of the whole system: the seeds form the
        /// group. Otherwise an empty data folder joins an existing one.
        bool first_start = false;
        std::size_t tolerated_losses = 2; ///< disks lost at once
        duration heartbeat_interval = std::chrono::milliseconds(100);
        duration election_timeout = std::chrono::milliseconds(600);
        /// Time within which an operator's call is answered; the caller turns
        /// to another replica after a second.
        duration operator_deadline = std::chrono::milliseconds(850);
        /// The same for a large document, whose sender waits longer.
        duration large_operator_deadline = std::chrono::milliseconds(1500);
        /// Announcements without news are passed on this often.
        duration refresh_interval = std::chrono::seconds(5);
    };

    using version_callback = std::function<void(result<std::uint64_t>)>;
    using document_callback = std::function<void(
        result<std::shared_ptr<const configuration_document>>)>;

    control_node(net::event_loop& loop, relay_protocol protocol,
                 options settings);
    ~control_node();
    control_node(const control_node&) = delete;
    control_node& operator=(const control_node&) = delete;

    /// @brief Opens the data folder and joins the protocol.
    result<void> start();

    /// @brief Stores a configuration, here or through the leader.
    /// @param callback the version in force; `invalid_argument` or
    ///     `malformed_input` for a document that is never stored; any other
    ///     error: the outcome is open, send it again
    void replace_configuration(std::string text, version_callback callback);

    /// @brief Reads the newest configuration.
    /// @param callback `no_quorum` when this replica cannot prove that it is
    ///     the newest, `not_found` when none was stored
    void read_configuration(document_callback callback);

    /// @brief Takes an announcement and passes it on.
    void on_announcement(const announcement& said);

    /// @brief Takes the word that an upstream leaves.
    /// @param said its id and, where known, its start
    void on_departure(const announcement& said);

    /// @brief Hands leadership over before a planned stop.
    void stop(std::function<void()> done);

    [[nodiscard]] bool is_leader() const;
    [[nodiscard]] std::uint64_t version() const;
    [[nodiscard]] std::size_t gates() const { return gates_.size(); }
    [[nodiscard]] const instance_registry& registry() const
    {
        return registry_;
    }
    [[nodiscard]] net::link_hub::traffic traffic() const
    {
        return hub_.totals();
    }

private:
    struct pending_store;

    void register_handlers();
    void on_peer_state(const net::peer_info& peer, bool up);
    void tick();
    void keep_membership();
    void join_group();
    void learn_replica(const std::string& node);
    [[nodiscard]] std::vector<replica_status> replica_statuses();
    [[nodiscard]] bool is_member(const node_id& node) const;
    [[nodiscard]] control_view view() const;
    void publish_view(bool force);
    void store_here(const store_configuration& change,
                    version_callback callback);
    void store_through_leader(const std::shared_ptr<pending_store>& job);
    void acknowledge_when_safe(std::uint64_t version, time_point deadline,
                               version_callback callback);
    void send_news(const announcement_update& news);
    void on_news(const announcement_update& news);
    void on_suspicion(const node_id& from, const upstream_suspicion& said);
    void watch_engines();
    void on_configuration(
        const std::shared_ptr<const configuration_document>& document);

    net::event_loop& loop_;
    relay_protocol protocol_;
    options settings_;
    node_id self_;
    net::link_hub hub_;
    configuration_store store_;
    std::unique_ptr<consensus::replica> replica_;
    instance_registry registry_;
    placement_server placements_;
    engine_watcher watcher_;
    std::set<service_id> engine_services_;
    std::map<upstream_id, time_point> refreshed_;
    std::set<node_id> gates_;
    std::set<std::string> known_replicas_;
    std::map<node_id, time_point> last_reachable_;
    std::string published_view_;
    time_point published_at_;
    time_point last_join_;
    net::timer tick_timer_;
    bool stopping_ = false;
};

} // namespace bamboogate::relay

#endif
