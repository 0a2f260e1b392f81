#include <bamboogate/rollout/judgement.hpp>

#include <doctest/doctest.h>

#include <cmath>
#include <random>

using namespace bamboogate;
using namespace bamboogate::rollout;

namespace {

/// What one version does with the requests of one route.
struct behaviour
{
    double failing = 0.004;  ///< share of failures
    double slow_share = 0.0; ///< share of answers that take `slow_factor`
    double slow_factor = 5.0;
    double median_ms = 40.0;
};

std::size_t bucket_of(double ms)
{
    std::size_t bucket = 0;
    while (bucket + 1 < latency_buckets &&
           ms >= latency_bucket_limit_ms(bucket)) {
        ++bucket;
    }
    return bucket;
}

/// Plays the requests of a service on two routes, with the given share on the
/// new version, reported by ten gates.
struct trial_fixture
{
    std::mt19937_64 random{1};
    version_judge judge{software_version("v2")};
    double share = 0.05;
    std::uint64_t bad_answers = 0; ///< of the new version
    std::map<std::string,
             std::map<std::pair<std::string, std::string>, version_evidence>>
        gates;

    void send(const std::string& route, const std::string& version,
              const behaviour& how, version_evidence& into)
    {
        std::uniform_real_distribution<double> uniform(0.0, 1.0);
        std::normal_distribution<double> spread(0.0, 0.5);
        into.route = route;
        into.version = software_version(version);
        into.latencies.resize(latency_buckets);
        ++into.requests;
        const bool failed = uniform(random) < how.failing;
        const bool slow = uniform(random) < how.slow_share;
        bad_answers += version == "v2" && (failed || slow) ? 1 : 0;
        if (failed) {
            ++into.failures;
            return;
        }
        const double ms = how.median_ms * std::exp(spread(random)) *
                          (slow ? how.slow_factor : 1.0);
        ++into.latencies[bucket_of(ms)];
    }
    /// Plays `rounds` report intervals of 60 requests on each route.
    /// @return true once the new version is judged faulty
    bool play(int rounds, const behaviour& old_one, const behaviour& new_on_a,
              const behaviour& new_on_b)
    {
        std::uniform_real_distribution<double> uniform(0.0, 1.0);
        for (int round = 0; round < rounds; ++round) {
            for (int i = 0; i < 120; ++i) {
                const std::string route = i % 2 == 0 ? "a" : "b";
                const bool on_new = uniform(random) < share;
                const std::string version = on_new ? "v2" : "v1";
                const std::string gate = std::to_string(i % 10);
                const behaviour& of_new = route == "a" ? new_on_a : new_on_b;
                send(route, version, on_new ? of_new : old_one,
                     gates[gate][{route, version}]);
            }
            for (const auto& [gate, reports] : gates) {
                std::vector<version_evidence> evidence;
                for (const auto& [key, each] : reports) {
                    evidence.push_back(each);
                }
                judge.record(gate, evidence);
            }
            judge.close_interval();
            if (judge.judge().result == verdict::faulty) {
                return true;
            }
        }
        return false;
    }
};

/// Bad answers after which a faulty version has to be recognised, so that its
/// rollback comes within the time that the users allow.
constexpr std::uint64_t max_bad_answers = 50;

} // namespace

// Guards against a faulty version that callers meet until the deadline.
TEST_CASE("judge_version_that_fails_at_once_is_faulty")
{
    trial_fixture trial;
    const behaviour bad{.failing = 0.3};
    CHECK(trial.play(40, {}, bad, bad));
    CHECK(trial.bad_answers <= max_bad_answers);
    CHECK(trial.judge.judge().reason.starts_with("more failures"));
}

// Guards against averages over the whole trial, in which many good answers hide
// a fault that begins later, for example under load.
TEST_CASE("judge_version_that_turns_bad_later_is_faulty")
{
    trial_fixture trial;
    REQUIRE_FALSE(trial.play(40, {}, {}, {}));
    const std::uint64_t before = trial.bad_answers;
    const behaviour bad{.failing = 0.3};
    CHECK(trial.play(40, {}, bad, bad));
    CHECK(trial.bad_answers - before <= max_bad_answers);
}

// Guards against a fault of one route that the other routes dilute.
TEST_CASE("judge_version_that_fails_on_one_route_is_faulty")
{
    trial_fixture trial;
    CHECK(trial.play(60, {}, {}, {.failing = 0.4}));
    CHECK(trial.bad_answers <= max_bad_answers);
}

// Guards against a version whose answers all come, several times too late.
TEST_CASE("judge_version_with_slow_answers_is_faulty")
{
    trial_fixture trial;
    const behaviour slow{.slow_share = 0.4, .slow_factor = 5.0};
    CHECK(trial.play(60, {}, slow, slow));
    CHECK(trial.bad_answers <= max_bad_answers);
    CHECK(trial.judge.judge().reason.starts_with("slower answers"));
}

// Guards against rolling back a sound version: at once, on a service whose own
// failures are common, and after an unlucky start.
TEST_CASE("judge_sound_version_is_seldom_faulty")
{
    int alarms = 0;
    constexpr int trials = 200;
    for (int seed = 0; seed < trials; ++seed) {
        trial_fixture trial;
        trial.random.seed(static_cast<std::uint64_t>(seed));
        const behaviour same{.failing = seed % 2 == 0 ? 0.004 : 0.14};
        alarms += trial.play(30, same, same, same) ? 1 : 0;
        CHECK(trial.judge.judge().target_requests > 100);
    }
    // At most one sound version in fifty may be rolled back.
    CHECK(alarms <= trials / 50);
}

// Guards against a verdict from a trouble that hits both versions.
TEST_CASE("judge_trouble_of_both_versions_is_no_verdict")
{
    int alarms = 0;
    for (int seed = 0; seed < 50; ++seed) {
        trial_fixture trial;
        trial.random.seed(static_cast<std::uint64_t>(seed));
        const behaviour troubled{.failing = 0.35, .slow_share = 0.3};
        alarms += trial.play(10, {}, {}, {}) ||
                          trial.play(20, troubled, troubled, troubled)
                      ? 1
                      : 0;
    }
    CHECK(alarms <= 1);
}

// Guards against a proof from next to no traffic.
TEST_CASE("judge_version_with_few_requests_is_undecided")
{
    version_judge judge(software_version("v2"));
    const std::vector<version_evidence> few{
        {.route = "a", .version = software_version("v2"), .requests = 4}};
    judge.record("gate", few);
    CHECK(judge.judge().result == verdict::undecided);
}

// Guards against counting a gate's evidence twice, or as negative after its
// restart.
TEST_CASE("judge_report_repeated_or_after_a_restart_counts_once")
{
    version_judge judge(software_version("v2"));
    std::vector<version_evidence> report{
        {.route = "a", .version = software_version("v2"), .requests = 30}};
    judge.record("gate", report);
    judge.record("gate", report);
    CHECK(judge.judge().target_requests == 30);
    report[0].requests = 2;
    judge.record("gate", report);
    CHECK(judge.judge().target_requests == 32);
}
