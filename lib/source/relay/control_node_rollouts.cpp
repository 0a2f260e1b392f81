// Begins and reads rollouts, locally or through the leader, and passes them on
// to the gates.
#include <bamboogate/relay/control_node.hpp>
#include <bamboogate/relay/log_events.hpp>

namespace bamboogate::relay {

namespace {

using observability::log;
using rollout::rollout_order;
using rollout::rollout_record;
namespace events = log_events;

constexpr duration order_retry_delay = std::chrono::milliseconds(60);

std::int64_t milliseconds_of(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

std::int64_t unix_ms()
{
    return milliseconds_of(std::chrono::system_clock::now().time_since_epoch());
}

void log_refusal(const rollout_order& order, const error& problem)
{
    log(events::rollout_order_refused,
        {{"service", order.service.value()},
         {"target", order.target.value()},
         {"duration_ms", milliseconds_of(order.allowed)},
         {"error", name_of(problem.code)},
         {"detail", problem.detail}});
}

/// Whether the leader has decided against an order for good.
bool is_refusal(const error& problem)
{
    return problem.code == errc::invalid_argument ||
           problem.code == errc::conflict;
}

} // namespace

/// An order that is retried until a leader decides on it or its deadline
/// passes.
struct control_node::pending_order
{
    rollout_order order;
    time_point deadline;
    rollout_callback callback;
    std::unique_ptr<net::timer> retry;
};

void control_node::begin_rollout(const rollout_order& order,
                                 rollout_callback callback)
{
    if (const auto& failure = replica_->failure()) {
        callback(*failure);
        return;
    }
    auto job = std::make_shared<pending_order>();
    job->order = order;
    job->deadline = loop_.now() + settings_.operator_deadline;
    job->callback = std::move(callback);
    order_through_leader(job);
}

void control_node::order_through_leader(
    const std::shared_ptr<pending_order>& job)
{
    // An order may be sent again after any error: the leader accepts it again
    // if it has begun a rollout.
    const auto finish = [this, job](result<rollout_record> outcome) {
        if (outcome || is_refusal(outcome.error()) || replica_->failure() ||
            loop_.now() + order_retry_delay >= job->deadline) {
            job->callback(std::move(outcome));
            return;
        }
        job->retry = std::make_unique<net::timer>(loop_, [this, job] {
            // The timer and the job own each other until it fires.
            const auto fired = std::move(job->retry);
            order_through_leader(job);
        });
        job->retry->start_once(order_retry_delay);
    };
    if (replica_->is_leader()) {
        order_locally(job->order, finish);
        return;
    }
    const auto leader = replica_->leader();
    if (!leader || !hub_.is_up(*leader)) {
        finish(fail(errc::no_quorum, "no reachable leader is known"));
        return;
    }
    hub_.call<relay::begin_rollout, rollout_reply>(
        *leader,
        {.service = job->order.service,
         .target = job->order.target,
         .duration_ms = milliseconds_of(job->order.allowed)},
        job->deadline - loop_.now(), [finish](result<rollout_reply> reply) {
            if (!reply) {
                finish(std::move(reply).error());
                return;
            }
            finish(std::move(reply).value().record);
        });
}

void control_node::order_locally(const rollout_order& order,
                                 rollout_callback callback)
{
    if (!replica_ || !replica_->has_lease()) {
        callback(fail(errc::not_leader, "replica holds no leader lease"));
        return;
    }
    if (store_.current()->version == 0) {
        callback(fail(errc::no_quorum, "no configuration is stored"));
        return;
    }
    const auto answer = rollout::judge_order(
        order, {.service_declared = director_.is_declared(order.service),
                .last = store_.rollouts().find(order.service),
                .since_begun = director_.since_begun(order.service),
                .ready_versions = director_.ready_versions(order.service)});
    if (!answer) {
        log_refusal(order, answer.error());
        callback(answer.error());
        return;
    }
    if (answer.value() == rollout::order_answer::acknowledge) {
        acknowledge_rollout(order.service, std::move(callback));
        return;
    }
    const rollout_record record{
        .number = 0, // set when it is applied
        .service = order.service,
        .target = order.target,
        .duration_ms = milliseconds_of(order.allowed),
        .began_unix_ms = unix_ms(),
        .phase = static_cast<std::uint8_t>(rollout::rollout_phase::trial),
        .trial_share = rollout::trial_share(director_.exposure()),
        .superseded = {},
        .reason = {}};
    replica_->propose(
        rollout_store::encode_begin(record),
        [this, order, callback = std::move(callback)](
            result<consensus::proposal_result> outcome) mutable {
            if (!outcome) {
                callback(std::move(outcome).error());
                return;
            }
            // Another order may have been proposed just before this one.
            const auto* begun = store_.rollouts().find(order.service);
            if (begun == nullptr || !rollout::asks_for(order, *begun)) {
                const error problem{errc::conflict,
                                    "another rollout of the service began "
                                    "just before"};
                log_refusal(order, problem);
                callback(problem);
                return;
            }
            acknowledge_rollout(order.service, std::move(callback));
        });
}

void control_node::acknowledge_rollout(const service_id& service,
                                       rollout_callback callback)
{
    const rollout_record record = *store_.rollouts().find(service);
    acknowledge_when_replicated(
        record.number, loop_.now() + settings_.operator_deadline,
        [record, callback = std::move(callback)](result<std::uint64_t> done) {
            if (!done) {
                callback(std::move(done).error());
                return;
            }
            callback(record);
        });
}

void control_node::read_rollout(const service_id& service,
                                const rollout_callback& callback)
{
    const auto answer = [callback](const rollout_record& record) {
        if (record.number == 0) {
            callback(fail(errc::not_found, "the service never had a rollout"));
            return;
        }
        callback(record);
    };
    if (const auto& failure = replica_->failure()) {
        callback(*failure);
        return;
    }
    if (replica_->has_lease()) {
        const auto* record = store_.rollouts().find(service);
        answer(record == nullptr ? rollout_record{} : *record);
        return;
    }
    const auto leader = replica_->leader();
    if (!leader || *leader == self_ || !hub_.is_up(*leader)) {
        callback(fail(errc::no_quorum, "no reachable leader is known"));
        return;
    }
    hub_.call<relay::read_rollout, rollout_reply>(
        *leader, {.service = service}, settings_.operator_deadline,
        [answer, callback](result<rollout_reply> reply) {
            if (!reply) {
                callback(fail(errc::no_quorum, reply.error().detail));
                return;
            }
            answer(reply.value().record);
        });
}

void control_node::register_rollout_handlers()
{
    hub_.serve<relay::begin_rollout, rollout_reply>(
        [this](const net::peer_info&, const relay::begin_rollout& request,
               const auto& reply) {
            order_locally(
                {.service = request.service,
                 .target = request.target,
                 .allowed = std::chrono::milliseconds(request.duration_ms)},
                [reply](result<rollout_record> outcome) {
                    if (!outcome) {
                        reply(std::move(outcome).error());
                        return;
                    }
                    reply(rollout_reply{std::move(outcome).value()});
                });
        });
    hub_.serve<relay::read_rollout, rollout_reply>(
        [this](const net::peer_info&, const relay::read_rollout& request,
               const auto& reply) {
            if (!replica_ || !replica_->has_lease()) {
                reply(fail(errc::not_leader, "replica holds no leader lease"));
                return;
            }
            const auto* record = store_.rollouts().find(request.service);
            reply(
                rollout_reply{record == nullptr ? rollout_record{} : *record});
        });
    hub_.on<rollout_evidence>(
        [this](const net::peer_info& peer, const rollout_evidence& reported) {
            director_.on_evidence(peer.node, reported);
        });
    hub_.on<rollout_lease>(
        [this](const net::peer_info&, const rollout_lease& lease) {
            send_to_gates(lease);
        });
}

void control_node::on_rollout(const rollout_record& record)
{
    placements_.on_rollout(record);
    send_to_gates(rollout_update{{record}});
    director_.on_record(record);
}

void control_node::send_rollouts(const node_id& gate)
{
    rollout_update update;
    for (const auto& [service, record] : store_.rollouts().records()) {
        update.records.push_back(record);
    }
    if (!update.records.empty()) {
        hub_.send(gate, update);
    }
}

rollout_director::hooks control_node::rollout_hooks()
{
    return {.leads = [this] { return replica_ && replica_->has_lease(); },
            .running_on =
                [this](const upstream_id& id) {
                    return placements_.running_on(id);
                },
            .propose =
                [this](const rollout_phase_change& change,
                       const std::function<void()>& done) {
                    replica_->propose(
                        rollout_store::encode_change(change),
                        [done](const result<consensus::proposal_result>&) {
                            // A change that failed is decided again.
                            done();
                        });
                },
            .send_lease =
                [this](const rollout_lease& lease) {
                    for (const auto& node : known_replicas_) {
                        hub_.send(node_id(node), lease);
                    }
                    send_to_gates(lease);
                }};
}

} // namespace bamboogate::relay
