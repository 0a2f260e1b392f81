#include <bamboogate/relay/retry_delay.hpp>
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
                                   std::uint64_t prefill_tokens, time_point now,
                                   std::vector<std::string> shared_parts)
{
    end(run.id);
    planner_.assign(run, target, prefill_tokens, now);
    add_running_stream(run.id, account, run.prompt_tokens + run.output_tokens,
                       std::move(shared_parts));
}

void stream_scheduler::add_running_stream(const request_id& id,
                                          const client_account_id& account,
                                          std::uint64_t tokens,
                                          std::vector<std::string> shared_parts)
{
    tokens_by_account_[account] += tokens;
    unstarted_parts_.insert(shared_parts.begin(), shared_parts.end());
    running_[id] = {account, tokens, std::move(shared_parts)};
}

void stream_scheduler::remove_unstarted_parts(running_stream& stream)
{
    for (const auto& part : stream.unstarted_parts) {
        unstarted_parts_.erase(unstarted_parts_.find(part));
    }
    stream.unstarted_parts.clear();
}

std::vector<std::string> stream_scheduler::note_started(const request_id& id)
{
    planner_.note_started(id);
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return {};
    }
    auto parts = found->second.unstarted_parts;
    remove_unstarted_parts(found->second);
    return parts;
}

bool stream_scheduler::any_unstarted(
    const std::vector<std::string>& parts) const
{
    return std::any_of(parts.begin(), parts.end(), [&](const auto& part) {
        return unstarted_parts_.contains(part);
    });
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
    remove_unstarted_parts(found->second);
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
        std::max<std::size_t>(planner_.usable_engines(versions_), 1);
    const double ms =
        static_cast<double>(tokens_ahead) /
        (settings_.prompt_tokens_per_ms * static_cast<double>(engines));
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(ms));
}

std::optional<placement> stream_scheduler::choose_engine(stream_demand& demand,
                                                         time_point now) const
{
    constexpr auto required = stream_planner::capacity_policy::required;
    if (std::exchange(demand.trial, false) && trial_target_) {
        demand.run.versions = {rollout::version_filter::rule::only,
                               {*trial_target_}};
        if (auto target =
                planner_.choose(demand.run, demand.excluded, now, required)) {
            return target;
        }
    }
    demand.run.versions = versions_;
    auto target = planner_.choose(demand.run, demand.excluded, now, required);
    if (!target && !demand.excluded.empty()) {
        // An engine on which the run has failed before is better than none.
        target = planner_.choose(demand.run, {}, now, required);
    }
    return target;
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
    add_running_stream(demand.run.id, demand.account, tokens,
                       demand.shared_parts);
    return cached;
}

std::vector<stream_decision>
stream_scheduler::decide(time_point now, const prompt_quarantine& quarantine)
{
    std::vector<stream_decision> out;
    demand_list blocked;
    while (!waiting_.empty()) {
        const auto next = next_demand();
        if (const auto rest =
                quarantine.quarantine_of(next->shared_parts, now)) {
            out.push_back({.id = next->run.id,
                           .target = std::nullopt,
                           .retry_after = *rest,
                           .quarantined = true,
                           .prompt = next->run.prompt});
            waiting_.erase(next);
            continue;
        }
        const auto suspects = quarantine.suspects(next->shared_parts);
        if (any_unstarted(suspects)) {
            blocked.splice(blocked.end(), waiting_, next);
            continue;
        }
        next->run.suspect = !suspects.empty();
        const auto target = choose_engine(*next, now);
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
        const duration wait = std::max(expected_wait(*each), pause_);
        if (now + wait <= each->latest_start) {
            ++each;
            continue;
        }
        out.push_back(
            {.id = each->run.id,
             .target = std::nullopt,
             .retry_after = std::max(std::clamp(wait, settings_.min_retry_after,
                                                settings_.max_retry_after),
                                     spread_retry_delay(pause_, each->run.id)),
             .prompt = each->run.prompt});
        each = waiting_.erase(each);
    }
    return out;
}

} // namespace bamboogate::relay
