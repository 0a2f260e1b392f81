#include <doctest/doctest.h>
#include <fmt/format.h>

#include <cstdlib>
#include <random>

#include "support/streaming_cluster.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;
using namespace std::chrono_literals;
using fakes::token_mode;

namespace {

/// Runs callers, engines and gates under random kills and freezes. At most one
/// gate is down at a time, and the others get time to copy again, because the
/// loss of both copies of a generation is not tolerated by design.
class random_faults
{
public:
    random_faults(token_mode mode, unsigned seed)
        : mode_(mode), random_(seed), cluster_(settings(mode))
    {}

    void run(std::size_t streams)
    {
        total_ = streams;
        started_at_ = monotonic_clock::now();
        next_engine_fault_ = next_gate_fault_ = started_at_ + 100ms;
        cluster_.run_until(
            [this] {
                const time_point now = monotonic_clock::now();
                fault_engines(now);
                fault_gates(now);
                start_callers();
                return step_callers(now);
            },
            100s);
        for (const auto& caller : callers_) {
            const std::string state =
                fmt::format("unfinished after {} connections with {} tokens",
                            caller->connections, caller->tokens.size());
            print(caller->id.value() + " " + state + " at gate", caller->gate);
            record_problem(*caller, state);
        }
    }

    std::size_t complete_answers = 0;
    std::size_t wrong_answers = 0;
    std::size_t failed_answers = 0;
    std::size_t reconnects = 0;
    std::size_t restarts = 0;
    std::size_t engine_faults = 0;
    std::size_t gate_faults = 0;
    std::string first_problem;

private:
    static streaming_cluster::options settings(token_mode mode)
    {
        auto out = streaming_cluster::fast();
        out.engines = 5;
        out.engine.mode = mode;
        out.engine.token_interval = 3ms;
        // Random faults cause more retries per generation than the default
        // allows.
        out.streaming.max_retries = 60;
        return out;
    }

    unsigned pick(unsigned bound)
    {
        return static_cast<unsigned>(random_() % bound);
    }

    void fault_engines(time_point now)
    {
        for (auto& [engine, until] : engines_down_until_) {
            if (until != time_point{} && now >= until) {
                until = {};
                if (cluster_.engines[engine]) {
                    cluster_.engines[engine]->freeze(false);
                } else {
                    cluster_.start_engine(engine);
                }
            }
        }
        if (now < next_engine_fault_) {
            return;
        }
        next_engine_fault_ = now + 20ms * (1 + pick(6));
        const std::size_t victim = pick(5);
        const bool down = engines_down_until_[victim] != time_point{};
        const auto others = std::count_if(
            engines_down_until_.begin(), engines_down_until_.end(),
            [](auto& e) { return e.second != time_point{}; });
        if (down || others >= 3 || !cluster_.engines[victim]) {
            return;
        }
        ++engine_faults;
        switch (pick(3)) {
        case 0:
            cluster_.kill_engine(victim);
            engines_down_until_[victim] = now + 20ms * (1 + pick(10));
            break;
        case 1:
            cluster_.engines[victim]->freeze(true);
            engines_down_until_[victim] = now + 20ms * (1 + pick(30));
            break;
        default:
            cluster_.engines[victim]->reset_streams();
        }
    }

    void fault_gates(time_point now)
    {
        if (gate_back_at_ != time_point{} && now >= gate_back_at_) {
            gate_back_at_ = {};
            if (cluster_.gates[gate_down_]) {
                cluster_.freeze_gate(gate_down_, false);
            } else {
                cluster_.start_gate(gate_down_);
            }
            print("gate has restarted or resumed", gate_down_);
            next_gate_fault_ = now + 600ms + 20ms * pick(20);
        }
        if (gate_back_at_ != time_point{} || now < next_gate_fault_) {
            return;
        }
        ++gate_faults;
        gate_down_ = pick(3);
        if (pick(2) == 0) {
            print("gate is killed", gate_down_);
            cluster_.kill_gate(gate_down_);
            gate_back_at_ = now + 400ms + 20ms * pick(20);
        } else {
            print("gate is frozen", gate_down_);
            cluster_.freeze_gate(gate_down_, true);
            gate_back_at_ = now + 50ms * (1 + pick(20));
        }
    }

    void start_callers()
    {
        constexpr std::size_t max_concurrent = 30;
        while (callers_.size() < max_concurrent && started_ < total_) {
            const std::size_t gate = pick(3);
            if (!cluster_.gates[gate] || cluster_.gates[gate]->frozen) {
                return;
            }
            const std::string prompt =
                "random " + std::to_string(random_()) +
                " tokens=" + std::to_string(50 + pick(500));
            auto caller = start_at(gate, prompt, 300 + pick(300));
            if (!caller) {
                return;
            }
            ++started_;
            callers_.push_back(std::move(caller));
        }
    }

    /// Returns nullptr if the gate refused the generation.
    std::unique_ptr<test_caller> start_at(std::size_t gate,
                                          const std::string& prompt,
                                          std::uint64_t max_tokens)
    {
        auto caller = std::make_unique<test_caller>();
        if (!cluster_.start(*caller, gate, prompt, max_tokens)) {
            return nullptr;
        }
        print(caller->id.value() + " starts at gate", gate);
        caller->last_token = monotonic_clock::now();
        return caller;
    }

    bool step_callers(time_point now)
    {
        for (auto& caller : callers_) {
            step(caller, now);
        }
        std::erase_if(callers_, [this](auto& caller) {
            return caller->finish.has_value() ||
                   failed_callers_.contains(caller.get());
        });
        return callers_.empty() && started_ == total_;
    }

    void step(std::unique_ptr<test_caller>& each, time_point now)
    {
        test_caller& caller = *each;
        if (caller.finish) {
            const bool complete = caller.is_complete(mode_);
            const bool agrees = caller.agrees_with_older_connections();
            const bool good = complete && agrees && caller.accepted;
            ++(good ? complete_answers : wrong_answers);
            if (!complete) {
                record_problem(caller, "answer incomplete or invalid");
            } else if (!agrees) {
                record_problem(caller,
                               "an older connection received different tokens");
            } else if (!good) {
                record_problem(caller, "finished before the id");
            }
            return;
        }
        const bool gate_down = !cluster_.gates[caller.gate];
        const bool superseded =
            caller.failure && caller.failure->code == errc::superseded;
        if (caller.failure && !superseded) {
            ++failed_answers;
            record_problem(caller, caller.failure->detail);
            failed_callers_.insert(&caller);
            return;
        }
        const bool silent = now - caller.last_token > 700ms;
        if (!gate_down && !superseded && !silent) {
            return;
        }
        const std::size_t target = pick(3);
        if (!cluster_.gates[target]) {
            return;
        }
        if (!caller.accepted) {
            restart(each, target);
            return;
        }
        if (!gate_down && !superseded && pick(2) == 0 &&
            !cluster_.gates[caller.gate]->frozen) {
            cluster_.gates[caller.gate]->service->detach(caller.id,
                                                         caller.sink.get());
        }
        ++reconnects;
        print(caller.id.value() + " reconnects to gate", target);
        cluster_.attach(caller, target);
        caller.last_token = now;
    }

    /// A caller that was given no id sends its request again.
    void restart(std::unique_ptr<test_caller>& caller, std::size_t target)
    {
        if (cluster_.gates[target]->frozen) {
            return;
        }
        auto next = start_at(target, caller->prompt, caller->max_tokens);
        if (!next) {
            return;
        }
        if (!caller->tokens.empty()) {
            ++wrong_answers;
            record_problem(*caller, "tokens before the id");
        }
        ++restarts;
        print(caller->id.value() + " had no id, restarts at gate", target);
        caller = std::move(next);
    }

    /// Writes to the same stream as the gates' log, so that a failure can be
    /// traced.
    void print(std::string_view event, std::size_t index) const
    {
        fmt::print(stderr, "{} ms: {} {}\n",
                   to_milliseconds(monotonic_clock::now() - started_at_), event,
                   index);
    }

    void record_problem(const test_caller& caller, const std::string& problem)
    {
        if (first_problem.empty()) {
            first_problem = caller.id.value() + ": " + problem;
        }
    }

    token_mode mode_;
    std::mt19937 random_;
    streaming_cluster cluster_;
    time_point started_at_;
    std::size_t total_ = 0;
    std::size_t started_ = 0;
    std::vector<std::unique_ptr<test_caller>> callers_;
    std::set<const test_caller*> failed_callers_;
    std::map<std::size_t, time_point> engines_down_until_;
    time_point next_engine_fault_;
    time_point next_gate_fault_;
    std::size_t gate_down_ = 0;
    time_point gate_back_at_{};
};

/// Fixed seeds, or the one in BAMBOOGATE_FAULT_SEED for longer searches.
std::vector<unsigned> seeds()
{
    const char* given = std::getenv("BAMBOOGATE_FAULT_SEED");
    if (given != nullptr) {
        return {static_cast<unsigned>(std::strtoul(given, nullptr, 10))};
    }
    return {1, 2};
}

} // namespace

// Guards invariants I1 to I3 (every token once, in order, of one generation)
// under faults at any moment, in both token modes.
TEST_CASE("random_kills_and_freezes_every_answer_is_complete")
{
    constexpr std::size_t streams = 320;
    for (const auto mode : {token_mode::prefix, token_mode::sampled}) {
        for (const unsigned seed : seeds()) {
            CAPTURE(seed);
            CAPTURE(mode == token_mode::sampled);
            random_faults faults(mode, seed);
            faults.run(streams);
            MESSAGE("complete " << faults.complete_answers << ", reconnects "
                                << faults.reconnects << ", restarts "
                                << faults.restarts << ", engine faults "
                                << faults.engine_faults << ", gate faults "
                                << faults.gate_faults);
            CAPTURE(faults.first_problem);
            CHECK(faults.wrong_answers == 0);
            CHECK(faults.failed_answers == 0);
            CHECK(faults.complete_answers == streams);
        }
    }
}
