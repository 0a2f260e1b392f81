#include <bamboogate/relay/retry_limiter.hpp>
#include <bamboogate/relay/retry_reserve.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace bamboogate;
using namespace bamboogate::relay;
using namespace std::chrono_literals;

// Guards against a reserve that is granted again after each change of leader.
TEST_CASE("retry_reserve_starts_empty_and_fills_once_per_window")
{
    const service_id service("gen");
    time_point now = time_point{} + 1h;
    retry_reserve reserve({.slack = 100, .window = 10s});
    reserve.reset(now);
    const auto refused = reserve.request(service, now);
    CHECK_FALSE(refused.granted);
    CHECK(refused.wait > 900ms);
    CHECK(refused.wait <= 1s);
    now += 60s;
    int granted = 0;
    while (reserve.request(service, now).granted) {
        ++granted;
    }
    CHECK(granted == 10);
    CHECK(reserve.request(service_id("other"), now).granted);
    now += 60s;
    reserve.reset(now);
    CHECK_FALSE(reserve.request(service, now).granted);
}

// Guards against gates and leaders that together retry more than the limit of
// all gates allows.
TEST_CASE("retry_limit_of_all_gates_holds_with_reserve_and_leader_changes")
{
    constexpr std::size_t gates = 89;
    constexpr double ratio = 0.8;
    constexpr double slack = 150;
    constexpr duration window = 10s;
    const service_id service("gen");
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        const auto pick = [&](std::size_t below) { return random() % below; };
        std::vector<retry_limiter> limiters(
            gates,
            retry_limiter({.ratio = ratio, .window = window, .slack = slack}));
        for (auto& each : limiters) {
            each.set_gates(gates);
        }
        retry_reserve reserve({.slack = slack, .window = window});
        time_point now = time_point{} + 1h;
        reserve.reset(now);
        std::vector<time_point> requests;
        std::vector<time_point> retries;
        std::size_t from_reserve = 0;
        for (int step = 0; step < 20000; ++step) {
            now += std::chrono::milliseconds(pick(6));
            retry_limiter& gate = limiters[pick(gates)];
            if (pick(200) == 0) {
                gate.record_request(service, now);
                requests.push_back(now);
            }
            if (pick(1000) == 0) {
                reserve.reset(now);
            }
            if (gate.try_consume(service, now)) {
                retries.push_back(now);
            } else if (reserve.request(service, now).granted) {
                retries.push_back(now);
                ++from_reserve;
            }
        }
        CHECK(from_reserve > 0);
        std::size_t oldest_request = 0;
        std::size_t oldest_retry = 0;
        double excess = -slack;
        std::size_t next_request = 0;
        for (std::size_t i = 0; i < retries.size(); ++i) {
            const time_point begin = retries[i] - window;
            for (; next_request < requests.size() &&
                   requests[next_request] <= retries[i];) {
                ++next_request;
            }
            for (; oldest_request < next_request &&
                   requests[oldest_request] < begin;) {
                ++oldest_request;
            }
            for (; retries[oldest_retry] < begin;) {
                ++oldest_retry;
            }
            excess = std::max(
                excess,
                static_cast<double>(i + 1 - oldest_retry) -
                    ratio * static_cast<double>(next_request - oldest_request) -
                    slack);
        }
        CHECK(excess <= 0.0);
    }
}
