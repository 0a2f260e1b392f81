#include "fleet_model.hpp"

#include <bamboogate/routing/capacity_share.hpp>
#include <bamboogate/routing/selector.hpp>
#include <bamboogate/routing/upstream_table.hpp>
#include <bamboogate/scheduling/usage_exchange.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>

namespace bamboogate::model {

namespace {

using namespace std::chrono_literals;

constexpr duration token_interval = 25ms;
constexpr duration prefill_base = 20ms;
constexpr double prefill_tokens_per_second = 10'000.0;
constexpr duration report_interval = 1s;
constexpr duration report_delay = 200ms;
constexpr duration usage_interval = 250ms;
constexpr duration cancel_delay = 2ms;
constexpr duration reset_delay = 50ms;
constexpr unsigned min_prompt_tokens = 200;
constexpr unsigned max_prompt_tokens = 2000;
const model_id served_model{"draft"};

duration seconds(double value)
{
    return duration(static_cast<duration::rep>(value * 1e9));
}

duration prefill_time(unsigned tokens)
{
    return prefill_base + seconds(tokens / prefill_tokens_per_second);
}

double mean_hold_seconds(unsigned tokens)
{
    return to_seconds(
        prefill_time((min_prompt_tokens + max_prompt_tokens) / 2) +
        token_interval * tokens);
}

struct generation
{
    const arrival_stream* stream = nullptr;
    request_id id;
    std::size_t gate = 0;
    std::size_t engine = 0;
    unsigned prompt = 0;
    unsigned length = 0;
    unsigned done = 0; ///< tokens of earlier attempts
    time_point submitted;
    time_point first_token;    ///< of the current attempt
    std::uint64_t attempt = 0; ///< events of earlier attempts are ignored
    bool on_engine = false;
    bool decoding = false;
    bool answered = false; ///< the first token of some attempt arrived
    bool attained = false;
    bool measured = false; ///< submitted during the measurement

    [[nodiscard]] unsigned tokens_at(time_point now) const
    {
        if (!decoding) {
            return done;
        }
        const auto generated =
            static_cast<unsigned>((now - first_token) / token_interval) + 1;
        return std::min(length, done + generated);
    }
};

struct engine
{
    bool alive = true;
    std::set<request_id> held;
    /// By priority, then by arrival: id and attempt.
    std::map<std::pair<unsigned, std::uint64_t>,
             std::pair<request_id, std::uint64_t>>
        queue;
    std::uint64_t arrivals = 0;
    std::uint64_t sequence = 0;
};

struct gate
{
    gate(const node_id& self, const std::vector<node_id>& all,
         const scenario& config)
        : name(self), table({.self = self, .gates = all}),
          selector({.gate_index = static_cast<unsigned>(
                        std::find(all.begin(), all.end(), self) - all.begin()),
                    .gates = config.gates}),
          admission(config.preset, config.policy),
          share({.self = self, .gates = all}),
          ledger({.incarnation = incarnation{1}, .pool = "draft"})
    {}

    node_id name;
    routing::upstream_table table;
    routing::selector selector;
    scheduling::admission admission;
    routing::capacity_share share;
    scheduling::usage_ledger ledger;
    unsigned held_slots = 0;
    unsigned slots = 0;
};

class simulation
{
public:
    explicit simulation(const scenario& config)
        : scenario_(config), random_(config.seed), engines_(config.engines),
          measurement_start_(config.warm_up),
          end_(measurement_start_ + config.measurement)
    {
        std::vector<node_id> names;
        names.reserve(config.gates);
        for (unsigned i = 0; i < config.gates; ++i) {
            names.emplace_back("gate-" + std::to_string(i));
        }
        for (const node_id& name : names) {
            gates_.push_back(std::make_unique<gate>(name, names, config));
            gate& added = *gates_.back();
            added.table.on_event(
                [this, &added](routing::table_event event,
                               const routing::upstream_record& record) {
                    added.selector.on_table_event(event, record, now_);
                });
        }
    }

    outcome run()
    {
        for (std::size_t i = 0; i < engines_.size(); ++i) {
            announce(i, 0ms);
        }
        for (std::size_t i = 0; i < gates_.size(); ++i) {
            every(usage_interval, [this, i] { report_usage(i); });
            every(500ms, [this, i] { exchange_suspicions(i); });
            every(50ms, [this, i] { dispatch_queued(i); });
        }
        every(200ms, [this] { record_progress(); });
        every(100ms, [this] { sample(); });
        for (const arrival_stream& stream : scenario_.streams) {
            schedule_arrival(stream);
        }
        if (scenario_.failed_engine_share > 0.0) {
            at(measurement_start_ + 10s, [this] { fail_engines(); });
        }
        if (scenario_.changed_preset) {
            at(measurement_start_ + 20s, [this] { change_preset(); });
        }
        while (!events_.empty() && events_.top().when <= end_) {
            event next = events_.top();
            events_.pop();
            now_ = next.when;
            next.action();
        }
        result_.seconds = to_seconds(scenario_.measurement);
        for (const auto& item : gates_) {
            result_.preemptions += item->admission.counters().preempted;
        }
        return std::move(result_);
    }

private:
    struct event
    {
        time_point when;
        std::uint64_t number;
        std::function<void()> action;

        bool operator<(const event& other) const
        {
            return std::pair(other.when, other.number) <
                   std::pair(when, number);
        }
    };

    void at(time_point when, std::function<void()> action)
    {
        events_.push({when, ++event_number_, std::move(action)});
    }
    void every(duration period, std::function<void()> action)
    {
        auto repeat = std::make_shared<std::function<void()>>();
        *repeat = [this, period, action = std::move(action),
                   weak = std::weak_ptr(repeat)] {
            action();
            if (auto self = weak.lock()) {
                at(now_ + period, [self] { (*self)(); });
            }
        };
        repeating_.push_back(repeat);
        at(now_ + period, [repeat] { (*repeat)(); });
    }
    [[nodiscard]] bool in_measurement() const
    {
        return now_ >= measurement_start_ && now_ < end_;
    }
    [[nodiscard]] double total_slots() const
    {
        return static_cast<double>(engines_.size()) *
               scenario_.slots_per_engine;
    }

    void schedule_arrival(const arrival_stream& stream)
    {
        const double load = in_measurement() ? stream.peak_load : stream.load;
        const double rate =
            load * total_slots() / mean_hold_seconds(stream.mean_tokens);
        if (rate <= 0.0) {
            if (!in_measurement()) {
                at(measurement_start_,
                   [this, &stream] { schedule_arrival(stream); });
            }
            return;
        }
        std::exponential_distribution<double> gap(rate);
        const time_point when = now_ + seconds(gap(random_));
        if (!in_measurement() && when > measurement_start_) {
            at(measurement_start_,
               [this, &stream] { schedule_arrival(stream); });
            return;
        }
        at(when, [this, &stream] {
            arrive(stream);
            schedule_arrival(stream);
        });
    }

    void arrive(const arrival_stream& stream)
    {
        std::uniform_int_distribution<unsigned> prompt(min_prompt_tokens,
                                                       max_prompt_tokens);
        std::uniform_real_distribution<double> factor(0.5, 1.5);
        generation added;
        added.stream = &stream;
        added.id = request_id(std::to_string(++requests_));
        added.gate = stream.fixed_gate >= 0
                         ? static_cast<std::size_t>(stream.fixed_gate)
                         : random_() % gates_.size();
        added.prompt = prompt(random_);
        added.length = std::max(
            1u, static_cast<unsigned>(factor(random_) * stream.mean_tokens));
        added.submitted = now_;
        // Excludes the last requests, whose first token may come after the end.
        added.measured = in_measurement() && now_ < end_ - 5s;
        rank_outcome& rank = result_.ranks[stream.rank];
        account_outcome& account = result_.accounts[stream.account];
        account.small = stream.small;
        if (added.measured) {
            ++rank.offered;
            rank.offered_slot_seconds += mean_hold_seconds(added.length);
            account.offered_tokens += added.length;
        }
        // The caller's estimate is the mean of the class, not the actual
        // length.
        const auto decision = gates_[added.gate]->admission.submit(
            {.id = added.id,
             .rank = stream.rank,
             .service_class = stream.service_class,
             .account = client_account_id(stream.account),
             .estimated_tokens = stream.mean_tokens,
             .prompt_tokens = added.prompt},
            now_);
        if (!decision.admitted()) {
            rank.refused += added.measured ? 1 : 0;
            return;
        }
        const std::size_t gate_index = added.gate;
        generations_.emplace(added.id, std::move(added));
        dispatch_queued(gate_index);
    }

    void dispatch_queued(std::size_t index)
    {
        gate& target_gate = *gates_[index];
        const unsigned capacity = target_gate.selector.slots_of(served_model);
        target_gate.slots = target_gate.share.slots(capacity, now_);
        const unsigned free = target_gate.slots > target_gate.held_slots
                                  ? target_gate.slots - target_gate.held_slots
                                  : 0;
        const scheduling::dispatch_decision decision =
            target_gate.admission.schedule(free, now_);
        for (const request_id& id : decision.start) {
            ++target_gate.held_slots;
            if (!launch(generations_.at(id), {})) {
                --target_gate.held_slots;
                target_gate.admission.dispatch_failed(id, now_);
            }
        }
        for (const request_id& id : decision.preempt) {
            at(now_ + cancel_delay, [this, id] { finish_preemption(id); });
        }
        for (const auto& item : decision.dropped) {
            generations_.erase(item.id);
        }
    }

    bool launch(generation& item, const std::vector<upstream_id>& tried)
    {
        gate& from = *gates_[item.gate];
        const auto choice = from.selector.choose_engine(
            {.model = served_model,
             .tokens = item.prompt + item.length - item.done,
             .exclusions = tried},
            now_, random_());
        if (!choice) {
            return false;
        }
        item.engine = std::stoul(choice.value().upstream.value());
        if (item.attempt == 0 && item.measured) {
            result_.ranks[item.stream->rank].gate_waits.push_back(
                to_seconds(now_ - item.submitted));
        }
        item.on_engine = true;
        ++item.attempt;
        from.selector.started(choice.value().upstream,
                              item.prompt + item.length - item.done, now_);
        from.admission.started(item.id, now_);
        engine& target = engines_[item.engine];
        if (!target.alive) {
            const auto attempt = item.attempt;
            at(now_ + reset_delay, [this, id = item.id, attempt] {
                handle_engine_loss(id, attempt);
            });
        } else if (target.held.size() < scenario_.slots_per_engine) {
            start_on_engine(target, item);
        } else {
            target.queue.emplace(
                std::pair(priority_of(item), ++target.arrivals),
                std::pair(item.id, item.attempt));
        }
        return true;
    }

    [[nodiscard]] unsigned priority_of(const generation& item) const
    {
        for (const control::rank_policy& rank : scenario_.preset.ranks) {
            if (rank.name == item.stream->rank) {
                return rank.priority;
            }
        }
        return 0;
    }

    void start_on_engine(engine& target, generation& item)
    {
        target.held.insert(item.id);
        const unsigned prefix = item.prompt + item.done;
        result_.all_tokens += prefix;
        if (!item.answered) {
            result_.useful_tokens += item.prompt;
        }
        const auto attempt = item.attempt;
        at(now_ + prefill_time(prefix) + token_interval,
           [this, id = item.id, attempt] { first_token(id, attempt); });
    }

    generation* current(const request_id& id, std::uint64_t attempt)
    {
        const auto found = generations_.find(id);
        return found == generations_.end() || found->second.attempt != attempt
                   ? nullptr
                   : &found->second;
    }

    void first_token(const request_id& id, std::uint64_t attempt)
    {
        generation* item = current(id, attempt);
        if (item == nullptr || !item->on_engine) {
            return;
        }
        item->decoding = true;
        item->first_token = now_;
        if (!item->answered) {
            item->answered = true;
            const double wait = to_seconds(now_ - item->submitted);
            const auto& ranks = scenario_.preset.ranks;
            const auto policy =
                std::find_if(ranks.begin(), ranks.end(), [&](const auto& rank) {
                    return rank.name == item->stream->rank;
                });
            item->attained = policy != ranks.end() &&
                             wait <= to_seconds(policy->first_token_target);
            if (item->measured) {
                rank_outcome& rank = result_.ranks[item->stream->rank];
                rank.waits.push_back(wait);
                rank.attained += item->attained ? 1 : 0;
                result_.accounts[item->stream->account].waits.push_back(wait);
            }
        }
        const unsigned left = item->length - item->done;
        at(now_ + token_interval * (left - 1),
           [this, id, attempt] { complete(id, attempt); });
    }

    /// Removes the generation from its engine and counts its tokens.
    void release_engine(generation& item, routing::selector::attempt_end end)
    {
        const unsigned total = item.tokens_at(now_);
        const unsigned new_tokens = total - item.done;
        result_.useful_tokens += new_tokens;
        result_.all_tokens += new_tokens;
        if (in_measurement()) {
            result_.accounts[item.stream->account].tokens += new_tokens;
        }
        gate& from = *gates_[item.gate];
        from.admission.tokens_generated(item.id, total);
        from.selector.finished(upstream_id(std::to_string(item.engine)),
                               item.length - total + item.prompt, end, now_);
        item.done = total;
        item.decoding = false;
        item.on_engine = false;
        engine& target = engines_[item.engine];
        target.held.erase(item.id);
        while (!target.queue.empty() &&
               target.held.size() < scenario_.slots_per_engine) {
            const auto [id, attempt] = target.queue.begin()->second;
            target.queue.erase(target.queue.begin());
            generation* waiting = current(id, attempt);
            if (waiting != nullptr && waiting->on_engine) {
                start_on_engine(target, *waiting);
            }
        }
    }

    void complete(const request_id& id, std::uint64_t attempt)
    {
        generation* item = current(id, attempt);
        if (item == nullptr || !item->on_engine) {
            return;
        }
        release_engine(*item, routing::selector::attempt_end::succeeded);
        if (in_measurement() && item->attained) {
            result_.good_tokens += item->length;
        }
        const std::size_t index = item->gate;
        gates_[index]->admission.finished(id, now_);
        --gates_[index]->held_slots;
        generations_.erase(id);
        dispatch_queued(index);
    }

    void finish_preemption(const request_id& id)
    {
        const auto found = generations_.find(id);
        if (found == generations_.end()) {
            return; // completed before the cancellation arrived
        }
        generation& item = found->second;
        if (item.on_engine) {
            release_engine(item, routing::selector::attempt_end::cancelled);
        }
        ++item.attempt;
        gates_[item.gate]->admission.preempted(id, now_);
        --gates_[item.gate]->held_slots;
        dispatch_queued(item.gate);
    }

    void handle_engine_loss(const request_id& id, std::uint64_t attempt)
    {
        generation* item = current(id, attempt);
        if (item == nullptr) {
            return;
        }
        const upstream_id failed(std::to_string(item->engine));
        if (item->on_engine) {
            release_engine(*item, routing::selector::attempt_end::failed);
        }
        ++item->attempt;
        if (!launch(*item, {failed})) {
            at(now_ + 50ms, [this, id, attempt = item->attempt] {
                handle_engine_loss(id, attempt);
            });
        }
    }

    void fail_engines()
    {
        const auto count =
            static_cast<std::size_t>(scenario_.failed_engine_share *
                                     static_cast<double>(engines_.size()));
        for (std::size_t i = 0; i < count; ++i) {
            engine& failed_engine = engines_[i];
            failed_engine.alive = false;
            std::vector<request_id> lost(failed_engine.held.begin(),
                                         failed_engine.held.end());
            for (const auto& [place, item] : failed_engine.queue) {
                lost.push_back(item.first);
            }
            failed_engine.queue.clear();
            for (const request_id& id : lost) {
                const auto found = generations_.find(id);
                if (found != generations_.end()) {
                    const auto attempt = found->second.attempt;
                    at(now_ + reset_delay, [this, id, attempt] {
                        handle_engine_loss(id, attempt);
                    });
                }
            }
        }
    }

    void change_preset()
    {
        for (std::size_t i = 0; i < gates_.size(); ++i) {
            for (const auto& item :
                 gates_[i]->admission.apply(*scenario_.changed_preset, now_)) {
                generations_.erase(item.id);
            }
            dispatch_queued(i);
        }
    }

    void announce(std::size_t index, duration delay)
    {
        engine& source = engines_[index];
        if (!source.alive) {
            return;
        }
        routing::announcement announced;
        announced.id = upstream_id(std::to_string(index));
        announced.incarnation = incarnation{1};
        announced.sequence = ++source.sequence;
        announced.address = {"127.0.0.1", 9000};
        announced.failure_domain =
            failure_domain_id("d" + std::to_string(index % 3));
        announced.models = {served_model};
        announced.slots = scenario_.slots_per_engine;
        announced.running = static_cast<unsigned>(source.held.size());
        announced.queued = static_cast<unsigned>(source.queue.size());
        for (const request_id& id : source.held) {
            const auto found = generations_.find(id);
            if (found != generations_.end()) {
                announced.outstanding_tokens +=
                    found->second.length - found->second.tokens_at(now_);
            }
        }
        at(now_ + delay, [this, announced] {
            for (const auto& item : gates_) {
                item->table.announce(announced, now_);
            }
        });
        at(now_ + report_interval,
           [this, index] { announce(index, report_delay); });
    }

    void exchange_suspicions(std::size_t index)
    {
        gate& suspecting_gate = *gates_[index];
        suspecting_gate.table.expire(now_);
        for (const auto& other : gates_) {
            if (other.get() != &suspecting_gate) {
                other->table.receive_suspicions(
                    suspecting_gate.name, suspecting_gate.table.suspicions(),
                    now_);
            }
        }
    }

    void report_usage(std::size_t index)
    {
        gate& from = *gates_[index];
        from.ledger.add(from.admission.take_usage());
        const auto report = from.ledger.make_report(
            from.admission.demand(), from.admission.urgent_demand());
        from.share.receive(from.name, {report.demand, report.urgent_demand},
                           now_);
        if (scenario_.reports_blocked) {
            return;
        }
        at(now_ + scenario_.report_delay, [this, &from, report] {
            for (const auto& to : gates_) {
                if (to.get() == &from) {
                    continue;
                }
                to->share.receive(from.name,
                                  {report.demand, report.urgent_demand}, now_);
                for (const auto& item : to->ledger.receive(from.name, report)) {
                    to->admission.remote_usage(item);
                }
            }
        });
    }

    void record_progress()
    {
        for (auto& [id, item] : generations_) {
            if (item.decoding) {
                gates_[item.gate]->admission.tokens_generated(
                    id, item.tokens_at(now_));
            }
        }
    }

    void sample()
    {
        if (!in_measurement()) {
            return;
        }
        constexpr double period = 0.1;
        double shares = 0.0;
        for (const auto& item : gates_) {
            shares += item->slots;
            for (const auto& rank : item->admission.ranks()) {
                result_.ranks[rank.name].slot_seconds += period * rank.running;
            }
        }
        double alive = 0.0;
        for (const engine& item : engines_) {
            alive += item.alive ? scenario_.slots_per_engine : 0.0;
        }
        result_.slot_seconds += period * alive;
        result_.max_oversubscription =
            std::max(result_.max_oversubscription, shares / alive);
    }

    const scenario& scenario_;
    std::mt19937_64 random_;
    std::vector<engine> engines_;
    std::vector<std::unique_ptr<gate>> gates_;
    std::unordered_map<request_id, generation> generations_;
    std::priority_queue<event> events_;
    std::vector<std::shared_ptr<std::function<void()>>> repeating_;
    time_point now_;
    time_point measurement_start_;
    time_point end_;
    std::uint64_t event_number_ = 0;
    std::uint64_t requests_ = 0;
    outcome result_;
};

} // namespace

outcome run(const scenario& config)
{
    return simulation(config).run();
}

} // namespace bamboogate::model
