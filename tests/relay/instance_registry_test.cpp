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

    static announcement make_announcement(const char* id,
                                          std::uint64_t sequence,
                                          std::uint64_t started_at,
                                          const char* host)
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

// Guards against a delayed or repeated announcement that replaces newer
// state.
TEST_CASE_FIXTURE(registry_fixture, "registry_ignores_outdated_announcements")
{
    CHECK(
        registry.record_announcement(make_announcement("a", 5, 100, "10.0.0.1"),
                                     now) == change::updated);
    CHECK(registry.record_announcement(
              make_announcement("a", 4, 100, "10.0.0.1"), now) == change::none);
    CHECK(registry.record_announcement(
              make_announcement("a", 5, 100, "10.0.0.1"), now) == change::none);
    CHECK(
        registry.record_announcement(make_announcement("a", 6, 100, "10.0.0.1"),
                                     now) == change::refreshed);
}

// Guards against assigning work to an upstream that has deregistered, after an
// earlier announcement arrives late.
TEST_CASE_FIXTURE(registry_fixture,
                  "registry_departure_is_final_within_one_start")
{
    registry.record_announcement(make_announcement("a", 5, 100, "10.0.0.1"),
                                 now);
    CHECK(registry.record_departure(upstream_id("a"), 100, now) ==
          change::updated);
    registry.record_announcement(make_announcement("a", 6, 100, "10.0.0.1"),
                                 now);
    CHECK(state("a") == instance_state::leaving);
    // A new start under the same id restarts its sequence numbers.
    CHECK(
        registry.record_announcement(make_announcement("a", 1, 200, "10.0.0.1"),
                                     now) == change::updated);
    CHECK(state("a") == instance_state::ready);
    // The deregistration of the earlier start arrives late.
    CHECK(registry.record_departure(upstream_id("a"), 100, now) ==
          change::none);
    CHECK(state("a") == instance_state::ready);
}

// Guards against requests to an address that another upstream owns now.
TEST_CASE_FIXTURE(registry_fixture,
                  "registry_new_owner_of_an_address_replaces_the_previous_one")
{
    registry.record_announcement(make_announcement("a", 5, 100, "10.0.0.1"),
                                 now);
    registry.record_announcement(make_announcement("b", 1, 200, "10.0.0.1"),
                                 now);
    CHECK(state("a") == instance_state::lost);
    CHECK(state("b") == instance_state::ready);
    // An announcement that was delayed by a partition.
    CHECK(registry.record_announcement(
              make_announcement("a", 6, 100, "10.0.0.1"), now) == change::none);
    CHECK(state("a") == instance_state::lost);
    CHECK(state("b") == instance_state::ready);
}

// Guards against assigning work to a departed upstream in a process that first
// learns of it from a delayed announcement.
TEST_CASE_FIXTURE(registry_fixture,
                  "registry_departure_before_the_first_announcement_applies")
{
    CHECK(registry.record_departure(upstream_id("a"), 100, now) ==
          change::none);
    registry.record_announcement(make_announcement("a", 5, 100, "10.0.0.1"),
                                 now);
    CHECK(state("a") == instance_state::leaving);
    SUBCASE("a new start is ready")
    {
        registry.record_announcement(make_announcement("a", 1, 200, "10.0.0.1"),
                                     now);
        CHECK(state("a") == instance_state::ready);
    }
    SUBCASE("a departure of a start that is not known yet applies to it")
    {
        CHECK(registry.record_departure(upstream_id("a"), 200, now) ==
              change::none);
        registry.record_announcement(make_announcement("a", 1, 200, "10.0.0.1"),
                                     now);
        CHECK(state("a") == instance_state::leaving);
    }
    SUBCASE("it expires like an upstream")
    {
        now += 31s;
        registry.expire(now);
        CHECK(registry.departures().empty());
    }
}

// Guards against upstreams that exit without a deregistration and stay in
// the registry.
TEST_CASE_FIXTURE(registry_fixture,
                  "registry_upstream_without_announcements_expires")
{
    registry.record_announcement(make_announcement("a", 5, 100, "10.0.0.1"),
                                 now);
    registry.record_announcement(make_announcement("b", 5, 100, "10.0.0.2"),
                                 now + 20s);
    const auto expired = registry.expire(now + 31s);
    REQUIRE(expired.size() == 1);
    CHECK(expired[0] == upstream_id("a"));
    CHECK(registry.find(upstream_id("b")) != nullptr);
}

// Guards against a choice that ignores failures, load or the cost of remote
// traffic, and against refusing requests while only suspended upstreams are
// left.
TEST_CASE("directory_choice_avoids_suspended_busy_and_remote_upstreams")
{
    upstream_directory directory({.own_domain = failure_domain_id("d1")});
    const time_point now{1h};
    const service_id service("s");
    directory.record_announcement(
        registry_fixture::make_announcement("near", 1, 1, "10.0.0.1"), now);
    auto remote = registry_fixture::make_announcement("far", 1, 1, "10.0.0.2");
    remote.domain = failure_domain_id("d2");
    directory.record_announcement(remote, now);
    CHECK(directory.choose(service, {}, now)->announced.id.value() == "near");
    directory.health(upstream_id("near")).request_started(now);
    CHECK(directory.choose(service, {}, now)->announced.id.value() == "far");
    directory.health(upstream_id("near")).request_ended();
    directory.health(upstream_id("near")).note_failure(now);
    CHECK(directory.choose(service, {}, now)->announced.id.value() == "far");
    // The last remaining upstream is used although it is suspended.
    CHECK(directory.choose(service, {upstream_id("far")}, now)->announced.id ==
          upstream_id("near"));
    CHECK(directory.choose(service, {upstream_id("far"), upstream_id("near")},
                           now) == nullptr);
    CHECK(directory.choose(service, {}, now + 5s)->announced.id ==
          upstream_id("near"));
}
