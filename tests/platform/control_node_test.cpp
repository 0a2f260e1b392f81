// Calls of operators to a control replica in the test's own process.
#include "platform/support/relay_fixture.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;

// Guards against a store call that stays in memory for good after its answer:
// without a leader each call is retried, and an outage would exhaust the
// memory.
TEST_CASE_FIXTURE(relay_fixture, "store_call_without_a_leader_is_freed")
{
    start_system();
    nodes[1].reset();
    nodes[2].reset();
    const auto held = std::make_shared<int>();
    std::optional<errc> outcome;
    nodes[0]->replace_configuration(
        configuration(9), [&outcome, held](const result<std::uint64_t>& r) {
            outcome = r ? errc::internal : r.error().code;
        });
    REQUIRE(run_until(
        loop, [&] { return outcome.has_value(); }, 4s));
    run_until(
        loop, [] { return false; }, 200ms);
    CHECK(held.use_count() == 1);
}
