#include <bamboogate/control/leases.hpp>

#include <doctest/doctest.h>

using namespace bamboogate;
using namespace bamboogate::control;
using namespace std::chrono_literals;

namespace {

class lease_fixture
{
public:
    time_point start{1000s};
    gate_leases leases{2s};

    lease_fixture() { leases.start_leadership(start); }

    static gate_leases::owner gate(const char* name,
                                   std::uint64_t incarnation_number = 1)
    {
        return {node_id(name), {incarnation_number}};
    }
};

} // namespace

// Guards against a report "in force" while a gate still serves under a lease
// granted by a previous leader.
TEST_CASE_FIXTURE(lease_fixture, "leases_new_leader_waits_one_lease")
{
    CHECK_FALSE(leases.in_force({5}, start));
    CHECK_FALSE(leases.in_force({5}, start + 1999ms));
    CHECK(leases.in_force({5}, start + 2s));
}

// Guards against a report "in force" while some gate, or a paused earlier
// process of it, may still use an older revision.
TEST_CASE_FIXTURE(lease_fixture, "leases_gate_applied_or_expired_in_force")
{
    const time_point later = start + 10s;
    leases.renew(gate("g1"), {5}, later);
    leases.renew(gate("g2"), {4}, later);
    CHECK(leases.in_force({4}, later));
    CHECK_FALSE(leases.in_force({5}, later));
    SUBCASE("applied")
    {
        leases.record_applied(gate("g2"), {5});
        CHECK(leases.in_force({5}, later));
    }
    SUBCASE("expired")
    {
        CHECK_FALSE(leases.in_force({5}, later + 1999ms));
        CHECK(leases.in_force({5}, later + 2s));
    }
    SUBCASE("an older report has no effect")
    {
        leases.record_applied(gate("g2"), {5});
        leases.record_applied(gate("g2"), {3});
        leases.renew(gate("g2"), {4}, later);
        CHECK(leases.in_force({5}, later));
    }
    SUBCASE("restart: the previous process may only be paused")
    {
        leases.renew(gate("g2", 2), {5}, later + 1s);
        CHECK_FALSE(leases.in_force({5}, later + 1s));
        CHECK(leases.in_force({5}, later + 2s));
    }
    SUBCASE("new leader")
    {
        leases.start_leadership(later);
        CHECK(leases.all().empty());
        CHECK_FALSE(leases.in_force({5}, later + 1s));
    }
}

// Guards against calls of a live gate that are marked unknown, and against a
// lost gate that is never detected.
TEST_CASE_FIXTURE(lease_fixture,
                  "leases_gate_lost_after_timeout_or_newer_incarnation")
{
    const auto timeout = 10s;
    CHECK_FALSE(leases.is_lost(gate("g1"), start + 9s, timeout));
    CHECK(leases.is_lost(gate("g1"), start + 10s, timeout));
    leases.renew(gate("g1", 3), {1}, start + 9s);
    CHECK_FALSE(leases.is_lost(gate("g1", 3), start + 18s, timeout));
    CHECK(leases.is_lost(gate("g1", 2), start + 9s, timeout));
    CHECK_FALSE(leases.is_lost(gate("g2", 2), start + 9s, timeout));
    leases.remove_lost(start + 18s, timeout);
    CHECK(leases.all().size() == 1);
    leases.remove_lost(start + 19s, timeout);
    CHECK(leases.all().empty());
}
