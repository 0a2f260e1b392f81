#include <bamboogate/relay/rollout_director.hpp>

#include <doctest/doctest.h>

#include "support/loop_runner.hpp"

using namespace bamboogate;
using namespace bamboogate::relay;
using namespace bamboogate::tests;
using namespace std::chrono_literals;
using rollout::rollout_phase;

namespace {

struct director_fixture
{
    net::event_loop loop;
    instance_registry registry{{}};
    bool lease = true;
    std::vector<rollout_phase_change> proposed;
    std::function<void()> finish_proposal;
    std::size_t leases = 0;
    rollout_director director{
        loop,
        registry,
        {.evidence_interval = 10ms,
         .decision_interval = 10ms,
         .lease_interval = 10ms},
        {.leads = [this] { return lease; },
         .running_on = [](const upstream_id&) { return std::size_t(0); },
         .propose =
             [this](const rollout_phase_change& change,
                    std::function<void()> done) {
                 proposed.push_back(change);
                 finish_proposal = std::move(done);
             },
         .send_lease = [this](const rollout_lease&) { ++leases; }}};
    rollout::rollout_record record{.number = 7,
                                   .service = service_id("gen"),
                                   .target = software_version("v2"),
                                   .duration_ms = 60000};

    director_fixture()
    {
        director.declare_services({service_id("gen")});
        record.began_unix_ms = unix_ms();
    }
    static std::int64_t unix_ms()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }
    void report_faults(std::uint64_t number)
    {
        director.on_evidence(node_id("g"),
                             {.service = service_id("gen"),
                              .number = number,
                              .evidence = {{.route = "r",
                                            .version = software_version("v2"),
                                            .requests = 40,
                                            .failures = 40,
                                            .latencies = {}}}});
    }
    void run_for(duration time)
    {
        run_until(
            loop, [] { return false; }, time);
    }
};

} // namespace

// Guards against a fault that no leader acts on: gates report it when another
// replica has told them of the new leader, before it takes over.
TEST_CASE_FIXTURE(director_fixture,
                  "evidence_that_precedes_the_leadership_is_acted_on")
{
    director.on_record(record);
    report_faults(7);
    run_for(50ms);
    CHECK(proposed.empty());
    director.on_leadership(true);
    REQUIRE(run_until(loop, [&] { return !proposed.empty(); }));
    run_for(50ms);
    REQUIRE(proposed.size() == 1);
    CHECK(proposed[0].number == 7);
    CHECK(proposed[0].phase ==
          static_cast<std::uint8_t>(rollout_phase::rolled_back));
    // A proposal that failed is repeated, but not while it is pending.
    finish_proposal();
    CHECK(run_until(loop, [&] { return proposed.size() == 2; }));
}

// Guards against evidence on an earlier rollout that ends the next one.
TEST_CASE_FIXTURE(director_fixture, "evidence_of_another_rollout_is_ignored")
{
    director.on_leadership(true);
    director.on_record(record);
    report_faults(6);
    run_for(50ms);
    CHECK(proposed.empty());
}

// Guards against gates that go on with a trial which nobody judges.
TEST_CASE_FIXTURE(director_fixture,
                  "lease_is_sent_only_while_a_leader_judges_a_rollout")
{
    director.on_leadership(true);
    run_for(30ms);
    CHECK(leases == 0);
    director.on_record(record);
    CHECK(leases == 1);
    CHECK(run_until(loop, [&] { return leases >= 2; }));
    lease = false;
    const auto before = leases;
    run_for(50ms);
    CHECK(leases == before);
    lease = true;
    record.phase = static_cast<std::uint8_t>(rollout_phase::rolled_back);
    director.on_record(record);
    run_for(50ms);
    CHECK(leases == before);
}

// Guards against a deadline that restarts with the process, and against a wrong
// clock that moves it into the past of the order or beyond its time.
TEST_CASE_FIXTURE(director_fixture,
                  "rollout_of_an_earlier_process_has_its_age_by_the_wall_clock")
{
    const auto elapsed = [&](std::int64_t began_ago_ms) {
        ++record.number;
        record.began_unix_ms = unix_ms() - began_ago_ms;
        director.on_record(record);
        return director.statuses().at(0).elapsed;
    };
    CHECK(elapsed(20000) >= 20s);
    CHECK(elapsed(20000) < 25s);
    CHECK(elapsed(90000) == 60s);
    CHECK(elapsed(INT64_C(4000000000000)) == 60s);
    CHECK(elapsed(-90000) < 5s);
}
