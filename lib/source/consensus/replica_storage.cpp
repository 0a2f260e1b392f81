// Writes to the disk and their completion.
#include <bamboogate/consensus/log_events.hpp>
#include <bamboogate/consensus/replica_core.hpp>

#include <algorithm>

namespace bamboogate::consensus {

namespace {

/// Delay of the next snapshot after one that the disk refused.
constexpr duration refused_snapshot_delay = std::chrono::seconds(2);

bool needs_storage(const raft::output& work)
{
    return work.hard || work.installed || !work.entries.empty();
}

} // namespace

/// Work that one job of the storage thread makes durable.
struct replica_core::write_batch
{
    std::vector<raft::output> work;
    bool group_commit = true;
    std::optional<log_position> written; ///< the last entry

    /// Runs on the storage thread.
    result<void> persist(log_store& store)
    {
        for (const auto& each : work) {
            if (each.hard) {
                store.write(*each.hard);
            }
            if (each.installed) {
                BOOST_OUTCOME_TRYV(store.sync());
                BOOST_OUTCOME_TRYV(store.save_snapshot(*each.installed, true));
                written = each.installed->info.last;
            }
            BOOST_OUTCOME_TRYV(persist(each.entries, store));
        }
        return store.sync();
    }

private:
    result<void> persist(const std::vector<entry>& entries, log_store& store)
    {
        for (const auto& each : entries) {
            store.write(each);
            written = each.position;
            if (!group_commit) {
                BOOST_OUTCOME_TRYV(store.sync());
            }
        }
        return outcome::success();
    }
};

void replica_core::run_in_background(
    std::function<result<void>()> job,
    std::function<void(const result<void>&)> done)
{
    storing_since_ = loop_.now();
    const auto outcome = std::make_shared<result<void>>(outcome::success());
    storage_thread_.submit(
        [outcome, job = std::move(job)] { *outcome = job(); },
        [this, outcome, done = std::move(done)] {
            storing_since_.reset();
            done(*outcome);
        });
}

void replica_core::flush()
{
    if (failure_ || storing_since_) {
        return;
    }
    auto work = std::exchange(work_, {});
    if (std::none_of(work.begin(), work.end(), needs_storage)) {
        complete_all(work);
        return;
    }
    const auto batch = std::make_shared<write_batch>(
        write_batch{.work = std::move(work),
                    .group_commit = settings_.group_commit,
                    .written = {}});
    run_in_background(
        [batch, store = store_.get()] { return batch->persist(*store); },
        [this, batch](const result<void>& outcome) {
            on_written(batch, outcome);
        });
}

void replica_core::on_written(const std::shared_ptr<write_batch>& batch,
                              const result<void>& outcome)
{
    if (!outcome) {
        stop(outcome.error());
        return;
    }
    reopen_delay_ = first_reopen_delay;
    if (batch->written) {
        written_ = *batch->written;
        core_->persisted(written_, batch->work.back().truncations);
    }
    hard_pending_ =
        std::any_of(work_.begin(), work_.end(),
                    [](const auto& each) { return each.hard.has_value(); });
    complete_all(batch->work);
}

void replica_core::complete_all(std::vector<raft::output>& done)
{
    for (auto& each : done) {
        if (auto outcome = complete(each); !outcome) {
            stop(outcome.error());
            return;
        }
    }
    for (const auto& [to, chunk] : std::exchange(deferred_chunks_, {})) {
        send(chunk);
    }
    if (snapshot_is_due()) {
        store_snapshot();
    }
    on_input();
    if (!work_.empty()) {
        flush();
    }
}

bool replica_core::snapshot_is_due() const
{
    const bool due = applied_.index - snapshot_.index >=
                         settings_.snapshot_interval_entries ||
                     bytes_after_snapshot_ >= settings_.snapshot_interval_bytes;
    // A snapshot from the leader that is not installed yet replaces this one.
    return due && loop_.now() >= next_snapshot_ &&
           core_->log().snapshot().index <= applied_.index;
}

void replica_core::store_snapshot()
{
    const auto taken = std::make_shared<const snapshot>(
        snapshot{core_->describe_snapshot(applied_), state_.snapshot()});
    run_in_background(
        [taken, store = store_.get()] {
            return store->save_snapshot(*taken, false);
        },
        [this, taken](const result<void>& outcome) {
            on_snapshot_stored(*taken, outcome);
        });
}

void replica_core::on_snapshot_stored(const snapshot& taken,
                                      const result<void>& outcome)
{
    if (!outcome && store_->failure()) {
        stop(outcome.error());
        return;
    }
    if (outcome) {
        snapshot_ = taken.info.last;
        bytes_after_snapshot_ = 0;
        core_->compact(taken.info);
        observability::log(
            log_events::snapshot_stored,
            {{"index", snapshot_.index}, {"bytes", taken.data.size()}});
    } else {
        next_snapshot_ = loop_.now() + refused_snapshot_delay;
        observability::log(log_events::snapshot_refused,
                           {{"kind", name_of(outcome.error().code)},
                            {"detail", outcome.error().detail}});
    }
    std::vector<raft::output> none;
    complete_all(none);
}

void replica_core::check_storage_stall()
{
    if (failure_ || !storing_since_ || !is_leader()) {
        return;
    }
    const time_point now = loop_.now();
    if (now - std::max(*storing_since_, last_stall_) <
        settings_.storage_stall_limit) {
        return;
    }
    last_stall_ = now;
    const auto target = core_->transfer_leadership(now);
    observability::log(
        log_events::storage_stalled,
        {{"seconds",
          std::chrono::duration<double>(now - *storing_since_).count()},
         {"target", target ? target.value().value() : ""}});
}

} // namespace bamboogate::consensus
