// Pause that a caller sees when an engine is lost, and what the copy at the
// buddy gate costs. Everything runs in this process over loopback.
#include <bamboogate/observability/logger.hpp>

#include <sys/resource.h>

#include <cstdio>
#include <functional>
#include <random>

#include "support/fault_proxy.hpp"
#include "support/streaming_cluster.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;
using namespace std::chrono_literals;

namespace {

enum class fault : std::uint8_t
{
    reset,
    freeze,
    swallow,
};

constexpr std::string_view name_of(fault which)
{
    switch (which) {
    case fault::reset:
        return "reset";
    case fault::freeze:
        return "freeze";
    case fault::swallow:
        return "swallow";
    }
    return "";
}

void print(const std::string& name, double value, const char* unit)
{
    std::printf("%s %.4g %s\n", name.c_str(), value, unit);
}

double cpu_seconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& t) {
        return static_cast<double>(t.tv_sec) +
               static_cast<double>(t.tv_usec) * 1e-6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/// Settings of a real gate: only the engines are scaled down.
streaming_cluster::options base_options()
{
    streaming_cluster::options out;
    out.engines = 4;
    out.engine.slots = 256;
    out.engine.token_interval = 20ms;
    // 1,000 tokens of prompt and prefix need 30 ms.
    out.engine.prefill_per_token = 30us;
    return out;
}

struct pauses
{
    std::vector<double> milliseconds;
    double extra = 0; ///< tokens computed beyond those delivered, per token

    [[nodiscard]] double at(double quantile)
    {
        std::sort(milliseconds.begin(), milliseconds.end());
        const auto index = static_cast<std::size_t>(
            quantile * static_cast<double>(milliseconds.size() - 1));
        return milliseconds.empty() ? -1 : milliseconds[index];
    }
};

/// Runs callers through rounds of one fault. A round hits one engine while all
/// streams run; the pause of a caller is its longest time between two tokens.
pauses measure(const streaming_cluster::options& options, fault which,
               unsigned rounds)
{
    constexpr std::size_t callers_per_round = 32;
    pauses out;
    double delivered = 0;
    double generated = 0;
    std::mt19937 random(7);
    for (unsigned round = 0; round < rounds; ++round) {
        streaming_cluster cluster(options);
        std::vector<std::unique_ptr<fault_proxy>> proxies;
        for (std::size_t i = 0; i < options.engines; ++i) {
            proxies.push_back(std::make_unique<fault_proxy>(
                cluster.engine_loop, cluster.engines[i]->address()));
            cluster.gates[0]
                ->engines.entries["engine-" + std::to_string(i)]
                .address = proxies.back()->address().text();
        }
        std::vector<std::unique_ptr<test_caller>> callers;
        for (std::size_t i = 0; i < callers_per_round; ++i) {
            callers.push_back(std::make_unique<test_caller>());
            const std::string prompt =
                std::string(2000, 'p') + std::to_string(random()) +
                " tokens=" + std::to_string(90 + random() % 20);
            if (!cluster.start(*callers.back(), 0, prompt)) {
                return out;
            }
        }
        const std::size_t at = 30 + random() % 30;
        cluster.run_until([&] { return callers[0]->tokens.size() >= at; });
        const std::size_t victim = round % options.engines;
        if (which == fault::reset) {
            cluster.engines[victim]->reset_streams();
            cluster.engines[victim]->faults().refuse = true;
        } else if (which == fault::freeze) {
            cluster.engines[victim]->freeze(true);
        } else {
            proxies[victim]->blackhole(fault_proxy::direction::both);
        }
        cluster.run_until([&] {
            return std::all_of(callers.begin(), callers.end(),
                               [](auto& c) { return c->finish || c->failure; });
        });
        for (const auto& caller : callers) {
            if (!caller->is_complete(fakes::token_mode::prefix)) {
                std::fprintf(stderr, "an answer was not whole\n");
                std::exit(EXIT_FAILURE);
            }
            delivered += static_cast<double>(caller->tokens.size());
            if (caller->finish->attempts > 1) {
                out.milliseconds.push_back(
                    to_milliseconds(caller->longest_pause()));
            }
        }
        for (const auto& engine : cluster.engines) {
            generated += static_cast<double>(engine->totals().tokens);
        }
        proxies.clear();
    }
    out.extra = (generated - delivered) / delivered;
    return out;
}

void report(const std::string& name, pauses result)
{
    print(name + "_pause_p50", result.at(0.5), "ms");
    print(name + "_pause_p95", result.at(0.95), "ms");
    print(name + "_pause_max", result.at(1), "ms");
    print(name + "_tokens_computed_twice", result.extra, "per_token");
    print(name + "_streams_hit",
          static_cast<double>(result.milliseconds.size()), "streams");
}

/// Slow engines whose tokens come unevenly, none of them lost.
void measure_false_suspicions()
{
    for (const auto interval : {50ms, 200ms, 500ms}) {
        for (const bool fixed : {false, true}) {
            auto options = base_options();
            options.engine.token_interval = interval;
            if (fixed) {
                options.streaming.silence.fixed_limit = 1s;
            }
            streaming_cluster cluster(options);
            std::vector<std::unique_ptr<test_caller>> callers;
            for (std::size_t i = 0; i < 24; ++i) {
                callers.push_back(std::make_unique<test_caller>());
                if (!cluster.start(*callers.back(), 0,
                                   "slow " + std::to_string(i) +
                                       " tokens=5000")) {
                    return;
                }
            }
            // Every stream stalls now and then for up to two intervals more.
            std::mt19937 random(11);
            const time_point end = monotonic_clock::now() + 2s;
            while (monotonic_clock::now() < end) {
                const auto which = random() % options.engines;
                cluster.run_for(interval);
                cluster.engines[which]->freeze(true);
                cluster.run_for(interval * 2);
                cluster.engines[which]->freeze(false);
            }
            const auto totals = cluster.gates[0]->service->totals();
            print(std::string("false_suspicions_") +
                      (fixed ? "fixed_" : "adaptive_") +
                      std::to_string(interval.count()) + "ms",
                  static_cast<double>(totals.attempts_silent), "attempts");
        }
    }
}

/// Bytes and processor time of the buddy's copy, per token.
void measure_copy_cost()
{
    double cpu[2] = {0, 0};
    double bytes = 0;
    for (const std::size_t gates : {std::size_t{1}, std::size_t{2}}) {
        auto options = base_options();
        options.gates = gates;
        options.engine.token_interval = 5ms;
        options.engine.prefill_per_token = 0us;
        streaming_cluster cluster(options);
        std::vector<std::unique_ptr<test_caller>> callers;
        double tokens = 0;
        const double before = cpu_seconds();
        for (std::size_t i = 0; i < 64; ++i) {
            callers.push_back(std::make_unique<test_caller>());
            if (!cluster.start(*callers.back(), 0,
                               "copy " + std::to_string(i) + " tokens=400")) {
                return;
            }
        }
        cluster.run_until([&] {
            return std::all_of(callers.begin(), callers.end(),
                               [](auto& c) { return c->finish.has_value(); });
        });
        for (const auto& caller : callers) {
            tokens += static_cast<double>(caller->tokens.size());
        }
        cpu[gates - 1] = (cpu_seconds() - before) / tokens;
        if (gates == 2) {
            const auto totals = cluster.gates[0]->hub->totals();
            bytes =
                static_cast<double>(totals.bytes_sent + totals.bytes_received) /
                tokens;
        }
    }
    print("copy_bytes", bytes, "bytes_per_token");
    print("copy_cpu_both_gates", (cpu[1] - cpu[0]) * 1e6, "us_per_token");
    print("cpu_engine_and_gate_without_copy", cpu[0] * 1e6, "us_per_token");
}

} // namespace

int main()
{
    observability::set_log_level(observability::severity::error);
    constexpr unsigned rounds = 4;
    constexpr unsigned baseline_rounds = 2;
    for (const auto which : {fault::reset, fault::freeze, fault::swallow}) {
        report(std::string(name_of(which)),
               measure(base_options(), which, rounds));
    }
    auto restart = base_options();
    restart.streaming.resume_from_prefix = false;
    report("baseline_restart_reset",
           measure(restart, fault::reset, baseline_rounds));
    auto fixed = base_options();
    fixed.streaming.silence.fixed_limit = 1s;
    report("baseline_fixed_1s_freeze",
           measure(fixed, fault::freeze, baseline_rounds));
    auto early = base_options();
    early.streaming.release_after_copy = false;
    report("baseline_release_before_copy_reset",
           measure(early, fault::reset, baseline_rounds));
    measure_false_suspicions();
    measure_copy_cost();
    return EXIT_SUCCESS;
}
