#include <bamboogate/relay/control_node.hpp>
#include <bamboogate/relay/log_events.hpp>
#include <bamboogate/relay/process_log.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace bamboogate::relay {

namespace {

using observability::log;
namespace events = log_events;

constexpr duration tick_interval = std::chrono::milliseconds(250);
/// The view is sent again at this interval, for peers that missed a change.
constexpr duration view_interval = std::chrono::seconds(2);
constexpr duration traffic_log_interval = std::chrono::seconds(10);
/// Number of configurations after which a snapshot replaces the log. The disk
/// has enough space for the documents between two snapshots.
constexpr std::uint64_t snapshot_interval_entries = 64;
/// Bounds each part of the reply to a gate that looks for others.
constexpr std::size_t max_gates_found = 8;

} // namespace

control_node::control_node(net::event_loop& loop, relay_protocol protocol,
                           options settings)
    : loop_(loop), protocol_(std::move(protocol)),
      settings_(std::move(settings)), self_(settings_.link_address.text()),
      hub_(loop, {.identity = {self_, settings_.incarnation,
                               settings_.failure_domain},
                  .shared_secret = settings_.shared_secret,
                  .heartbeat_interval = std::chrono::milliseconds(400),
                  // The links of the gates carry much more.
                  .is_control =
                      [this](const node_id& peer) {
                          return known_replicas_.contains(peer.value());
                      }}),
      registry_({}),
      placements_(loop, hub_, registry_,
                  [this] { return replica_ && replica_->is_leader(); }),
      reserve_(settings_.retries),
      director_(loop, registry_, {.exposure = settings_.exposure},
                rollout_hooks()),
      watcher_(loop, protocol_, {},
               {.on_unresponsive =
                    [this](const upstream_id& id, probe_result outcome) {
                        on_unresponsive(id, outcome);
                    },
                .on_response =
                    [this](const upstream_id& id,
                           const response_description& answer) {
                        on_response(id, answer);
                    },
                .on_cache =
                    [this](const upstream_id& id, const auto& changes) {
                        placements_.on_cache(id, changes);
                        if (watcher_.caches_known()) {
                            placements_.on_caches_known();
                        }
                    }}),
      tick_timer_(loop, [this] { tick(); }),
      origin_timer_(loop, [this] { send_new_origins(); })
{
    placements_.use_version_history(store_.versions(), [this] {
        return replica_ && replica_->has_lease();
    });
}

control_node::~control_node() = default;

result<void> control_node::start()
{
    placements_.on_quarantine([this](const quarantine_update& update) {
        for (const auto& node : known_replicas_) {
            hub_.send(node_id(node), update);
        }
        send_to_gates(update);
    });
    placements_.on_suspicion_changed([this](const suspicion_update& update) {
        for (const auto& node : known_replicas_) {
            hub_.send(node_id(node), update);
        }
        send_to_gates(update);
    });
    store_.on_change(
        [this](const std::shared_ptr<const configuration_document>& document) {
            on_configuration(document);
        });
    store_.versions().on_change([this] {
        send_to_gates(recorded_versions{store_.versions().versions()});
    });
    store_.rollouts().on_change(
        [this](const rollout::rollout_record& record) { on_rollout(record); });
    BOOST_OUTCOME_TRY(bound, hub_.listen(settings_.link_address));
    std::vector<node_id> initial;
    const bool self_is_seed =
        std::any_of(settings_.seeds.begin(), settings_.seeds.end(),
                    [&](const auto& seed) { return seed == bound; });
    if (settings_.first_start && self_is_seed) {
        for (const auto& seed : settings_.seeds) {
            initial.emplace_back(seed.text());
        }
        std::sort(initial.begin(), initial.end());
    }
    for (const auto& seed : settings_.seeds) {
        add_replica(seed.text());
    }
    register_handlers();
    register_rollout_handlers();
    register_version_handlers();
    register_departure_handlers();
    BOOST_OUTCOME_TRY(
        replica, consensus::replica::start(
                     loop_, hub_, store_,
                     {.data_folder = settings_.data_folder,
                      .initial_voters = initial,
                      .election_timeout = settings_.election_timeout,
                      .heartbeat_interval = settings_.heartbeat_interval,
                      .snapshot_interval_entries = snapshot_interval_entries,
                      .max_command_bytes = 8u << 20}));
    replica_ = std::move(replica);
    for (const auto& member : replica_->members()) {
        add_replica(member.node.value());
    }
    replica_->on_role_change([this](bool leading) {
        if (leading) {
            placements_.on_leadership_gained();
            reserve_.reset(loop_.now());
            watch_engines();
        } else {
            placements_.reset();
        }
        record_versions();
        director_.on_leadership(leading);
        publish_view(true);
    });
    tick_timer_.start_periodic(tick_interval);
    return outcome::success();
}

void control_node::register_handlers()
{
    hub_.on_peer_lost(&log_link_lost);
    hub_.on_peer_state([this](const net::peer_info& peer, bool up) {
        on_peer_state(peer, up);
    });
    hub_.on<subscribe>(
        [this](const net::peer_info& peer, subscribe subscription) {
            on_subscribe(peer, subscription);
        });
    hub_.on<control_view>(
        [this](const net::peer_info& peer, control_view received) {
            note_stopping(peer, received.stopping);
            for (const auto& node : received.replicas) {
                add_replica(node);
            }
            // Earlier builds report their own gates only.
            gates_of_replicas_[peer.node] =
                received.forwards ? received.subscribed : received.gates;
        });
    hub_.on<leaving_statement>(
        [this](const net::peer_info&, const leaving_statement& statement) {
            on_leaving_statement(statement.announced);
        });
    hub_.on<pause_statement>(
        [this](const net::peer_info&, const pause_statement& statement) {
            placements_.on_pause(statement);
        });
    hub_.on<upstream_suspicion>(
        [this](const net::peer_info& peer, upstream_suspicion suspicion) {
            on_suspicion(peer.node, suspicion);
        });
    hub_.on<announcement_update>(
        [this](const net::peer_info&, const announcement_update& update) {
            on_announcement_update(update);
        });
    hub_.on<quarantine_update>(
        [this](const net::peer_info&, const quarantine_update& update) {
            if (placements_.add_quarantine(update)) {
                send_to_gates(update);
            }
        });
    hub_.on<suspicion_update>(
        [this](const net::peer_info&, const suspicion_update& update) {
            if (placements_.add_suspicion(update)) {
                send_to_gates(update);
            }
        });
    hub_.serve<retry_request, retry_reply>(
        [this](const net::peer_info& peer, const retry_request& request,
               const auto& reply) { reply(on_retry_request(peer, request)); });
    hub_.on<gate_reachability>(
        [this](const net::peer_info& peer, const gate_reachability& state) {
            tunnel_gates_.record(peer.node, peer.failure_domain,
                                 state.reaches_upstreams);
        });
    hub_.serve<find_gates, gates_found>([this](const net::peer_info& peer,
                                               const find_gates& request,
                                               const auto& reply) {
        reply(tunnel_gates_.choose(
            peer.node, peer.failure_domain,
            std::min<std::size_t>(request.count, max_gates_found)));
    });
    hub_.on<join_request>([this](const net::peer_info&, join_request request) {
        add_replica(request.node);
        if (!replica_ || !replica_->is_leader()) {
            return;
        }
        const node_id node(request.node);
        if (!is_member(node)) {
            log(events::members_changed,
                {{"action", "add_learner"}, {"node", request.node}});
            replica_->add_learner(node, [](const result<void>&) {
                // If the change is refused, the joining replica repeats its
                // request.
            });
        }
    });
    hub_.serve<leave_group, group_left>([this](const net::peer_info& peer,
                                               const leave_group& request,
                                               const auto& reply) {
        // An earlier build states it here only.
        note_stopping(peer, true);
        replace_leaving_replica(
            node_id(request.node),
            [reply, node = request.node](const result<void>& outcome) {
                if (!outcome) {
                    reply(outcome.error());
                    return;
                }
                reply(group_left{node});
            });
    });
    hub_.serve<fetch_configuration, configuration_document>(
        [this](const net::peer_info&, fetch_configuration request,
               const auto& reply) {
            const auto& held = store_.current();
            reply(held->version > request.above ? *held
                                                : configuration_document{});
        });
    hub_.serve<store_configuration, configuration_stored_reply>(
        [this](const net::peer_info&, store_configuration change,
               const auto& reply) {
            store_locally(change, [reply](result<std::uint64_t> outcome) {
                if (!outcome) {
                    reply(std::move(outcome).error());
                    return;
                }
                reply(configuration_stored_reply{outcome.value()});
            });
        });
    hub_.serve<relay::read_configuration, configuration_document>(
        [this](const net::peer_info&, relay::read_configuration request,
               const auto& reply) {
            if (!replica_ || !replica_->has_lease()) {
                reply(fail(errc::not_leader, "replica holds no leader lease"));
                return;
            }
            configuration_document document = *store_.current();
            if (document.version == request.held) {
                document.text.clear();
            }
            reply(std::move(document));
        });
}

void control_node::on_peer_state(const net::peer_info& peer, bool up)
{
    if (!up) {
        gates_.erase(peer.node);
        tunnel_gates_.remove(peer.node);
        gates_of_replicas_.erase(peer.node);
        placements_.remove_gate(peer.node);
        return;
    }
    log_link_established(peer);
    note_stopping(peer, false);
    hub_.send(peer.node, view());
    if (known_replicas_.contains(peer.node.value())) {
        // A restarted replica knows no upstream, departure or quarantine.
        hub_.send(peer.node, known_upstreams());
        send_quarantines(peer.node);
        send_origins(hub_, peer.node, placements_.origins().all(), false);
    }
}

void control_node::add_replica(const std::string& node)
{
    if (node == self_.value() || !known_replicas_.insert(node).second) {
        return;
    }
    const auto address = net::parse_address(node);
    if (address) {
        hub_.add_peer(node_id(node), address.value());
    }
}

void control_node::tick()
{
    for (const auto& member : replica_->members()) {
        add_replica(member.node.value());
    }
    for (const auto& id : registry_.expire(loop_.now())) {
        last_forwarded_.erase(id);
        log(events::upstream_changed,
            {{"upstream", id.value()}, {"state", "forgotten"}});
    }
    send_refreshes();
    watch_engines();
    record_versions();
    remove_old_departures();
    join_group();
    update_membership();
    publish_view(false);
    if (loop_.now() - traffic_logged_at_ >= traffic_log_interval) {
        traffic_logged_at_ = loop_.now();
        log_link_traffic(hub_.totals());
    }
}

control_view control_node::view() const
{
    control_view out;
    if (replica_) {
        for (const auto& each : replica_->members()) {
            out.replicas.push_back(each.node.value());
        }
        out.leader = replica_->leader().value_or(node_id()).value();
        if (replica_->is_leader()) {
            out.leader = self_.value();
        }
    }
    out.version = store_.current()->version;
    out.subscribed = gates_.size();
    out.gates = gates_.size();
    for (const auto& [replica, subscribed] : gates_of_replicas_) {
        out.gates += subscribed;
    }
    out.forwards = true;
    out.stopping = stopping_;
    return out;
}

void control_node::publish_view(bool force)
{
    const control_view current = view();
    const std::string text = json(current).dump();
    const time_point now = loop_.now();
    if (!force && text == published_view_ &&
        now - published_at_ < view_interval) {
        return;
    }
    published_view_ = text;
    published_at_ = now;
    for (const auto& peer : hub_.peers_up()) {
        hub_.send(peer.node, current);
    }
}

void control_node::on_configuration(
    const std::shared_ptr<const configuration_document>& document)
{
    log(events::configuration_stored,
        {{"version", document->version}, {"bytes", document->text.size()}});
    if (const auto current = protocol_.read_configuration(document->text)) {
        placements_.on_configuration(current.value());
        director_.declare_services(current.value().service_ids());
        engine_services_.clear();
        registry_.declare_services(current.value().service_ids());
        for (const auto& each : current.value().services) {
            if (each.engine) {
                engine_services_.insert(each.name);
            }
        }
    }
    if (replica_) {
        record_versions();
        publish_view(true);
    }
}

void control_node::on_unresponsive(const upstream_id& id, probe_result outcome)
{
    const instance* engine = registry_.find(id);
    const bool expected = engine != nullptr &&
                          engine->state == instance_state::leaving &&
                          outcome == probe_result::refused;
    // The gates are told once, because the copies there can't be fetched any
    // more. The engine's streams go on.
    if (expected && !refusing_.insert(id).second) {
        return;
    }
    on_suspicion(self_, upstream_suspicion{id.value()});
}

result<retry_reply> control_node::on_retry_request(const net::peer_info& peer,
                                                   const retry_request& request)
{
    // With a lease, no other replica grants retries at the same time.
    if (!replica_ || !replica_->has_lease()) {
        return fail(errc::not_leader, "replica holds no leader lease");
    }
    const auto decision = reserve_.request(request.service, loop_.now());
    if (decision.granted) {
        log(events::retry_granted, {{"request", request.id.value()},
                                    {"service", request.service.value()},
                                    {"gate", peer.node.value()}});
    }
    return retry_reply{
        .granted = decision.granted,
        .wait_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(decision.wait)
                .count()};
}

void control_node::on_suspicion(const node_id& from,
                                const upstream_suspicion& suspicion)
{
    placements_.on_suspicion(upstream_id(suspicion.upstream));
    if (from == self_) {
        log(events::upstream_suspended,
            {{"upstream", suspicion.upstream},
             {"cause", "no_sign_of_life"},
             {"state", registry_.state_name(upstream_id(suspicion.upstream))}});
    }
    if (!forwarded_suspicions_.admit(upstream_id(suspicion.upstream),
                                     loop_.now())) {
        return;
    }
    const upstream_id id(suspicion.upstream);
    const instance* upstream = registry_.find(id);
    const bool placed_here =
        is_leader() && upstream != nullptr &&
        engine_services_.contains(upstream->announced.service);
    std::set<node_id> concerned;
    if (placed_here) {
        concerned = placements_.gates_using(id);
    } else {
        for (const auto& [gate, reads_refreshes] : gates_) {
            concerned.insert(gate);
        }
    }
    concerned.erase(from);
    for (const auto& gate : concerned) {
        hub_.send(gate, suspicion);
    }
    if (!placed_here && !known_replicas_.contains(from.value())) {
        // The other replicas inform their own gates.
        for (const auto& node : known_replicas_) {
            hub_.send(node_id(node), suspicion);
        }
    }
}

void control_node::watch_engines()
{
    std::erase_if(refusing_, [&](const upstream_id& id) {
        const instance* engine = registry_.find(id);
        return engine == nullptr || engine->state != instance_state::leaving;
    });
    std::map<upstream_id, net::address> engines;
    if (replica_->is_leader()) {
        for (const auto& [id, each] : registry_.instances()) {
            if (each.state != instance_state::lost &&
                engine_services_.contains(each.announced.service)) {
                engines.emplace(id, each.announced.address);
            }
        }
    }
    watcher_.watch(engines);
}

void control_node::stop(std::function<void()> done)
{
    if (stopping_) {
        return;
    }
    stopping_ = true;
    if (!replica_) {
        done();
        return;
    }
    publish_view(true);
    hub_.flush();
    const time_point deadline = loop_.now() + settings_.hand_over_limit;
    if (!replica_->is_leader()) {
        hand_over_vote(deadline, std::move(done));
        return;
    }
    replica_->transfer_leadership(
        [this, deadline, done = std::move(done)](const result<void>&) {
            hand_over_vote(deadline, done);
        },
        leaving_replicas());
}

void control_node::on_fatal_failure(std::function<void(const error&)> observer)
{
    replica_->on_failure(
        [observer = std::move(observer)](const error& problem) {
            if (!consensus::replica::recovers_from(problem)) {
                observer(problem);
            }
        });
}

bool control_node::storage_works() const
{
    return replica_ && !replica_->failure();
}

bool control_node::is_leader() const
{
    return replica_ && replica_->is_leader();
}

std::uint64_t control_node::version() const
{
    return store_.current()->version;
}

} // namespace bamboogate::relay
