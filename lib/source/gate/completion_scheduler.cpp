#include <bamboogate/gate/completion_scheduler.hpp>
#include <bamboogate/routing/capacity_share.hpp>
#include <bamboogate/scheduling/usage_exchange.hpp>

#include <algorithm>
#include <unordered_map>

namespace bamboogate::gate {

namespace {

/// Waiting work is looked at this often even when nothing else happens, as
/// aging, headroom and shares change with time.
constexpr duration pump_interval = std::chrono::milliseconds(20);
constexpr std::size_t bytes_per_token = 4;

const control::preset* find_preset(const control::configuration& configuration)
{
    const auto& all = configuration.declared.presets;
    const auto found =
        std::find_if(all.begin(), all.end(), [&](const auto& each) {
            return each.id == configuration.preset_in_force;
        });
    return found == all.end() ? nullptr : &*found;
}

request_id queue_id(std::uint64_t ticket)
{
    return request_id(std::to_string(ticket));
}

} // namespace

struct completion_scheduler::impl
{
    struct pool
    {
        model_id model;
        scheduling::admission queue;
        routing::capacity_share share;
        std::unique_ptr<scheduling::usage_exchange> exchange;
        unsigned held = 0;
    };

    struct entry
    {
        pool* where = nullptr;
        grant_callback callback; ///< empty once granted
        request_id generation;   ///< empty until bound
        std::string rank;
        time_point submitted;
        std::uint64_t tokens = 0;
        bool holds_slot = false;
        bool queued = true; ///< known to the admission queue
    };

    net::event_loop& loop;
    net::link_hub& hub;
    options settings;
    callbacks functions;
    control::preset preset;
    std::vector<control::client_account> accounts;
    std::map<model_id, std::unique_ptr<pool>> pools;
    std::unordered_map<std::uint64_t, entry> entries;
    std::unordered_map<request_id, std::uint64_t> by_generation;
    std::uint64_t next_ticket = 1;
    net::timer pump_timer;
    bool pump_posted = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    impl(net::event_loop& l, net::link_hub& h, options o, callbacks f)
        : loop(l), hub(h), settings(std::move(o)), functions(std::move(f)),
          pump_timer(l, [this] { pump_all(); })
    {
        hub.on<scheduling::usage_report>(
            [this](const net::peer_info& peer,
                   const scheduling::usage_report& report) {
                receive(peer.node, report);
            });
        pump_timer.start_periodic(pump_interval);
    }

    void receive(const node_id& gate, const scheduling::usage_report& report)
    {
        const auto found = pools.find(model_id(report.pool));
        if (found != pools.end()) {
            found->second->exchange->receive(gate, report);
        }
    }

    pool& pool_of(const model_id& model)
    {
        auto& slot = pools[model];
        if (slot) {
            return *slot;
        }
        slot = std::make_unique<pool>(
            pool{.model = model,
                 .queue = scheduling::admission(preset, {}),
                 .share = routing::capacity_share(
                     {.self = settings.self, .gates = settings.gates}),
                 .exchange = nullptr});
        pool* created = slot.get();
        created->queue.set_accounts(accounts);
        created->exchange = std::make_unique<scheduling::usage_exchange>(
            loop, hub,
            scheduling::usage_exchange::options{
                .ledger = {.incarnation = settings.incarnation,
                           .pool = model.value()}},
            scheduling::usage_exchange::callbacks{
                .take_usage = [created] { return created->queue.take_usage(); },
                .demand =
                    [created] {
                        return std::max(created->queue.demand(),
                                        static_cast<double>(created->held));
                    },
                .urgent_demand =
                    [created] { return created->queue.urgent_demand(); },
                .charge =
                    [created](const scheduling::usage_item& item) {
                        created->queue.remote_usage(item);
                    },
                .on_demand_report =
                    [this, created](const node_id& gate, double demand,
                                    double urgent) {
                        created->share.receive(
                            gate, {.total = demand, .urgent = urgent},
                            loop.now());
                    }});
        return *created;
    }

    unsigned slots(pool& which)
    {
        const time_point now = loop.now();
        which.share.receive(settings.self,
                            {.total = which.queue.demand(),
                             .urgent = which.queue.urgent_demand()},
                            now);
        return which.share.slots(functions.slots_of(which.model), now);
    }

    void pump_soon()
    {
        if (pump_posted) {
            return;
        }
        // The grant must not run inside the call that freed the slot.
        pump_posted = true;
        loop.post([this, guard = alive] {
            if (!*guard) {
                return;
            }
            pump_posted = false;
            pump_all();
        });
    }

    void pump_all()
    {
        for (auto& [model, which] : pools) {
            pump(*which);
        }
    }

    void pump(pool& which)
    {
        const unsigned total = slots(which);
        const unsigned free = total - std::min(total, which.held);
        const auto decided = which.queue.schedule(free, loop.now());
        for (const auto& dropped : decided.dropped) {
            drop(dropped);
        }
        for (const auto& id : decided.preempt) {
            preempt(id);
        }
        for (const auto& id : decided.start) {
            start(id);
        }
    }

    entry* find(const request_id& queued)
    {
        const auto found = entries.find(std::stoull(queued.value()));
        return found == entries.end() ? nullptr : &found->second;
    }

    void drop(const scheduling::dropped_request& dropped)
    {
        entry* found = find(dropped.id);
        if (found == nullptr) {
            return;
        }
        auto callback = std::move(found->callback);
        found->queued = false;
        if (!callback) {
            // A preempted generation that found no room again is kept by its
            // caller's gate; it goes on outside the queue.
            found->where->held += 1;
            found->holds_slot = true;
            functions.resume(found->generation);
            return;
        }
        entries.erase(std::stoull(dropped.id.value()));
        callback(fail(dropped.cause.code, dropped.cause.detail));
    }

    void preempt(const request_id& id)
    {
        entry* found = find(id);
        if (found == nullptr || found->generation.empty() ||
            !functions.preempt(found->generation)) {
            return;
        }
        release(*found);
        found->where->queue.preempted(id, loop.now());
    }

    void start(const request_id& id)
    {
        entry* found = find(id);
        if (found == nullptr) {
            return;
        }
        found->holds_slot = true;
        ++found->where->held;
        found->where->queue.started(id, loop.now());
        if (!found->callback) {
            functions.resume(found->generation);
            return;
        }
        const completion_grant grant{.ticket = std::stoull(id.value()),
                                     .priority = priority_of(found->rank),
                                     .waited = loop.now() - found->submitted};
        auto callback = std::exchange(found->callback, {});
        callback(grant);
    }

    [[nodiscard]] unsigned priority_of(const std::string& rank) const
    {
        for (const auto& each : preset.ranks) {
            if (each.name == rank) {
                return each.priority;
            }
        }
        return static_cast<unsigned>(preset.ranks.size());
    }

    static void release(entry& which)
    {
        if (which.holds_slot) {
            which.holds_slot = false;
            --which.where->held;
        }
    }

    void end(std::uint64_t ticket)
    {
        const auto found = entries.find(ticket);
        if (found == entries.end()) {
            return;
        }
        release(found->second);
        if (found->second.queued) {
            found->second.where->queue.finished(queue_id(ticket), loop.now());
        }
        if (!found->second.generation.empty()) {
            by_generation.erase(found->second.generation);
        }
        entries.erase(found);
        pump_soon();
    }
};

completion_scheduler::completion_scheduler(net::event_loop& loop,
                                           net::link_hub& hub, options settings,
                                           callbacks functions)
    : impl_(std::make_unique<impl>(loop, hub, std::move(settings),
                                   std::move(functions)))
{}

completion_scheduler::~completion_scheduler()
{
    *impl_->alive = false;
}

void completion_scheduler::apply(const control::configuration& configuration)
{
    const auto* in_force = find_preset(configuration);
    if (in_force == nullptr) {
        return;
    }
    impl_->preset = *in_force;
    impl_->accounts = configuration.declared.client_accounts;
    for (auto& [model, which] : impl_->pools) {
        which->queue.set_accounts(impl_->accounts);
        for (const auto& dropped :
             which->queue.apply(*in_force, impl_->loop.now())) {
            impl_->drop(dropped);
        }
    }
    impl_->pump_soon();
}

completion_scheduler::submit_result
completion_scheduler::submit(completion_work work, grant_callback callback)
{
    auto& where = impl_->pool_of(work.model);
    const std::uint64_t ticket = impl_->next_ticket++;
    const time_point now = impl_->loop.now();
    scheduling::admission_request request;
    request.id = queue_id(ticket);
    request.rank = work.rank;
    request.service_class = work.service_class;
    request.account = work.account;
    request.estimated_tokens = work.max_tokens;
    request.prompt_tokens = work.prompt_bytes / bytes_per_token;
    for (const auto& rank : impl_->preset.ranks) {
        if (rank.name == work.rank) {
            request.deadline = now + rank.max_queue_wait;
        }
    }
    auto decision = where.queue.submit(std::move(request), now);
    if (!decision.admitted()) {
        return completion_refusal{
            {decision.refused->code, decision.refused->detail},
            decision.refused->retry_after};
    }
    impl_->entries.emplace(ticket, impl::entry{.where = &where,
                                               .callback = std::move(callback),
                                               .rank = work.rank,
                                               .submitted = now});
    impl_->pump_soon();
    return outcome::success();
}

void completion_scheduler::bind(std::uint64_t ticket,
                                const request_id& generation)
{
    const auto found = impl_->entries.find(ticket);
    if (found == impl_->entries.end()) {
        return;
    }
    found->second.generation = generation;
    impl_->by_generation[generation] = ticket;
}

void completion_scheduler::return_grant(std::uint64_t ticket)
{
    impl_->end(ticket);
}

void completion_scheduler::add_taken_over(const request_id& generation,
                                          const model_id& model)
{
    auto& where = impl_->pool_of(model);
    const std::uint64_t ticket = impl_->next_ticket++;
    impl_->entries.emplace(ticket, impl::entry{.where = &where,
                                               .generation = generation,
                                               .submitted = impl_->loop.now(),
                                               .holds_slot = true,
                                               .queued = false});
    ++where.held;
    impl_->by_generation[generation] = ticket;
}

void completion_scheduler::tokens_generated(const request_id& generation,
                                            std::uint64_t count)
{
    const auto found = impl_->by_generation.find(generation);
    if (found == impl_->by_generation.end()) {
        return;
    }
    auto& entry = impl_->entries.at(found->second);
    entry.tokens += count;
    if (entry.queued) {
        entry.where->queue.tokens_generated(queue_id(found->second),
                                            entry.tokens);
    }
}

void completion_scheduler::finished(const request_id& generation)
{
    const auto found = impl_->by_generation.find(generation);
    if (found != impl_->by_generation.end()) {
        impl_->end(found->second);
    }
}

std::vector<completion_scheduler::pool_view> completion_scheduler::pools() const
{
    std::vector<pool_view> out;
    for (const auto& [model, which] : impl_->pools) {
        out.push_back({.model = model,
                       .slots = impl_->slots(*which),
                       .held = which->held,
                       .ranks = which->queue.ranks(),
                       .totals = which->queue.counters()});
    }
    return out;
}

} // namespace bamboogate::gate
