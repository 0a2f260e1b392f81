#include <algorithm>
#include <cmath>
#include <limits>

#include "admission_state.hpp"

namespace bamboogate::scheduling {

namespace {

constexpr double unlimited = std::numeric_limits<double>::infinity();

} // namespace

dispatch_decision admission::schedule(unsigned free_slots, time_point now)
{
    state& s = *state_;
    dispatch_decision out;
    s.capacity = free_slots + s.running;
    s.forget_idle_accounts(now);
    s.refresh_fair_levels(free_slots, now);
    s.refresh_headroom(now);
    s.drop_late(out, now);
    while (free_slots > 0) {
        state::entry* item = s.choose(free_slots, now);
        if (item == nullptr) {
            break;
        }
        s.start(*item, now);
        out.start.push_back(item->request.id);
        --free_slots;
    }
    s.preempt(out, now);
    return out;
}

void admission::state::drop_late(dispatch_decision& out, time_point now)
{
    while (!deadlines.empty() && deadlines.begin()->first <= now) {
        out.dropped.push_back(
            drop(*deadlines.begin()->second,
                 {.code = errc::not_run,
                  .retry_after = std::chrono::seconds(1),
                  .detail = "the deadline passed in the queue"}));
    }
}

admission::state::entry* admission::state::choose(unsigned free_slots,
                                                  time_point now)
{
    if (!settings.ranks && !settings.fair_accounts &&
        !settings.static_partitioning) {
        return oldest();
    }
    if (entry* aged = choose_aged(now)) {
        return aged;
    }
    if (entry* guaranteed = choose_guaranteed(free_slots)) {
        return guaranteed;
    }
    return choose_by_rank(free_slots);
}

admission::state::entry* admission::state::oldest() const
{
    entry* first = nullptr;
    for (const auto& rank : ranks) {
        if (!rank->waiting.empty() &&
            (first == nullptr ||
             rank->waiting.front()->submitted < first->submitted)) {
            first = rank->waiting.front();
        }
    }
    return first;
}

/// The oldest request of a rank that gets no starts. Within a rank, fair
/// queueing already starts every request in finite time.
admission::state::entry* admission::state::choose_aged(time_point now)
{
    if (!settings.aging || settings.static_partitioning) {
        return nullptr;
    }
    entry* first = nullptr;
    for (const auto& rank : ranks) {
        if (rank->waiting.empty()) {
            continue;
        }
        entry* head = rank->waiting.front();
        const duration limit = rank->policy.max_queue_wait;
        if (now - head->submitted > limit &&
            now - rank->last_start > limit / settings.aging_divisor &&
            (first == nullptr || head->submitted < first->submitted)) {
            first = head;
        }
    }
    counters.started_by_aging += first != nullptr ? 1 : 0;
    return first;
}

/// How much of its guarantee a class or its rank uses; infinite when neither
/// is below its guarantee.
double admission::state::guarantee_ratio(const class_state& item) const
{
    double ratio = unlimited;
    auto consider = [&](double share, unsigned in_use) {
        const double slots = share * capacity;
        if (slots > 0.0 && in_use < slots) {
            ratio = std::min(ratio, in_use / slots);
        }
    };
    if (settings.floors && settings.ranks) {
        consider(item.rank->policy.floor_share, item.rank->running);
    }
    if (settings.class_shares) {
        consider(item.share, item.running);
    }
    return ratio;
}

bool admission::state::within_split(const class_state& item) const
{
    const double share = std::max(item.share, undeclared_share);
    return !settings.static_partitioning ||
           item.running < std::max(1.0, std::floor(share * capacity));
}

admission::state::entry*
admission::state::choose_guaranteed(unsigned free_slots)
{
    entry* best = nullptr;
    double best_ratio = unlimited;
    for (const auto& item : classes) {
        if (item->accounts.empty() || !within_split(*item)) {
            continue;
        }
        const double ratio = guarantee_ratio(*item);
        if (ratio >= best_ratio) {
            continue;
        }
        if (entry* head = choose_in_class(*item, free_slots, true)) {
            best = head;
            best_ratio = ratio;
        }
    }
    return best;
}

admission::state::entry* admission::state::choose_by_rank(unsigned free_slots)
{
    entry* best = nullptr;
    unsigned best_priority = 0;
    double best_use = unlimited;
    for (const auto& item : classes) {
        if (item->accounts.empty() || !within_split(*item)) {
            continue;
        }
        const unsigned priority =
            settings.ranks ? item->rank->policy.priority : 0;
        const double use =
            item->running / std::max(item->share, undeclared_share);
        const bool better = best == nullptr || priority < best_priority ||
                            (priority == best_priority && use < best_use);
        if (!better) {
            continue;
        }
        if (entry* head = choose_in_class(*item, free_slots, false)) {
            best = head;
            best_priority = priority;
            best_use = use;
        }
    }
    return best;
}

admission::state::entry*
admission::state::choose_in_class(class_state& service_class,
                                  unsigned free_slots, bool guaranteed)
{
    // Guaranteed work may use the slots kept for urgent work, as urgent work
    // has no claim to them.
    const bool urgent = service_class.rank == ranks.front().get();
    const unsigned kept =
        urgent || guaranteed || !settings.ranks ? 0 : urgent_headroom;
    if (free_slots <= kept) {
        return nullptr;
    }
    // Within its own capacity the most urgent rank preempts lower work, so its
    // large accounts do not stand in the way of the small ones.
    const bool contended =
        !urgent || service_class.rank->running + light_headroom >=
                       slots_for(*service_class.rank);
    // Work below its guarantee takes any slot: else a rank in which all
    // accounts ask for more than they get would never reach its floor.
    const bool only_light =
        contended && !guaranteed && free_slots <= kept + light_headroom;
    auto* who = service_class.accounts.front([&](const queue::account& item) {
        return !only_light || !is_large(service_class, item);
    });
    return who == nullptr ? nullptr : who->items.front();
}

void admission::state::start(entry& item, time_point now)
{
    queue& accounts = item.service_class->accounts;
    const std::uint64_t estimate = item.remaining();
    item.rank().waiting.erase(item.in_rank);
    if (item.request.deadline) {
        deadlines.erase({*item.request.deadline, &item});
    }
    if (item.account->items.front() == &item) {
        accounts.pop(*item.account, estimate);
    } else {
        accounts.erase(*item.account, item.in_account);
        accounts.adjust(*item.account, static_cast<double>(estimate));
    }
    item.charged += estimate;
    item.now_in = phase::running;
    item.started = now;
    item.start_number = ++starts;
    item.rank().active.emplace(item.start_number, &item);
    ++item.rank().running;
    ++item.service_class->running;
    ++item.service_class->active;
    ++item.account->running;
    ++running;
    item.rank().last_start = now;
    ++counters.started;
}

/// Waiting requests that accept the filter and would wait too long.
template <typename Filter>
unsigned admission::state::count_late(const rank_state& rank, time_point now,
                                      Filter filter) const
{
    constexpr unsigned max_scanned = 64;
    const double releases = release_rate();
    const double allowed = settings.preempt_wait_fraction *
                           to_seconds(rank.policy.first_token_target);
    unsigned scanned = 0;
    unsigned position = 0;
    unsigned late = 0;
    for (const entry* item : rank.waiting) {
        if (++scanned > max_scanned) {
            break;
        }
        if (!filter(*item)) {
            continue;
        }
        ++position;
        const double wait = to_seconds(now - item->submitted) +
                            (releases > 0 ? position / releases : 0.0);
        late += wait > allowed ? 1 : 0;
    }
    return late;
}

void admission::state::stop(entry& victim, dispatch_decision& out)
{
    victim.rank().active.erase({victim.start_number, &victim});
    victim.now_in = phase::preempting;
    --victim.service_class->active;
    // Urgent preemptions are not refused for want of credit, but they leave
    // none for the small accounts.
    repeat_credit = std::max(
        repeat_credit - static_cast<double>(victim.request.prompt_tokens +
                                            victim.generated),
        -settings.max_recompute_credit);
    ++preempting;
    ++counters.preempted;
    out.preempt.push_back(victim.request.id);
}

void admission::state::preempt(dispatch_decision& out, time_point now)
{
    if (!preset.preemption || !settings.preemption) {
        return;
    }
    unsigned promised = preempting; // slots that come free soon
    for (const auto& rank : ranks) {
        preempt_for_rank(*rank, promised, out, now);
        preempt_for_small(*rank, promised, out, now);
    }
}

void admission::state::preempt_for_rank(rank_state& rank, unsigned& promised,
                                        dispatch_decision& out, time_point now)
{
    if (!settings.ranks) {
        return;
    }
    const unsigned late =
        count_late(rank, now, [](const entry&) { return true; });
    while (late > promised) {
        entry* victim = choose_victim(rank);
        if (victim == nullptr) {
            break;
        }
        ++victim->preemptions;
        stop(*victim, out);
        ++promised;
    }
    promised -= std::min(promised, late);
}

void admission::state::preempt_for_small(rank_state& rank, unsigned& promised,
                                         dispatch_decision& out, time_point now)
{
    if (!settings.account_preemption || !rank.policy.preemptible) {
        return;
    }
    const unsigned late = count_late(rank, now, [](const entry& item) {
        return !is_large(*item.service_class, *item.account);
    });
    while (late > promised) {
        entry* victim = choose_large_victim(rank);
        if (victim == nullptr || repeat_credit <= 0.0) {
            break;
        }
        victim->yielded = true;
        stop(*victim, out);
        ++promised;
    }
    promised -= std::min(promised, late);
}

admission::state::entry*
admission::state::choose_large_victim(const rank_state& rank)
{
    constexpr unsigned max_scanned = 64;
    entry* best = nullptr;
    std::uint64_t best_cost = 0;
    unsigned scanned = 0;
    for (auto it = rank.active.rbegin();
         it != rank.active.rend() && scanned < max_scanned; ++it, ++scanned) {
        entry* item = it->second;
        const double level =
            item->service_class->fair_level * item->account->weight;
        if (item->yielded || item->account->running < level + 1.0) {
            continue;
        }
        const std::uint64_t cost =
            item->request.prompt_tokens + item->generated;
        if (best == nullptr || cost < best_cost) {
            best = item;
            best_cost = cost;
        }
    }
    return best;
}

admission::state::entry*
admission::state::choose_victim(const rank_state& urgent)
{
    // The newest generations have the smallest prefix to prefill again; the
    // scan is bounded because a gate may run thousands.
    constexpr unsigned max_scanned = 32;
    for (auto rank = ranks.rbegin(); rank != ranks.rend(); ++rank) {
        const rank_state& lower = **rank;
        if (lower.policy.priority <= urgent.policy.priority) {
            break;
        }
        const double floor =
            settings.floors ? lower.policy.floor_share * capacity : 0.0;
        const auto active = static_cast<double>(lower.active.size());
        if (!lower.policy.preemptible || active - 1.0 < floor) {
            continue;
        }
        entry* best = nullptr;
        std::uint64_t best_cost = 0;
        unsigned scanned = 0;
        for (auto it = lower.active.rbegin();
             it != lower.active.rend() && scanned < max_scanned;
             ++it, ++scanned) {
            entry* item = it->second;
            const class_state& own = *item->service_class;
            const double kept =
                settings.class_shares ? own.share * capacity : 0.0;
            const std::uint64_t cost =
                item->request.prompt_tokens + item->generated;
            if (item->preemptions < settings.max_preemptions &&
                own.active - 1.0 >= kept &&
                (best == nullptr || cost < best_cost)) {
                best = item;
                best_cost = cost;
            }
        }
        if (best != nullptr) {
            return best;
        }
    }
    return nullptr;
}

} // namespace bamboogate::scheduling
