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
#include <bamboogate/relay/retry_reserve.hpp>
#include <bamboogate/relay/rollout_director.hpp>
#include <bamboogate/relay/suspicion_limiter.hpp>
#include <bamboogate/relay/tunnel_gates.hpp>
#include <bamboogate/rollout/order_rules.hpp>

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace bamboogate::relay {

/// A control replica of the relay: discovers the other replicas from the seeds,
/// replicates the configuration, receives announcements from upstreams and
/// distributes both to the gates. Nodes are identified by the address of their
/// link listener. Not thread safe.
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
        /// True at the first start of the system: the seeds form the initial
        /// consensus group. Otherwise a replica with an empty data folder joins
        /// the existing group.
        bool first_start = false;
        std::size_t tolerated_losses = 2; ///< disks that may be lost at once
        duration heartbeat_interval = std::chrono::milliseconds(100);
        duration election_timeout = std::chrono::milliseconds(600);
        /// Time limit for an operator's call. Less than the second after which
        /// the caller tries another replica.
        duration operator_deadline = std::chrono::milliseconds(850);
        /// How long a stop waits until other replicas have the leadership and
        /// the vote of this one. A replica that ends before takes its vote
        /// with it.
        duration hand_over_limit = std::chrono::milliseconds(2500);
        /// Time limit for storing a large document, whose sender waits longer.
        duration large_operator_deadline = std::chrono::milliseconds(1500);
        /// Interval at which the gates are told which upstreams have announced
        /// themselves again. Gates remove upstreams after 30 s without.
        duration refresh_interval = std::chrono::seconds(10);
        /// Limits of the exposure of callers to the version of a rollout.
        rollout::exposure_limits exposure = {};
        /// For begun streams at gates whose parts of the limit are used up.
        retry_reserve::options retries = {};
    };

    using version_callback = std::function<void(result<std::uint64_t>)>;
    using document_callback = std::function<void(
        result<std::shared_ptr<const configuration_document>>)>;

    control_node(net::event_loop& loop, relay_protocol protocol,
                 options settings);
    ~control_node();
    control_node(const control_node&) = delete;
    control_node& operator=(const control_node&) = delete;

    /// @brief Opens the data folder, listens for links and starts the consensus
    ///     replica.
    /// @pre not started yet; required before the calls below
    result<void> start();

    /// @brief Registers an observer of the failure from which this replica does
    ///     not recover; the process should exit.
    /// @pre started
    void on_fatal_failure(std::function<void(const error&)> observer);

    /// @brief Stores a configuration, locally or through the leader.
    /// @param callback receives the version in effect; `invalid_argument` or
    ///     `malformed_input` if the document is rejected for good;
    ///     `storage_full` or `storage_failed` if this replica's disk refuses
    ///     writes, so that the caller tries another replica; after any other
    ///     error the outcome is unknown and the call should be repeated
    void replace_configuration(std::string text, version_callback callback);

    /// @brief Reads the newest configuration.
    /// @param callback receives `no_quorum` if this replica cannot prove that
    ///     its configuration is the newest, `not_found` if none is stored,
    ///     `storage_full` or `storage_failed` if its disk refuses writes
    void read_configuration(document_callback callback);

    using rollout_callback =
        std::function<void(result<rollout::rollout_record>)>;

    /// @brief Begins a rollout, locally or through the leader. An order that
    ///     was accepted is accepted again for some time, see
    ///     `rollout::judge_order`.
    /// @param callback receives the rollout that the order has begun;
    ///     `invalid_argument` if it can't be served, `conflict` while another
    ///     rollout of the service is in progress; after any other error the
    ///     outcome is unknown and the call should be repeated
    void begin_rollout(const rollout::rollout_order& order,
                       rollout_callback callback);

    /// @brief Reads the last rollout of a service.
    /// @param callback receives `not_found` if the service never had one,
    ///     `no_quorum` if this replica cannot prove that its record is the
    ///     newest, `storage_full` or `storage_failed` if its disk refuses
    ///     writes
    void read_rollout(const service_id& service,
                      const rollout_callback& callback);

    /// @brief The last rollouts of all services as this replica knows them.
    [[nodiscard]] std::vector<rollout_status> rollouts() const
    {
        return director_.statuses();
    }

    using acknowledge_callback = std::function<void(result<void>)>;

    /// @brief Records an announcement and forwards it to replicas and gates.
    /// @param callback called at once, but for a draining upstream only when
    ///     its departure would survive a restart of all replicas; an error if
    ///     that takes too long, so that the upstream tells another replica, or
    ///     `limit_exceeded` if its id is too long
    void on_announcement(const announcement& announced,
                         const acknowledge_callback& callback);

    /// @brief Records that an upstream deregistered and informs replicas and
    ///     gates.
    /// @param announced carries its id and, if known, its start time
    /// @param callback as for a draining upstream
    void on_departure(const announcement& announced,
                      const acknowledge_callback& callback);

    /// @brief Transfers leadership before a planned stop, and then the vote of
    ///     this replica if another one can take it: the process may not come
    ///     back.
    /// @param done called when both have succeeded or failed, at once if there
    ///     is nothing to transfer; further calls of `stop` are ignored
    /// @pre the node lives until then
    void stop(std::function<void()> done);

    [[nodiscard]] bool is_leader() const;
    /// @brief The members of the group as this replica sees them. Only the
    ///     leader knows which ones have caught up.
    [[nodiscard]] std::span<const replica_status> replicas() const
    {
        return replicas_;
    }
    /// @brief False while the disk refuses writes and this replica takes no
    ///     part in the replication.
    [[nodiscard]] bool storage_works() const;
    /// @brief Version of the configuration on this replica; 0 if none.
    [[nodiscard]] std::uint64_t version() const;
    /// @brief Number of gates subscribed to this replica.
    [[nodiscard]] std::size_t gates() const { return gates_.size(); }
    [[nodiscard]] const instance_registry& registry() const
    {
        return registry_;
    }
    /// @brief The streams that this replica places while it leads.
    [[nodiscard]] const placement_server& placements() const
    {
        return placements_;
    }
    [[nodiscard]] net::link_hub::traffic traffic() const
    {
        return hub_.totals();
    }

    /// @brief Quarantined parts of prompts, with their services.
    [[nodiscard]] std::vector<quarantine_update> quarantines() const
    {
        return placements_.quarantines();
    }
    /// @brief Lifts a quarantine on all replicas and gates.
    /// @param parts as listed by `quarantines`
    /// @return false if there is none of these parts
    bool lift_quarantine(const service_id& service,
                         std::vector<std::string> parts);

private:
    struct pending_store;
    struct pending_order;

    void register_handlers();
    void register_rollout_handlers();
    void register_version_handlers();
    void register_departure_handlers();
    void on_peer_state(const net::peer_info& peer, bool up);
    void tick();
    void update_membership();
    [[nodiscard]] membership_policy membership() const;
    /// As the leader, changes the membership.
    void apply_step(const membership_step& step,
                    const acknowledge_callback& callback);
    /// Records whether a replica is about to stop. The record ends with the
    /// process, since its next start may vote.
    void note_stopping(const net::peer_info& peer, bool stopping);
    /// As the leader, replaces a voter that is about to stop by a learner.
    void replace_leaving_replica(const node_id& node,
                                 const acknowledge_callback& callback);
    /// The error if no learner can take a vote: `in_progress` if one may be
    /// able to soon, else `not_found`.
    [[nodiscard]] error
    successor_error(const std::vector<replica_status>& statuses) const;
    [[nodiscard]] std::vector<node_id> leaving_replicas() const;
    /// As a leader that is about to stop, passes leadership on, if possible to
    /// a voter that stays. Calls back with an error always, since the vote is
    /// still to be handed over.
    void hand_over_leadership(const acknowledge_callback& callback);
    void hand_over_vote(time_point deadline, std::function<void()> done);
    void join_group();
    void add_replica(const std::string& node);
    [[nodiscard]] std::vector<replica_status> replica_statuses();
    [[nodiscard]] bool is_member(const node_id& node) const;
    [[nodiscard]] control_view view() const;
    void publish_view(bool force);
    void store_locally(const store_configuration& change,
                       version_callback callback);
    void store_through_leader(const std::shared_ptr<pending_store>& job);
    void acknowledge_when_replicated(std::uint64_t version, time_point deadline,
                                     version_callback callback);
    void order_through_leader(const std::shared_ptr<pending_order>& job);
    void order_locally(const rollout::rollout_order& order,
                       rollout_callback callback);
    /// Passes on the service's last rollout, once it would survive.
    void acknowledge_rollout(const service_id& service,
                             rollout_callback callback);
    void on_rollout(const rollout::rollout_record& record);
    /// Sends the origins of new streams to the other replicas.
    void send_new_origins();
    /// As the leader, keeps the recorded versions in step with the upstreams.
    void record_versions();
    /// Proposes to record a version, or to remove it.
    void change_version(const stream_origin& origin, bool add);
    [[nodiscard]] rollout_director::hooks rollout_hooks();
    /// All upstreams and departures, for a new subscriber or replica.
    [[nodiscard]] announcement_update known_upstreams() const;
    void on_subscribe(const net::peer_info& peer,
                      const subscribe& subscription);
    void on_announcement_update(const announcement_update& update);
    void forward_announcement(const announcement& announced);
    /// Records that an upstream leaves and informs replicas and gates.
    void forward_departure(const announcement& announced);
    /// Acknowledges a leaving upstream once its departure would survive a
    /// restart of all replicas.
    void confirm_leaving(const record_leaving& leaving,
                         const acknowledge_callback& callback);
    /// Acknowledges a leaving upstream once a majority has recorded it in
    /// memory, under a leader of an earlier build.
    void confirm_leaving_in_memory(const record_leaving& leaving,
                                   const acknowledge_callback& callback);
    /// @param unsupported set if the leader is of an earlier build
    void
    record_departure_through_leader(const record_departure& departed,
                                    const std::shared_ptr<bool>& unsupported,
                                    const acknowledge_callback& callback);
    void record_departure_locally(const record_departure& departed,
                                  const acknowledge_callback& callback);
    /// As the leader, removes departures that no announcement contradicts any
    /// more.
    void remove_old_departures();
    void send_to_replicas(const announcement_update& update);
    template <typename Message>
    void send_to_gates(const Message& message)
    {
        for (const auto& [gate, reads_refreshes] : gates_) {
            hub_.send(gate, message);
        }
    }
    /// Sends the quarantines in effect, and the evidence for further ones, to a
    /// new subscriber or replica.
    void send_quarantines(const node_id& peer);
    /// Sends the last rollouts to a new subscriber.
    void send_rollouts(const node_id& gate);
    /// Sends the unchanged announcements since the last call to the replicas
    /// and, at `refresh_interval`, to the gates.
    void send_refreshes();
    /// A watched engine responded to this replica.
    void on_response(const upstream_id& id, const response_description& answer);
    /// An upstream stated to a gate, or to this replica, that it leaves.
    void on_leaving_statement(const announcement& announced);
    /// A watched engine gave no sign of life.
    void on_unresponsive(const upstream_id& id, probe_result outcome);
    [[nodiscard]] result<retry_reply>
    on_retry_request(const net::peer_info& peer, const retry_request& request);
    void on_suspicion(const node_id& from, const upstream_suspicion& suspicion);
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
    retry_reserve reserve_;
    rollout_director director_;
    engine_watcher watcher_;
    /// Leaving engines that refuse connections, which the gates were told.
    std::set<upstream_id> refusing_;
    std::set<service_id> engine_services_;
    std::map<upstream_id, time_point> last_forwarded_;
    suspicion_limiter forwarded_suspicions_;
    /// The subscribed gates, and whether they read refreshes.
    std::map<node_id, bool> gates_;
    tunnel_gates tunnel_gates_; ///< with a link to this replica
    /// The number of gates subscribed to each other replica.
    std::map<node_id, std::uint64_t> gates_of_replicas_;
    /// Upstreams with an unchanged announcement not yet sent to the replicas.
    std::set<upstream_id> pending_refreshes_;
    time_point gates_refreshed_at_;
    time_point traffic_logged_at_;
    std::set<std::string> known_replicas_;
    std::map<node_id, time_point> last_reachable_;
    std::vector<replica_status> replicas_; ///< of the last tick
    /// Replicas whose process, with this incarnation, is about to stop or has
    /// stopped.
    std::map<node_id, incarnation> leaving_replicas_;
    std::string published_view_;
    time_point published_at_;
    time_point last_join_;
    /// Recorded versions without an upstream, and since when.
    std::map<stream_origin, time_point> unused_versions_;
    std::set<stream_origin> proposed_versions_; ///< not committed yet
    /// Recorded departures, and since when this leader has known them.
    std::map<departed_starts::value_type, time_point> departures_seen_;
    bool removing_departures_ = false; ///< a removal is not committed yet
    net::timer tick_timer_;
    net::timer origin_timer_;
    bool stopping_ = false;
};

} // namespace bamboogate::relay

#endif
