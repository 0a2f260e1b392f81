#include <bamboogate/scheduling/fair_queue.hpp>

#include <doctest/doctest.h>

#include <map>
#include <random>

using namespace bamboogate;
using namespace bamboogate::scheduling;

namespace {

class fair_queue_fixture
{
public:
    fair_queue<int> queue;
    std::map<std::string, double> served;

    fair_queue<int>::account& at(const std::string& id)
    {
        return queue.find_or_create(client_account_id(id));
    }
    std::string serve(std::uint64_t tokens)
    {
        auto* who = queue.front([](const auto&) { return true; });
        if (who == nullptr) {
            return "";
        }
        queue.pop(*who, tokens);
        served[who->id.value()] += static_cast<double>(tokens);
        return who->id.value();
    }
};

} // namespace

// Guards against sharing by requests, where long answers get more.
TEST_CASE_FIXTURE(fair_queue_fixture, "fair_queue_shares_tokens_by_weight")
{
    queue.set_weight(at("b"), 2.0);
    for (int i = 0; i < 2000; ++i) {
        queue.push(at("a"), i);
        queue.push(at("b"), i);
        queue.push(at("c"), i);
    }
    std::mt19937 random(1);
    for (int i = 0; i < 1500; ++i) {
        auto* who = queue.front([](const auto&) { return true; });
        const bool long_answers = who->id.value() == "c";
        serve((long_answers ? 1000 : 100) + random() % 50);
    }
    CHECK(served["c"] / served["a"] == doctest::Approx(1.0).epsilon(0.1));
    CHECK(served["b"] / served["a"] == doctest::Approx(2.0).epsilon(0.1));
}

TEST_CASE_FIXTURE(fair_queue_fixture, "fair_queue_idle_account_saves_nothing")
{
    queue.push(at("idle"), 0);
    serve(10);
    for (int i = 0; i < 200; ++i) {
        queue.push(at("busy"), i);
    }
    for (int i = 0; i < 100; ++i) {
        serve(100);
    }
    for (int i = 0; i < 100; ++i) {
        queue.push(at("idle"), i);
    }
    served.clear();
    for (int i = 0; i < 50; ++i) {
        serve(100);
    }
    CHECK(served["busy"] >= 2400);
}

// Guards against a client that understates its answers to get ahead.
TEST_CASE_FIXTURE(fair_queue_fixture, "fair_queue_correction_restores_shares")
{
    for (int i = 0; i < 2000; ++i) {
        queue.push(at("honest"), i);
        queue.push(at("low"), i);
    }
    std::map<std::string, double> real;
    for (int i = 0; i < 1000; ++i) {
        auto* who = queue.front([](const auto&) { return true; });
        const bool low = who->id.value() == "low";
        queue.pop(*who, low ? 10 : 100);
        queue.adjust(*who, low ? 90.0 : 0.0);
        real[who->id.value()] += 100;
    }
    CHECK(real["low"] / real["honest"] == doctest::Approx(1.0).epsilon(0.02));
}

// Guards against wrong news of other gates keeping an account out for long.
TEST_CASE_FIXTURE(fair_queue_fixture, "fair_queue_remote_debt_is_bounded")
{
    for (int i = 0; i < 100; ++i) {
        queue.push(at("a"), i);
        queue.push(at("b"), i);
    }
    queue.charge_remote(at("a"), 1e12, 1000.0);
    int before = 0;
    while (serve(100) == "b") {
        ++before;
    }
    CHECK(before >= 10);
    CHECK(before <= 11);
}

TEST_CASE_FIXTURE(fair_queue_fixture, "fair_queue_erase_keeps_the_count")
{
    std::mt19937 random(9);
    std::vector<std::pair<std::string, std::list<int>::iterator>> items;
    for (int i = 0; i < 500; ++i) {
        const std::string id = std::to_string(random() % 5);
        items.emplace_back(id, queue.push(at(id), i, random() % 4 == 0));
    }
    std::shuffle(items.begin(), items.end(), random);
    for (std::size_t i = 0; i < 200; ++i) {
        queue.erase(at(items[i].first), items[i].second);
    }
    CHECK(queue.size() == 300);
    int count = 0;
    while (!serve(1).empty()) {
        ++count;
    }
    CHECK(count == 300);
    CHECK(queue.empty());
    CHECK(queue.backlogged_accounts() == 0);
}
