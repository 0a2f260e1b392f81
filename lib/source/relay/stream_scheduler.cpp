#include <bamboogate/relay/retry_delay.hpp>
#include <bamboogate/relay/stream_scheduler.hpp>

#include <algorithm>
#include <array>
#include <tuple>

namespace bamboogate::relay {

namespace {

/// Engines that crashed announce themselves again within this time.
constexpr duration abandoned_retry_after = std::chrono::seconds(2);

std::uint64_t total_tokens(const planned_run& run)
{
    return run.prompt_tokens + run.output_tokens;
}

} // namespace

/// The smallest runs that found no engine in one round of decisions. Capacity
/// only shrinks during a round, so a larger run needs no search: a backlog
/// costs little while the engines are full.
class stream_scheduler::unplaced_runs
{
public:
    [[nodiscard]] bool covers(const planned_run& run) const
    {
        const auto& known = smallest_[run.urgent ? 1 : 0];
        return known && run.prompt_tokens >= known->prompt_tokens &&
               total_tokens(run) >= known->tokens;
    }

    void add(const planned_run& run)
    {
        auto& known = smallest_[run.urgent ? 1 : 0];
        const size added{run.prompt_tokens, total_tokens(run)};
        if (!known || (added.prompt_tokens <= known->prompt_tokens &&
                       added.tokens <= known->tokens)) {
            known = added;
        }
    }

private:
    struct size
    {
        std::uint64_t prompt_tokens;
        std::uint64_t tokens;
    };

    std::array<std::optional<size>, 2> smallest_;
};

/// Sums up the prompts of waiting demands in the order of their start.
class stream_scheduler::waiting_prompts
{
public:
    explicit waiting_prompts(const demand_list& waiting)
    {
        for (const auto& each : waiting) {
            if (each.resuming) {
                resuming_tokens_ += each.run.prompt_tokens;
            } else {
                prompts_.push_back(
                    {each.run.rank, each.arrived, each.run.prompt_tokens});
            }
        }
        std::sort(prompts_.begin(), prompts_.end());
    }

    /// @return prompt tokens of the demands that start first, and its own
    [[nodiscard]] std::uint64_t tokens_before(const stream_demand& demand) const
    {
        std::uint64_t sum = resuming_tokens_;
        for (const auto& each : prompts_) {
            if (std::tie(each.rank, each.arrived) >
                std::tie(demand.run.rank, demand.arrived)) {
                break;
            }
            sum += each.tokens;
        }
        return sum;
    }

    void remove(const stream_demand& demand)
    {
        if (demand.resuming) {
            resuming_tokens_ -= demand.run.prompt_tokens;
            return;
        }
        const auto found = std::lower_bound(
            prompts_.begin(), prompts_.end(),
            prompt{demand.run.rank, demand.arrived, demand.run.prompt_tokens});
        prompts_.erase(found);
    }

private:
    struct prompt
    {
        unsigned rank;
        time_point arrived;
        std::uint64_t tokens;

        auto operator<=>(const prompt&) const = default;
    };

    std::vector<prompt> prompts_;
    std::uint64_t resuming_tokens_ = 0;
};

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

stream_scheduler::demand_order
stream_scheduler::order_of(const stream_demand& demand) const
{
    const auto running = tokens_by_account_.find(demand.account);
    return {!demand.resuming, demand.run.rank,
            running == tokens_by_account_.end() ? std::uint64_t{0}
                                                : running->second,
            demand.arrived};
}

std::optional<placement> stream_scheduler::choose_engine(
    stream_demand& demand, unplaced_by_version& unplaced, time_point now) const
{
    unplaced_runs& unplaced_alike = unplaced[demand.run.begun_at];
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
    if (unplaced_alike.covers(demand.run) &&
        !planner_.engine_with_prompt(demand.run, {}, now)) {
        return std::nullopt;
    }
    auto target = planner_.choose(demand.run, demand.excluded, now, required);
    if (!target && !demand.excluded.empty()) {
        // An engine on which the run has failed before is better than none.
        target = planner_.choose(demand.run, {}, now, required);
    }
    if (!target) {
        unplaced_alike.add(demand.run);
    }
    return target;
}

bool stream_scheduler::is_abandoned(const stream_demand& demand) const
{
    return demand.run.begun_at &&
           !continuing_versions_.contains(*demand.run.begun_at);
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
    std::vector<candidate> candidates;
    candidates.reserve(waiting_.size());
    for (auto each = waiting_.begin(); each != waiting_.end(); ++each) {
        candidates.push_back({order_of(*each), candidates.size(), each});
    }
    const auto later = [](const candidate& a, const candidate& b) {
        return std::tie(a.order, a.position) > std::tie(b.order, b.position);
    };
    std::make_heap(candidates.begin(), candidates.end(), later);
    unplaced_by_version unplaced;
    while (!candidates.empty()) {
        std::pop_heap(candidates.begin(), candidates.end(), later);
        const auto next = candidates.back().demand;
        // Placing a stream moves the others of its account backwards.
        if (const auto order = order_of(*next);
            order != candidates.back().order) {
            candidates.back().order = order;
            std::push_heap(candidates.begin(), candidates.end(), later);
            continue;
        }
        candidates.pop_back();
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
        if (is_abandoned(*next)) {
            out.push_back({.id = next->run.id,
                           .target = std::nullopt,
                           .retry_after = abandoned_retry_after,
                           .abandoned = true,
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
        const auto target = choose_engine(*next, unplaced, now);
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
    refuse_late(now, out);
    return out;
}

void stream_scheduler::refuse_late(time_point now,
                                   std::vector<stream_decision>& out)
{
    waiting_prompts ahead(waiting_);
    const std::size_t engines =
        std::max<std::size_t>(planner_.usable_engines(versions_), 1);
    const double tokens_per_ms =
        settings_.prompt_tokens_per_ms * static_cast<double>(engines);
    for (auto each = waiting_.begin(); each != waiting_.end();) {
        // Prompts of equal or higher rank are prefilled first, spread over all
        // usable engines.
        const auto expected = std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(
                static_cast<double>(ahead.tokens_before(*each)) /
                tokens_per_ms));
        const duration wait = std::max(expected, pause_);
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
        ahead.remove(*each);
        each = waiting_.erase(each);
    }
}

} // namespace bamboogate::relay
