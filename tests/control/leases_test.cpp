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

    static gate_leases::owner gate(const char* name, std::uint64_t life = 1)
    {
        return {node_id(name), {life}};
    }
};

} // namespace

// Guards against a report "in force" while a gate still serves under a lease
// that an earlier leader granted.
TEST_CASE_FIXTURE(lease_fixture, "leases_new_leader_waits_one_lease")
{
    CHECK_FALSE(leases.in_force({5}, start));
    CHECK_FALSE(leases.in_force({5}, start + 1999ms));
    CHECK(leases.in_force({5}, start + 2s));
}

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
    SUBCASE("an older report does not go back")
    {
        leases.record_applied(gate("g2"), {5});
        leases.record_applied(gate("g2"), {3});
        leases.renew(gate("g2"), {4}, later);
        CHECK(leases.in_force({5}, later));
    }
    SUBCASE("restart: the earlier process may only be paused")
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

TEST_CASE_FIXTURE(lease_fixture, "leases_gone_after_silence_or_newer_life")
{
    const auto silence = 10s;
    CHECK_FALSE(leases.is_lost(gate("g1"), start + 9s, silence));
    CHECK(leases.is_lost(gate("g1"), start + 10s, silence));
    leases.renew(gate("g1", 3), {1}, start + 9s);
    CHECK_FALSE(leases.is_lost(gate("g1", 3), start + 18s, silence));
    CHECK(leases.is_lost(gate("g1", 2), start + 9s, silence));
    CHECK_FALSE(leases.is_lost(gate("g2", 2), start + 9s, silence));
    leases.remove_lost(start + 18s, silence);
    CHECK(leases.all().size() == 1);
    leases.remove_lost(start + 19s, silence);
    CHECK(leases.all().empty());
}
