#include <bamboogate/relay/stream_planner.hpp>

#include <algorithm>
#include <string_view>
#include <tuple>

namespace bamboogate::relay {

namespace {

/// Order of engines of equal cost for one run: a rendezvous hash (FNV-1a with a
/// final mix). Planners that know nothing of one another's runs would otherwise
/// all choose the engine with the smallest id.
std::uint64_t tie_break(const request_id& run, const upstream_id& engine)
{
    constexpr std::uint64_t fnv_offset = 14695981039346656037U;
    constexpr std::uint64_t fnv_prime = 1099511628211U;
    std::uint64_t hash = fnv_offset;
    const auto add = [&hash](std::string_view text) {
        for (const char c : text) {
            hash = (hash ^ static_cast<unsigned char>(c)) * fnv_prime;
        }
        hash *= fnv_prime; // separates the two names
    };
    add(run.value());
    add(engine.value());
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdU;
    return hash ^ (hash >> 33U);
}

} // namespace

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
        found->second.resident_tokens == 0) {
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
    return static_cast<double>(load_of(engine.id).resident_tokens + tokens) <=
           share * static_cast<double>(engine.kv_capacity_tokens);
}

std::uint64_t stream_planner::recent_prefill_tokens(const load& current,
                                                    time_point now) const
{
    std::uint64_t total = 0;
    for (const auto& [at, tokens] : current.recent_prefills) {
        total += now - at <= settings_.prefill_window ? tokens : 0;
    }
    return total;
}

bool stream_planner::has_run_capacity(const planned_engine& engine,
                                      const planned_run& run,
                                      time_point now) const
{
    const load& current = load_of(engine.id);
    const std::uint64_t max_prefill = run.urgent
                                          ? settings_.urgent_max_prefill_tokens
                                          : settings_.max_prefill_tokens;
    const double assigned_prefill =
        engine.slowdown *
        static_cast<double>(recent_prefill_tokens(current, now) +
                            run.prompt_tokens);
    return current.runs < engine.slots &&
           current.pending_prefill <= settings_.max_pending_prefill_tokens &&
           (assigned_prefill <= static_cast<double>(max_prefill) ||
            current.runs == 0) &&
           fits(engine, run.prompt_tokens + run.output_tokens,
                settings_.memory_share);
}

double stream_planner::cost(const planned_engine& engine,
                            std::uint64_t prompt_tokens, time_point now) const
{
    const load& current = load_of(engine.id);
    return engine.slowdown *
           (static_cast<double>(current.pending_prefill + prompt_tokens) +
            settings_.resident_weight *
                static_cast<double>(current.resident_tokens) +
            settings_.prefill_weight *
                static_cast<double>(recent_prefill_tokens(current, now)));
}

std::optional<placement>
stream_planner::choose(const planned_run& run,
                       const std::set<upstream_id>& excluded, time_point now,
                       capacity_policy needed) const
{
    if (const auto caching_engine = engine_with_prompt(run, excluded, now)) {
        return placement{*caching_engine,
                         choose_copy_holder(run, *caching_engine, excluded)};
    }
    const std::uint64_t tokens = run.prompt_tokens + run.output_tokens;
    const planned_engine* best = nullptr;
    // Engines with capacity first, reserved ones last. Runs that may crash an
    // engine go apart from all others that have not begun, where the fewest
    // streams can be lost. Then by ascending cost.
    std::tuple<bool, bool, bool, std::size_t, double, std::uint64_t> best_key;
    for (const auto& [id, engine] : engines_) {
        if (!engine.usable || excluded.contains(id) ||
            tokens > engine.kv_capacity_tokens ||
            !run.may_run_at(engine.version)) {
            continue;
        }
        const bool full = !has_run_capacity(engine, run, now);
        if (full && needed == capacity_policy::required) {
            continue;
        }
        const load& current = load_of(id);
        const std::tuple key{full,
                             engine.reserved && !run.begun_at,
                             current.suspects > 0,
                             run.suspect ? current.runs : 0,
                             cost(engine, run.prompt_tokens, now),
                             tie_break(run.id, id)};
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
    if (found == prompts_.end() || !found->second.prefilled ||
        now - found->second.assigned_at > settings_.prompt_retention ||
        excluded.contains(found->second.engine)) {
        return std::nullopt;
    }
    const auto engine = engines_.find(found->second.engine);
    const bool has_capacity =
        engine != engines_.end() && engine->second.usable &&
        run.may_run_at(engine->second.version) &&
        load_of(engine->first).runs < engine->second.slots &&
        fits(engine->second, run.prompt_tokens + run.output_tokens,
             settings_.cached_prompt_memory_share);
    return has_capacity ? std::optional(engine->first) : std::nullopt;
}

void stream_planner::record_prompt(const planned_run& run,
                                   const placement& target,
                                   std::uint64_t prefill_tokens, time_point now)
{
    while (!prompt_order_.empty() &&
           now - prompt_order_.front().first > settings_.prompt_retention) {
        const auto oldest = prompts_.find(prompt_order_.front().second);
        if (oldest != prompts_.end() &&
            oldest->second.assigned_at <= prompt_order_.front().first) {
            prompts_.erase(oldest);
        }
        prompt_order_.pop_front();
    }
    if (run.prompt.empty()) {
        return;
    }
    prompts_[run.prompt] = {target.engine, now, prefill_tokens == 0};
    prompt_order_.emplace_back(now, run.prompt);
}

void stream_planner::note_cached_prompt(const std::string& prompt,
                                        const upstream_id& engine,
                                        time_point now)
{
    if (prompts_.try_emplace(prompt, prompt_location{engine, now, true})
            .second) {
        prompt_order_.emplace_back(now, prompt);
    }
}

std::optional<upstream_id>
stream_planner::choose_copy_holder(const planned_run& run,
                                   const upstream_id& engine,
                                   const std::set<upstream_id>& excluded) const
{
    const auto primary = engines_.find(engine);
    const std::uint64_t tokens = run.prompt_tokens + run.output_tokens;
    const double share = run.urgent ? settings_.urgent_copy_memory_share
                                    : settings_.copy_memory_share;
    const planned_engine* best = nullptr;
    std::tuple<bool, std::uint64_t, std::uint64_t> best_key;
    for (const auto& [id, candidate] : engines_) {
        const bool other_version = primary != engines_.end() &&
                                   primary->second.version != candidate.version;
        if (id == engine || !candidate.usable || excluded.contains(id) ||
            other_version || !fits(candidate, tokens, share)) {
            continue;
        }
        const bool same_domain = primary != engines_.end() &&
                                 primary->second.domain == candidate.domain;
        const std::tuple key{same_domain, load_of(id).resident_tokens,
                             tie_break(run.id, id)};
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
        loads_[*entry.copy_holder].resident_tokens -= entry.tokens;
    }
    entry.copy_holder = choose_copy_holder(
        {.id = run, .urgent = entry.urgent, .prompt_tokens = entry.tokens},
        entry.engine, excluded);
    if (entry.copy_holder) {
        loads_[*entry.copy_holder].resident_tokens += entry.tokens;
    }
    return entry.copy_holder;
}

void stream_planner::assign(const planned_run& run, const placement& target,
                            std::uint64_t prefill_tokens, time_point now)
{
    release(run.id);
    record_prompt(run, target, prefill_tokens, now);
    assigned_run entry{.engine = target.engine,
                       .copy_holder = target.copy_holder,
                       .tokens = run.prompt_tokens + run.output_tokens,
                       .pending_prefill = prefill_tokens,
                       .urgent = run.urgent,
                       .prompt = run.prompt,
                       .suspect = run.suspect};
    load& engine = loads_[target.engine];
    while (!engine.recent_prefills.empty() &&
           now - engine.recent_prefills.front().first >
               settings_.prefill_window) {
        engine.recent_prefills.pop_front();
    }
    if (entry.pending_prefill > 0) {
        engine.recent_prefills.emplace_back(now, entry.pending_prefill);
    }
    engine.pending_prefill += entry.pending_prefill;
    engine.resident_tokens += entry.tokens;
    engine.suspects += entry.suspect ? 1 : 0;
    ++engine.runs;
    if (target.copy_holder) {
        loads_[*target.copy_holder].resident_tokens += entry.tokens;
    }
    runs_[run.id] = std::move(entry);
}

void stream_planner::note_started(const request_id& run)
{
    const auto found = runs_.find(run);
    if (found == runs_.end()) {
        return;
    }
    load& engine = loads_[found->second.engine];
    engine.pending_prefill -= found->second.pending_prefill;
    engine.suspects -= found->second.suspect ? 1 : 0;
    found->second.pending_prefill = 0;
    found->second.suspect = false;
    const auto prompt = prompts_.find(found->second.prompt);
    if (prompt != prompts_.end() &&
        prompt->second.engine == found->second.engine) {
        prompt->second.prefilled = true;
    }
}

void stream_planner::release(const request_id& run)
{
    const auto found = runs_.find(run);
    if (found == runs_.end()) {
        return;
    }
    load& engine = loads_[found->second.engine];
    engine.pending_prefill -= found->second.pending_prefill;
    engine.resident_tokens -= found->second.tokens;
    engine.suspects -= found->second.suspect ? 1 : 0;
    --engine.runs;
    if (found->second.copy_holder) {
        const auto holder = loads_.find(*found->second.copy_holder);
        holder->second.resident_tokens -= found->second.tokens;
    }
    runs_.erase(found);
}

std::uint64_t
stream_planner::pending_prefill_tokens(const upstream_id& id) const
{
    return load_of(id).pending_prefill;
}

std::uint64_t stream_planner::resident_tokens(const upstream_id& id) const
{
    return load_of(id).resident_tokens;
}

std::size_t
stream_planner::usable_engines(const rollout::version_filter& versions) const
{
    return static_cast<std::size_t>(
        std::count_if(engines_.begin(), engines_.end(), [&](const auto& each) {
            return each.second.usable && versions.admits(each.second.version);
        }));
}

void stream_planner::reserve_scarce_versions()
{
    // Below this share of the engines, streams of the version have too little
    // room elsewhere when one of its engines is lost.
    constexpr std::size_t scarce_fraction = 3;
    std::map<software_version, std::size_t> engines;
    std::size_t total = 0;
    for (const auto& [id, engine] : engines_) {
        if (engine.usable) {
            ++engines[engine.version];
            ++total;
        }
    }
    for (auto& [id, engine] : engines_) {
        engine.reserved =
            engine.usable && engines[engine.version] * scarce_fraction < total;
    }
}

std::vector<request_id> stream_planner::runs_using(const upstream_id& id) const
{
    std::vector<request_id> out;
    for (const auto& [run, entry] : runs_) {
        if (entry.engine == id || entry.copy_holder == id) {
            out.push_back(run);
        }
    }
    return out;
}

std::size_t stream_planner::runs(const upstream_id& id) const
{
    return load_of(id).runs;
}

} // namespace bamboogate::relay
