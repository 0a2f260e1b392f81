#include <bamboogate/scheduling/load_estimate.hpp>
#include <bamboogate/scheduling/usage_exchange.hpp>

#include <doctest/doctest.h>

#include <random>

using namespace bamboogate;
using namespace bamboogate::scheduling;
using namespace std::chrono_literals;

namespace {

usage_ledger make_ledger(std::uint64_t gate_incarnation = 1)
{
    return usage_ledger(
        {.incarnation = incarnation{gate_incarnation}, .pool = "draft"});
}

const node_id gate{"g1"};
const client_account_id account{"a"};

std::uint64_t sum(const std::vector<usage_item>& items)
{
    std::uint64_t tokens = 0;
    for (const usage_item& item : items) {
        tokens += item.tokens;
    }
    return tokens;
}

} // namespace

// Guards against usage that is charged twice or lost with a report: the totals
// are exact again after the next report that arrives.
TEST_CASE("usage_ledger_lost_and_repeated_reports_charge_exactly")
{
    std::mt19937 random(4);
    usage_ledger sender = make_ledger();
    usage_ledger receiver = make_ledger();
    std::uint64_t served = 0;
    std::uint64_t charged = 0;
    for (int i = 0; i < 400; ++i) {
        const std::uint64_t tokens = random() % 100;
        served += tokens;
        sender.add({{"reports", account, tokens}});
        const auto report = sender.make_report(1.0, 0.5);
        const bool last = i == 399;
        if (i == 0 || last || random() % 3 != 0) {
            charged += sum(receiver.receive(gate, report));
            charged += sum(receiver.receive(gate, report));
        }
    }
    CHECK(charged == served);
    CHECK(receiver.class_tokens("reports") == served);
}

// Guards against charging the accumulated total of another gate when a gate
// starts and receives that gate's first report.
TEST_CASE("usage_ledger_first_report_of_old_gate_charges_nothing")
{
    usage_ledger sender = make_ledger();
    usage_ledger receiver = make_ledger();
    sender.add({{"reports", account, 1'000'000}});
    (void)sender.make_report(0, 0);
    sender.add({{"reports", account, 10}});
    CHECK(receiver.receive(gate, sender.make_report(0, 0)).empty());
    sender.add({{"reports", account, 10}});
    CHECK(sum(receiver.receive(gate, sender.make_report(0, 0))) == 10);
}

// Guards against usage of a restarted gate being ignored until its new totals
// exceed the old ones.
TEST_CASE("usage_ledger_restarted_gate_counts_from_zero")
{
    usage_ledger receiver = make_ledger();
    usage_ledger first = make_ledger(1);
    first.add({{"reports", account, 100}});
    CHECK(sum(receiver.receive(gate, first.make_report(0, 0))) == 100);
    usage_ledger second = make_ledger(2);
    second.add({{"reports", account, 30}});
    CHECK(sum(receiver.receive(gate, second.make_report(0, 0))) == 30);
    first.add({{"reports", account, 50}});
    CHECK(receiver.receive(gate, first.make_report(0, 0)).empty());
}

TEST_CASE("usage_report_json_round_trip_preserves_the_value")
{
    usage_ledger ledger = make_ledger(7);
    ledger.add({{"reports", account, 12}});
    const usage_report report = ledger.make_report(3.5, 1.5);
    const auto parsed = from_document<usage_report>(json(report));
    REQUIRE(parsed);
    CHECK(parsed.value().pool == "draft");
    CHECK(parsed.value().incarnation == incarnation{7});
    CHECK(parsed.value().demand == 3.5);
    CHECK(parsed.value().urgent_demand == 1.5);
    REQUIRE(parsed.value().totals.size() == 1);
    CHECK(parsed.value().totals[0].account == account);
    CHECK(parsed.value().totals[0].tokens == 12);
}

TEST_CASE("slots_to_keep_free_follows_the_poisson_tail")
{
    CHECK(slots_to_keep_free(0.0, 1.0, 0.02, 10) == 0);
    CHECK(slots_to_keep_free(0.1, 0.0, 0.02, 10) == 0);
    // Mean 0.1: P(N >= 1) = 0.095, P(N >= 2) = 0.0047.
    CHECK(slots_to_keep_free(0.1, 1.0, 0.02, 10) == 2);
    // Mean 1: P(N >= 4) = 0.019.
    CHECK(slots_to_keep_free(1.0, 1.0, 0.02, 10) == 4);
    CHECK(slots_to_keep_free(100.0, 1.0, 0.02, 10) == 10);
}

TEST_CASE("rate_estimate_follows_arrivals_and_decays")
{
    rate_estimate rate(5s);
    time_point now{1h};
    for (int i = 0; i < 1000; ++i) {
        now += 100ms;
        rate.count(now);
    }
    CHECK(rate.per_second(now) == doctest::Approx(10.0).epsilon(0.05));
    CHECK(rate.per_second(now + 25s) < 0.2);
}
