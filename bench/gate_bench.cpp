#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "e2e/support/deployment.hpp"
#include "e2e/support/process_usage.hpp"
#include "support/loop_runner.hpp"

// Benchmarks one gate, with a direct connection to the fake engine as baseline
// in the same run. Prints one `name value unit` per line.

using namespace bamboogate;
using namespace bamboogate::tests;
using namespace std::chrono_literals;

namespace {

void print(const std::string& name, double value, const char* unit)
{
    fmt::print("{} {:.4g} {}\n", name, value, unit);
}

double quantile(std::vector<double> values, double q)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::lround(q * last))];
}

void print_quantiles(const std::string& name, const std::vector<double>& ms)
{
    print(name + "_p50", quantile(ms, 0.50), "ms");
    print(name + "_p95", quantile(ms, 0.95), "ms");
    print(name + "_p99", quantile(ms, 0.99), "ms");
}

/// A stream whose events are only counted, so that the load generator uses far
/// less CPU time than the gate.
struct counted_stream
{
    std::uint64_t tokens = 0;
    std::vector<time_point> arrivals;
    time_point started;
    bool keep_arrivals = false;
    bool ended = false;
    unsigned status = 0;
    std::string buffer;
    std::unique_ptr<net::http_transfer> transfer;

    void consume(std::string_view bytes)
    {
        if (status != 200) {
            buffer.append(bytes);
            return;
        }
        buffer.append(bytes);
        std::size_t from = 0;
        for (auto end = buffer.find("\n\n"); end != std::string::npos;
             end = buffer.find("\n\n", from)) {
            if (buffer.compare(from, 3, "id:") == 0) {
                ++tokens;
                if (keep_arrivals) {
                    arrivals.push_back(monotonic_clock::now());
                }
            }
            from = end + 2;
        }
        buffer.erase(0, from);
    }
};

std::unique_ptr<counted_stream> open_stream(deployment& cluster,
                                            net::http_client::request request)
{
    auto stream = std::make_unique<counted_stream>();
    auto* raw = stream.get();
    raw->started = monotonic_clock::now();
    raw->transfer = cluster.client.start(
        std::move(request),
        {.on_headers =
             [raw](const net::http_client::response& head) {
                 raw->status = head.status;
             },
         .on_data = [raw](std::string_view bytes) { raw->consume(bytes); },
         .on_done =
             [raw](const net::http_client::outcome_type&) {
                 raw->ended = true;
             }});
    return stream;
}

std::unique_ptr<counted_stream> through_gate(deployment& cluster,
                                             const std::string& prompt)
{
    return open_stream(
        cluster, {.method = "POST",
                  .url = cluster.gate_url(0) + "/v1/completions",
                  .headers = {{"authorization", std::string("Bearer ") +
                                                    deployment::client_key}},
                  .body = json{{"model", "draft"},
                               {"prompt", prompt},
                               {"max_tokens", 100'000},
                               {"stream", true}}
                              .dump()});
}

std::unique_ptr<counted_stream> direct(deployment& cluster,
                                       const std::string& prompt)
{
    static int number = 0;
    return open_stream(cluster,
                       {.method = "POST",
                        .url = cluster.engine_url(0) + "/v1/completions",
                        .body = json{
                            {"request_id", fmt::format("d{}", ++number)},
                            {"attempt", 1},
                            {"model", "draft"},
                            {"prompt", prompt},
                            {"max_tokens", 100'000},
                            {"priority", 0},
                            {"resume_tokens", json::array()},
                            {"stream",
                             true}}.dump()});
}

void raise_queue_limits(json& declared)
{
    for (auto& preset : declared["presets"]) {
        preset["max_streams_per_gate"] = 10'000;
        for (auto& rank : preset["ranks"]) {
            rank["queue_limit"] = 20'000;
            rank["max_queue_wait_ms"] = 60'000;
        }
    }
}

template <typename Open>
void measure_latency(deployment& cluster, const std::string& name, Open open)
{
    constexpr int rounds = 40;
    std::vector<double> first;
    std::vector<double> gaps;
    for (int i = 0; i < rounds; ++i) {
        auto stream = open(cluster, fmt::format("latency {} tokens=60", i));
        stream->keep_arrivals = true;
        run_until(
            cluster.loop, [&] { return stream->ended; }, 10s);
        for (std::size_t k = 0; k < stream->arrivals.size(); ++k) {
            const auto before =
                k == 0 ? stream->started : stream->arrivals[k - 1];
            (k == 0 ? first : gaps)
                .push_back(to_milliseconds(stream->arrivals[k] - before));
        }
    }
    print_quantiles(name + "_first_token", first);
    print_quantiles(name + "_token_gap", gaps);
}

/// Prints the gate's pool metrics, which explain waiting streams.
void print_pool(deployment& cluster, const std::string& name)
{
    const auto got = cluster.fetch(
        {.url = cluster.gate_url(0) + "/metrics", .total_timeout = 5s});
    std::istringstream lines(got.body);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("bamboogate_pool_") ||
            line.starts_with("bamboogate_queued") ||
            line.starts_with("bamboogate_completions_refused")) {
            fmt::print("# {}: {}\n", name, line);
        }
    }
}

/// Prints the number of refusals of each kind.
void print_refusals(const std::vector<std::unique_ptr<counted_stream>>& streams,
                    const std::string& name)
{
    std::map<std::string, int> kinds;
    for (const auto& each : streams) {
        if (each->status != 200) {
            ++kinds[fmt::format("{} {}", each->status, each->buffer)];
        }
    }
    for (const auto& [kind, count] : kinds) {
        fmt::print("# {}: {} times {}\n", name, count, kind);
    }
}

bool measure_latencies()
{
    deployment cluster({.replicas = 3, .gates = 2, .engines = 1});
    if (!cluster.start()) {
        fmt::print(stderr, "{}\n", cluster.problem);
        return false;
    }
    measure_latency(cluster, "direct", direct);
    measure_latency(cluster, "gate", through_gate);
    return true;
}

/// Opens streams through gate 0 and measures its resource usage.
bool measure_load(const std::string& name, unsigned streams,
                  double token_interval_ms)
{
    deployment cluster({.replicas = 1,
                        .gates = 2,
                        .engines = 4,
                        .services = 0,
                        .slots = 2000,
                        .token_interval_ms = token_interval_ms,
                        .adjust_declarations = raise_queue_limits});
    if (!cluster.start()) {
        fmt::print(stderr, "{}\n", cluster.problem);
        return false;
    }
    const pid_t gate = cluster.gates[0].id();
    const double memory_before = resident_kib(gate);
    std::vector<std::unique_ptr<counted_stream>> open;
    for (unsigned i = 0; i < streams; ++i) {
        open.push_back(
            through_gate(cluster, fmt::format("load {} tokens=100000", i)));
        if (i % 50 == 49) {
            run_until(
                cluster.loop, [] { return false; }, 10ms);
        }
    }
    const auto running = [&] {
        return std::count_if(open.begin(), open.end(),
                             [](const auto& each) { return each->tokens > 0; });
    };
    run_until(
        cluster.loop, [&] { return running() == static_cast<long>(streams); },
        30s);
    const auto tokens = [&] {
        std::uint64_t sum = 0;
        for (const auto& each : open) {
            sum += each->tokens;
        }
        return sum;
    };
    const std::uint64_t tokens_before = tokens();
    const double cpu_before = cpu_seconds(gate);
    const double buddy_before = cpu_seconds(cluster.gates[1].id());
    const time_point start = cluster.loop.now();
    run_until(
        cluster.loop, [] { return false; }, 5s);
    const double seconds = to_seconds(cluster.loop.now() - start);
    const auto delivered = static_cast<double>(tokens() - tokens_before);
    const double cpu = cpu_seconds(gate) - cpu_before;
    print(name + "_streams_running", static_cast<double>(running()), "streams");
    print(name + "_tokens_per_second", delivered / seconds, "tokens/s");
    print(name + "_gate_cpu", cpu / seconds, "cores");
    print(name + "_tokens_per_core_second", delivered / cpu, "tokens/s");
    print(name + "_gate_cpu_per_token", cpu / delivered * 1e6, "us");
    print(name + "_buddy_cpu_per_token",
          (cpu_seconds(cluster.gates[1].id()) - buddy_before) / delivered * 1e6,
          "us");
    // An upper bound: it includes the tokens that the gate keeps per stream,
    // about 7 bytes of text each plus overhead.
    print(name + "_memory_per_stream",
          (resident_kib(gate) - memory_before) /
              static_cast<double>(std::max(1L, running())),
          "KiB");
    print_pool(cluster, name);
    print_refusals(open, name);
    return true;
}

} // namespace

int main()
{
    const bool done = measure_latencies() &&
                      measure_load("load_1000_streams", 1000, 20) &&
                      measure_load("load_5000_streams", 5000, 500);
    return done ? 0 : 1;
}
