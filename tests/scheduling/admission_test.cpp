#include <bamboogate/scheduling/admission.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace bamboogate;
using namespace bamboogate::scheduling;
using namespace std::chrono_literals;

namespace {

control::preset two_ranks()
{
    control::preset preset;
    preset.id = preset_id("peak");
    preset.ranks = {{.name = "urgent", .priority = 0},
                    {.name = "normal",
                     .priority = 1,
                     .floor_share = 0.2,
                     .preemptible = true}};
    return preset;
}

class admission_fixture
{
public:
    time_point now{1h};
    admission::options settings;
    admission work{two_ranks(), {}};
    int next_id = 0;

    std::string submit(const std::string& rank,
                       const std::string& account = "a",
                       const std::string& service_class = "")
    {
        const std::string id = "r" + std::to_string(next_id++);
        admission_request request{
            .id = request_id(id),
            .rank = rank,
            .service_class = service_class.empty() ? rank : service_class,
            .account = client_account_id(account),
            .estimated_tokens = 100};
        const auto decision = work.submit(request, now);
        return decision.admitted()
                   ? id
                   : std::string(name_of(decision.refused->code));
    }
    std::vector<std::string> starts(unsigned free_slots)
    {
        std::vector<std::string> ids;
        last = work.schedule(free_slots, now);
        for (const request_id& id : last.start) {
            work.started(id, now);
            ids.push_back(id.value());
        }
        return ids;
    }
    dispatch_decision last;
};

control::preset without_early_limits()
{
    control::preset preset = two_ranks();
    for (auto& rank : preset.ranks) {
        rank.max_queue_wait = 1h;
    }
    return preset;
}

} // namespace

TEST_CASE_FIXTURE(admission_fixture, "admission_urgent_starts_before_lower")
{
    work = admission(two_ranks(), {.headroom = false});
    starts(10);
    for (int i = 0; i < 4; ++i) {
        submit("normal");
    }
    CHECK(starts(4).size() == 4);
    submit("normal");
    const std::string urgent = submit("urgent");
    const auto first = starts(1);
    REQUIRE(first.size() == 1);
    CHECK(first[0] == urgent);
}

// Guards against starvation of the lower rank in an urgent flood.
TEST_CASE_FIXTURE(admission_fixture, "admission_urgent_flood_leaves_the_floor")
{
    work = admission(without_early_limits(), {.headroom = false});
    starts(10);
    for (int i = 0; i < 50; ++i) {
        submit("urgent");
        submit("normal");
    }
    starts(10);
    const auto views = work.ranks();
    CHECK(views[0].running == 8);
    CHECK(views[1].running == 2);
}

TEST_CASE_FIXTURE(admission_fixture, "admission_urgent_preempts_above_floor")
{
    work = admission(without_early_limits(), {.headroom = false});
    starts(10);
    std::set<std::string> ids;
    for (int i = 0; i < 10; ++i) {
        ids.insert(submit("normal"));
    }
    REQUIRE(starts(10).size() == 10);
    for (int i = 0; i < 20; ++i) {
        submit("urgent");
    }
    now += 100ms;
    CHECK(starts(0).empty());
    // 8 of 10 go: the floor keeps two slots.
    REQUIRE(last.preempt.size() == 8);
    const request_id victim = last.preempt[0];
    CHECK(ids.contains(victim.value()));
    CHECK(work.schedule(0, now).preempt.empty());
    work.preempted(victim, now);
    const auto first = starts(1);
    REQUIRE(first.size() == 1);
    CHECK_FALSE(ids.contains(first[0]));
}

// Guards against a preempted generation being lost or reported as not run.
TEST_CASE_FIXTURE(admission_fixture, "admission_preempted_work_resumes")
{
    work = admission(without_early_limits(), {.headroom = false});
    starts(1);
    admission_request request{.id = request_id("long"),
                              .rank = "normal",
                              .service_class = "normal",
                              .account = client_account_id("a"),
                              .estimated_tokens = 100,
                              .deadline = now + 1s};
    auto preset = without_early_limits();
    preset.ranks[1].floor_share = 0.0;
    (void)work.apply(preset, now);
    REQUIRE(work.submit(request, now).admitted());
    REQUIRE(starts(1).size() == 1);
    const std::string urgent = submit("urgent");
    now += 100ms;
    starts(0);
    REQUIRE(last.preempt.size() == 1);
    work.preempted(request.id, now);
    CHECK(starts(1) == std::vector<std::string>{urgent});
    now += 10s;
    starts(0);
    CHECK(last.dropped.empty());
    preset.ranks.pop_back();
    CHECK(work.apply(preset, now).empty());
    work.finished(request_id(urgent), now);
    CHECK(starts(1) == std::vector<std::string>{"long"});
}

TEST_CASE_FIXTURE(admission_fixture, "admission_refusals_name_their_reason")
{
    CHECK(submit("unknown") == "invalid_argument");
    auto preset = two_ranks();
    preset.ranks[1].queue_limit = 4;
    (void)work.apply(preset, now);
    SUBCASE("full queue")
    {
        work = admission(preset, {.early_refusal = false});
        for (int i = 0; i < 4; ++i) {
            submit("normal", "b" + std::to_string(i % 2));
        }
        submit("normal", "a");
        submit("normal", "a");
        CHECK(submit("normal", "a") == "overloaded");
        CHECK(submit("urgent", "a") != "overloaded");
    }
    SUBCASE("cannot start in time")
    {
        work = admission(two_ranks(), {});
        starts(1);
        submit("normal");
        starts(1);
        submit("normal");
        // One slot, five seconds each: the third would wait for ten.
        CHECK(submit("normal") == "not_run");
    }
    SUBCASE("deadline already passed")
    {
        admission_request request{.id = request_id("late"),
                                  .rank = "normal",
                                  .service_class = "normal",
                                  .account = client_account_id("a"),
                                  .deadline = now};
        const auto decision = work.submit(request, now);
        REQUIRE_FALSE(decision.admitted());
        CHECK(decision.refused->code == errc::not_run);
        CHECK(decision.refused->retry_after > duration::zero());
    }
}

// Guards against one account filling the queue so that others are refused.
TEST_CASE_FIXTURE(admission_fixture,
                  "admission_full_queue_admits_small_account")
{
    auto preset = without_early_limits();
    preset.ranks[1].queue_limit = 20;
    work = admission(preset, {});
    starts(4);
    for (int i = 0; i < 200; ++i) {
        submit("normal", "large" + std::to_string(i % 8));
    }
    CHECK(submit("normal", "large0") == "overloaded");
    CHECK(submit("normal", "small") != "overloaded");
}

TEST_CASE_FIXTURE(admission_fixture, "admission_missed_deadline_is_dropped")
{
    work = admission(without_early_limits(), {});
    admission_request request{.id = request_id("soon"),
                              .rank = "normal",
                              .service_class = "normal",
                              .account = client_account_id("a"),
                              .deadline = now + 1s};
    REQUIRE(work.submit(request, now).admitted());
    now += 1s;
    starts(5);
    CHECK(last.start.empty());
    REQUIRE(last.dropped.size() == 1);
    CHECK(last.dropped[0].cause.code == errc::not_run);
    CHECK(work.size() == 0);
}

// Guards against endless waiting: with a floor of zero and an urgent flood
// without end, admitted lower work still starts.
TEST_CASE_FIXTURE(admission_fixture, "admission_aging_starts_every_request")
{
    auto preset = two_ranks();
    preset.ranks[1].floor_share = 0.0;
    work = admission(preset, {.early_refusal = false});
    starts(2);
    std::set<std::string> lower;
    for (int i = 0; i < 10; ++i) {
        lower.insert(submit("normal"));
    }
    std::vector<request_id> running;
    for (int step = 0; step < 400 && !lower.empty(); ++step) {
        now += 100ms;
        submit("urgent");
        submit("urgent");
        for (const request_id& id : running) {
            work.finished(id, now);
        }
        running.clear();
        for (const std::string& id : starts(2)) {
            running.emplace_back(id);
            lower.erase(id);
        }
        for (const request_id& id : last.preempt) {
            work.preempted(id, now);
        }
    }
    CHECK(lower.empty());
    CHECK(work.counters().started_by_aging >= 10);
}

TEST_CASE_FIXTURE(admission_fixture, "admission_apply_acts_on_queued_at_once")
{
    work = admission(without_early_limits(), {});
    std::vector<std::string> queued(10);
    for (std::string& id : queued) {
        id = submit("normal");
    }
    auto preset = without_early_limits();
    SUBCASE("a shorter queue refuses the newest")
    {
        preset.ranks[1].queue_limit = 6;
        const auto dropped = work.apply(preset, now);
        REQUIRE(dropped.size() == 4);
        for (const dropped_request& item : dropped) {
            CHECK(item.cause.code == errc::not_run);
            const auto place =
                std::find(queued.begin(), queued.end(), item.id.value());
            CHECK(place - queued.begin() >= 6);
        }
        CHECK(starts(20).size() == 6);
    }
    SUBCASE("a rank that is gone refuses what never ran")
    {
        preset.ranks.pop_back();
        CHECK(work.apply(preset, now).size() == 10);
        CHECK(work.size() == 0);
    }
    SUBCASE("new ranks keep queued and running work")
    {
        CHECK(starts(5).size() == 5);
        preset.ranks.insert(preset.ranks.begin(), {.name = "first"});
        CHECK(work.apply(preset, now).empty());
        const auto views = work.ranks();
        CHECK(views[2].running == 5);
        CHECK(views[2].queued == 5);
    }
}

// Guards against a class taking the whole pool from the others of its rank.
TEST_CASE_FIXTURE(admission_fixture, "admission_class_flood_leaves_the_shares")
{
    auto preset = without_early_limits();
    preset.class_shares = {{"reports", 0.5}, {"summaries", 0.25}};
    work = admission(preset, {.headroom = false});
    starts(20);
    for (int i = 0; i < 100; ++i) {
        submit("normal", "a", "summaries");
    }
    for (int i = 0; i < 12; ++i) {
        submit("normal", "b", "reports");
    }
    std::map<std::string, int> by_class;
    const auto ids = starts(20);
    REQUIRE(ids.size() == 20);
    for (const std::string& id : ids) {
        ++by_class[std::stoi(id.substr(1)) < 100 ? "summaries" : "reports"];
    }
    CHECK(by_class["reports"] >= 10);
    CHECK(by_class["summaries"] >= 5);
}

// Guards against lost slots and entries: whatever the order of calls, every
// admitted request starts, is dropped or is cancelled, and nothing remains.
TEST_CASE_FIXTURE(admission_fixture, "admission_random_calls_lose_nothing")
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        work = admission(two_ranks(), {});
        std::set<std::string> known;
        std::set<std::string> holding;
        std::set<std::string> stopping;
        const unsigned slots = 12;
        auto pick = [&](const std::set<std::string>& from) {
            return *std::next(from.begin(),
                              static_cast<long>(random() % from.size()));
        };
        auto forget = [&](const std::string& id) {
            known.erase(id);
            holding.erase(id);
            stopping.erase(id);
        };
        for (int step = 0; step < 3000; ++step) {
            now += std::chrono::milliseconds(random() % 40);
            const bool draining = step > 2000;
            const auto dice = draining ? 3 + random() % 5 : random() % 8;
            if (dice < 3) {
                const std::string id =
                    submit(random() % 3 == 0 ? "urgent" : "normal",
                           std::to_string(random() % 5));
                if (id[0] == 'r') {
                    known.insert(id);
                }
            } else if (dice == 3 && !known.empty()) {
                const std::string id = pick(known);
                work.finished(request_id(id), now);
                forget(id);
            } else if (dice == 4 && !holding.empty()) {
                work.tokens_generated(request_id(pick(holding)),
                                      random() % 300);
            } else if (dice == 5 && !stopping.empty()) {
                const std::string id = pick(stopping);
                work.preempted(request_id(id), now);
                holding.erase(id);
                stopping.erase(id);
            } else if (dice == 6 && !holding.empty() && !draining) {
                const std::string id = pick(holding);
                if (!stopping.contains(id)) {
                    work.dispatch_failed(request_id(id), now);
                    holding.erase(id);
                }
            } else if (dice == 7 && random() % 20 == 0) {
                auto preset = two_ranks();
                preset.ranks[1].queue_limit = 10 + random() % 100;
                for (const auto& item : work.apply(preset, now)) {
                    REQUIRE(known.contains(item.id.value()));
                    forget(item.id.value());
                }
            }
            const auto free = slots - static_cast<unsigned>(holding.size());
            for (const std::string& id : starts(free)) {
                REQUIRE(known.contains(id));
                REQUIRE(holding.insert(id).second);
            }
            for (const request_id& id : last.preempt) {
                REQUIRE(holding.contains(id.value()));
                stopping.insert(id.value());
            }
            REQUIRE(holding.size() <= slots);
            REQUIRE(work.size() == known.size());
        }
        while (!known.empty()) {
            const std::string id = *known.begin();
            work.finished(request_id(id), now);
            forget(id);
        }
        CHECK(work.size() == 0);
        CHECK(work.schedule(0, now).start.empty());
        CHECK(work.ranks()[0].running + work.ranks()[1].running == 0);
    }
}
