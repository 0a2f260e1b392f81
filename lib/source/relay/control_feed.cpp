#include <bamboogate/relay/control_feed.hpp>
#include <bamboogate/relay/log_events.hpp>
#include <bamboogate/relay/process_log.hpp>

#include <algorithm>
#include <tuple>

namespace bamboogate::relay {

using observability::log;
namespace events = log_events;

namespace {

constexpr duration links_interval = std::chrono::milliseconds(250);
/// Delay after a fetch that got no reply.
constexpr duration fetch_retry_delay = std::chrono::milliseconds(100);
constexpr duration find_gates_limit = std::chrono::milliseconds(500);
/// Fetches that may be unanswered at once: their replies share a link that may
/// be the cause of the delay.
constexpr std::size_t max_open_fetches = 3;

} // namespace

control_feed::control_feed(net::event_loop& loop, relay_protocol protocol,
                           options settings, observers functions)
    : loop_(loop), protocol_(std::move(protocol)),
      settings_(std::move(settings)), observers_(std::move(functions)),
      hub_(loop, {.identity = {settings_.self, settings_.incarnation,
                               settings_.failure_domain},
                  .shared_secret = settings_.shared_secret,
                  .heartbeat_interval = std::chrono::milliseconds(400),
                  .is_control = [](const node_id&) { return true; }}),
      home_({.own_domain = settings_.failure_domain}),
      links_timer_(
          loop,
          [this] {
              update_links();
              close_surplus_links();
              fetch();
          },
          net::loop_priority::control),
      fetch_timer_(
          loop, [this] { fetch(); }, net::loop_priority::control),
      patience_timer_(
          loop,
          [this] { on_fetch_failed(*fetching_from_, errc::deadline_exceeded); },
          net::loop_priority::control)
{
    hub_.on_peer_lost(&log_link_lost);
    hub_.on_peer_state([this](const net::peer_info& peer, bool up) {
        on_peer_state(peer, up);
    });
    hub_.on<control_view>(
        [this](const net::peer_info& peer, const control_view& view) {
            on_view(peer, view);
        });
    hub_.on<announcement_update>(
        [this](const net::peer_info&, const announcement_update& update) {
            for (const auto& each : update.heard) {
                observers_.on_announcement(each);
            }
            for (const auto& each : update.leaving) {
                observers_.on_departure(each);
            }
            for (const auto& each : update.refreshed) {
                observers_.on_refresh(each);
            }
        });
    hub_.on<upstream_suspicion>(
        [this](const net::peer_info&, const upstream_suspicion& suspicion) {
            observers_.on_suspicion(upstream_id(suspicion.upstream));
        });
    hub_.on<quarantine_update>(
        [this](const net::peer_info&, const quarantine_update& update) {
            observers_.on_quarantine(update);
        });
    hub_.on<suspicion_update>(
        [this](const net::peer_info&, const suspicion_update& update) {
            observers_.on_request_suspicion(update);
        });
    hub_.on<rollout_update>(
        [this](const net::peer_info&, const rollout_update& update) {
            observers_.on_rollouts(update);
        });
    hub_.on<recorded_versions>(
        [this](const net::peer_info&, const recorded_versions& recorded) {
            observers_.on_recorded_versions(recorded);
        });
    hub_.on<rollout_lease>(
        [this](const net::peer_info&, const rollout_lease& lease) {
            observers_.on_rollout_lease(lease);
        });
    for (const auto& seed : settings_.seeds) {
        add_replica(seed.text());
    }
    links_timer_.start_periodic(links_interval);
}

control_feed::~control_feed()
{
    *alive_ = false;
}

void control_feed::add_replica(const std::string& node)
{
    const auto address = net::parse_address(node);
    if (!address ||
        !known_replicas_.emplace(node_id(node), address.value()).second) {
        return;
    }
    home_.add(node_id(node));
    linked_.insert(node_id(node));
    hub_.add_peer(node_id(node), address.value());
}

void control_feed::on_peer_state(const net::peer_info& peer, bool up)
{
    if (up) {
        log_link_established(peer);
        home_.on_link_up(peer.node, peer.failure_domain, loop_.now());
        first_link_up_at_ = first_link_up_at_.value_or(loop_.now());
        const auto serves = observers_.serves_tunnels
                                ? observers_.serves_tunnels()
                                : std::nullopt;
        if (serves) {
            hub_.send(peer.node, gate_reachability{*serves});
        }
    } else {
        home_.on_link_down(peer.node);
        subscribed_.erase(peer.node);
        offered_.erase(peer.node);
    }
    update_links();
    if (up && peer.node == leader_) {
        observers_.on_new_leader();
    }
}

void control_feed::update_links()
{
    const time_point now = loop_.now();
    const node_id previous = home_.current();
    const node_id& home = home_.choose(leader_, now);
    if (home != previous) {
        log(events::home_replica_changed,
            {{"replica", home.value()}, {"previous", previous.value()}});
    }
    for (const auto& node : home_.wanted_links(leader_, now)) {
        if (linked_.insert(node).second) {
            hub_.add_peer(node, known_replicas_.at(node));
        }
    }
    update_subscriptions();
}

void control_feed::close_surplus_links()
{
    const auto wanted = home_.wanted_links(leader_, loop_.now());
    std::vector<node_id> surplus;
    for (const auto& node : linked_) {
        if (!wanted.contains(node)) {
            surplus.push_back(node);
        }
    }
    for (const auto& node : surplus) {
        linked_.erase(node);
        hub_.remove_peer(node);
    }
}

void control_feed::update_subscriptions()
{
    for (const auto& peer : hub_.peers_up()) {
        const bool needed = home_.needs_subscription(peer.node, leader_);
        if (needed == subscribed_.contains(peer.node)) {
            continue;
        }
        hub_.send(peer.node, subscribe{.version = version_,
                                       .active = needed,
                                       .reads_refreshes = true});
        if (needed) {
            subscribed_.insert(peer.node);
        } else {
            subscribed_.erase(peer.node);
        }
    }
}

void control_feed::on_view(const net::peer_info& peer, const control_view& view)
{
    for (const auto& node : view.replicas) {
        add_replica(node);
    }
    const node_id leader(view.leader);
    home_.on_view(peer.node, !leader.empty(), view.forwards, loop_.now());
    home_.on_version(peer.node, view.version, loop_.now());
    // A replica is reliable about its own role; about others it may still
    // report the previous leader.
    const bool reports_itself = leader == peer.node;
    leader_reported_ = leader_reported_ || reports_itself;
    const bool stepped_down = peer.node == leader_ && !reports_itself;
    if (stepped_down && leader.empty()) {
        leader_ = {};
    }
    if (leader != leader_ && !leader.empty() &&
        (reports_itself || stepped_down || !hub_.is_up(leader_))) {
        leader_ = leader;
        observers_.on_new_leader();
    }
    gates_ = std::max<std::uint64_t>(view.gates, 1);
    update_links();
    offered_[peer.node] = view.version;
    lag_.note_reported(view.version, loop_.now());
    fetch();
}

node_id control_feed::fetch_source() const
{
    const time_point now = loop_.now();
    const bool first = version_ == 0;
    if (first && !leader_reported_ && first_link_up_at_ &&
        now - *first_link_up_at_ < settings_.first_leader_wait) {
        return {};
    }
    // Any newer version is an improvement on the one in use, but the first one
    // must not be older than what the leader has.
    const std::uint64_t needed = first ? lag_.newest() : version_ + 1;
    const auto home = offered_.find(home_.current());
    if (home != offered_.end() && home->second >= needed &&
        home->first != failed_source_) {
        return home->first;
    }
    if (failed_source_.empty() && lag_.lag(now) < settings_.home_lag) {
        return {};
    }
    // The replica that did not answer is asked again if no other has it.
    const auto key = [&](const auto& each) {
        return std::tuple(each.second >= needed, each.first != failed_source_,
                          each.second);
    };
    const auto newest = std::max_element(
        offered_.begin(), offered_.end(),
        [&](const auto& a, const auto& b) { return key(a) < key(b); });
    return newest != offered_.end() && newest->second >= needed ? newest->first
                                                                : node_id();
}

void control_feed::fetch()
{
    if (fetching_from_ || open_fetches_ >= max_open_fetches ||
        lag_.newest() <= version_) {
        return;
    }
    const node_id from = fetch_source();
    if (from.empty()) {
        const duration left = settings_.home_lag - lag_.lag(loop_.now());
        if (left > duration::zero()) {
            fetch_timer_.start_once(left);
        }
        return;
    }
    fetching_from_ = from;
    patience_timer_.start_once(settings_.fetch_patience);
    ++open_fetches_;
    hub_.call<fetch_configuration, configuration_document>(
        from, {.above = version_}, settings_.fetch_deadline,
        [this, from, number = ++fetch_number_,
         alive = alive_](result<configuration_document> reply) {
            if (*alive) {
                on_document(from, number, std::move(reply));
            }
        });
}

void control_feed::on_fetch_failed(const node_id& source, errc code)
{
    log(events::configuration_rejected,
        {{"from", source.value()}, {"error", name_of(code)}});
    failed_source_ = source;
    patience_timer_.stop();
    fetching_from_.reset();
    fetch_timer_.start_once(fetch_retry_delay);
}

void control_feed::on_document(const node_id& from, std::uint64_t number,
                               result<configuration_document> reply)
{
    --open_fetches_;
    const bool awaited = fetching_from_ && number == fetch_number_;
    if (!reply) {
        if (awaited) {
            on_fetch_failed(from, reply.error().code);
        }
        return;
    }
    if (awaited) {
        patience_timer_.stop();
        fetching_from_.reset();
    }
    failed_source_ = {};
    if (reply.value().version > version_) {
        auto document = protocol_.read_configuration(reply.value().text);
        if (!document) {
            log(events::configuration_rejected,
                {{"from", from.value()},
                 {"version", reply.value().version},
                 {"error", name_of(document.error().code)},
                 {"detail", document.error().detail}});
            // The replica is asked again only after it has reported its
            // version once more.
            offered_.erase(from);
            fetch();
            return;
        }
        version_ = reply.value().version;
        const auto home = offered_.find(home_.current());
        log(events::configuration_applied,
            {{"version", version_},
             {"from", from.value()},
             {"offered_ms", to_milliseconds(loop_.now() - lag_.newest_at())},
             {"behind_ms", to_milliseconds(lag_.lag(loop_.now()))},
             {"home_version", home != offered_.end() ? home->second : 0},
             {"routes", document.value().routes.size()},
             {"services", document.value().services.size()},
             {"accounts", document.value().accounts.size()}});
        lag_.note_reached(version_);
        observers_.on_configuration(std::move(document).value());
    }
    fetch();
}

void control_feed::report_suspicion(const upstream_id& id)
{
    // The leader also stops placing streams on the upstream; any other replica
    // only informs the gates.
    send_to_leader_or_home(upstream_suspicion{id.value()});
}

void control_feed::report_leaving(const announcement& announced)
{
    send_to_leader_or_home(leaving_statement{announced});
}

void control_feed::report_pause(const pause_statement& statement)
{
    hub_.send(leader_, statement);
}

void control_feed::report_answered(const suspect_answered& answered)
{
    hub_.send(leader_, answered);
}

void control_feed::report_origins(std::span<const origin_batch> batches)
{
    send_origins(hub_, hub_.is_up(leader_) ? leader_ : home_.current(),
                 batches);
}

bool control_feed::report_evidence(const rollout_evidence& evidence)
{
    return hub_.send(leader_, evidence);
}

void control_feed::report_reachability(bool reaches_upstreams)
{
    for (const auto& peer : hub_.peers_up()) {
        hub_.send(peer.node, gate_reachability{reaches_upstreams});
    }
}

void control_feed::find_gates(const relay::find_gates& request,
                              std::function<void(result<gates_found>)> on_reply)
{
    hub_.call<relay::find_gates, gates_found>(
        hub_.is_up(leader_) ? leader_ : home_.current(), request,
        find_gates_limit, std::move(on_reply));
}

template <typename Message>
void control_feed::send_to_leader_or_home(const Message& message)
{
    if (!hub_.send(leader_, message)) {
        hub_.send(home_.current(), message);
    }
}

std::size_t control_feed::links_up() const
{
    return hub_.peers_up().size();
}

} // namespace bamboogate::relay
