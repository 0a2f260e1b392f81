#include <bamboogate/relay/home_replica.hpp>
#include <bamboogate/relay/suspicion_limiter.hpp>

#include <doctest/doctest.h>

using namespace bamboogate;
using namespace bamboogate::relay;
using namespace std::chrono_literals;

namespace {

/// A gate in domain d1 and three replicas: r1 in its own domain, r2 and r3 in
/// others.
struct home_replica_fixture
{
    home_replica home{{.own_domain = failure_domain_id("d1")}};
    node_id r1{"r1"};
    node_id r2{"r2"};
    node_id r3{"r3"};
    time_point now{1h};

    void link_up(const node_id& replica, const char* domain)
    {
        home.on_link_up(replica, failure_domain_id(domain), now);
    }
    void view(const node_id& replica, bool knows_leader = true,
              bool forwards = true)
    {
        home.on_view(replica, knows_leader, forwards, now);
    }
    void connect_all()
    {
        link_up(r1, "d1");
        link_up(r2, "d2");
        link_up(r3, "d3");
        for (const auto& each : {r1, r2, r3}) {
            view(each);
        }
    }
    const node_id& choose(const node_id& leader)
    {
        return home.choose(leader, now);
    }
    std::set<node_id> links(const node_id& leader)
    {
        choose(leader);
        return home.wanted_links(leader, now);
    }
};

} // namespace

// Guards against announcements and configurations that cross failure domains
// once per gate.
TEST_CASE_FIXTURE(home_replica_fixture,
                  "home_replica_of_the_own_domain_is_preferred")
{
    link_up(r2, "d2");
    view(r2);
    CHECK(choose(r2) == r2);
    link_up(r1, "d1");
    view(r1);
    CHECK(choose(r2) == r1);
}

TEST_CASE_FIXTURE(home_replica_fixture,
                  "home_replica_that_is_lost_is_replaced_by_the_leader")
{
    connect_all();
    CHECK(choose(r3) == r1);
    home.on_link_down(r1);
    CHECK(choose(r3) == r3);
    home.on_link_down(r2);
    home.on_link_down(r3);
    CHECK(choose(r3).empty());
}

// Guards against a gate that stays subscribed to a replica that is cut off from
// the others: it would miss departures and withdrawn keys.
TEST_CASE_FIXTURE(home_replica_fixture,
                  "home_replica_without_a_leader_is_replaced_after_an_election")
{
    connect_all();
    CHECK(choose(r2) == r1);
    view(r1, false);
    now += 1s;
    CHECK(choose(r2) == r1);
    now += 600ms;
    CHECK(choose(r2) == r2);
    view(r1);
    CHECK(choose(r2) == r1);
}

// Guards against a gate that stays subscribed to a replica that stores nothing,
// as with a stalled disk, and passes on no rollouts and no software versions.
TEST_CASE_FIXTURE(home_replica_fixture,
                  "home_replica_that_lags_is_replaced_until_it_has_caught_up")
{
    connect_all();
    for (const auto& each : {r1, r2, r3}) {
        home.on_version(each, 5, now);
    }
    for (std::uint64_t version = 6; version < 20; ++version) {
        home.on_version(r2, version, now);
        CHECK(choose(r2) == r1);
        now += 100ms;
    }
    now += 100ms;
    CHECK(choose(r2) == r2);
    home.on_version(r1, 19, now);
    CHECK(choose(r2) == r1);
}

// Guards against links of each gate to every replica.
TEST_CASE_FIXTURE(home_replica_fixture,
                  "links_to_other_replicas_are_closed_after_the_retention")
{
    connect_all();
    CHECK(links(r2).size() == 3);
    now += 2s;
    CHECK(links(r2) == std::set{r1, r2});
    // A new leader: its link has to be opened first.
    home.on_link_down(r3);
    CHECK(links(r3).size() == 3);
    link_up(r3, "d3");
    view(r3);
    CHECK(links(r3).size() == 3);
    now += 2s;
    CHECK(links(r3) == std::set{r1, r3});
}

TEST_CASE_FIXTURE(home_replica_fixture,
                  "links_of_a_gate_without_its_domain_replica_stay_open")
{
    connect_all();
    home.on_link_down(r1);
    now += 10s;
    CHECK(links(r2).size() == 3);
}

// Guards against missed announcements during an upgrade: a replica of an
// earlier build sends its gates only what it has received itself.
TEST_CASE_FIXTURE(home_replica_fixture,
                  "replica_that_does_not_forward_keeps_its_subscription")
{
    connect_all();
    view(r3, true, false);
    links(r2);
    now += 2s;
    CHECK(links(r2).contains(r3));
    CHECK(home.needs_subscription(r1, r2));
    CHECK_FALSE(home.needs_subscription(r2, r2));
    CHECK(home.needs_subscription(r3, r2));
    now += 2s;
    CHECK(links(r2).contains(r3));
}

// Guards against departures that a home misses before its gates know that it is
// cut off.
TEST_CASE_FIXTURE(home_replica_fixture,
                  "gate_after_a_leader_change_is_subscribed_to_the_leader_too")
{
    connect_all();
    links(r2);
    now += 2s;
    links(r2);
    CHECK_FALSE(home.needs_subscription(r2, r2));
    // r3 becomes the leader; the home is slow to learn it.
    view(r1, false);
    links(r3);
    CHECK(home.needs_subscription(r3, r3));
    CHECK(home.needs_subscription(r1, r3));
    view(r1);
    links(r3);
    now += 1900ms;
    links(r3);
    CHECK(home.needs_subscription(r3, r3));
    now += 100ms;
    links(r3);
    CHECK_FALSE(home.needs_subscription(r3, r3));
}

// Guards against one report per lost stream: at 95 gates an engine's failure
// was reported, forwarded and probed some hundred times.
TEST_CASE("suspicion_repeated_within_the_interval_is_admitted_once")
{
    suspicion_limiter limiter;
    const time_point start{1h};
    int admitted = 0;
    for (int i = 0; i < 100; ++i) {
        admitted += limiter.admit(upstream_id("e1"),
                                  start + std::chrono::milliseconds(i))
                        ? 1
                        : 0;
    }
    CHECK(admitted == 1);
    CHECK(limiter.admit(upstream_id("e2"), start));
    CHECK(limiter.admit(upstream_id("e1"), start + 500ms));
}
