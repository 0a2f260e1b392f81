#include <bamboogate/routing/capacity_share.hpp>
#include <bamboogate/routing/circuit_breaker.hpp>
#include <bamboogate/routing/retry_budget.hpp>

#include <doctest/doctest.h>

#include <cmath>
#include <numeric>
#include <random>

using namespace bamboogate;
using namespace bamboogate::routing;
using namespace std::chrono_literals;

TEST_CASE("circuit_breaker_pause_doubles_until_a_trial_succeeds")
{
    circuit_breaker breaker;
    time_point now{1h};
    for (int i = 0; i < 3; ++i) {
        CHECK(breaker.allows(now));
        breaker.failed(now);
    }
    CHECK_FALSE(breaker.allows(now + 499ms));
    now += 500ms;
    REQUIRE(breaker.allows(now));
    breaker.started(now);
    CHECK_FALSE(breaker.allows(now));
    breaker.failed(now);
    CHECK_FALSE(breaker.allows(now + 999ms));
    now += 1s;
    breaker.started(now);
    breaker.succeeded();
    CHECK(breaker.current() == circuit_breaker::state::closed);
    CHECK(breaker.allows(now));
}

// Guards against an engine that stays unused because its trial vanished.
TEST_CASE("circuit_breaker_lost_trial_is_given_up")
{
    circuit_breaker breaker;
    time_point now{1h};
    for (int i = 0; i < 3; ++i) {
        breaker.failed(now);
    }
    breaker.started(now + 1s);
    CHECK_FALSE(breaker.allows(now + 10s));
    CHECK(breaker.allows(now + 11s));
}

// Guards against retries that multiply a flood: over any number of first
// tries the retries stay within the ratio plus the starting credit.
TEST_CASE("retry_budget_flood_of_failures_keeps_the_ratio")
{
    retry_budget budget({.ratio = 0.1, .max_credit = 10});
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.record_request("reports");
        retries += budget.try_consume("reports") ? 1 : 0;
    }
    CHECK(retries <= 110);
    CHECK(retries >= 100);
    CHECK(budget.try_consume("other"));
}

TEST_CASE("divide_capacity_is_max_min_fair_and_complete")
{
    std::mt19937 random(3);
    for (int i = 0; i < 500; ++i) {
        const auto capacity = static_cast<unsigned>(random() % 300);
        std::vector<slot_demand> demands(1 + random() % 7);
        for (slot_demand& demand : demands) {
            demand.total = static_cast<double>(random() % 120);
            demand.urgent =
                random() % 2 == 0 ? 0.0 : std::floor(demand.total / 3);
        }
        const auto parts = divide_capacity(capacity, demands);
        CHECK(std::accumulate(parts.begin(), parts.end(), 0u) == capacity);
        for (std::size_t a = 0; a < parts.size(); ++a) {
            for (std::size_t b = 0; b < parts.size(); ++b) {
                // Nobody lacks slots while another has more than its demand
                // and more slots than the one that lacks.
                // More slots are allowed for urgent demand only.
                const bool lacks = parts[a] + 1 <= demands[a].total;
                const bool more =
                    parts[b] > parts[a] + 1 && parts[b] > demands[b].urgent;
                const bool lacks_urgent = parts[a] + 1 <= demands[a].urgent;
                REQUIRE_FALSE((lacks && more));
                REQUIRE_FALSE((lacks_urgent && parts[b] > parts[a] + 1));
            }
        }
    }
}

namespace {

const std::vector<node_id> four_gates{node_id("a"), node_id("b"), node_id("c"),
                                      node_id("d")};

std::vector<capacity_share> make_shares()
{
    std::vector<capacity_share> shares;
    shares.reserve(four_gates.size());
    for (const node_id& gate : four_gates) {
        shares.emplace_back(
            capacity_share::options{.self = gate, .gates = four_gates});
    }
    return shares;
}

} // namespace

TEST_CASE("capacity_share_without_news_gives_equal_parts")
{
    auto shares = make_shares();
    unsigned sum = 0;
    for (auto& share : shares) {
        const unsigned slots = share.slots(42, time_point(1h));
        CHECK(slots >= 10);
        CHECK(slots <= 11);
        sum += slots;
    }
    CHECK(sum == 42);
}

// Guards against oversubscribed engines: when all gates hold the same news the
// shares add up to the capacity, and two halves of a cut stay within it too.
TEST_CASE("capacity_share_sum_stays_within_capacity")
{
    std::mt19937 random(7);
    for (int round = 0; round < 100; ++round) {
        auto shares = make_shares();
        const bool cut = round % 2 == 1;
        const auto capacity = static_cast<unsigned>(random() % 200);
        std::vector<double> demands(4);
        for (double& demand : demands) {
            demand = static_cast<double>(random() % 150);
        }
        time_point now{1h};
        unsigned sum = 0;
        for (int step = 0; step < 5; ++step) {
            now += 250ms;
            sum = 0;
            for (std::size_t self = 0; self < 4; ++self) {
                for (std::size_t other = 0; other < 4; ++other) {
                    if (!cut || self / 2 == other / 2) {
                        shares[self].receive(four_gates[other],
                                             {demands[other], 0.0}, now);
                    }
                }
                sum += shares[self].slots(capacity, now);
            }
            CHECK(sum <= capacity);
        }
        const bool capped =
            std::any_of(demands.begin(), demands.end(), [&](double demand) {
                return demand > capacity * 0.75;
            });
        if (!cut && !capped) {
            CHECK(sum == capacity);
        }
    }
}

// The bound that the header states for views that differ for long.
TEST_CASE("capacity_share_differing_views_stay_within_the_factor")
{
    auto shares = make_shares();
    time_point now{1h};
    unsigned sum = 0;
    for (int step = 0; step < 10; ++step) {
        now += 250ms;
        sum = 0;
        for (std::size_t self = 0; self < 4; ++self) {
            // Each gate believes that only it has any demand.
            for (std::size_t other = 0; other < 4; ++other) {
                shares[self].receive(four_gates[other],
                                     {self == other ? 1000.0 : 0.0, 0.0}, now);
            }
            sum += shares[self].slots(100, now);
        }
    }
    CHECK(sum <= 300);
}

// Guards against a flood of lower work at every gate levelling out slots that
// the urgent work of one gate needs.
TEST_CASE("divide_capacity_meets_urgent_demand_first")
{
    const slot_demand demands[] = {{1000, 40}, {1000, 5}, {1000, 5}, {1000, 0}};
    CHECK(divide_capacity(100, demands) ==
          std::vector<unsigned>{40, 20, 20, 20});
}

TEST_CASE("capacity_share_rises_late_and_falls_at_once")
{
    auto shares = make_shares();
    time_point now{1h};
    CHECK(shares[0].slots(100, now) == 25);
    auto all = [&](double own, double others) {
        for (const node_id& gate : four_gates) {
            shares[0].receive(gate, {gate == node_id("a") ? own : others, 0.0},
                              now);
        }
    };
    all(60, 0);
    CHECK(shares[0].slots(100, now) == 25);
    now += 500ms;
    all(60, 0);
    CHECK(shares[0].slots(100, now) > 60);
    all(60, 100);
    CHECK(shares[0].slots(100, now) == 25);
}
