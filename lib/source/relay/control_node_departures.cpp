// Records the upstreams that leave in the replicated state before their
// departure is acknowledged.
#include <bamboogate/relay/control_node.hpp>
#include <bamboogate/relay/log_events.hpp>
#include <bamboogate/relay/repeated_attempt.hpp>

#include <algorithm>

namespace bamboogate::relay {

namespace {

using observability::log;
namespace events = log_events;

/// Upstreams wait for one second for an acknowledgement.
constexpr duration leaving_confirmation_limit = std::chrono::milliseconds(700);
/// Longer than an announcement can be on its way, and as long as a replica
/// remembers a departure that it was told directly.
constexpr duration departure_retention = std::chrono::seconds(30);

} // namespace

void control_node::register_departure_handlers()
{
    store_.departures().on_added([this](const departed_starts& departed) {
        announcement_update update;
        for (const auto& [id, started_at] : departed) {
            update.leaving.push_back({.id = id, .started_at = started_at});
        }
        on_announcement_update(update);
    });
    hub_.serve<record_departure, departure_recorded>(
        [this](const net::peer_info&, const record_departure& departed,
               const auto& reply) {
            record_departure_locally(
                departed,
                [reply, id = departed.id](const result<void>& outcome) {
                    if (!outcome) {
                        reply(outcome.error());
                        return;
                    }
                    reply(departure_recorded{id.value()});
                });
        });
    // Sent by replicas of earlier builds, and to them while one of them leads.
    hub_.serve<record_leaving, leaving_recorded>(
        [this](const net::peer_info&, const record_leaving& leaving,
               const auto& reply) {
            announcement_update update;
            (leaving.deregistered ? update.leaving
                                  : update.heard) = {leaving.announced};
            on_announcement_update(update);
            reply(leaving_recorded{leaving.announced.id.value()});
        });
}

void control_node::confirm_leaving(const record_leaving& leaving,
                                   const acknowledge_callback& callback)
{
    const upstream_id& id = leaving.announced.id;
    if (id.value().size() > departure_history::max_id_bytes) {
        callback(fail(errc::limit_exceeded, "the upstream's id is too long"));
        return;
    }
    record_departure departed{id, leaving.announced.started_at};
    if (const instance* known = registry_.find(id);
        known != nullptr && departed.started_at == 0) {
        departed.started_at = known->announced.started_at;
    }
    // Set if the leader is of an earlier build, which keeps departures in
    // memory.
    const auto unsupported = std::make_shared<bool>(false);
    repeated_attempt<void>::start(
        loop_,
        {.deadline = loop_.now() + leaving_confirmation_limit,
         .is_final =
             [this, unsupported](const error& problem) {
                 return *unsupported || replica_->failure().has_value() ||
                        problem.code == errc::overloaded;
             }},
        [this, departed, unsupported](const auto& done) {
            record_departure_through_leader(departed, unsupported, done);
        },
        [this, leaving, unsupported, callback](const result<void>& outcome) {
            if (*unsupported) {
                confirm_leaving_in_memory(leaving, callback);
                return;
            }
            if (!outcome) {
                log(events::leaving_unconfirmed,
                    {{"upstream", leaving.announced.id.value()},
                     {"error", name_of(outcome.error().code)}});
            }
            callback(outcome);
        });
}

void control_node::record_departure_through_leader(
    const record_departure& departed, const std::shared_ptr<bool>& unsupported,
    const acknowledge_callback& callback)
{
    if (replica_->is_leader()) {
        record_departure_locally(departed, callback);
        return;
    }
    const auto leader = replica_->leader();
    if (!leader || !hub_.is_up(*leader)) {
        callback(fail(errc::no_quorum, "no reachable leader is known"));
        return;
    }
    hub_.call<record_departure, departure_recorded>(
        *leader, departed, leaving_confirmation_limit,
        [unsupported, callback](const result<departure_recorded>& reply) {
            if (reply) {
                callback(outcome::success());
                return;
            }
            *unsupported = reply.error().code == errc::not_found;
            callback(reply.error());
        });
}

void control_node::record_departure_locally(
    const record_departure& departed, const acknowledge_callback& callback)
{
    if (!replica_ || !replica_->has_lease()) {
        callback(fail(errc::not_leader, "replica holds no leader lease"));
        return;
    }
    const auto acknowledge = [this, callback] {
        acknowledge_when_replicated(
            0, loop_.now() + leaving_confirmation_limit,
            [callback](const result<std::uint64_t>& done) {
                if (!done) {
                    callback(done.error());
                    return;
                }
                callback(outcome::success());
            });
    };
    const auto& recorded = store_.departures();
    if (recorded.contains(departed.id, departed.started_at)) {
        acknowledge();
        return;
    }
    if (recorded.entries().size() >= departure_history::max_entries) {
        callback(fail(errc::overloaded, "too many departures are recorded"));
        return;
    }
    replica_->propose(
        departure_history::encode_add(departed.id, departed.started_at),
        [acknowledge, callback,
         departed](const result<consensus::proposal_result>& outcome) {
            log(events::departure_recorded,
                {{"upstream", departed.id.value()},
                 {"started_at", departed.started_at},
                 {"error", outcome ? "" : name_of(outcome.error().code)}});
            if (!outcome) {
                callback(outcome.error());
                return;
            }
            acknowledge();
        });
}

void control_node::remove_old_departures()
{
    if (!replica_->is_leader()) {
        departures_seen_.clear();
        return;
    }
    const time_point now = loop_.now();
    std::map<departed_starts::value_type, time_point> seen;
    departed_starts old;
    for (const auto& each : store_.departures().entries()) {
        const auto known = departures_seen_.find(each);
        const time_point since =
            known != departures_seen_.end() ? known->second : now;
        seen.emplace(each, since);
        if (now - since >= departure_retention) {
            old.insert(each);
        }
    }
    departures_seen_ = std::move(seen);
    if (old.empty() || removing_departures_) {
        return;
    }
    removing_departures_ = true;
    replica_->propose(departure_history::encode_remove(old),
                      [this](const result<consensus::proposal_result>&) {
                          // If it failed, the next tick proposes it again.
                          removing_departures_ = false;
                      });
}

void control_node::confirm_leaving_in_memory(
    const record_leaving& leaving, const acknowledge_callback& callback)
{
    struct confirmation
    {
        std::size_t missing = 0;
        std::size_t unanswered = 0;
        acknowledge_callback callback;
    };
    const auto members = replica_->members();
    const auto voters =
        std::count_if(members.begin(), members.end(), [](const auto& each) {
            return each.role == consensus::member_role::voter;
        });
    // This replica is one of the majority.
    const auto needed = static_cast<std::size_t>(voters) / 2;
    std::vector<node_id> others;
    for (const auto& node : known_replicas_) {
        if (hub_.is_up(node_id(node))) {
            others.emplace_back(node);
        }
    }
    const auto fail_confirmation =
        [id = leaving.announced.id](const acknowledge_callback& function) {
            log(events::leaving_unconfirmed, {{"upstream", id.value()}});
            function(fail(errc::no_quorum, "too few replicas recorded it"));
        };
    if (needed == 0) {
        callback(outcome::success());
        return;
    }
    if (others.size() < needed) {
        fail_confirmation(callback);
        return;
    }
    const auto pending = std::make_shared<confirmation>(
        confirmation{needed, others.size(), callback});
    for (const auto& node : others) {
        hub_.call<record_leaving, leaving_recorded>(
            node, leaving, leaving_confirmation_limit,
            [pending,
             fail_confirmation](const result<leaving_recorded>& reply) {
                --pending->unanswered;
                if (pending->missing == 0) {
                    return;
                }
                if (reply && --pending->missing == 0) {
                    pending->callback(outcome::success());
                } else if (pending->unanswered < pending->missing) {
                    pending->missing = 0;
                    fail_confirmation(pending->callback);
                }
            });
    }
}

} // namespace bamboogate::relay
