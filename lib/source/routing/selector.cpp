#include <bamboogate/routing/selector.hpp>

#include <algorithm>
#include <random>
#include <tuple>

namespace bamboogate::routing {

struct selector::upstream
{
    /// Own work at a time, to take out of lagging reports.
    struct sample
    {
        time_point at;
        std::uint64_t tokens = 0;
        unsigned streams = 0;
    };

    announcement latest;
    bool suspected = false;
    time_point ramp_from; ///< start of the slow start
    bool ramps = false;
    unsigned streams = 0;
    unsigned home_slots = 0;
    std::uint64_t outstanding = 0;
    double others = 0.0; ///< outstanding tokens of other gates
    unsigned others_streams = 0;
    std::deque<sample> history;
    circuit_breaker breaker;

    void note(time_point now)
    {
        constexpr std::size_t max_samples = 256;
        // Samples within a millisecond are merged: the lag is not known better.
        if (!history.empty() &&
            now - history.back().at < std::chrono::milliseconds(1)) {
            history.back().tokens = outstanding;
            history.back().streams = streams;
            return;
        }
        history.push_back({now, outstanding, streams});
        if (history.size() > max_samples) {
            history.pop_front();
        }
    }

    [[nodiscard]] sample own_at(time_point when)
    {
        while (history.size() > 1 && history[1].at <= when) {
            history.pop_front();
        }
        if (history.empty() || history.front().at > when) {
            return {};
        }
        return history.front();
    }

    [[nodiscard]] double load() const noexcept
    {
        return others + static_cast<double>(outstanding);
    }
};

selector::selector(options settings)
    : settings_(settings), index_(settings.index)
{}

selector::~selector() = default;

selector::upstream* selector::lookup(const upstream_id& id) const noexcept
{
    const auto found = upstreams_.find(id);
    return found == upstreams_.end() ? nullptr : found->second.get();
}

void selector::enlist(upstream& entry)
{
    if (entry.latest.kind == upstream_kind::service) {
        by_service_[entry.latest.service].push_back(&entry);
        return;
    }
    for (const model_id& model : entry.latest.models) {
        by_model_[model].push_back(&entry);
    }
}

void selector::delist(upstream& entry)
{
    if (entry.latest.kind == upstream_kind::service) {
        std::erase(by_service_[entry.latest.service], &entry);
        return;
    }
    for (const model_id& model : entry.latest.models) {
        std::erase(by_model_[model], &entry);
    }
}

void selector::deal_home_slots()
{
    std::vector<upstream*> order;
    order.reserve(upstreams_.size());
    for (const auto& [id, entry] : upstreams_) {
        if (entry->latest.kind == upstream_kind::engine &&
            !entry->latest.draining && !entry->suspected) {
            order.push_back(entry.get());
        }
    }
    // Engines with the same models form a pool; the deal starts anew in each,
    // so that a gate's home slots add up to its equal part of the pool.
    std::sort(order.begin(), order.end(),
              [](const upstream* left, const upstream* right) {
                  return std::tie(left->latest.models, left->latest.id) <
                         std::tie(right->latest.models, right->latest.id);
              });
    const unsigned gates = std::max(1u, settings_.gates);
    unsigned dealt = 0;
    const upstream* before = nullptr;
    for (upstream* entry : order) {
        if (before == nullptr ||
            before->latest.models != entry->latest.models) {
            dealt = 0;
        }
        before = entry;
        // Numbers below n whose remainder is the index of this gate.
        auto own_below = [&](unsigned n) {
            return (n + gates - 1 - settings_.gate_index) / gates;
        };
        const unsigned after = dealt + entry->latest.slots;
        entry->home_slots = own_below(after) - own_below(dealt);
        dealt = after;
    }
}

void selector::on_table_event(table_event event, const upstream_record& record,
                              time_point now)
{
    const upstream_id& id = record.latest.id;
    upstream* entry = lookup(id);
    if (event == table_event::left || event == table_event::removed) {
        if (entry != nullptr) {
            delist(*entry);
            upstreams_.erase(id);
            deal_home_slots();
        }
        if (departed_.size() < settings_.max_departed) {
            departed_.insert(id);
        }
        index_.drop(id);
        return;
    }
    if (event == table_event::suspected) {
        if (entry != nullptr) {
            entry->suspected = true;
            deal_home_slots();
        }
        return;
    }
    const bool returns = event == table_event::recovered ||
                         (event == table_event::joined &&
                          (entry != nullptr || departed_.erase(id) > 0));
    if (entry == nullptr) {
        entry = upstreams_.emplace(id, std::make_unique<upstream>())
                    .first->second.get();
        entry->breaker = circuit_breaker(settings_.breaker);
    }
    // Most news changes only the load; the lists are long.
    const bool relist = entry->latest.models != record.latest.models ||
                        entry->latest.kind != record.latest.kind ||
                        entry->latest.service != record.latest.service;
    if (relist) {
        delist(*entry);
    }
    const bool redeal = relist || entry->latest.slots != record.latest.slots ||
                        entry->latest.draining != record.latest.draining ||
                        entry->suspected != record.suspected;
    if (event == table_event::joined) {
        // Attempts on the earlier life still end through `finished`, but the
        // new life has none of their load or failures.
        entry->breaker = circuit_breaker(settings_.breaker);
        entry->others = 0.0;
        entry->others_streams = 0;
    }
    if (returns) {
        entry->ramps = true;
        entry->ramp_from = now;
    }
    entry->latest = record.latest;
    entry->suspected = record.suspected;
    if (relist) {
        enlist(*entry);
    }
    if (redeal) {
        deal_home_slots();
    }
    const upstream::sample contained =
        settings_.subtract_own ? entry->own_at(now - settings_.report_lag)
                               : upstream::sample{};
    const std::uint64_t tokens = record.latest.outstanding_tokens;
    entry->others = tokens > contained.tokens
                        ? static_cast<double>(tokens - contained.tokens)
                        : 0.0;
    const unsigned streams = record.latest.running + record.latest.queued;
    entry->others_streams =
        streams > contained.streams ? streams - contained.streams : 0;
    if (settings_.prefix_affinity &&
        record.latest.kind == upstream_kind::engine) {
        index_.apply(id, record.latest.incarnation, record.latest.cache_events);
    }
}

unsigned selector::stream_limit(const upstream& candidate, time_point now) const
{
    const unsigned limit = settings_.max_streams_per_upstream != 0
                               ? settings_.max_streams_per_upstream
                               : candidate.latest.slots;
    if (!candidate.ramps || settings_.slow_start <= duration::zero()) {
        return limit;
    }
    const double progress = to_seconds(now - candidate.ramp_from) /
                            to_seconds(settings_.slow_start);
    if (progress >= 1.0) {
        return limit;
    }
    const auto ramped = static_cast<unsigned>(progress * limit);
    return std::max(1u, ramped);
}

bool selector::usable(const upstream& candidate, time_point now) const
{
    return !candidate.latest.draining && candidate.breaker.allows(now);
}

double selector::cost(const upstream& candidate, const engine_request& request,
                      std::size_t cached_blocks) const
{
    const double slots = std::max(1u, candidate.latest.slots);
    double tokens =
        (candidate.load() + static_cast<double>(request.tokens)) / slots;
    tokens -=
        settings_.cached_block_tokens * static_cast<double>(cached_blocks);
    if (!request.preferred_domain.empty() &&
        candidate.latest.failure_domain != request.preferred_domain) {
        tokens += settings_.cross_domain_penalty_tokens;
    }
    const unsigned occupied = candidate.streams + candidate.others_streams;
    if (candidate.latest.slots > 0 && occupied >= candidate.latest.slots) {
        tokens += settings_.queueing_penalty_tokens *
                  (1.0 + occupied - candidate.latest.slots);
    } else if (candidate.streams >= candidate.home_slots) {
        tokens += settings_.queueing_penalty_tokens *
                  settings_.remote_slot_penalty *
                  (1.0 + candidate.streams - candidate.home_slots);
    }
    // A suspected engine is the last resort: it may only be cut off from us.
    constexpr double suspicion_tokens = 1e9;
    return candidate.suspected ? tokens + suspicion_tokens : tokens;
}

result<upstream_choice> selector::choose_engine(const engine_request& request,
                                                time_point now,
                                                std::uint64_t random) const
{
    const auto found = by_model_.find(request.model);
    if (found == by_model_.end() || found->second.empty()) {
        return fail(errc::not_found,
                    "no engine announces model " + request.model.value());
    }
    const std::vector<upstream*>& candidates = found->second;
    const upstream* best = nullptr;
    double best_cost = 0.0;
    std::size_t best_blocks = 0;
    auto consider = [&](const upstream& candidate, std::size_t blocks) {
        if (!usable(candidate, now) ||
            candidate.streams >= stream_limit(candidate, now)) {
            return;
        }
        const auto& excluded = request.exclusions;
        if (std::find(excluded.begin(), excluded.end(), candidate.latest.id) !=
            excluded.end()) {
            return;
        }
        const double price = cost(candidate, request, blocks);
        if (best == nullptr || price < best_cost) {
            best = &candidate;
            best_cost = price;
            best_blocks = blocks;
        }
    };
    if (settings_.prefix_affinity && !request.prefix.empty()) {
        for (const auto& match : index_.find(request.prefix)) {
            const upstream* holder = lookup(match.engine);
            const bool serves =
                holder != nullptr &&
                std::find(holder->latest.models.begin(),
                          holder->latest.models.end(),
                          request.model) != holder->latest.models.end();
            if (serves) {
                consider(*holder, match.blocks);
            }
        }
    }
    const std::size_t count = candidates.size();
    const std::size_t start = random % count;
    const bool sampled = count > 2 * settings_.sample_size;
    if (sampled) {
        std::minstd_rand generator(
            static_cast<std::minstd_rand::result_type>(random >> 32));
        for (std::size_t i = 0; i < settings_.sample_size; ++i) {
            consider(*candidates[generator() % count], 0);
        }
    }
    // A suspected choice is not good enough to stop the search for others.
    if (!sampled || best == nullptr || best->suspected) {
        for (std::size_t i = 0; i < count; ++i) {
            consider(*candidates[(start + i) % count], 0);
        }
    }
    if (best == nullptr) {
        return fail(errc::overloaded, "no engine accepts work for model " +
                                          request.model.value());
    }
    return upstream_choice{best->latest.id, best->latest.address,
                           best->latest.incarnation, best_blocks};
}

result<upstream_choice>
selector::choose_service(const service_id& service,
                         std::span<const upstream_id> exclusions,
                         time_point now, std::uint64_t random) const
{
    const auto found = by_service_.find(service);
    if (found == by_service_.end() || found->second.empty()) {
        return fail(errc::not_found,
                    "no upstream announces service " + service.value());
    }
    const upstream* best = nullptr;
    const std::size_t count = found->second.size();
    for (std::size_t i = 0; i < count; ++i) {
        const upstream& candidate = *found->second[(random + i) % count];
        const bool excluded =
            std::find(exclusions.begin(), exclusions.end(),
                      candidate.latest.id) != exclusions.end();
        if (excluded || !usable(candidate, now)) {
            continue;
        }
        const bool better = best == nullptr ||
                            (best->suspected && !candidate.suspected) ||
                            (best->suspected == candidate.suspected &&
                             candidate.streams < best->streams);
        if (better) {
            best = &candidate;
        }
    }
    if (best == nullptr) {
        return fail(errc::overloaded, "no upstream of service " +
                                          service.value() + " accepts calls");
    }
    return upstream_choice{best->latest.id, best->latest.address,
                           best->latest.incarnation, 0};
}

void selector::started(const upstream_id& id, std::uint64_t tokens,
                       time_point now)
{
    if (upstream* entry = lookup(id)) {
        ++entry->streams;
        entry->outstanding += tokens;
        entry->note(now);
        if (entry->breaker.allows(now)) {
            entry->breaker.started(now);
        }
    }
}

void selector::tokens_received(const upstream_id& id, std::uint64_t tokens,
                               time_point now)
{
    if (upstream* entry = lookup(id)) {
        entry->outstanding -= std::min(tokens, entry->outstanding);
        entry->note(now);
    }
}

void selector::finished(const upstream_id& id, std::uint64_t unused,
                        attempt_end end, time_point now)
{
    upstream* entry = lookup(id);
    if (entry == nullptr) {
        return;
    }
    entry->streams -= std::min(entry->streams, 1u);
    entry->outstanding -= std::min(unused, entry->outstanding);
    if (entry->streams == 0) {
        entry->outstanding = 0;
    }
    entry->note(now);
    if (end == attempt_end::succeeded) {
        entry->breaker.succeeded();
    } else if (end == attempt_end::failed) {
        entry->breaker.failed(now);
    }
}

unsigned selector::streams(const upstream_id& id) const noexcept
{
    const upstream* entry = lookup(id);
    return entry == nullptr ? 0 : entry->streams;
}

unsigned selector::slots_of(const model_id& model) const noexcept
{
    const auto found = by_model_.find(model);
    if (found == by_model_.end()) {
        return 0;
    }
    unsigned slots = 0;
    for (const upstream* entry : found->second) {
        slots += entry->latest.draining || entry->suspected
                     ? 0
                     : entry->latest.slots;
    }
    return slots;
}

double selector::load(const upstream_id& id) const noexcept
{
    const upstream* entry = lookup(id);
    return entry == nullptr ? 0.0 : entry->load();
}

} // namespace bamboogate::routing
