#include <bamboogate/control/control_server.hpp>
#include <bamboogate/control/declaration_json.hpp>
#include <bamboogate/control/log_events.hpp>

#include <algorithm>
#include <set>
#include <vector>

namespace bamboogate::control {

using observability::log;

struct control_server::impl
{
    struct waiter
    {
        bamboogate::revision wanted;
        time_point deadline;
        std::function<void(bool)> callback;
    };

    net::event_loop& loop;
    net::link_hub& hub;
    command_log& commands;
    state_machine& state;
    options settings;
    gate_leases leases;
    bool leading = false;
    /// Cache of the packed current configuration.
    json packed;
    bamboogate::revision packed_revision;
    /// Newest revision that was logged as in force.
    bamboogate::revision logged_in_force;
    std::vector<waiter> waiters;
    /// Lost gates whose `end_incarnation` command is not committed yet.
    std::set<journal::owner> ending;
    time_point last_step{};
    bool step_pending = false;
    net::timer check_timer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    impl(net::event_loop& l, net::link_hub& h, command_log& c, state_machine& s,
         const options& o)
        : loop(l), hub(h), commands(c), state(s), settings(o), leases(o.lease),
          check_timer(l, [this] { check(); })
    {}

    void start()
    {
        commands.on_role_change([this, guard = alive](bool leader) {
            if (*guard) {
                on_role(leader);
            }
        });
        state.on_configuration([this, guard = alive](const configuration&) {
            if (*guard && leading) {
                push();
            }
        });
        serve_gates();
        check_timer.start_periodic(settings.check_interval);
        if (commands.is_leader()) {
            on_role(true);
        }
    }

    void on_role(bool leader)
    {
        if (leading == leader) {
            return;
        }
        leading = leader;
        log(leader ? log_events::leadership_gained
                   : log_events::leadership_lost,
            {{"term", commands.term()},
             {"revision", state.current().revision.value}});
        ending.clear();
        step_pending = false;
        if (leader) {
            leases.start_leadership(loop.now());
            last_step = loop.now();
            return;
        }
        auto dropped = std::move(waiters);
        waiters.clear();
        for (auto& each : dropped) {
            each.callback(false);
        }
    }

    [[nodiscard]] bool leads() const { return leading && commands.has_lease(); }

    [[nodiscard]] error not_leader() const
    {
        // A leader whose own lease has expired is not a useful hint, so a
        // replica never names itself.
        const auto known = commands.leader();
        const bool other = known && *known != hub.self().node;
        return {errc::not_leader, other ? known->value() : std::string()};
    }

    const json& packed_configuration()
    {
        if (packed.is_null() || packed_revision != state.current().revision) {
            packed = pack_configuration(state.current());
            packed_revision = state.current().revision;
        }
        return packed;
    }

    void push()
    {
        log(log_events::configuration_accepted,
            {{"revision", state.current().revision.value},
             {"preset", state.current().preset_in_force.value()}});
        const config_push message{.configuration = packed_configuration()};
        std::set<node_id> gates;
        for (const auto& [gate, lease] : leases.all()) {
            if (gates.insert(gate.gate).second) {
                hub.send(gate.gate, message);
            }
        }
    }

    void serve_gates()
    {
        hub.serve<gate_renew, gate_grant>(
            [this, guard = alive](
                const net::peer_info& peer, const gate_renew& request,
                const net::link_hub::reply_function<gate_grant>& reply) {
                if (*guard) {
                    reply(renew(peer, request));
                }
            });
        hub.on<config_applied>(
            [this, guard = alive](const net::peer_info& peer,
                                  const config_applied& message) {
                if (*guard && leading && peer.node == message.gate) {
                    leases.record_applied({message.gate, message.incarnation},
                                          message.revision);
                    check_waiters();
                }
            });
        serve_journal<call_begin, call_decision>();
        serve_journal<call_complete, call_recorded>();
        serve_journal<call_unknown, call_recorded>();
        serve_journal<call_abort, call_recorded>();
    }

    result<gate_grant> renew(const net::peer_info& peer,
                             const gate_renew& request)
    {
        if (peer.node != request.gate) {
            return fail(errc::permission_denied,
                        "a gate can renew only its own lease");
        }
        if (!leads()) {
            return not_leader();
        }
        const auto newest = state.current().revision;
        leases.renew({request.gate, request.incarnation},
                     std::min(request.applied_revision, newest), loop.now());
        gate_grant grant{
            .revision = newest,
            .lease_ms = static_cast<std::uint64_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    settings.lease)
                    .count()),
            .configuration = nullptr};
        if (request.applied_revision < newest) {
            grant.configuration = packed_configuration();
        }
        return grant;
    }

    /// Commits a journal operation and replies with the state machine's
    /// response.
    template <typename Request, typename Response>
    void serve_journal()
    {
        hub.serve<Request, Response>(
            [this, guard = alive](
                const net::peer_info& peer, const Request& request,
                const net::link_hub::reply_function<Response>& reply) {
                if (!*guard) {
                    return;
                }
                if (peer.node != request.ticket.gate) {
                    reply(fail(errc::permission_denied,
                               "the ticket belongs to another gate"));
                    return;
                }
                submit(request, [reply](result<command_response> response) {
                    if (!response) {
                        reply(std::move(response).error());
                    } else if (!response.value().ok) {
                        reply(response.value().to_error());
                    } else if constexpr (std::is_same_v<Response,
                                                        call_decision>) {
                        reply(from_document<call_decision>(
                            response.value().body));
                    } else {
                        reply(call_recorded{});
                    }
                });
            });
    }

    void submit(const command& value, response_callback callback)
    {
        if (!leads()) {
            loop.post([callback = std::move(callback), refused = not_leader()] {
                callback(refused);
            });
            return;
        }
        commands.propose(encode_command(value),
                         [callback = std::move(callback)](
                             result<consensus::proposal_result> committed) {
                             if (!committed) {
                                 callback(std::move(committed).error());
                                 return;
                             }
                             callback(
                                 decode_response(committed.value().response));
                         });
    }

    void check()
    {
        if (!leads()) {
            return;
        }
        check_waiters();
        end_lost_incarnations();
        leases.remove_lost(loop.now(), settings.gate_loss_timeout);
        step_time();
        const auto newest = state.current().revision;
        if (logged_in_force < newest && leases.in_force(newest, loop.now())) {
            logged_in_force = newest;
            log(log_events::configuration_in_force,
                {{"revision", newest.value}});
        }
    }

    void check_waiters()
    {
        const time_point now = loop.now();
        std::vector<std::pair<std::function<void(bool)>, bool>> ready;
        std::erase_if(waiters, [&](waiter& each) {
            const bool reached = leads() && leases.in_force(each.wanted, now);
            if (!reached && now < each.deadline) {
                return false;
            }
            ready.emplace_back(std::move(each.callback), reached);
            return true;
        });
        for (auto& [callback, reached] : ready) {
            callback(reached);
        }
    }

    void end_lost_incarnations()
    {
        const time_point now = loop.now();
        for (const auto& owner : state.call_journal().open_owners()) {
            if (ending.contains(owner) ||
                !leases.is_lost(owner, now, settings.gate_loss_timeout)) {
                continue;
            }
            ending.insert(owner);
            submit(end_incarnation{owner.gate, owner.incarnation},
                   [this, owner,
                    guard = alive](const result<command_response>& response) {
                       if (*guard) {
                           ending.erase(owner);
                           log_ended(owner, response);
                       }
                   });
        }
    }

    static void log_ended(const journal::owner& owner,
                          const result<command_response>& response)
    {
        if (!response) {
            log(log_events::proposal_failed,
                {{"command", end_incarnation::type},
                 {"error", name_of(response.error().code)}});
            return;
        }
        log(log_events::calls_marked_unknown,
            {{"gate", owner.gate.value()},
             {"incarnation", owner.incarnation.value},
             {"calls", response.value().body.value("marked_unknown", 0)}});
    }

    void step_time()
    {
        const time_point now = loop.now();
        // Without entries nothing can expire; skipping the command keeps an
        // idle log short.
        if (state.call_journal().size() == 0) {
            last_step = now;
            return;
        }
        if (step_pending || now - last_step < settings.time_step) {
            return;
        }
        step_pending = true;
        const auto elapsed =
            std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                                  last_step);
        last_step = now;
        submit(advance_time{static_cast<std::uint64_t>(elapsed.count())},
               [this, guard = alive](const result<command_response>&) {
                   if (*guard) {
                       step_pending = false;
                   }
               });
    }
};

control_server::control_server(net::event_loop& loop, net::link_hub& hub,
                               command_log& log, state_machine& state,
                               const options& settings)
    : impl_(std::make_unique<impl>(loop, hub, log, state, settings))
{
    impl_->start();
}

control_server::~control_server()
{
    *impl_->alive = false;
}

void control_server::submit(const command& value, response_callback callback)
{
    impl_->submit(value, std::move(callback));
}

void control_server::wait_in_force(bamboogate::revision wanted,
                                   duration deadline,
                                   std::function<void(bool)> callback)
{
    impl_->waiters.push_back(
        {wanted, impl_->loop.now() + deadline, std::move(callback)});
}

bool control_server::in_force(bamboogate::revision wanted) const
{
    return impl_->leads() && impl_->leases.in_force(wanted, impl_->loop.now());
}

bool control_server::leads() const
{
    return impl_->leads();
}

error control_server::not_leader() const
{
    return impl_->not_leader();
}

const gate_leases& control_server::leases() const
{
    return impl_->leases;
}

} // namespace bamboogate::control
