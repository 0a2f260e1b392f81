#include <bamboogate/rollout/progress.hpp>
#include <bamboogate/rollout/trial_selector.hpp>

#include <doctest/doctest.h>

using namespace bamboogate;
using namespace bamboogate::rollout;
using namespace std::chrono_literals;

namespace {

struct progress_fixture
{
    exposure_limits limits;
    rollout_situation situation{.phase = rollout_phase::trial,
                                .elapsed = 2s,
                                .allowed = 12s,
                                .in_phase = 2s,
                                .leading_for = 2s,
                                .evidence = {.result = verdict::sound,
                                             .target_requests = 100,
                                             .other_requests = 2000},
                                .ready_targets = 3,
                                .ready_others = 3};

    [[nodiscard]] rollout_phase next() const
    {
        return next_step(situation, limits).next;
    }
};

} // namespace

TEST_CASE_FIXTURE(progress_fixture, "progress_sound_version_completes_in_time")
{
    CHECK(next() == rollout_phase::trial);
    situation.elapsed = situation.in_phase = 11600ms;
    CHECK(next() == rollout_phase::shifting);
    situation.phase = rollout_phase::shifting;
    situation.in_phase = 100ms;
    CHECK(next() == rollout_phase::shifting);
    situation.elapsed = 11800ms;
    CHECK(next() == rollout_phase::completed);
}

TEST_CASE_FIXTURE(progress_fixture, "progress_faulty_version_is_rolled_back")
{
    situation.evidence.result = verdict::faulty;
    CHECK(next() == rollout_phase::rolled_back);
    situation.phase = rollout_phase::shifting;
    CHECK(next() == rollout_phase::rolled_back);
}

// Guards against a new leader that decides before the gates have told it what
// they have seen.
TEST_CASE_FIXTURE(progress_fixture, "progress_new_leader_waits_for_evidence")
{
    situation.leading_for = 100ms;
    situation.elapsed = 13s;
    situation.evidence = {};
    CHECK(next() == rollout_phase::trial);
    situation.leading_for = 1s;
    situation.evidence = {.result = verdict::sound,
                          .target_requests = 50,
                          .other_requests = 1000};
    CHECK(next() == rollout_phase::shifting);
}

// Guards against old upstreams that stop while nothing replaces them.
TEST_CASE_FIXTURE(progress_fixture, "progress_without_proof_is_rolled_back")
{
    situation.elapsed = 11900ms;
    SUBCASE("no upstream")
    {
        situation.ready_targets = 0;
    }
    SUBCASE("too few upstreams")
    {
        situation.ready_targets = 1;
    }
    SUBCASE("too little traffic")
    {
        situation.evidence.target_requests = 1;
    }
    SUBCASE("service removed")
    {
        situation.service_declared = false;
    }
    CHECK(next() == rollout_phase::rolled_back);
}

// Guards against a version that turns bad only when it gets everything: the
// trial and the shift together stay within the limits at any rate of requests.
TEST_CASE_FIXTURE(progress_fixture, "progress_exposure_stays_within_its_limits")
{
    for (const double rate : {1.0, 5.0, 40.0, 230.0, 2000.0}) {
        for (const double allowed_s : {4.0, 12.0, 60.0}) {
            const duration allowed = std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(allowed_s));
            const double lead = to_seconds(shift_lead(limits, allowed, rate));
            const double total = rate * allowed_s;
            const double exposed =
                trial_share(limits) * rate * (allowed_s - lead) + rate * lead;
            CHECK(exposed <= limits.share * total + limits.slack);
        }
    }
}

// Guards against gates that together exceed the share of a trial, whatever part
// of the traffic each of them gets.
TEST_CASE("trial_selector_of_many_gates_keeps_the_share")
{
    const time_point now{1h};
    constexpr std::size_t gates = 61;
    std::size_t admitted = 0;
    std::size_t requests = 0;
    for (std::size_t gate = 0; gate < gates; ++gate) {
        const double position =
            static_cast<double>(gate) / static_cast<double>(gates);
        trial_selector selector(
            {.share = 0.05, .offset = trial_offset(position, 50.0, gates, 2)});
        selector.renew(now);
        const std::size_t own = gate % 7 == 0 ? 200 : 8;
        for (std::size_t i = 0; i < own; ++i) {
            requests += 2;
            admitted += selector.admit("a", now) ? 1 : 0;
            admitted += selector.admit("b", now) ? 1 : 0;
        }
    }
    CHECK(admitted > 0);
    CHECK(static_cast<double>(admitted) <=
          0.05 * static_cast<double>(requests) + 12.5);
}

// Guards against a gate that is cut off and misses the rollback.
TEST_CASE("trial_selector_without_a_lease_admits_nothing")
{
    const time_point start{1h};
    trial_selector selector({.share = 1.0, .lease = 1500ms});
    CHECK_FALSE(selector.admit("a", start));
    selector.renew(start);
    CHECK(selector.admit("a", start + 1s));
    CHECK_FALSE(selector.admit("a", start + 1500ms));
}
