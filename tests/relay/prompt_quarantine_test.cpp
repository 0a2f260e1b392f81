#include <bamboogate/relay/prompt_quarantine.hpp>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>
#include <vector>

using namespace bamboogate;
using namespace bamboogate::relay;
using namespace std::chrono_literals;

namespace {

using part_list = std::vector<std::string>;

struct prompt_quarantine_fixture
{
    prompt_quarantine quarantine;
    time_point now{1h};
    int engines = 0;

    /// Another engine crashes a second after the previous one.
    std::optional<quarantined_parts> crash(const part_list& parts,
                                           duration after = 1s)
    {
        now += after;
        return quarantine.note_crash(parts, fmt::format("e{}", ++engines), now);
    }
    [[nodiscard]] bool refused(const part_list& parts) const
    {
        return quarantine.quarantine_of(parts, now).has_value();
    }
};

} // namespace

// Guards against a request that crashes one engine after the other.
TEST_CASE_FIXTURE(prompt_quarantine_fixture,
                  "part_in_three_crashes_without_a_start_is_quarantined")
{
    CHECK_FALSE(crash({"f1", "bad"}));
    CHECK_FALSE(crash({"f2", "bad"}));
    const auto found = crash({"f3", "bad"});
    REQUIRE(found);
    CHECK(found->parts == part_list{"bad"});
    CHECK(found->crashes == 3);
    CHECK(refused({"f4", "x", "bad"}));
    CHECK_FALSE(refused({"f1", "f2", "f3"}));
}

// Guards against sound requests that are refused because they share a part with
// a poison request.
TEST_CASE_FIXTURE(prompt_quarantine_fixture,
                  "parts_with_equal_evidence_are_refused_only_together")
{
    crash({"f1", "bad"});
    crash({"f1", "bad"});
    const auto both = crash({"f1", "bad"});
    REQUIRE(both);
    CHECK(both->parts == part_list{"bad", "f1"});
    CHECK_FALSE(refused({"f1", "good"}));
    const auto one = crash({"f2", "bad"});
    REQUIRE(one);
    CHECK(one->parts == part_list{"bad"});
    CHECK_FALSE(refused({"f1", "good"}));
    CHECK(refused({"f3", "bad"}));
}

// Guards against a quarantine of parts that all requests share.
TEST_CASE_FIXTURE(prompt_quarantine_fixture,
                  "part_that_begins_between_crashes_is_not_quarantined")
{
    for (int i = 0; i < 20; ++i) {
        const auto found = crash({"shared", fmt::format("f{}", i)});
        CHECK_FALSE(found);
        quarantine.note_started(part_list{"shared"});
    }
    CHECK_FALSE(refused({"shared"}));
}

// Guards against a quarantine because a failure domain failed: its engines
// crash together, under many streams with the same parts.
TEST_CASE_FIXTURE(prompt_quarantine_fixture,
                  "crashes_of_a_failure_domain_count_once")
{
    for (int i = 0; i < 30; ++i) {
        CHECK_FALSE(crash({"shared"}, 10ms));
    }
    CHECK_FALSE(refused({"shared"}));
}

// Guards against counting one crash for each stream that it breaks.
TEST_CASE_FIXTURE(prompt_quarantine_fixture,
                  "crash_reported_by_many_streams_counts_once")
{
    for (int i = 0; i < 12; ++i) {
        now += 600ms;
        CHECK_FALSE(quarantine.note_crash(part_list{"bad"}, "host", now));
    }
    CHECK_FALSE(crash({"bad"}));
    CHECK(crash({"bad"}));
}

// Guards against a call whose repeats crash all upstreams of a service within
// half a second, which counts as one failure of their domain.
TEST_CASE_FIXTURE(prompt_quarantine_fixture,
                  "crashes_under_a_repeated_request_all_count")
{
    const part_list request{"request:1"};
    CHECK_FALSE(quarantine.note_crash(request, "a", now));
    now += 50ms;
    CHECK_FALSE(quarantine.note_crash(request, "b", now, true));
    now += 50ms;
    CHECK(quarantine.note_crash(request, "c", now, true));
}

// Guards against a quarantine of a request that several callers had sent when
// the upstreams of a failure domain crashed together.
TEST_CASE_FIXTURE(prompt_quarantine_fixture,
                  "crashes_under_one_request_of_several_callers_count_once")
{
    const part_list request{"request:1"};
    for (const char* upstream : {"a", "b", "c"}) {
        now += 5ms;
        CHECK_FALSE(quarantine.note_crash(request, upstream, now));
    }
    CHECK(quarantine.crashes_of("request:1") == 1);
}

// Guards against a request that callers send to one process after the other so
// fast that its crashes count as one failure of their domain.
TEST_CASE_FIXTURE(prompt_quarantine_fixture,
                  "crashes_under_a_request_count_after_a_short_separation")
{
    CHECK_FALSE(crash({"request:1"}, 150ms));
    CHECK_FALSE(crash({"request:1"}, 150ms));
    CHECK(crash({"request:1"}, 150ms));
}

// Guards against a quarantine of a request that is answered elsewhere between
// the crashes of its upstreams.
TEST_CASE_FIXTURE(prompt_quarantine_fixture,
                  "request_answered_between_crashes_is_not_quarantined")
{
    for (int i = 0; i < 10; ++i) {
        CHECK_FALSE(crash({"request:1"}));
        CHECK_FALSE(crash({"request:1"}));
        CHECK(quarantine.clear_suspicion("request:1"));
    }
    CHECK_FALSE(quarantine.clear_suspicion("request:1"));
}

// Guards against engines lost because a new leader starts to count anew.
TEST_CASE_FIXTURE(prompt_quarantine_fixture,
                  "evidence_of_another_process_counts")
{
    CHECK(quarantine.add_suspicion("request:1", 2, now));
    CHECK_FALSE(quarantine.add_suspicion("request:1", 1, now));
    CHECK(crash({"request:1"}));
}

// Guards against more engines lost to a part that began before it turned bad.
TEST_CASE_FIXTURE(prompt_quarantine_fixture,
                  "part_that_turns_bad_is_quarantined_after_three_crashes")
{
    quarantine.note_started(part_list{"part"});
    crash({"part"});
    CHECK(quarantine.suspects(part_list{"part"}).empty());
    crash({"part"});
    CHECK(quarantine.suspects(part_list{"part"}) == part_list{"part"});
    CHECK(crash({"part"}));
}

// Guards against ten minutes without service after failure domains fail one
// after the other under streams that share a part.
TEST_CASE_FIXTURE(prompt_quarantine_fixture,
                  "part_that_began_before_is_quarantined_for_a_short_time")
{
    quarantine.note_started(part_list{"shared"});
    crash({"shared", "new"});
    crash({"shared"});
    const auto found = crash({"shared"});
    REQUIRE(found);
    CHECK(found->parts == part_list{"shared"});
    CHECK(found->remaining == 30s);
    now += 30s;
    quarantine.expire(now);
    CHECK_FALSE(refused({"shared"}));
}

// Guards against a second series of crashes when a quarantine ends, and against
// one that never ends.
TEST_CASE_FIXTURE(prompt_quarantine_fixture,
                  "quarantine_that_ends_is_repeated_by_one_crash_for_longer")
{
    crash({"bad"});
    crash({"bad"});
    const auto first = crash({"bad"});
    REQUIRE(first);
    CHECK(first->remaining == 10min);
    now += 10min;
    quarantine.expire(now);
    CHECK_FALSE(refused({"bad"}));
    CHECK(quarantine.suspects(part_list{"bad"}) == part_list{"bad"});
    const auto second = crash({"bad"});
    REQUIRE(second);
    CHECK(second->remaining == 20min);
    now += 20min;
    quarantine.expire(now);
    quarantine.note_started(part_list{"bad"});
    CHECK(quarantine.suspects(part_list{"bad"}).empty());
    CHECK_FALSE(crash({"bad"}));
}

// Guards against memory that grows with callers who send new parts without end.
TEST_CASE("quarantine_of_endless_new_parts_stays_bounded")
{
    prompt_quarantine quarantine(
        {.max_started_parts = 10, .max_suspects = 10, .max_quarantined = 10});
    time_point now{1h};
    const auto crash_repeatedly = [&](const std::string& part) {
        for (int i = 0; i < 3; ++i) {
            now += 1s;
            static_cast<void>(quarantine.note_crash(
                part_list{part}, fmt::format("{}-{}", part, i), now));
        }
    };
    for (int i = 0; i < 100; ++i) {
        quarantine.note_started(part_list{fmt::format("s{}", i)});
        crash_repeatedly(fmt::format("p{}", i));
    }
    CHECK(quarantine.quarantined(now).size() == 10);
    CHECK(quarantine.quarantine_of(part_list{"p99"}, now));
    CHECK_FALSE(quarantine.quarantine_of(part_list{"p0"}, now));
}

// Guards against a quarantine that is passed on in circles.
TEST_CASE_FIXTURE(prompt_quarantine_fixture,
                  "quarantine_of_another_process_is_added_once")
{
    const quarantined_parts received{
        .parts = {"bad"}, .crashes = 3, .remaining = 10min};
    CHECK(quarantine.add(received, now));
    CHECK_FALSE(quarantine.add(received, now));
    CHECK(refused({"f", "bad"}));
    REQUIRE(quarantine.quarantined(now).size() == 1);
    CHECK(quarantine.quarantined(now)[0].crashes == 3);
}

// Guards against a new leader that loses as many engines again, because it
// knows the quarantine but not the evidence against each part.
TEST_CASE_FIXTURE(prompt_quarantine_fixture,
                  "quarantine_of_another_process_brings_its_evidence")
{
    REQUIRE(quarantine.add(
        {.parts = {"bad", "f1"}, .crashes = 3, .remaining = 10min}, now));
    CHECK_FALSE(refused({"bad", "f2"}));
    const auto found = crash({"bad", "f2"});
    REQUIRE(found);
    CHECK(found->parts == part_list{"bad"});
    CHECK(refused({"bad", "f3"}));
    quarantine.note_started(part_list{"f1"});
    CHECK(quarantine.suspects(part_list{"f1"}).empty());
}

// Guards against a quarantine because of connections that break at live
// engines, and against a suspect that is placed beside others.
TEST_CASE_FIXTURE(prompt_quarantine_fixture,
                  "broken_connection_makes_a_part_suspect_until_it_begins")
{
    quarantine.note_started(part_list{"shared"});
    for (int i = 0; i < 5; ++i) {
        now += 1s;
        quarantine.note_broken(part_list{"shared", "new"}, now);
    }
    CHECK(quarantine.suspects(part_list{"shared", "new"}) == part_list{"new"});
    CHECK_FALSE(refused({"shared", "new"}));
    quarantine.note_started(part_list{"new"});
    CHECK(quarantine.suspects(part_list{"new"}).empty());
}
