#include <bamboogate/relay/instance_registry.hpp>
#include <bamboogate/relay/upstream_directory.hpp>

#include <doctest/doctest.h>

using namespace bamboogate;
using namespace bamboogate::relay;
using namespace std::chrono_literals;

namespace {

using change = instance_registry::change;

struct registry_fixture
{
    instance_registry registry{{.expiry = 30s}};
    time_point now{1h};

    static announcement said(const char* id, std::uint64_t sequence,
                             std::uint64_t started_at, const char* host)
    {
        return {.id = upstream_id(id),
                .service = service_id("s"),
                .address = {host, 80},
                .domain = failure_domain_id("d1"),
                .slots = 4,
                .sequence = sequence,
                .started_at = started_at};
    }
    [[nodiscard]] instance_state state(const char* id) const
    {
        return registry.find(upstream_id(id))->state;
    }
};

} // namespace

TEST_CASE_FIXTURE(registry_fixture,
                  "registry_late_announcement_changes_nothing")
{
    CHECK(registry.record_announcement(said("a", 5, 100, "10.0.0.1"), now) ==
          change::updated);
    CHECK(registry.record_announcement(said("a", 4, 100, "10.0.0.1"), now) ==
          change::none);
    CHECK(registry.record_announcement(said("a", 5, 100, "10.0.0.1"), now) ==
          change::none);
    CHECK(registry.record_announcement(said("a", 6, 100, "10.0.0.1"), now) ==
          change::refreshed);
}

// Guards against work for an upstream that said it leaves, when an earlier
// announcement arrives after that word.
TEST_CASE_FIXTURE(registry_fixture, "registry_leave_is_final_within_one_start")
{
    registry.record_announcement(said("a", 5, 100, "10.0.0.1"), now);
    CHECK(registry.record_departure(upstream_id("a"), 100, now) ==
          change::updated);
    registry.record_announcement(said("a", 6, 100, "10.0.0.1"), now);
    CHECK(state("a") == instance_state::leaving);
    // A new start under the same id counts its announcements anew.
    CHECK(registry.record_announcement(said("a", 1, 200, "10.0.0.1"), now) ==
          change::updated);
    CHECK(state("a") == instance_state::ready);
    // The word of the earlier start comes late.
    CHECK(registry.record_departure(upstream_id("a"), 100, now) ==
          change::none);
    CHECK(state("a") == instance_state::ready);
}

// Guards against requests to an address that another upstream holds now.
TEST_CASE_FIXTURE(registry_fixture,
                  "registry_new_holder_of_an_address_ends_the_one_before")
{
    registry.record_announcement(said("a", 5, 100, "10.0.0.1"), now);
    registry.record_announcement(said("b", 1, 200, "10.0.0.1"), now);
    CHECK(state("a") == instance_state::lost);
    CHECK(state("b") == instance_state::ready);
    // An announcement that was delayed by a partition.
    CHECK(registry.record_announcement(said("a", 6, 100, "10.0.0.1"), now) ==
          change::none);
    CHECK(state("a") == instance_state::lost);
    CHECK(state("b") == instance_state::ready);
}

// Guards against work for an upstream that has left, in a process that first
// hears of it by a delayed announcement.
TEST_CASE_FIXTURE(registry_fixture,
                  "registry_leave_before_the_first_announcement_holds")
{
    CHECK(registry.record_departure(upstream_id("a"), 100, now) ==
          change::none);
    registry.record_announcement(said("a", 5, 100, "10.0.0.1"), now);
    CHECK(state("a") == instance_state::leaving);
    SUBCASE("a new start is ready")
    {
        registry.record_announcement(said("a", 1, 200, "10.0.0.1"), now);
        CHECK(state("a") == instance_state::ready);
    }
    SUBCASE("the word of a start that is not known yet holds for it")
    {
        CHECK(registry.record_departure(upstream_id("a"), 200, now) ==
              change::none);
        registry.record_announcement(said("a", 1, 200, "10.0.0.1"), now);
        CHECK(state("a") == instance_state::leaving);
    }
    SUBCASE("it is forgotten like an upstream")
    {
        now += 31s;
        registry.expire(now);
        CHECK(registry.departures().empty());
    }
}

TEST_CASE_FIXTURE(registry_fixture, "registry_silent_upstream_is_forgotten")
{
    registry.record_announcement(said("a", 5, 100, "10.0.0.1"), now);
    registry.record_announcement(said("b", 5, 100, "10.0.0.2"), now + 20s);
    const auto gone = registry.expire(now + 31s);
    REQUIRE(gone.size() == 1);
    CHECK(gone[0] == upstream_id("a"));
    CHECK(registry.find(upstream_id("b")) != nullptr);
}

TEST_CASE("directory_choice_avoids_suspended_busy_and_remote_upstreams")
{
    upstream_directory directory({.own_domain = failure_domain_id("d1")});
    const time_point now{1h};
    const service_id service("s");
    directory.record_announcement(
        registry_fixture::said("near", 1, 1, "10.0.0.1"), now);
    auto remote = registry_fixture::said("far", 1, 1, "10.0.0.2");
    remote.domain = failure_domain_id("d2");
    directory.record_announcement(remote, now);
    CHECK(directory.choose(service, {}, now)->announced.id.value() == "near");
    directory.health(upstream_id("near")).request_started();
    CHECK(directory.choose(service, {}, now)->announced.id.value() == "far");
    directory.health(upstream_id("near")).request_ended();
    directory.health(upstream_id("near")).note_failure(now);
    CHECK(directory.choose(service, {}, now)->announced.id.value() == "far");
    // The last one left is used although it is suspended.
    CHECK(directory.choose(service, {upstream_id("far")}, now)->announced.id ==
          upstream_id("near"));
    CHECK(directory.choose(service, {upstream_id("far"), upstream_id("near")},
                           now) == nullptr);
    CHECK(directory.choose(service, {}, now + 5s)->announced.id ==
          upstream_id("near"));
}
