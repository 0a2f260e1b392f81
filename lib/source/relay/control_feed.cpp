#include <bamboogate/relay/control_feed.hpp>
#include <bamboogate/relay/log_events.hpp>

#include <algorithm>

namespace bamboogate::relay {

using observability::log;
namespace events = log_events;

control_feed::control_feed(net::event_loop& loop, relay_protocol protocol,
                           options settings, observers functions)
    : protocol_(std::move(protocol)), settings_(std::move(settings)),
      observers_(std::move(functions)),
      hub_(loop, {.identity = {settings_.self, settings_.incarnation,
                               settings_.failure_domain},
                  .shared_secret = settings_.shared_secret,
                  .heartbeat_interval = std::chrono::milliseconds(400)})
{
    hub_.on_peer_state([this](const net::peer_info& peer, bool up) {
        log(up ? events::control_link_up : events::control_link_down,
            {{"peer", peer.node.value()},
             {"domain", peer.failure_domain.value()}});
        if (up) {
            hub_.send(peer.node, subscribe{version_});
        }
        if (up && peer.node == leader_) {
            observers_.on_new_leader();
        }
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
        });
    hub_.on<upstream_suspicion>(
        [this](const net::peer_info&, const upstream_suspicion& suspicion) {
            observers_.on_suspicion(upstream_id(suspicion.upstream));
        });
    for (const auto& seed : settings_.seeds) {
        add_replica(seed.text());
    }
}

control_feed::~control_feed()
{
    *alive_ = false;
}

void control_feed::add_replica(const std::string& node)
{
    if (!known_replicas_.insert(node).second) {
        return;
    }
    const auto address = net::parse_address(node);
    if (address) {
        hub_.add_peer(node_id(node), address.value());
    }
}

void control_feed::on_view(const net::peer_info& peer, const control_view& view)
{
    for (const auto& node : view.replicas) {
        add_replica(node);
    }
    // Only the leader's own report is reliable; other replicas may still report
    // the previous leader.
    const node_id leader(view.leader);
    const bool reports_itself = leader == peer.node;
    if (leader != leader_ && !leader.empty() &&
        (reports_itself || !hub_.is_up(leader_))) {
        leader_ = leader;
        observers_.on_new_leader();
    }
    gates_ = std::max<std::uint64_t>(view.gates, 1);
    if (view.version <= version_) {
        return;
    }
    target_version_ = std::max(target_version_, view.version);
    std::erase(sources_, peer.node);
    sources_.push_back(peer.node);
    fetch();
}

void control_feed::fetch()
{
    if (fetching_ || sources_.empty() || target_version_ <= version_) {
        return;
    }
    fetching_ = true;
    const node_id from = sources_.back();
    sources_.pop_back();
    hub_.call<fetch_configuration, configuration_document>(
        from, {.above = version_}, settings_.fetch_deadline,
        [this, from, alive = alive_](result<configuration_document> reply) {
            if (*alive) {
                on_document(from, std::move(reply));
            }
        });
}

void control_feed::on_document(const node_id& from,
                               result<configuration_document> reply)
{
    fetching_ = false;
    if (!reply) {
        log(events::configuration_rejected,
            {{"from", from.value()}, {"error", name_of(reply.error().code)}});
        fetch();
        return;
    }
    if (reply.value().version > version_) {
        auto document = protocol_.read_configuration(reply.value().text);
        if (!document) {
            log(events::configuration_rejected,
                {{"from", from.value()},
                 {"version", reply.value().version},
                 {"error", name_of(document.error().code)},
                 {"detail", document.error().detail}});
            return;
        }
        version_ = reply.value().version;
        log(events::configuration_applied,
            {{"version", version_},
             {"from", from.value()},
             {"routes", document.value().routes.size()},
             {"services", document.value().services.size()},
             {"accounts", document.value().accounts.size()}});
        observers_.on_configuration(std::move(document).value());
    }
    fetch();
}

void control_feed::report_suspicion(const upstream_id& id)
{
    // The leader also stops placing streams on the upstream; any other replica
    // only informs the gates.
    const upstream_suspicion suspicion{id.value()};
    if (hub_.send(leader_, suspicion)) {
        return;
    }
    const auto peers = hub_.peers_up();
    if (!peers.empty()) {
        hub_.send(peers.front().node, suspicion);
    }
}

std::size_t control_feed::links_up() const
{
    return hub_.peers_up().size();
}

} // namespace bamboogate::relay
