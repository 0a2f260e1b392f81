#include <bamboogate/relay/control_node.hpp>
#include <bamboogate/relay/log_events.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace bamboogate::relay {

namespace {

using observability::log;
namespace events = log_events;

constexpr duration tick_interval = std::chrono::milliseconds(250);
/// The view is repeated this often, for peers that missed a change.
constexpr duration view_interval = std::chrono::seconds(2);
constexpr duration join_interval = std::chrono::milliseconds(400);
constexpr duration store_retry_delay = std::chrono::milliseconds(60);
/// Documents above this size count as large.
constexpr std::size_t large_document_bytes = 64u << 10;
/// A snapshot replaces the log after this many configurations; the disk has
/// room for the documents between two snapshots.
constexpr std::uint64_t snapshot_every = 64;
constexpr duration safety_poll_interval = std::chrono::milliseconds(50);

std::uint64_t to_number(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

/// A store that looks for the leader until its deadline.
struct control_node::pending_store
{
    store_configuration change;
    time_point deadline;
    version_callback callback;
    std::unique_ptr<net::timer> retry;
};

control_node::control_node(net::event_loop& loop, relay_protocol protocol,
                           options settings)
    : loop_(loop), protocol_(std::move(protocol)),
      settings_(std::move(settings)), self_(settings_.link_address.text()),
      hub_(loop,
           {.self = {self_, settings_.incarnation, settings_.failure_domain},
            .shared_secret = settings_.shared_secret,
            .heartbeat_interval = std::chrono::milliseconds(400)}),
      registry_({}),
      placements_(loop, hub_, registry_,
                  [this] { return replica_ && replica_->is_leader(); }),
      watcher_(loop, protocol_, {},
               [this](const upstream_id& id) {
                   on_suspicion(self_, upstream_suspicion{id.value()});
               }),
      tick_timer_(loop, [this] { tick(); })
{}

control_node::~control_node()
{
    *alive_ = false;
}

result<void> control_node::start()
{
    store_.on_change(
        [this](const std::shared_ptr<const configuration_document>& document) {
            on_configuration(document);
        });
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
        learn_replica(seed.text());
    }
    register_handlers();
    BOOST_OUTCOME_TRY(replica,
                      consensus::replica::start(
                          loop_, hub_, store_,
                          {.data_folder = settings_.data_folder,
                           .initial_voters = initial,
                           .election_timeout = settings_.election_timeout,
                           .heartbeat_interval = settings_.heartbeat_interval,
                           .snapshot_every = snapshot_every,
                           .max_command_bytes = 8u << 20}));
    replica_ = std::move(replica);
    for (const auto& member : replica_->members()) {
        learn_replica(member.node.value());
    }
    replica_->on_role_change([this](bool leading) {
        if (!leading) {
            placements_.reset();
        }
        publish_view(true);
    });
    tick_timer_.start_periodic(tick_interval);
    return outcome::success();
}

void control_node::register_handlers()
{
    hub_.on_peer_state([this](const net::peer_info& peer, bool up) {
        on_peer_state(peer, up);
    });
    hub_.on<subscribe>([this](const net::peer_info& peer, subscribe) {
        gates_.insert(peer.node);
        announcement_news news;
        for (const auto& [id, each] : registry_.instances()) {
            if (each.state == instance_state::ready) {
                news.heard.push_back(each.said);
            } else if (each.state == instance_state::leaving) {
                news.heard.push_back(each.said);
                news.leaving.push_back(each.said);
            }
        }
        hub_.send(peer.node, view());
        hub_.send(peer.node, news);
    });
    hub_.on<control_view>([this](const net::peer_info&, control_view said) {
        for (const auto& node : said.replicas) {
            learn_replica(node);
        }
    });
    hub_.on<upstream_suspicion>(
        [this](const net::peer_info& peer, upstream_suspicion said) {
            on_suspicion(peer.node, said);
        });
    hub_.on<announcement_news>(
        [this](const net::peer_info&, const announcement_news& news) {
            on_news(news);
        });
    hub_.on<join_request>([this](const net::peer_info&, join_request said) {
        learn_replica(said.node);
        if (!replica_ || !replica_->is_leader()) {
            return;
        }
        const node_id node(said.node);
        const auto members = replica_->members();
        const bool known =
            std::any_of(members.begin(), members.end(),
                        [&](const auto& each) { return each.node == node; });
        if (!known) {
            log(events::members_changed,
                {{"action", "add_learner"}, {"node", said.node}});
            replica_->add_learner(node, [](const result<void>&) {
                // A refused change is asked for again by the joiner.
            });
        }
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
            store_here(change, [reply](result<std::uint64_t> outcome) {
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
                reply(fail(errc::not_leader, "no lease"));
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
    log(up ? events::control_link_up : events::control_link_down,
        {{"peer", peer.node.value()}, {"domain", peer.failure_domain.value()}});
    if (!up) {
        gates_.erase(peer.node);
        placements_.forget_gate(peer.node);
        return;
    }
    hub_.send(peer.node, view());
}

void control_node::learn_replica(const std::string& node)
{
    if (node == self_.value() || !known_replicas_.insert(node).second) {
        return;
    }
    const auto where = net::parse_address(node);
    if (where) {
        hub_.dial(node_id(node), where.value());
    }
}

bool control_node::is_member() const
{
    const auto members = replica_->members();
    return std::any_of(members.begin(), members.end(),
                       [&](const auto& each) { return each.node == self_; });
}

void control_node::tick()
{
    for (const auto& member : replica_->members()) {
        learn_replica(member.node.value());
    }
    for (const auto& id : registry_.expire(loop_.now())) {
        refreshed_.erase(id);
        log(events::upstream_changed,
            {{"upstream", id.value()}, {"state", "forgotten"}});
    }
    watch_engines();
    join_group();
    keep_membership();
    publish_view(false);
}

void control_node::join_group()
{
    const time_point now = loop_.now();
    if (replica_->is_leader() || now - last_join_ < join_interval ||
        (is_member() && replica_->leader())) {
        return;
    }
    last_join_ = now;
    for (const auto& node : known_replicas_) {
        hub_.send(node_id(node), join_request{self_.value()});
    }
}

std::vector<replica_status> control_node::replica_statuses()
{
    const time_point now = loop_.now();
    const auto members = replica_->members();
    const std::uint64_t applied = replica_->applied().index;
    std::vector<replica_status> out;
    for (const auto& each : members) {
        auto [seen, added] = last_reachable_.try_emplace(each.node, now);
        if (each.reachable || each.node == self_) {
            seen->second = now;
        }
        out.push_back({.node = each.node,
                       .voter = each.role == consensus::member_role::voter,
                       .caught_up = each.match_index >= applied,
                       .unreachable = now - seen->second});
    }
    return out;
}

void control_node::keep_membership()
{
    if (!replica_->is_leader()) {
        last_reachable_.clear();
        return;
    }
    const membership_goal goal{.voters = 2 * settings_.tolerated_losses + 1};
    const auto step = next_membership_step(replica_statuses(), self_, goal);
    if (!step) {
        return;
    }
    const bool promote = step->what == membership_step::action::promote;
    const auto done = [node = step->node, promote](const result<void>& result) {
        log(events::members_changed,
            {{"action", promote ? "promote" : "remove"},
             {"node", node.value()},
             {"outcome", result ? "done" : name_of(result.error().code)}});
    };
    if (promote) {
        replica_->promote(step->node, done);
    } else {
        replica_->remove(step->node, done);
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
    out.gates = gates_.size();
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
        engine_services_.clear();
        for (const auto& each : current.value().services) {
            if (each.engine) {
                engine_services_.insert(each.name);
            }
        }
    }
    if (replica_) {
        publish_view(true);
    }
}

void control_node::replace_configuration(std::string text,
                                         version_callback callback)
{
    auto candidate = protocol_.read_configuration(text);
    if (candidate) {
        const auto valid = validate(candidate.value());
        if (!valid) {
            candidate = valid.error();
        }
    }
    if (!candidate) {
        log(events::configuration_rejected,
            {{"error", name_of(candidate.error().code)},
             {"detail", candidate.error().detail}});
        callback(std::move(candidate).error());
        return;
    }
    auto job = std::make_shared<pending_store>();
    const bool large = text.size() > large_document_bytes;
    job->change = {.version = candidate.value().version,
                   .text = std::move(text)};
    job->deadline = loop_.now() + (large ? settings_.large_operator_deadline
                                         : settings_.operator_deadline);
    job->callback = std::move(callback);
    store_through_leader(job);
}

void control_node::store_through_leader(
    const std::shared_ptr<pending_store>& job)
{
    const auto retry = [this, job](const error& problem) {
        const bool final = problem.code == errc::outcome_unknown ||
                           loop_.now() + store_retry_delay >= job->deadline;
        if (final) {
            job->callback(problem);
            return;
        }
        job->retry = std::make_unique<net::timer>(
            loop_, [this, job] { store_through_leader(job); });
        job->retry->start_once(store_retry_delay);
    };
    if (replica_->is_leader()) {
        store_here(job->change, [job, retry](result<std::uint64_t> outcome) {
            if (!outcome) {
                retry(outcome.error());
                return;
            }
            job->callback(std::move(outcome));
        });
        return;
    }
    const auto leader = replica_->leader();
    if (!leader || !hub_.is_up(*leader)) {
        retry({errc::no_quorum, "no leader is known"});
        return;
    }
    hub_.call<store_configuration, configuration_stored_reply>(
        *leader, job->change, job->deadline - loop_.now(),
        [job, retry](result<configuration_stored_reply> reply) {
            if (!reply) {
                retry(reply.error());
                return;
            }
            job->callback(reply.value().version);
        });
}

void control_node::store_here(const store_configuration& change,
                              version_callback callback)
{
    if (!replica_ || !replica_->has_lease()) {
        callback(fail(errc::not_leader, "no lease"));
        return;
    }
    const time_point deadline = loop_.now() + settings_.operator_deadline;
    if (change.version <= store_.current()->version) {
        acknowledge_when_safe(store_.current()->version, deadline,
                              std::move(callback));
        return;
    }
    replica_->propose(configuration_store::encode_command(change),
                      [this, deadline, callback = std::move(callback)](
                          result<consensus::proposal_result> outcome) mutable {
                          if (!outcome) {
                              callback(std::move(outcome).error());
                              return;
                          }
                          acknowledge_when_safe(
                              to_number(outcome.value().response), deadline,
                              std::move(callback));
                      });
}

void control_node::acknowledge_when_safe(std::uint64_t version,
                                         time_point deadline,
                                         version_callback callback)
{
    // With fewer voters the loss of the tolerated number of disks could take
    // every copy of what was acknowledged.
    const auto members = replica_->members();
    const auto voters = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [](const auto& each) {
            return each.role == consensus::member_role::voter;
        }));
    if (voters > settings_.tolerated_losses + 1) {
        callback(version);
        return;
    }
    if (loop_.now() >= deadline) {
        callback(fail(errc::no_quorum, "too few replicas hold it"));
        return;
    }
    auto wait = std::make_shared<std::unique_ptr<net::timer>>();
    *wait = std::make_unique<net::timer>(
        loop_, [this, version, deadline, wait, callback]() mutable {
            // The timer owns itself through the closure until it fires.
            const auto held = std::move(*wait);
            acknowledge_when_safe(version, deadline, std::move(callback));
        });
    (*wait)->start_once(safety_poll_interval);
}

void control_node::read_configuration(document_callback callback)
{
    if (replica_->has_lease()) {
        const auto document = store_.current();
        if (document->version == 0) {
            callback(fail(errc::not_found, "no configuration yet"));
            return;
        }
        callback(document);
        return;
    }
    const auto leader = replica_->leader();
    if (!leader || *leader == self_ || !hub_.is_up(*leader)) {
        callback(fail(errc::no_quorum, "no leader is known"));
        return;
    }
    const auto held = store_.current();
    hub_.call<relay::read_configuration, configuration_document>(
        *leader, {.held = held->version}, settings_.operator_deadline,
        [held, callback](result<configuration_document> reply) {
            if (!reply) {
                callback(fail(errc::no_quorum, reply.error().detail));
                return;
            }
            if (reply.value().version == 0) {
                callback(fail(errc::not_found, "no configuration yet"));
                return;
            }
            if (reply.value().version == held->version) {
                callback(held);
                return;
            }
            callback(std::make_shared<const configuration_document>(
                std::move(reply).value()));
        });
}

void control_node::hear(const announcement& said)
{
    const time_point now = loop_.now();
    const auto change = registry_.hear(said, now);
    if (change == instance_registry::change::none) {
        return;
    }
    // The other replicas take every announcement as a sign of life.
    const announcement_news news{.heard = {said}, .leaving = {}};
    for (const auto& node : known_replicas_) {
        hub_.send(node_id(node), news);
    }
    time_point& sent = refreshed_[said.id];
    if (change == instance_registry::change::refreshed &&
        now - sent < settings_.refresh_interval) {
        return;
    }
    sent = now;
    if (change == instance_registry::change::updated) {
        log(events::upstream_changed,
            {{"upstream", said.id.value()},
             {"service", said.service.value()},
             {"where", said.where.text()},
             {"state", said.draining ? "leaving" : "ready"},
             {"sequence", said.sequence}});
    }
    for (const auto& gate : gates_) {
        hub_.send(gate, news);
    }
}

void control_node::leave(const announcement& said)
{
    const auto change = registry_.leave(said.id, said.started_at, loop_.now());
    if (change != instance_registry::change::none) {
        log(events::upstream_changed, {{"upstream", said.id.value()},
                                       {"state", "leaving"},
                                       {"cause", "deregistered"}});
    }
    // Another replica may be the one that knows this upstream, so gates are
    // told in any case.
    send_news({.heard = {}, .leaving = {said}});
}

void control_node::send_news(const announcement_news& news)
{
    for (const auto& peer : hub_.peers_up()) {
        hub_.send(peer.node, news);
    }
}

void control_node::on_news(const announcement_news& news)
{
    const time_point now = loop_.now();
    for (const auto& each : news.heard) {
        registry_.hear(each, now);
    }
    for (const auto& each : news.leaving) {
        registry_.leave(each.id, each.started_at, now);
    }
}

void control_node::on_suspicion(const node_id& from,
                                const upstream_suspicion& said)
{
    placements_.on_suspicion(upstream_id(said.upstream));
    if (from == self_) {
        log(events::upstream_suspended,
            {{"upstream", said.upstream}, {"cause", "no_sign_of_life"}});
    }
    for (const auto& gate : gates_) {
        if (gate != from) {
            hub_.send(gate, said);
        }
    }
}

void control_node::watch_engines()
{
    std::map<upstream_id, net::address> engines;
    if (replica_->is_leader()) {
        for (const auto& [id, each] : registry_.instances()) {
            if (each.state != instance_state::lost &&
                engine_services_.contains(each.said.service)) {
                engines.emplace(id, each.said.where);
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
    if (!replica_ || !replica_->is_leader()) {
        done();
        return;
    }
    replica_->transfer_leadership(
        [done = std::move(done)](const result<void>&) { done(); });
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
