#include <bamboogate/scheduling/log_events.hpp>

#include <fmt/format.h>

#include <algorithm>

#include "admission_state.hpp"

namespace bamboogate::scheduling {

namespace {

constexpr duration shortest_retry = std::chrono::milliseconds(100);
constexpr duration longest_retry = std::chrono::seconds(30);
// Classes come from declarations; this bounds the memory if they do not.
constexpr std::size_t max_classes = 1024;
// Estimates are corrected in steps, as each step sorts the account anew.
constexpr std::uint64_t correction_step = 64;

refusal refuse(errc reason, duration retry_after, std::string detail)
{
    return {reason, std::clamp(retry_after, shortest_retry, longest_retry),
            std::move(detail)};
}

} // namespace

void admission::state::load_preset(const control::preset& in_force)
{
    preset = in_force;
    if (preset.ranks.empty()) {
        preset.ranks.push_back({.name = "default"});
    }
    std::stable_sort(preset.ranks.begin(), preset.ranks.end(),
                     [](const auto& left, const auto& right) {
                         return left.priority < right.priority;
                     });
    for (auto& item : classes) {
        const auto found =
            std::find_if(preset.class_shares.begin(), preset.class_shares.end(),
                         [&](const auto& share) {
                             return share.service_class == item->name;
                         });
        item->share = found == preset.class_shares.end() ? 0.0 : found->share;
    }
}

admission::state::rank_state*
admission::state::rank_named(std::string_view name)
{
    const auto found =
        std::find_if(ranks.begin(), ranks.end(), [&](const auto& rank) {
            return rank->policy.name == name;
        });
    return found == ranks.end() ? nullptr : found->get();
}

admission::state::class_state*
admission::state::class_for(const admission_request& request, rank_state& rank)
{
    for (auto& item : classes) {
        if (item->rank == &rank && item->name == request.service_class) {
            return item.get();
        }
    }
    if (classes.size() == max_classes) {
        return nullptr;
    }
    auto& added = *classes.emplace_back(std::make_unique<class_state>());
    added.name = request.service_class;
    added.rank = &rank;
    added.accounts = queue(settings.fair_accounts);
    for (const control::class_share& share : preset.class_shares) {
        if (share.service_class == added.name) {
            added.share = share.share;
        }
    }
    return &added;
}

double admission::state::weight_of(const client_account_id& id) const
{
    const auto found = weights.find(id);
    return found == weights.end() ? 1.0 : found->second;
}

void admission::state::touch(class_state& service_class, queue::account& who,
                             time_point now)
{
    who.last_active = now;
    if (!who.active) {
        who.active = true;
        who.weight = weight_of(who.id);
        service_class.active_accounts.push_back(&who);
    }
}

std::optional<refusal>
admission::state::queue_problem(const rank_state& rank,
                                const queue::account& who) const
{
    if (who.items.size() < settings.min_account_queue) {
        return std::nullopt;
    }
    const double rate = slots_for(rank) / rank.hold.seconds();
    const double drain =
        rate > 0.0 ? static_cast<double>(rank.waiting.size()) / rate : 1.0;
    const duration retry_after(
        static_cast<duration::rep>(std::min(drain, 60.0) * 1e9));
    if (rank.waiting.size() >= rank.policy.queue_limit) {
        return refuse(
            errc::overloaded, retry_after,
            fmt::format("the queue of rank {} is full", rank.policy.name));
    }
    const double part = settings.max_account_queue *
                        static_cast<double>(rank.policy.queue_limit);
    if (settings.fair_accounts &&
        static_cast<double>(who.items.size()) >= part) {
        return refuse(errc::overloaded, retry_after,
                      "the client account has too many requests waiting");
    }
    return std::nullopt;
}

void admission::state::enqueue(entry& item, bool front)
{
    item.now_in = phase::waiting;
    item.in_account =
        item.service_class->accounts.push(*item.account, &item, front);
    auto& waiting = item.rank().waiting;
    item.in_rank =
        waiting.insert(front ? waiting.begin() : waiting.end(), &item);
    if (item.request.deadline && !item.ran) {
        deadlines.emplace(*item.request.deadline, &item);
    }
}

void admission::state::unqueue(entry& item)
{
    item.service_class->accounts.erase(*item.account, item.in_account);
    item.rank().waiting.erase(item.in_rank);
    if (item.request.deadline) {
        deadlines.erase({*item.request.deadline, &item});
    }
}

/// Charges what was generated beyond the estimate, or gives back the rest.
void admission::state::settle(entry& item)
{
    if (settings.correct_estimates && item.charged != item.generated) {
        item.service_class->accounts.adjust(
            *item.account, static_cast<double>(item.generated) -
                               static_cast<double>(item.charged));
        item.charged = item.generated;
    }
}

void admission::state::release(entry& item, time_point now)
{
    rank_state& rank = item.rank();
    rank.active.erase({item.start_number, &item});
    --rank.running;
    --item.service_class->running;
    --item.account->running;
    --running;
    if (item.now_in == phase::preempting) {
        --preempting;
    } else {
        --item.service_class->active;
    }
    rank.hold.add_sample(now - item.started);
    settle(item);
}

dropped_request admission::state::drop(entry& item, refusal why)
{
    dropped_request dropped{item.request.id, std::move(why)};
    unqueue(item);
    settle(item);
    ++counters.dropped;
    entries.erase(dropped.id);
    return dropped;
}

/// Refuses the newest waiting requests that never ran, down to a limit.
void admission::state::drop_waiting(rank_state& rank, std::size_t limit,
                                    std::string_view reason,
                                    std::vector<dropped_request>& dropped)
{
    auto it = rank.waiting.end();
    while (it != rank.waiting.begin() && rank.waiting.size() > limit) {
        entry& item = **--it;
        if (item.ran) {
            continue;
        }
        ++it;
        dropped.push_back(drop(
            item, refuse(errc::not_run, shortest_retry, std::string(reason))));
    }
}

admission::admission(const control::preset& in_force, options settings)
    : state_(std::make_unique<state>(settings))
{
    (void)apply(in_force, time_point{});
}

admission::~admission() = default;
admission::admission(admission&&) noexcept = default;
admission& admission::operator=(admission&&) noexcept = default;

void admission::set_accounts(std::span<const control::client_account> accounts)
{
    state_->weights.clear();
    for (const control::client_account& account : accounts) {
        if (account.weight > 0.0) {
            state_->weights[account.id] = account.weight;
        }
    }
    for (auto& item : state_->classes) {
        for (auto& [id, who] : item->accounts.accounts()) {
            item->accounts.set_weight(who, state_->weight_of(id));
        }
    }
}

admission_decision admission::submit(admission_request request, time_point now)
{
    state& s = *state_;
    ++s.counters.submitted;
    state::rank_state* rank = s.rank_named(request.rank);
    if (rank == nullptr || s.entries.contains(request.id)) {
        return {.refused = refuse(errc::invalid_argument, longest_retry,
                                  rank == nullptr ? "unknown rank"
                                                  : "the id is in use")};
    }
    state::class_state* service_class = s.class_for(request, *rank);
    if (service_class == nullptr) {
        return {.refused = refuse(errc::invalid_argument, longest_retry,
                                  "too many service classes")};
    }
    auto& who = service_class->accounts.find_or_create(request.account);
    s.touch(*service_class, who, now);
    rank->arrivals.count(now);
    if (!s.is_large(*service_class, who)) {
        s.light_arrivals.count(now);
    }
    constexpr double weight = 0.02;
    service_class->mean_tokens +=
        weight * (static_cast<double>(request.estimated_tokens) -
                  service_class->mean_tokens);
    if (auto full = s.queue_problem(*rank, who)) {
        ++s.counters.refused_overloaded;
        return {.refused = std::move(full)};
    }
    const duration wait = s.expected_wait(*service_class, who);
    duration allowed = rank->policy.max_queue_wait;
    if (request.deadline) {
        allowed = std::min(allowed, *request.deadline - now);
    }
    const bool late = request.deadline && *request.deadline <= now;
    if (late || (s.settings.early_refusal && wait > allowed)) {
        ++s.counters.refused_not_run;
        return {.refused = refuse(errc::not_run, wait - allowed,
                                  "the request cannot start in time"),
                .expected_wait = wait};
    }
    const request_id id = request.id;
    auto& item = s.entries[id];
    item.request = std::move(request);
    item.service_class = service_class;
    item.account = &who;
    item.submitted = now;
    s.enqueue(item, false);
    return {.refused = std::nullopt, .expected_wait = wait};
}

void admission::started(const request_id& id, time_point now)
{
    const auto found = state_->entries.find(id);
    if (found != state_->entries.end() &&
        found->second.now_in != state::phase::waiting) {
        found->second.started = now;
        found->second.ran = true;
    }
}

void admission::dispatch_failed(const request_id& id, time_point now)
{
    const auto found = state_->entries.find(id);
    if (found == state_->entries.end() ||
        found->second.now_in == state::phase::waiting) {
        return;
    }
    // The slot was never used: it says nothing about the hold time.
    found->second.started =
        now - duration(static_cast<duration::rep>(
                  found->second.rank().hold.seconds() * 1e9));
    state_->release(found->second, now);
    state_->enqueue(found->second, true);
}

void admission::tokens_generated(const request_id& id, std::uint64_t total)
{
    const auto found = state_->entries.find(id);
    if (found == state_->entries.end() || total <= found->second.generated) {
        return;
    }
    state::entry& item = found->second;
    item.generated = total;
    const std::uint64_t fresh = total - item.reported;
    item.account->unreported += fresh;
    state_->repeat_credit =
        std::min(state_->repeat_credit + state_->settings.recompute_budget *
                                             static_cast<double>(fresh),
                 state_->settings.max_recompute_credit);
    item.reported = total;
    if (total >= item.charged + correction_step) {
        state_->settle(item);
    }
}

void admission::preempted(const request_id& id, time_point now)
{
    const auto found = state_->entries.find(id);
    if (found == state_->entries.end() ||
        found->second.now_in != state::phase::preempting) {
        return;
    }
    state_->release(found->second, now);
    state_->enqueue(found->second, true);
}

void admission::finished(const request_id& id, time_point now)
{
    const auto found = state_->entries.find(id);
    if (found == state_->entries.end()) {
        return;
    }
    state::entry& item = found->second;
    if (item.now_in == state::phase::waiting) {
        state_->unqueue(item);
        state_->settle(item);
    } else {
        state_->touch(*item.service_class, *item.account, now);
        state_->release(item, now);
        ++state_->counters.finished;
    }
    state_->entries.erase(found);
}

std::vector<dropped_request> admission::apply(const control::preset& in_force,
                                              time_point now)
{
    state& s = *state_;
    auto former = std::move(s.ranks);
    s.ranks.clear();
    s.load_preset(in_force);
    for (const control::rank_policy& policy : s.preset.ranks) {
        const auto same =
            std::find_if(former.begin(), former.end(), [&](const auto& rank) {
                return rank != nullptr && rank->policy.name == policy.name;
            });
        s.ranks.push_back(same == former.end()
                              ? std::make_unique<state::rank_state>()
                              : std::move(*same));
        s.ranks.back()->policy = policy;
        if (same == former.end()) {
            s.ranks.back()->hold =
                hold_time_estimate(s.settings.initial_hold_time);
        }
    }
    std::vector<dropped_request> dropped;
    state::rank_state& lowest = *s.ranks.back();
    for (auto& gone : former) {
        if (gone == nullptr) {
            continue;
        }
        s.drop_waiting(*gone, 0, "the preset in force has no such rank",
                       dropped);
        lowest.waiting.splice(lowest.waiting.begin(), gone->waiting);
        lowest.running += gone->running;
        lowest.active.insert(gone->active.begin(), gone->active.end());
        for (auto& item : s.classes) {
            item->rank = item->rank == gone.get() ? &lowest : item->rank;
        }
    }
    for (auto& rank : s.ranks) {
        s.drop_waiting(*rank, rank->policy.queue_limit,
                       "the preset in force has a shorter queue", dropped);
    }
    s.headroom_due = now;
    return dropped;
}

void admission::remote_usage(const usage_item& usage)
{
    if (!state_->settings.remote_usage) {
        return;
    }
    for (auto& item : state_->classes) {
        if (item->name == usage.service_class) {
            item->accounts.charge_remote(
                item->accounts.find_or_create(usage.account),
                static_cast<double>(usage.tokens),
                state_->settings.max_remote_debt);
            return;
        }
    }
}

std::vector<usage_item> admission::take_usage()
{
    std::vector<usage_item> usage;
    for (auto& item : state_->classes) {
        for (auto& [id, who] : item->accounts.accounts()) {
            if (who.unreported > 0) {
                usage.push_back({item->name, id, who.unreported});
                who.unreported = 0;
            }
        }
    }
    return usage;
}

std::size_t admission::size() const noexcept
{
    return state_->entries.size();
}

double admission::demand() const noexcept
{
    return static_cast<double>(state_->entries.size() +
                               state_->urgent_headroom +
                               state_->light_headroom);
}

double admission::urgent_demand() const noexcept
{
    const state::rank_state& urgent = *state_->ranks.front();
    return static_cast<double>(urgent.running + urgent.waiting.size() +
                               state_->urgent_headroom);
}

std::vector<admission::rank_view> admission::ranks() const
{
    std::vector<rank_view> views;
    for (const auto& rank : state_->ranks) {
        views.push_back(
            {rank->policy.name, rank->waiting.size(), rank->running});
    }
    return views;
}

const admission::totals& admission::counters() const noexcept
{
    return state_->counters;
}

} // namespace bamboogate::scheduling
