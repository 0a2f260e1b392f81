// Plays the load of gates that place their streams without a leader through
// the planners of those gates.
#include <bamboogate/relay/stream_planner.hpp>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <vector>

using namespace bamboogate;
using namespace bamboogate::relay;
using namespace std::chrono_literals;

namespace {

constexpr int gates = 95;
constexpr int engines = 84;
constexpr int domains = 5;
constexpr unsigned slots = 12;
constexpr std::uint64_t engine_kv_capacity = 88000;
constexpr std::uint64_t prompt_tokens = 8200;
constexpr std::uint64_t output_tokens = 780;

/// Every gate places its own streams and knows nothing of the others'.
struct leaderless_fixture
{
    std::vector<stream_planner> planners =
        std::vector<stream_planner>(gates, stream_planner());
    std::map<upstream_id, int> runs;
    std::map<upstream_id, int> copies;
    int unplaced = 0;
    time_point now{1h};

    leaderless_fixture()
    {
        for (auto& planner : planners) {
            for (int i = 0; i < engines; ++i) {
                planner.update_engine(
                    {.id = upstream_id(fmt::format("engine-{:02}", i)),
                     .domain = failure_domain_id(
                         fmt::format("domain-{}", i % domains)),
                     .kv_capacity_tokens = engine_kv_capacity,
                     .slots = slots});
            }
        }
    }
    void place(int gate, int number)
    {
        const planned_run run{
            .id = request_id(fmt::format("run-{}-{}", gate, number)),
            .rank = 1,
            .prompt_tokens = prompt_tokens,
            .output_tokens = output_tokens};
        auto& planner = planners[static_cast<std::size_t>(gate)];
        const auto target = planner.choose(run, {}, now);
        if (!target) {
            ++unplaced;
            return;
        }
        planner.assign(run, *target, run.prompt_tokens, now);
        ++runs[target->engine];
        if (target->copy_holder) {
            ++copies[*target->copy_holder];
        }
    }
    static int most(const std::map<upstream_id, int>& counts)
    {
        int most = 0;
        for (const auto& [id, count] : counts) {
            most = std::max(most, count);
        }
        return most;
    }
};

} // namespace

// The first seconds after all replicas went down: four streams per gate, an
// average of 4.5 per engine. Guards against gates that all choose the same
// engines: with the smallest id as the tie break, four engines received 95
// streams each, and the rest none.
TEST_CASE_FIXTURE(leaderless_fixture,
                  "gates_without_a_leader_spread_streams_over_all_engines")
{
    constexpr int streams_per_gate = 4;
    for (int number = 0; number < streams_per_gate; ++number) {
        for (int gate = 0; gate < gates; ++gate) {
            place(gate, number);
        }
    }
    CHECK(unplaced == 0);
    // Few callers meet a full engine: less than 3% of the streams exceed the
    // slots.
    int above_slots = 0;
    for (const auto& [id, count] : runs) {
        above_slots += std::max(0, count - static_cast<int>(slots));
    }
    CHECK(above_slots * 100 < 3 * gates * streams_per_gate);
    CHECK(runs.size() >= engines * 9 / 10);
    CHECK(copies.size() >= engines * 9 / 10);
    CHECK(most(copies) <= 2 * static_cast<int>(slots));
}
