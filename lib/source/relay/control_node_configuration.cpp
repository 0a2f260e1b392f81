// Stores and reads the configuration, locally or through the leader.
#include <bamboogate/relay/control_node.hpp>
#include <bamboogate/relay/log_events.hpp>

#include <algorithm>
#include <charconv>

namespace bamboogate::relay {

namespace {

using observability::log;
namespace events = log_events;

constexpr duration store_retry_delay = std::chrono::milliseconds(60);
/// Documents above this size get the longer time limit.
constexpr std::size_t large_document_bytes = 64u << 10;
constexpr duration voter_poll_interval = std::chrono::milliseconds(50);

std::uint64_t to_number(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

/// A store operation that is retried until a leader accepts it or its deadline
/// passes.
struct control_node::pending_store
{
    store_configuration change;
    time_point deadline;
    version_callback callback;
    std::unique_ptr<net::timer> retry;
};

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
    if (const auto& failure = replica_->failure()) {
        callback(*failure);
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
        const bool give_up = problem.code == errc::outcome_unknown ||
                             replica_->failure() ||
                             loop_.now() + store_retry_delay >= job->deadline;
        if (give_up) {
            job->callback(problem);
            return;
        }
        job->retry = std::make_unique<net::timer>(loop_, [this, job] {
            // The timer and the job own each other until it fires.
            const auto fired = std::move(job->retry);
            store_through_leader(job);
        });
        job->retry->start_once(store_retry_delay);
    };
    if (replica_->is_leader()) {
        store_locally(job->change, [job, retry](result<std::uint64_t> outcome) {
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
        retry({errc::no_quorum, "no reachable leader is known"});
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

void control_node::store_locally(const store_configuration& change,
                                 version_callback callback)
{
    if (!replica_ || !replica_->has_lease()) {
        callback(fail(errc::not_leader, "replica holds no leader lease"));
        return;
    }
    const time_point deadline = loop_.now() + settings_.operator_deadline;
    if (change.version <= store_.current()->version) {
        acknowledge_when_replicated(store_.current()->version, deadline,
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
                          acknowledge_when_replicated(
                              to_number(outcome.value().response), deadline,
                              std::move(callback));
                      });
}

void control_node::acknowledge_when_replicated(std::uint64_t version,
                                               time_point deadline,
                                               version_callback callback)
{
    // With fewer voters, losing the tolerated number of disks could lose every
    // copy of an acknowledged document.
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
        callback(fail(
            errc::no_quorum,
            "too few voters to tolerate the configured number of lost disks"));
        return;
    }
    auto wait = std::make_shared<std::unique_ptr<net::timer>>();
    *wait = std::make_unique<net::timer>(
        loop_, [this, version, deadline, wait, callback]() mutable {
            // The timer owns itself through the closure until it fires.
            const auto held = std::move(*wait);
            acknowledge_when_replicated(version, deadline, std::move(callback));
        });
    (*wait)->start_once(voter_poll_interval);
}

void control_node::read_configuration(document_callback callback)
{
    if (const auto& failure = replica_->failure()) {
        callback(*failure);
        return;
    }
    if (replica_->has_lease()) {
        const auto document = store_.current();
        if (document->version == 0) {
            callback(fail(errc::not_found, "no configuration is stored"));
            return;
        }
        callback(document);
        return;
    }
    const auto leader = replica_->leader();
    if (!leader || *leader == self_ || !hub_.is_up(*leader)) {
        callback(fail(errc::no_quorum, "no reachable leader is known"));
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
                callback(fail(errc::not_found, "no configuration is stored"));
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

} // namespace bamboogate::relay
