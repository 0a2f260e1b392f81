#include <bamboogate/relay/stream_planner.hpp>

#include <algorithm>
#include <tuple>

namespace bamboogate::relay {

void stream_planner::update_engine(const planned_engine& engine)
{
    engines_[engine.id] = engine;
}

void stream_planner::suspend_all()
{
    for (auto& [id, engine] : engines_) {
        engine.usable = false;
    }
}

void stream_planner::remove_engine(const upstream_id& id)
{
    engines_.erase(id);
    const auto found = loads_.find(id);
    if (found != loads_.end() && found->second.runs == 0 &&
        found->second.resident == 0) {
        loads_.erase(found);
    }
}

const stream_planner::load& stream_planner::load_of(const upstream_id& id) const
{
    static const load none;
    const auto found = loads_.find(id);
    return found == loads_.end() ? none : found->second;
}

bool stream_planner::fits(const planned_engine& engine, std::uint64_t tokens,
                          double share) const
{
    return static_cast<double>(load_of(engine.id).resident + tokens) <=
           share * static_cast<double>(engine.kv_capacity_tokens);
}

std::uint64_t stream_planner::recent_reads(const load& current,
                                           time_point now) const
{
    std::uint64_t total = 0;
    for (const auto& [at, tokens] : current.reads) {
        total += now - at <= settings_.prefill_window ? tokens : 0;
    }
    return total;
}

bool stream_planner::has_room(const planned_engine& engine,
                              const planned_run& run, time_point now) const
{
    const load& current = load_of(engine.id);
    const std::uint64_t max_reads = run.urgent
                                        ? settings_.urgent_max_prefill_tokens
                                        : settings_.max_prefill_tokens;
    const double reads =
        engine.slowdown *
        static_cast<double>(recent_reads(current, now) + run.prompt_tokens);
    return current.runs < engine.slots &&
           current.unread <= settings_.max_pending_prefill_tokens &&
           (reads <= static_cast<double>(max_reads) || current.runs == 0) &&
           fits(engine, run.prompt_tokens + run.output_tokens,
                settings_.memory_share);
}

double stream_planner::cost(const planned_engine& engine,
                            std::uint64_t prompt_tokens, time_point now) const
{
    const load& current = load_of(engine.id);
    return engine.slowdown *
           (static_cast<double>(current.unread + prompt_tokens) +
            settings_.resident_weight * static_cast<double>(current.resident) +
            settings_.prefill_weight *
                static_cast<double>(recent_reads(current, now)));
}

std::optional<placement>
stream_planner::choose(const planned_run& run,
                       const std::set<upstream_id>& excluded, time_point now,
                       capacity_policy needed) const
{
    if (const auto reader = engine_with_prompt(run, excluded, now)) {
        return placement{*reader, choose_copy_holder(run, *reader, excluded)};
    }
    const std::uint64_t tokens = run.prompt_tokens + run.output_tokens;
    const planned_engine* best = nullptr;
    // Engines with room come first, then the least cost.
    std::tuple<bool, double> best_key;
    for (const auto& [id, engine] : engines_) {
        if (!engine.usable || excluded.contains(id) ||
            tokens > engine.kv_capacity_tokens) {
            continue;
        }
        const bool full = !has_room(engine, run, now);
        if (full && needed == capacity_policy::required) {
            continue;
        }
        const std::tuple key{full, cost(engine, run.prompt_tokens, now)};
        if (best == nullptr || key < best_key) {
            best = &engine;
            best_key = key;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return placement{best->id, choose_copy_holder(run, best->id, excluded)};
}

std::optional<upstream_id>
stream_planner::engine_with_prompt(const planned_run& run,
                                   const std::set<upstream_id>& excluded,
                                   time_point now) const
{
    const auto found = prompts_.find(run.prompt);
    if (found == prompts_.end() || !found->second.read ||
        now - found->second.given > settings_.prompt_retention ||
        excluded.contains(found->second.engine)) {
        return std::nullopt;
    }
    const auto engine = engines_.find(found->second.engine);
    const bool room =
        engine != engines_.end() && engine->second.usable &&
        load_of(engine->first).runs < engine->second.slots &&
        fits(engine->second, run.prompt_tokens + run.output_tokens,
             settings_.cached_prompt_memory_share);
    return room ? std::optional(engine->first) : std::nullopt;
}

void stream_planner::remember_prompt(const planned_run& run,
                                     const placement& where,
                                     std::uint64_t unread_tokens,
                                     time_point now)
{
    while (!prompt_order_.empty() &&
           now - prompt_order_.front().first > settings_.prompt_retention) {
        const auto oldest = prompts_.find(prompt_order_.front().second);
        if (oldest != prompts_.end() &&
            oldest->second.given <= prompt_order_.front().first) {
            prompts_.erase(oldest);
        }
        prompt_order_.pop_front();
    }
    if (run.prompt.empty()) {
        return;
    }
    prompts_[run.prompt] = {where.engine, now, unread_tokens == 0};
    prompt_order_.emplace_back(now, run.prompt);
}

void stream_planner::note_cached_prompt(const std::string& prompt,
                                        const upstream_id& engine,
                                        time_point now)
{
    if (prompts_.try_emplace(prompt, prompt_place{engine, now, true}).second) {
        prompt_order_.emplace_back(now, prompt);
    }
}

std::optional<upstream_id>
stream_planner::choose_copy_holder(const planned_run& run,
                                   const upstream_id& engine,
                                   const std::set<upstream_id>& excluded) const
{
    const auto home = engines_.find(engine);
    const std::uint64_t tokens = run.prompt_tokens + run.output_tokens;
    const double share = run.urgent ? settings_.urgent_copy_memory_share
                                    : settings_.copy_memory_share;
    const planned_engine* best = nullptr;
    std::tuple<bool, std::uint64_t> best_key;
    for (const auto& [id, candidate] : engines_) {
        if (id == engine || !candidate.usable || excluded.contains(id) ||
            !fits(candidate, tokens, share)) {
            continue;
        }
        const bool same_domain =
            home != engines_.end() && home->second.domain == candidate.domain;
        const std::tuple key{same_domain, load_of(id).resident};
        if (best == nullptr || key < best_key) {
            best = &candidate;
            best_key = key;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->id);
}

std::optional<upstream_id>
stream_planner::replace_copy_holder(const request_id& run,
                                    const std::set<upstream_id>& excluded)
{
    const auto found = runs_.find(run);
    if (found == runs_.end()) {
        return std::nullopt;
    }
    assigned_run& entry = found->second;
    if (entry.copy_holder) {
        loads_[*entry.copy_holder].resident -= entry.tokens;
    }
    entry.copy_holder = choose_copy_holder(
        {.id = run, .urgent = entry.urgent, .prompt_tokens = entry.tokens},
        entry.engine, excluded);
    if (entry.copy_holder) {
        loads_[*entry.copy_holder].resident += entry.tokens;
    }
    return entry.copy_holder;
}

void stream_planner::assign(const planned_run& run, const placement& where,
                            std::uint64_t unread_tokens, time_point now)
{
    release(run.id);
    remember_prompt(run, where, unread_tokens, now);
    assigned_run entry{.engine = where.engine,
                       .copy_holder = where.copy_holder,
                       .tokens = run.prompt_tokens + run.output_tokens,
                       .unread = unread_tokens,
                       .urgent = run.urgent,
                       .prompt = run.prompt};
    load& engine = loads_[where.engine];
    while (!engine.reads.empty() &&
           now - engine.reads.front().first > settings_.prefill_window) {
        engine.reads.pop_front();
    }
    if (entry.unread > 0) {
        engine.reads.emplace_back(now, entry.unread);
    }
    engine.unread += entry.unread;
    engine.resident += entry.tokens;
    ++engine.runs;
    if (where.copy_holder) {
        loads_[*where.copy_holder].resident += entry.tokens;
    }
    runs_[run.id] = std::move(entry);
}

void stream_planner::note_started(const request_id& run)
{
    const auto found = runs_.find(run);
    if (found == runs_.end()) {
        return;
    }
    loads_[found->second.engine].unread -= found->second.unread;
    found->second.unread = 0;
    const auto prompt = prompts_.find(found->second.prompt);
    if (prompt != prompts_.end() &&
        prompt->second.engine == found->second.engine) {
        prompt->second.read = true;
    }
}

void stream_planner::release(const request_id& run)
{
    const auto found = runs_.find(run);
    if (found == runs_.end()) {
        return;
    }
    load& engine = loads_[found->second.engine];
    engine.unread -= found->second.unread;
    engine.resident -= found->second.tokens;
    --engine.runs;
    if (found->second.copy_holder) {
        const auto holder = loads_.find(*found->second.copy_holder);
        holder->second.resident -= found->second.tokens;
    }
    runs_.erase(found);
}

std::uint64_t
stream_planner::pending_prefill_tokens(const upstream_id& id) const
{
    return load_of(id).unread;
}

std::uint64_t stream_planner::resident_tokens(const upstream_id& id) const
{
    return load_of(id).resident;
}

std::size_t stream_planner::usable_engines() const
{
    return static_cast<std::size_t>(
        std::count_if(engines_.begin(), engines_.end(),
                      [](const auto& each) { return each.second.usable; }));
}

std::size_t stream_planner::runs(const upstream_id& id) const
{
    return load_of(id).runs;
}

} // namespace bamboogate::relay
