#include <bamboogate/rollout/order_rules.hpp>

#include <doctest/doctest.h>

using namespace bamboogate;
using namespace bamboogate::rollout;
using namespace std::chrono_literals;

namespace {

struct order_fixture
{
    rollout_order order{.service = service_id("gen"),
                        .target = software_version("v2"),
                        .allowed = 12s};
    rollout_record last{.number = 4,
                        .service = service_id("gen"),
                        .target = software_version("v2"),
                        .duration_ms = 12000};
    order_situation known{.service_declared = true,
                          .ready_versions = {software_version("v1")}};

    void set_last(rollout_phase phase, duration since_begun)
    {
        last.phase = static_cast<std::uint8_t>(phase);
        known.last = &last;
        known.since_begun = since_begun;
    }
    [[nodiscard]] errc refusal() const
    {
        const auto answer = judge_order(order, known);
        REQUIRE_FALSE(answer.has_value());
        return answer.error().code;
    }
    [[nodiscard]] order_answer answer() const
    {
        const auto answer = judge_order(order, known);
        REQUIRE(answer.has_value());
        return answer.value();
    }
};

} // namespace

// Guards against an order that is accepted although it can't be served.
TEST_CASE_FIXTURE(order_fixture, "order_that_cannot_be_served_is_invalid")
{
    CHECK(answer() == order_answer::begin);
    const rollout_order good = order;
    for (const duration allowed :
         {duration(0), duration(-5s), duration(999ms), duration(1h + 1ms)}) {
        order.allowed = allowed;
        CHECK(refusal() == errc::invalid_argument);
    }
    order = good;
    order.target = software_version();
    CHECK(refusal() == errc::invalid_argument);
    order = good;
    known.ready_versions = {software_version("v2")};
    CHECK(refusal() == errc::invalid_argument);
    known.ready_versions = {};
    CHECK(answer() == order_answer::begin);
    known.service_declared = false;
    CHECK(refusal() == errc::invalid_argument);
}

// Guards against the refusal of an order whose acknowledgement was lost: its
// sender would take it for a failed one.
TEST_CASE_FIXTURE(order_fixture, "accepted_order_sent_again_is_acknowledged")
{
    set_last(rollout_phase::shifting, 11s);
    CHECK(answer() == order_answer::acknowledge);
    known.service_declared = false;
    CHECK(answer() == order_answer::acknowledge);
    // The rollout has completed, so that all upstreams run the target.
    set_last(rollout_phase::completed, 9s);
    known.ready_versions = {software_version("v2")};
    CHECK(answer() == order_answer::acknowledge);
}

// Guards against two rollouts of one service at once.
TEST_CASE_FIXTURE(order_fixture, "other_order_during_a_rollout_conflicts")
{
    set_last(rollout_phase::trial, 1s);
    order.target = software_version("v3");
    CHECK(refusal() == errc::conflict);
    order.target = software_version("v2");
    order.allowed = 13s;
    CHECK(refusal() == errc::conflict);
}

// Guards against an operator who can't try a version again after a rollback.
TEST_CASE_FIXTURE(order_fixture, "order_after_an_ended_rollout_begins_another")
{
    set_last(rollout_phase::rolled_back, 10s);
    CHECK(answer() == order_answer::begin);
    set_last(rollout_phase::rolled_back, 2s);
    order.target = software_version("v3");
    CHECK(answer() == order_answer::begin);
}
