#include <bamboogate/relay/gate_rollouts.hpp>

#include <doctest/doctest.h>

#include <algorithm>

using namespace bamboogate;
using namespace bamboogate::relay;
using namespace std::chrono_literals;
using rollout::rollout_phase;

namespace {

struct gate_rollouts_fixture
{
    gate_rollouts rollouts{{}};
    service_id service{"book"};
    software_version old_version{"v1"};
    software_version target{"v2"};
    time_point now{1h};

    bool apply(std::uint64_t number, rollout_phase phase, double share = 0.5)
    {
        return rollouts.apply({.number = number,
                               .service = service,
                               .target = target,
                               .phase = static_cast<std::uint8_t>(phase),
                               .trial_share = share,
                               .superseded = {old_version}},
                              {});
    }
    void lease(std::uint64_t number) { rollouts.renew({&number, 1}, now); }
    int admitted(int requests)
    {
        int out = 0;
        for (int i = 0; i < requests; ++i) {
            out += rollouts.admit_to_trial(service, "r", now) ? 1 : 0;
        }
        return out;
    }
    bool allowed(const software_version& version, bool on_trial = false) const
    {
        return rollouts.preference(service, on_trial).preferred.admits(version);
    }
};

} // namespace

// Guards against records that arrive late or twice: one of an earlier phase
// would send requests to a version that was rolled back.
TEST_CASE_FIXTURE(gate_rollouts_fixture,
                  "gate_rollouts_outdated_record_changes_nothing")
{
    CHECK(allowed(target));
    CHECK(apply(7, rollout_phase::trial));
    lease(7);
    CHECK_FALSE(allowed(target));
    CHECK(allowed(target, true));
    CHECK_FALSE(allowed(old_version, true));
    CHECK(apply(7, rollout_phase::rolled_back));
    CHECK_FALSE(apply(7, rollout_phase::trial));
    CHECK_FALSE(apply(7, rollout_phase::shifting));
    CHECK_FALSE(apply(6, rollout_phase::completed));
    CHECK_FALSE(allowed(target));
    CHECK_FALSE(allowed(target, true));
    CHECK(rollouts.rolled_back(service, target));
    CHECK_FALSE(rollouts.preference(service, false).fallback.admits(target));
    CHECK(admitted(10) == 0);
    CHECK(apply(8, rollout_phase::completed));
    CHECK(allowed(target));
    CHECK_FALSE(allowed(old_version));
    CHECK(rollouts.preference(service, false).fallback.admits(old_version));
}

// Guards against a gate that goes on with a trial that nobody judges, and
// against one that never begins because the lease came before the record.
TEST_CASE_FIXTURE(gate_rollouts_fixture,
                  "gate_rollouts_without_lease_admits_no_request")
{
    lease(7);
    apply(7, rollout_phase::trial);
    CHECK(admitted(10) == 5);
    now += 1400ms;
    CHECK(admitted(10) == 5);
    now += 200ms;
    CHECK(admitted(10) == 0);
    lease(6);
    CHECK(admitted(10) == 0);
    lease(7);
    CHECK(admitted(10) == 5);
}

// Guards against a stream that is continued by another version, or sent on to
// one that was rolled back since it began.
TEST_CASE_FIXTURE(gate_rollouts_fixture,
                  "gate_rollouts_copy_of_another_version_is_not_used")
{
    const auto may_resume = [&](const software_version& holder,
                                bool on_trial = false) {
        return rollouts.may_resume(service, holder, holder, on_trial);
    };
    CHECK_FALSE(rollouts.may_resume(service, old_version, target, false));
    CHECK(may_resume(old_version));
    apply(7, rollout_phase::trial);
    CHECK_FALSE(rollouts.may_resume(service, old_version, target, true));
    CHECK(may_resume(old_version));
    CHECK_FALSE(may_resume(target));
    CHECK(may_resume(target, true));
    apply(7, rollout_phase::rolled_back);
    CHECK_FALSE(may_resume(target, true));
    apply(8, rollout_phase::completed);
    CHECK(may_resume(target));
    CHECK_FALSE(may_resume(old_version));
}

// Guards against evidence that is lost with a leader, carried over to the next
// rollout, or collected without one.
TEST_CASE_FIXTURE(gate_rollouts_fixture,
                  "gate_rollouts_evidence_is_reported_again_in_full")
{
    rollouts.note_failure(service, "r", target);
    CHECK(rollouts.unreported().empty());
    apply(7, rollout_phase::trial);
    rollouts.note_answer(service, "r", old_version, 20ms);
    rollouts.note_answer(service, "r", old_version, std::nullopt);
    rollouts.note_failure(service, "r", target);
    const auto first = rollouts.unreported();
    REQUIRE(first.size() == 1);
    CHECK(first[0].number == 7);
    REQUIRE(first[0].evidence.size() == 2);
    const auto& old_counts = first[0].evidence[0];
    CHECK(old_counts.version == old_version);
    CHECK(old_counts.requests == 2);
    CHECK(old_counts.failures == 0);
    // 1.5^7 ms < 20 ms < 1.5^8 ms
    CHECK(old_counts.latencies[8] == 1);
    CHECK(first[0].evidence[1].failures == 1);
    rollouts.mark_reported(service);
    CHECK(rollouts.unreported().empty());
    rollouts.report_again();
    CHECK(rollouts.unreported().size() == 1);
    apply(7, rollout_phase::shifting);
    CHECK(rollouts.unreported()[0].evidence.size() == 2);
    apply(8, rollout_phase::trial);
    CHECK(rollouts.unreported().empty());
    CHECK(rollouts.in_progress());
    apply(8, rollout_phase::completed);
    CHECK_FALSE(rollouts.in_progress());
}
