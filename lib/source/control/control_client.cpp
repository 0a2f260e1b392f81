#include <bamboogate/control/control_client.hpp>
#include <bamboogate/control/declaration_json.hpp>
#include <bamboogate/control/log_events.hpp>
#include <bamboogate/core/secret.hpp>

#include <utility>

#include "leader_calls.hpp"

namespace bamboogate::control {

using observability::log;

namespace {

// An attempt that ended without a decision must not keep its key: the abort is
// retried for this long. After that the key stays open until the gate's
// incarnation ends.
constexpr duration background_abort_limit = std::chrono::seconds(60);

} // namespace

struct control_client::impl
{
    net::event_loop& loop;
    net::link_hub& hub;
    options settings;
    leader_calls calls;
    std::optional<configuration> applied;
    std::vector<std::function<void(const configuration&)>> observers;
    std::optional<time_point> lease_end;
    bool lease_logged = false;
    bool renewing = false;
    std::uint64_t next_call = 0;
    net::timer renew_timer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    impl(net::event_loop& l, net::link_hub& h, options o)
        : loop(l), hub(h), settings(std::move(o)),
          calls(l, h, settings.replicas), renew_timer(l, [this] { renew(); })
    {}

    void start()
    {
        hub.on<config_push>([this, guard = alive](const net::peer_info& peer,
                                                  const config_push& message) {
            if (*guard) {
                apply(peer.node, message.configuration);
            }
        });
        hub.on_peer_state(
            [this, guard = alive](const net::peer_info& peer, bool up) {
                if (*guard && up && is_replica(peer.node) && !lease_valid()) {
                    renew_timer.start_once(std::chrono::microseconds(100));
                }
            });
        renew_timer.start_once(std::chrono::milliseconds(1));
    }

    [[nodiscard]] bool is_replica(const node_id& node) const
    {
        return std::find(settings.replicas.begin(), settings.replicas.end(),
                         node) != settings.replicas.end();
    }

    [[nodiscard]] bool lease_valid() const
    {
        return applied && lease_end && loop.now() < *lease_end;
    }

    void renew()
    {
        log_lease();
        renew_timer.start_once(settings.renew_interval);
        const auto replica = calls.target();
        if (renewing || !replica) {
            return;
        }
        renewing = true;
        const time_point sent = loop.now();
        hub.call<gate_renew, gate_grant>(
            *replica,
            {.gate = hub.self().node,
             .incarnation = hub.self().incarnation,
             .applied_revision =
                 applied ? applied->revision : bamboogate::revision{}},
            leader_calls::attempt_timeout,
            [this, sent, replica = *replica,
             guard = alive](const result<gate_grant>& grant) {
                if (*guard) {
                    on_grant(replica, sent, grant);
                }
            });
    }

    void on_grant(const node_id& from, time_point sent,
                  const result<gate_grant>& grant)
    {
        renewing = false;
        if (!grant) {
            calls.handle_failure(from, grant.error());
            renew_timer.start_once(leader_calls::retry_delay);
            return;
        }
        calls.set_leader(from);
        if (!grant.value().configuration.is_null()) {
            apply(from, grant.value().configuration);
        }
        // A lease is granted for a revision and is ignored until the gate has
        // applied it.
        const auto applied_revision =
            applied ? applied->revision : bamboogate::revision{};
        if (applied_revision < grant.value().revision) {
            return;
        }
        const time_point end =
            sent + std::chrono::milliseconds(grant.value().lease_ms);
        lease_end = lease_end ? std::max(*lease_end, end) : end;
        log_lease();
    }

    void apply(const node_id& from, const json& packed)
    {
        if (!is_replica(from)) {
            return;
        }
        auto read = unpack_configuration(packed);
        if (!read) {
            log(log_events::configuration_unreadable,
                {{"from", from.value()}, {"problem", read.error().detail}});
            return;
        }
        const auto applied_revision =
            applied ? applied->revision : bamboogate::revision{};
        if (read.value().revision > applied_revision) {
            applied = std::move(read).value();
            log(log_events::configuration_applied,
                {{"revision", applied->revision.value},
                 {"preset", applied->preset_in_force.value()}});
            for (const auto& observer : observers) {
                observer(*applied);
            }
        }
        if (applied) {
            hub.send(from, config_applied{.gate = hub.self().node,
                                          .incarnation = hub.self().incarnation,
                                          .revision = applied->revision});
        }
    }

    void log_lease()
    {
        const bool valid = lease_valid();
        if (valid != lease_logged) {
            lease_logged = valid;
            log(valid ? log_events::lease_gained : log_events::lease_lost);
        }
    }

    void begin(call_begin request, duration deadline,
               std::function<void(result<call_decision>)> callback)
    {
        request.ticket.gate = hub.self().node;
        request.ticket.gate_incarnation = hub.self().incarnation;
        request.ticket.call_number = ++next_call;
        const call_ticket ticket = request.ticket;
        calls.call<call_begin, call_decision>(
            std::move(request), deadline,
            [this, ticket,
             callback = std::move(callback)](result<call_decision> decision) {
                if (!decision &&
                    decision.error().code == errc::deadline_exceeded) {
                    abort_in_background(ticket);
                }
                callback(std::move(decision));
            });
    }

    void abort_in_background(const call_ticket& ticket)
    {
        record(call_abort{ticket}, background_abort_limit,
               [](const result<void>&) {});
    }

    template <typename Request>
    void record(Request request, duration deadline, recorded_callback callback)
    {
        calls.call<Request, call_recorded>(
            std::move(request), deadline,
            [callback = std::move(callback)](result<call_recorded> reply) {
                if (!reply) {
                    callback(std::move(reply).error());
                    return;
                }
                callback(outcome::success());
            });
    }
};

control_client::control_client(net::event_loop& loop, net::link_hub& hub,
                               options settings)
    : impl_(std::make_unique<impl>(loop, hub, std::move(settings)))
{
    impl_->start();
}

control_client::~control_client()
{
    *impl_->alive = false;
}

void control_client::on_configuration(
    std::function<void(const configuration&)> handler)
{
    impl_->observers.push_back(std::move(handler));
}

std::optional<configuration> control_client::current() const
{
    return impl_->applied;
}

bool control_client::lease_valid() const
{
    return impl_->lease_valid();
}

void control_client::begin_call(
    call_begin request, duration deadline,
    std::function<void(result<call_decision>)> callback)
{
    impl_->begin(std::move(request), deadline, std::move(callback));
}

void control_client::complete_call(call_complete request, duration deadline,
                                   recorded_callback callback)
{
    impl_->record(std::move(request), deadline, std::move(callback));
}

void control_client::mark_unknown(call_unknown request, duration deadline,
                                  recorded_callback callback)
{
    impl_->record(std::move(request), deadline, std::move(callback));
}

void control_client::abort_call(call_abort request, duration deadline,
                                recorded_callback callback)
{
    impl_->record(std::move(request), deadline, std::move(callback));
}

std::optional<node_id> control_client::leader() const
{
    return impl_->calls.leader();
}

} // namespace bamboogate::control
