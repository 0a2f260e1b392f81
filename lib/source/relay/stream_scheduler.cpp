#include <bamboogate/relay/stream_scheduler.hpp>

#include <algorithm>
#include <tuple>

namespace bamboogate::relay {

void stream_scheduler::submit(stream_demand demand)
{
    end(demand.run.id);
    waiting_.push_back(std::move(demand));
}

void stream_scheduler::add_running(const planned_run& run,
                                   const client_account_id& account,
                                   const placement& target,
                                   std::uint64_t prefill_tokens, time_point now)
{
    end(run.id);
    planner_.assign(run, target, prefill_tokens, now);
    const std::uint64_t tokens = run.prompt_tokens + run.output_tokens;
    running_[run.id] = {account, tokens};
    tokens_by_account_[account] += tokens;
}

void stream_scheduler::end(const request_id& id)
{
    std::erase_if(waiting_,
                  [&](const stream_demand& each) { return each.run.id == id; });
    planner_.release(id);
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    const auto total = tokens_by_account_.find(found->second.account);
    total->second -= found->second.tokens;
    if (total->second == 0) {
        tokens_by_account_.erase(total);
    }
    running_.erase(found);
}

stream_scheduler::demand_list::iterator stream_scheduler::next_demand()
{
    const auto key = [this](const stream_demand& each) {
        const auto running = tokens_by_account_.find(each.account);
        return std::tuple(!each.resuming, each.run.rank,
                          running == tokens_by_account_.end() ? std::uint64_t{0}
                                                              : running->second,
                          each.arrived);
    };
    return std::min_element(
        waiting_.begin(), waiting_.end(),
        [&](const auto& a, const auto& b) { return key(a) < key(b); });
}

duration stream_scheduler::expected_wait(const stream_demand& demand) const
{
    // Prompts of equal or higher rank are prefilled first, spread over all
    // usable engines.
    std::uint64_t tokens_ahead = 0;
    for (const auto& each : waiting_) {
        const bool first = each.resuming || each.run.rank < demand.run.rank ||
                           (each.run.rank == demand.run.rank &&
                            each.arrived <= demand.arrived);
        tokens_ahead += first ? each.run.prompt_tokens : 0;
    }
    const std::size_t engines =
        std::max<std::size_t>(planner_.usable_engines(), 1);
    const double ms =
        static_cast<double>(tokens_ahead) /
        (settings_.prompt_tokens_per_ms * static_cast<double>(engines));
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(ms));
}

bool stream_scheduler::place(const stream_demand& demand,
                             const placement& target, time_point now)
{
    const std::uint64_t tokens =
        demand.run.prompt_tokens + demand.run.output_tokens;
    const bool cached = planner_.engine_with_prompt(demand.run, demand.excluded,
                                                    now) == target.engine;
    planner_.assign(demand.run, target, cached ? 0 : demand.run.prompt_tokens,
                    now);
    running_[demand.run.id] = {demand.account, tokens};
    tokens_by_account_[demand.account] += tokens;
    return cached;
}

std::vector<stream_decision> stream_scheduler::decide(time_point now)
{
    std::vector<stream_decision> out;
    demand_list blocked;
    while (!waiting_.empty()) {
        const auto next = next_demand();
        auto target =
            planner_.choose(next->run, next->excluded, now,
                            stream_planner::capacity_policy::required);
        if (!target && !next->excluded.empty()) {
            // An engine on which the run has failed before is better than none.
            target = planner_.choose(next->run, {}, now,
                                     stream_planner::capacity_policy::required);
        }
        if (target) {
            const bool cached = place(*next, *target, now);
            out.push_back({.id = next->run.id,
                           .target = target,
                           .prompt = next->run.prompt,
                           .prompt_cached = cached});
            waiting_.erase(next);
            continue;
        }
        blocked.splice(blocked.end(), waiting_, next);
    }
    waiting_ = std::move(blocked);
    // Refuses demands that can no longer start in time.
    for (auto each = waiting_.begin(); each != waiting_.end();) {
        const duration wait = expected_wait(*each);
        if (now + wait <= each->latest_start) {
            ++each;
            continue;
        }
        out.push_back(
            {.id = each->run.id,
             .target = std::nullopt,
             .retry_after = std::clamp(wait, settings_.min_retry_after,
                                       settings_.max_retry_after),
             .prompt = each->run.prompt});
        each = waiting_.erase(each);
    }
    return out;
}

} // namespace bamboogate::relay
