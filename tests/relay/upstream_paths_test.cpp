#include <bamboogate/relay/tunnel_gates.hpp>
#include <bamboogate/relay/upstream_paths.hpp>

#include <doctest/doctest.h>

#include <algorithm>

using namespace bamboogate;
using namespace bamboogate::relay;
using namespace std::chrono_literals;

namespace {

/// Three upstreams and three other gates.
struct upstream_paths_fixture
{
    net::address e1{"10.0.0.1", 80};
    net::address e2{"10.0.0.2", 80};
    net::address e3{"10.0.0.3", 80};
    net::address g1{"10.1.0.1", 7000};
    net::address g2{"10.1.0.2", 7000};
    net::address g3{"10.1.0.3", 7000};
    upstream_paths paths{{}};
    time_point now{1h};

    upstream_paths_fixture() { paths.use_gates({g1, g2}, {g3}); }

    void direct(const net::address& server, net::dial_result outcome)
    {
        paths.note(server, {}, outcome, now);
    }
    void over(const net::address& gate, const net::address& server,
              net::dial_result outcome)
    {
        paths.note(server, {.via = gate}, outcome, now);
    }
    /// The direct path fails although another gate reaches the upstream.
    void lose(const net::address& server)
    {
        direct(server, net::dial_result::silent);
        over(g1, server, net::dial_result::connected);
        direct(server, net::dial_result::silent);
    }
    bool direct_first(const net::address& server)
    {
        return paths.paths(server, now).front().direct();
    }
};

} // namespace

TEST_CASE_FIXTURE(upstream_paths_fixture,
                  "paths_without_evidence_are_direct_first")
{
    const auto out = paths.paths(e1, now);
    REQUIRE(out.size() == 3);
    CHECK(out[0].direct());
    CHECK_FALSE(paths.partitioned());
    CHECK_FALSE(paths.next_check());
}

TEST_CASE_FIXTURE(upstream_paths_fixture,
                  "paths_without_other_gates_are_direct_only")
{
    paths.use_gates({}, {});
    CHECK(paths.paths(e1, now) == std::vector<net::network_path>(1));
}

// Guards against crashed upstreams that are taken for a lost path.
TEST_CASE_FIXTURE(upstream_paths_fixture,
                  "upstream_that_no_gate_reaches_is_no_lost_path")
{
    for (const auto& each : {e1, e2, e3}) {
        direct(each, net::dial_result::refused);
        over(g1, each, net::dial_result::refused);
    }
    CHECK_FALSE(paths.partitioned());
    CHECK_FALSE(paths.any_detour());
}

// Guards against a gate that takes itself for partitioned because upstreams
// that were down come back between two of its connections.
TEST_CASE_FIXTURE(upstream_paths_fixture,
                  "upstreams_that_have_just_started_are_no_partition")
{
    for (const auto& each : {e1, e2, e3}) {
        direct(each, net::dial_result::silent);
        over(g1, each, net::dial_result::connected);
        CHECK(paths.needs_confirmation());
        CHECK(paths.next_check() == each);
        direct(each, net::dial_result::connected);
    }
    CHECK_FALSE(paths.partitioned());
    CHECK_FALSE(paths.any_detour());
}

// Guards against a delay of each connection to an upstream whose path is lost.
TEST_CASE_FIXTURE(upstream_paths_fixture,
                  "lost_path_to_one_upstream_leaves_the_others_direct")
{
    lose(e1);
    CHECK_FALSE(direct_first(e1));
    CHECK(direct_first(e2));
    CHECK_FALSE(paths.partitioned());
    CHECK(paths.next_check() == e1);
}

TEST_CASE_FIXTURE(upstream_paths_fixture,
                  "lost_paths_to_several_upstreams_are_a_partition")
{
    lose(e1);
    lose(e2);
    CHECK(paths.partitioned());
    CHECK(paths.direct_path_hangs());
    CHECK_FALSE(direct_first(e3));
    direct(e3, net::dial_result::refused);
    CHECK_FALSE(paths.direct_path_hangs());
}

// Guards against a gate that takes itself for partitioned while it reaches most
// upstreams.
TEST_CASE_FIXTURE(upstream_paths_fixture,
                  "lost_paths_with_direct_successes_between_are_no_partition")
{
    lose(e1);
    direct(e3, net::dial_result::connected);
    lose(e2);
    CHECK_FALSE(paths.partitioned());
    CHECK_FALSE(direct_first(e1));
}

// Guards against upstreams that are reached over other gates for long after the
// end of a partition.
TEST_CASE_FIXTURE(upstream_paths_fixture,
                  "direct_success_ends_the_partition_for_all_upstreams")
{
    lose(e1);
    lose(e2);
    lose(e3);
    direct(*paths.next_check(), net::dial_result::connected);
    CHECK_FALSE(paths.partitioned());
    for (const auto& each : {e1, e2, e3}) {
        CHECK(direct_first(each));
    }
}

// Guards against checks without end of an upstream that was removed.
TEST_CASE_FIXTURE(upstream_paths_fixture,
                  "forgotten_upstream_is_not_checked_again")
{
    lose(e1);
    paths.forget(e1);
    CHECK_FALSE(paths.any_detour());
    CHECK(direct_first(e1));
}

TEST_CASE_FIXTURE(upstream_paths_fixture,
                  "direct_failure_of_long_ago_explains_no_success")
{
    direct(e1, net::dial_result::refused);
    now += 3s;
    over(g1, e1, net::dial_result::connected);
    CHECK_FALSE(paths.any_detour());
}

// Guards against traffic between failure domains, which is charged, and against
// one gate that gets all connections.
TEST_CASE_FIXTURE(upstream_paths_fixture,
                  "near_gates_take_turns_before_far_ones")
{
    std::set<std::string> first;
    for (int i = 0; i < 4; ++i) {
        const auto out = paths.paths(e1, now);
        first.insert(out[1].via->text());
        CHECK(out[2].via != g3);
    }
    CHECK(first == std::set{g1.text(), g2.text()});
}

// Guards against callers that wait for a gate that is partitioned as well.
TEST_CASE_FIXTURE(upstream_paths_fixture, "failed_gates_are_tried_last")
{
    over(g1, e1, net::dial_result::unavailable);
    over(g2, e1, net::dial_result::silent);
    for (int i = 0; i < 3; ++i) {
        CHECK(paths.paths(e1, now)[1].via == g3);
    }
    now += 2s;
    CHECK(paths.paths(e1, now)[1].via != g3);
}

// Guards against a replica that names the same gates to all others.
TEST_CASE("tunnel_gates_are_named_in_turns_by_failure_domain")
{
    tunnel_gates gates;
    for (const char* each : {"a1", "a2", "a3", "a4", "a5"}) {
        gates.record(node_id(each), failure_domain_id("a"), true);
    }
    gates.record(node_id("b1"), failure_domain_id("b"), true);
    std::map<std::string, int> chosen;
    for (int i = 0; i < 40; ++i) {
        const auto out = gates.choose(node_id("a1"), failure_domain_id("a"), 3);
        REQUIRE(out.near.size() == 3);
        CHECK(out.far == std::vector<std::string>{"b1"});
        for (const auto& each : out.near) {
            ++chosen[each];
        }
    }
    CHECK_FALSE(chosen.contains("a1"));
    for (const char* each : {"a2", "a3", "a4", "a5"}) {
        CHECK(chosen[each] == 30);
    }
}

// Guards against a partitioned gate that is sent to another one.
TEST_CASE("tunnel_gates_that_reach_no_upstream_are_not_named")
{
    tunnel_gates gates;
    gates.record(node_id("a2"), failure_domain_id("a"), false);
    gates.record(node_id("b1"), failure_domain_id("b"), true);
    gates.record(node_id("b2"), failure_domain_id("b"), true);
    gates.remove(node_id("b2"));
    const auto out = gates.choose(node_id("a1"), failure_domain_id("a"), 3);
    CHECK(out.near.empty());
    CHECK(out.far == std::vector<std::string>{"b1"});
}
