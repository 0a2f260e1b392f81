#include <bamboogate/consensus/log_events.hpp>
#include <bamboogate/consensus/replica_core.hpp>

#include <algorithm>

namespace bamboogate::consensus {

namespace {

constexpr std::size_t snapshot_chunk_bytes = 256u << 10;

} // namespace

void replica_core::on_input()
{
    if (failure_) {
        return;
    }
    update_role();
    if (!process_posted_) {
        process_posted_ = true;
        post([this] {
            process_posted_ = false;
            process_output();
        });
    }
}

void replica_core::process_output()
{
    if (failure_) {
        return;
    }
    raft::output next = core_->take_output(loop_.now());
    if (next.empty()) {
        return;
    }
    hard_pending_ = hard_pending_ || next.hard.has_value();
    if (hard_pending_) {
        auto& later = next.messages_after_sync;
        later.insert(later.begin(),
                     std::make_move_iterator(next.messages.begin()),
                     std::make_move_iterator(next.messages.end()));
    } else {
        for (const auto& each : next.messages) {
            send(each);
        }
    }
    next.messages.clear();
    work_.push_back(std::move(next));
    // Posted after the writes of the links, so that one sync covers what they
    // caused.
    if (!flush_posted_) {
        flush_posted_ = true;
        post([this] {
            flush_posted_ = false;
            flush();
        });
    }
}

void replica_core::send(const message& each)
{
    if (const auto* part = std::get_if<install_snapshot>(&each.body)) {
        if (storing_since_) {
            deferred_chunks_.insert_or_assign(each.to, each);
            return;
        }
        auto stored = store_->read_snapshot(part->info.last, part->offset,
                                            snapshot_chunk_bytes);
        // A newer snapshot has replaced it; the core will send that one
        // instead.
        if (!stored) {
            return;
        }
        install_snapshot filled = *part;
        filled.data = std::move(stored.value().data);
        filled.done = stored.value().last;
        hub_.send(each.to, filled);
        return;
    }
    std::visit([&](const auto& body) { hub_.send(each.to, body); }, each.body);
}

result<void> replica_core::complete(raft::output& work)
{
    for (const auto& each : work.messages_after_sync) {
        send(each);
    }
    if (work.installed) {
        BOOST_OUTCOME_TRYV(state_.restore(work.installed->data));
        applied_ = work.installed->info.last;
        snapshot_ = applied_;
        bytes_after_snapshot_ = 0;
        // The responses of pending proposals are not known on this replica.
        fail_pending(0, {errc::outcome_unknown, "leadership was lost"});
        observability::log(log_events::snapshot_installed,
                           {{"index", applied_.index}});
    }
    for (const auto& each : work.committed) {
        apply(each);
    }
    return outcome::success();
}

void replica_core::apply(const entry& committed)
{
    std::string response;
    if (committed.kind == entry_kind::command) {
        response = state_.apply(committed.position, committed.data);
    }
    applied_ = committed.position;
    bytes_after_snapshot_ += committed.data.size();
    if (committed.kind == entry_kind::configuration) {
        observability::log(
            log_events::members_changed,
            {{"index", applied_.index},
             {"voters", core_->log().members_at(applied_.index).voter_count()},
             {"members",
              core_->log().members_at(applied_.index).members.size()}});
    }
    const auto found = pending_.find(applied_.index);
    if (found == pending_.end()) {
        return;
    }
    auto proposal = std::move(found->second);
    pending_.erase(found);
    result<proposal_result> outcome =
        proposal_result{applied_, std::move(response)};
    if (proposal.term != applied_.term) {
        outcome = fail(errc::outcome_unknown, "leadership was lost");
    }
    post([callback = std::move(proposal.callback),
          outcome = std::move(outcome)] { callback(outcome); });
}

void replica_core::update_role()
{
    if (core_->leader() != known_leader_) {
        known_leader_ = core_->leader();
        observability::log(
            log_events::leader_changed,
            {{"leader", known_leader_.value()}, {"term", core_->term()}});
        const bool other_leads =
            !known_leader_.empty() && known_leader_ != hub_.self().node;
        if (other_leads && transfer_callback_) {
            finish_transfer(outcome::success());
        }
    }
    const bool leads = core_->role() == raft_role::leader;
    if (!leads) {
        // Committed proposals will still be applied and answered.
        fail_pending(core_->commit() + 1,
                     {errc::outcome_unknown, "leadership was lost"});
    }
    // Once an entry of this term is applied, so are all entries of earlier
    // terms.
    const bool ready = leads && applied_.term == core_->term();
    if (ready == leading_) {
        return;
    }
    leading_ = ready;
    observability::log(
        log_events::role_changed,
        {{"role", ready ? "leader" : "follower"}, {"term", core_->term()}});
    for (const auto& observer : role_observers_) {
        post([observer, ready] { observer(ready); });
    }
}

void replica_core::fail_pending(std::uint64_t first, const error& problem)
{
    for (auto each = pending_.lower_bound(first); each != pending_.end();
         each = pending_.erase(each)) {
        post([callback = std::move(each->second.callback), problem] {
            callback(problem);
        });
    }
}

void replica_core::stop(const error& problem)
{
    observability::log(
        log_events::replica_failed,
        {{"kind", name_of(problem.code)}, {"detail", problem.detail}});
    tick_timer_.stop();
    failure_ = problem;
    work_.clear();
    deferred_chunks_.clear();
    fail_pending(0, {errc::outcome_unknown, problem.detail});
    finish_transfer(problem);
    if (std::exchange(leading_, false)) {
        for (const auto& observer : role_observers_) {
            post([observer] { observer(false); });
        }
    }
    for (const auto& observer : failure_observers_) {
        post([observer, problem] { observer(problem); });
    }
    if (is_retried(problem)) {
        schedule_reopen();
    }
}

} // namespace bamboogate::consensus
