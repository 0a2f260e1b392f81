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
constexpr unsigned least_prompt = 200;
constexpr unsigned most_prompt = 2000;
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
    return to_seconds(prefill_time((least_prompt + most_prompt) / 2) +
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
    time_point first_token;    ///< of the present attempt
    std::uint64_t attempt = 0; ///< voids events of earlier attempts
    bool on_engine = false;
    bool decoding = false;
    bool answered = false; ///< some first token was seen
    bool attained = false;
    bool measured = false; ///< submitted during the flood

    [[nodiscard]] unsigned tokens_at(time_point now) const
    {
        if (!decoding) {
            return done;
        }
        const auto passed =
            static_cast<unsigned>((now - first_token) / token_interval) + 1;
        return std::min(length, done + passed);
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
         const scenario& what)
        : name(self), table({.self = self, .gates = all}),
          selector({.gate_index = static_cast<unsigned>(
                        std::find(all.begin(), all.end(), self) - all.begin()),
                    .gates = what.gates}),
          admission(what.preset, what.policy),
          share({.self = self, .gates = all}),
          ledger({.incarnation = incarnation{1}, .pool = "draft"})
    {}

    node_id name;
    routing::upstream_table table;
    routing::selector selector;
    scheduling::admission admission;
    routing::capacity_share share;
    scheduling::usage_ledger ledger;
    unsigned holding = 0;
    unsigned slots = 0;
};

class simulation
{
public:
    explicit simulation(const scenario& what)
        : what_(what), random_(what.seed), engines_(what.engines),
          flood_start_(what.warm_up), end_(flood_start_ + what.flood)
    {
        std::vector<node_id> names;
        names.reserve(what.gates);
        for (unsigned i = 0; i < what.gates; ++i) {
            names.emplace_back("gate-" + std::to_string(i));
        }
        for (const node_id& name : names) {
            gates_.push_back(std::make_unique<gate>(name, names, what));
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
            every(500ms, [this, i] { check_silence(i); });
            every(50ms, [this, i] { pump(i); });
        }
        every(200ms, [this] { note_progress(); });
        every(100ms, [this] { sample(); });
        for (const arrival_stream& stream : what_.streams) {
            schedule_arrival(stream);
        }
        if (what_.deaths > 0.0) {
            at(flood_start_ + 10s, [this] { kill_engines(); });
        }
        if (what_.changed_preset) {
            at(flood_start_ + 20s, [this] { change_preset(); });
        }
        while (!events_.empty() && events_.top().when <= end_) {
            event next = events_.top();
            events_.pop();
            now_ = next.when;
            next.action();
        }
        result_.seconds = to_seconds(what_.flood);
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
    [[nodiscard]] bool in_flood() const
    {
        return now_ >= flood_start_ && now_ < end_;
    }
    [[nodiscard]] double total_slots() const
    {
        return static_cast<double>(engines_.size()) * what_.slots_per_engine;
    }

    void schedule_arrival(const arrival_stream& stream)
    {
        const double load = in_flood() ? stream.flood_load : stream.load;
        const double rate =
            load * total_slots() / mean_hold_seconds(stream.mean_tokens);
        if (rate <= 0.0) {
            if (!in_flood()) {
                at(flood_start_, [this, &stream] { schedule_arrival(stream); });
            }
            return;
        }
        std::exponential_distribution<double> gap(rate);
        const time_point when = now_ + seconds(gap(random_));
        if (!in_flood() && when > flood_start_) {
            at(flood_start_, [this, &stream] { schedule_arrival(stream); });
            return;
        }
        at(when, [this, &stream] {
            arrive(stream);
            schedule_arrival(stream);
        });
    }

    void arrive(const arrival_stream& stream)
    {
        std::uniform_int_distribution<unsigned> prompt(least_prompt,
                                                       most_prompt);
        std::uniform_real_distribution<double> factor(0.5, 1.5);
        generation added;
        added.stream = &stream;
        added.id = request_id(std::to_string(++requests_));
        added.gate = stream.only_gate >= 0
                         ? static_cast<std::size_t>(stream.only_gate)
                         : random_() % gates_.size();
        added.prompt = prompt(random_);
        added.length = std::max(
            1u, static_cast<unsigned>(factor(random_) * stream.mean_tokens));
        added.submitted = now_;
        // The last requests could not show their first token before the end.
        added.measured = in_flood() && now_ < end_ - 5s;
        rank_outcome& rank = result_.ranks[stream.rank];
        account_outcome& account = result_.accounts[stream.account];
        account.small = stream.small;
        if (added.measured) {
            ++rank.offered;
            rank.offered_slot_seconds += mean_hold_seconds(added.length);
            account.offered_tokens += added.length;
        }
        // The caller's estimate is the mean of the class, not the truth.
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
        const std::size_t entry = added.gate;
        generations_.emplace(added.id, std::move(added));
        pump(entry);
    }

    void pump(std::size_t index)
    {
        gate& at_gate = *gates_[index];
        const unsigned capacity = at_gate.selector.slots_of(served_model);
        at_gate.slots = at_gate.share.slots(capacity, now_);
        const unsigned free = at_gate.slots > at_gate.holding
                                  ? at_gate.slots - at_gate.holding
                                  : 0;
        const scheduling::dispatch_decision todo =
            at_gate.admission.schedule(free, now_);
        for (const request_id& id : todo.start) {
            ++at_gate.holding;
            if (!launch(generations_.at(id), {})) {
                --at_gate.holding;
                at_gate.admission.dispatch_failed(id, now_);
            }
        }
        for (const request_id& id : todo.preempt) {
            at(now_ + cancel_delay, [this, id] { finish_preemption(id); });
        }
        for (const auto& item : todo.dropped) {
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
            at(now_ + reset_delay,
               [this, id = item.id, attempt] { lose(id, attempt); });
        } else if (target.held.size() < what_.slots_per_engine) {
            run_on(target, item);
        } else {
            target.queue.emplace(
                std::pair(priority_of(item), ++target.arrivals),
                std::pair(item.id, item.attempt));
        }
        return true;
    }

    [[nodiscard]] unsigned priority_of(const generation& item) const
    {
        for (const control::rank_policy& rank : what_.preset.ranks) {
            if (rank.name == item.stream->rank) {
                return rank.priority;
            }
        }
        return 0;
    }

    void run_on(engine& target, generation& item)
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
            const auto& ranks = what_.preset.ranks;
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

    /// Takes the generation off its engine and accounts for its tokens.
    void leave_engine(generation& item, routing::selector::attempt_end end)
    {
        const unsigned total = item.tokens_at(now_);
        const unsigned fresh = total - item.done;
        result_.useful_tokens += fresh;
        result_.all_tokens += fresh;
        if (in_flood()) {
            result_.accounts[item.stream->account].tokens += fresh;
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
               target.held.size() < what_.slots_per_engine) {
            const auto [id, attempt] = target.queue.begin()->second;
            target.queue.erase(target.queue.begin());
            generation* waiting = current(id, attempt);
            if (waiting != nullptr && waiting->on_engine) {
                run_on(target, *waiting);
            }
        }
    }

    void complete(const request_id& id, std::uint64_t attempt)
    {
        generation* item = current(id, attempt);
        if (item == nullptr || !item->on_engine) {
            return;
        }
        leave_engine(*item, routing::selector::attempt_end::succeeded);
        if (in_flood() && item->attained) {
            result_.good_tokens += item->length;
        }
        const std::size_t index = item->gate;
        gates_[index]->admission.finished(id, now_);
        --gates_[index]->holding;
        generations_.erase(id);
        pump(index);
    }

    void finish_preemption(const request_id& id)
    {
        const auto found = generations_.find(id);
        if (found == generations_.end()) {
            return; // it ended before the cancel arrived
        }
        generation& item = found->second;
        if (item.on_engine) {
            leave_engine(item, routing::selector::attempt_end::cancelled);
        }
        ++item.attempt;
        gates_[item.gate]->admission.preempted(id, now_);
        --gates_[item.gate]->holding;
        pump(item.gate);
    }

    void lose(const request_id& id, std::uint64_t attempt)
    {
        generation* item = current(id, attempt);
        if (item == nullptr) {
            return;
        }
        const upstream_id failed(std::to_string(item->engine));
        if (item->on_engine) {
            leave_engine(*item, routing::selector::attempt_end::failed);
        }
        ++item->attempt;
        if (!launch(*item, {failed})) {
            at(now_ + 50ms,
               [this, id, attempt = item->attempt] { lose(id, attempt); });
        }
    }

    void kill_engines()
    {
        const auto count = static_cast<std::size_t>(
            what_.deaths * static_cast<double>(engines_.size()));
        for (std::size_t i = 0; i < count; ++i) {
            engine& victim = engines_[i];
            victim.alive = false;
            std::vector<request_id> lost(victim.held.begin(),
                                         victim.held.end());
            for (const auto& [place, item] : victim.queue) {
                lost.push_back(item.first);
            }
            victim.queue.clear();
            for (const request_id& id : lost) {
                const auto found = generations_.find(id);
                if (found != generations_.end()) {
                    const auto attempt = found->second.attempt;
                    at(now_ + reset_delay,
                       [this, id, attempt] { lose(id, attempt); });
                }
            }
        }
    }

    void change_preset()
    {
        for (std::size_t i = 0; i < gates_.size(); ++i) {
            for (const auto& item :
                 gates_[i]->admission.apply(*what_.changed_preset, now_)) {
                generations_.erase(item.id);
            }
            pump(i);
        }
    }

    void announce(std::size_t index, duration delay)
    {
        engine& source = engines_[index];
        if (!source.alive) {
            return;
        }
        routing::announcement news;
        news.id = upstream_id(std::to_string(index));
        news.incarnation = incarnation{1};
        news.sequence = ++source.sequence;
        news.address = {"127.0.0.1", 9000};
        news.failure_domain =
            failure_domain_id("d" + std::to_string(index % 3));
        news.models = {served_model};
        news.slots = what_.slots_per_engine;
        news.running = static_cast<unsigned>(source.held.size());
        news.queued = static_cast<unsigned>(source.queue.size());
        for (const request_id& id : source.held) {
            const auto found = generations_.find(id);
            if (found != generations_.end()) {
                news.outstanding_tokens +=
                    found->second.length - found->second.tokens_at(now_);
            }
        }
        at(now_ + delay, [this, news] {
            for (const auto& item : gates_) {
                item->table.announce(news, now_);
            }
        });
        at(now_ + report_interval,
           [this, index] { announce(index, report_delay); });
    }

    void check_silence(std::size_t index)
    {
        gate& here = *gates_[index];
        here.table.expire(now_);
        for (const auto& other : gates_) {
            if (other.get() != &here) {
                other->table.receive_suspicions(here.name,
                                                here.table.suspicions(), now_);
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
        if (what_.news_cut) {
            return;
        }
        at(now_ + what_.news_lag, [this, &from, report] {
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

    void note_progress()
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
        if (!in_flood()) {
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
            alive += item.alive ? what_.slots_per_engine : 0.0;
        }
        result_.slot_seconds += period * alive;
        result_.most_oversubscribed =
            std::max(result_.most_oversubscribed, shares / alive);
    }

    const scenario& what_;
    std::mt19937_64 random_;
    std::vector<engine> engines_;
    std::vector<std::unique_ptr<gate>> gates_;
    std::unordered_map<request_id, generation> generations_;
    std::priority_queue<event> events_;
    std::vector<std::shared_ptr<std::function<void()>>> repeating_;
    time_point now_;
    time_point flood_start_;
    time_point end_;
    std::uint64_t event_number_ = 0;
    std::uint64_t requests_ = 0;
    outcome result_;
};

} // namespace

outcome run(const scenario& what)
{
    return simulation(what).run();
}

} // namespace bamboogate::model
