// Software versions of engines: records those in use in the replicated state,
// and passes on the origins of streams.
#include <bamboogate/relay/control_node.hpp>
#include <bamboogate/relay/log_events.hpp>

namespace bamboogate::relay {

namespace {

using observability::log;
namespace events = log_events;

/// Delay after which the origins of new streams are sent to the other replicas.
/// Only streams of this time are unknown if the leader and their gates are lost
/// together.
constexpr duration origin_interval = std::chrono::milliseconds(50);
/// How long a version stays recorded after its last upstream was forgotten:
/// longer than any stream that it has begun, with the attempts that follow.
constexpr duration version_retention = std::chrono::seconds(60);
/// Upstreams announce versions themselves. Further versions of a service get no
/// streams until others are removed.
constexpr std::size_t max_versions = 256;

} // namespace

void control_node::register_version_handlers()
{
    hub_.on<origin_update>([this](const net::peer_info& peer,
                                  const origin_update& update) {
        const origin_batch batch{
            {update.service, update.version}, update.streams, update.begun};
        if (known_replicas_.contains(peer.node.value())) {
            placements_.origins().merge(batch,
                                        update.current
                                            ? stream_origins::conflict::replace
                                            : stream_origins::conflict::keep,
                                        loop_.now());
            return;
        }
        // Gates report streams that have begun only, and all of them whenever
        // they are linked to a leader. What is known already is not sent on.
        for (const auto key : batch.keys) {
            placements_.origins().note_begun(key, batch.origin, loop_.now());
        }
    });
    hub_.serve<find_origin, origin_reply>([this](const net::peer_info&,
                                                 const find_origin& request,
                                                 const auto& reply) {
        reply(placements_.origin_of(request.service, request.stream));
    });
    origin_timer_.start_periodic(origin_interval);
}

void control_node::send_new_origins()
{
    const auto batches = placements_.origins().take_unsent();
    if (batches.empty()) {
        return;
    }
    for (const auto& node : known_replicas_) {
        send_origins(hub_, node_id(node), batches);
    }
}

void control_node::record_versions()
{
    if (!replica_ || !replica_->is_leader()) {
        unused_versions_.clear();
        return;
    }
    const auto& recorded = store_.versions();
    std::set<stream_origin> in_use;
    for (const auto& [id, each] : registry_.instances()) {
        const stream_origin origin{each.announced.service,
                                   each.announced.version};
        if (each.state == instance_state::lost ||
            !director_.is_declared(origin.service) ||
            !in_use.insert(origin).second ||
            recorded.contains(origin.service, origin.version)) {
            continue;
        }
        const auto known = recorded.versions().find(origin.service);
        if (known == recorded.versions().end() ||
            known->second.size() < max_versions) {
            change_version(origin, true);
        }
    }
    const time_point now = loop_.now();
    std::map<stream_origin, time_point> unused;
    for (const auto& [service, versions] : recorded.versions()) {
        for (const auto& version : versions) {
            const stream_origin origin{service, version};
            if (in_use.contains(origin)) {
                continue;
            }
            const auto known = unused_versions_.find(origin);
            const time_point since =
                known != unused_versions_.end() ? known->second : now;
            unused[origin] = since;
            if (now - since >= version_retention) {
                change_version(origin, false);
            }
        }
    }
    unused_versions_ = std::move(unused);
}

void control_node::change_version(const stream_origin& origin, bool add)
{
    // The announcements and ticks until the command is committed would propose
    // it again.
    if (!proposed_versions_.insert(origin).second) {
        return;
    }
    replica_->propose(
        add ? version_history::encode_add(origin.service, origin.version)
            : version_history::encode_remove(origin.service, origin.version),
        [this, origin, add](const result<consensus::proposal_result>& outcome) {
            proposed_versions_.erase(origin);
            log(events::version_recorded,
                {{"service", origin.service.value()},
                 {"version", origin.version.value()},
                 {"added", add},
                 {"error", outcome ? "" : name_of(outcome.error().code)}});
        });
}

} // namespace bamboogate::relay
