#include <doctest/doctest.h>

#include "support/streaming_cluster.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;
using namespace std::chrono_literals;
using fakes::token_mode;
using streaming::attempt_outcome;

namespace {

struct phase_case
{
    const char* name;
    std::size_t at_token; ///< the fault comes when the caller has these
};

// The prompt asks for 60 tokens.
const std::vector<phase_case> phases{
    {"before the first token", 0},
    {"in the middle", 30},
    {"after the last token", 60},
};

class engine_loss_fixture
{
public:
    streaming_cluster::options settings = streaming_cluster::fast();
    std::unique_ptr<streaming_cluster> cluster;
    test_caller caller;

    void build() { cluster = std::make_unique<streaming_cluster>(settings); }

    [[nodiscard]] std::size_t busy_engine() const
    {
        for (std::size_t i = 0; i < cluster->engines.size(); ++i) {
            if (cluster->engines[i] && cluster->engines[i]->running() > 0) {
                return i;
            }
        }
        return cluster->engines.size();
    }

    bool reach(std::size_t tokens)
    {
        return cluster->run_until([&] {
            return caller.tokens.size() >= tokens &&
                   busy_engine() < cluster->engines.size();
        });
    }

    bool finish()
    {
        return cluster->run_until([&] {
            return caller.finish.has_value() || caller.failure.has_value();
        });
    }
};

} // namespace

TEST_CASE_FIXTURE(engine_loss_fixture, "generation_without_fault_is_whole")
{
    build();
    REQUIRE(cluster->start(caller, 0, "plain tokens=60"));
    REQUIRE(finish());
    CHECK(caller.is_complete(token_mode::prefix));
    CHECK(caller.finish->finish_reason == "stop");
    CHECK(caller.finish->attempts == 1);
    CHECK(cluster->gates[0]->service->totals().tokens_without_copy == 0);
    CHECK(cluster->gates[0]->service->running() == 0);
}

// Guards against tokens lost or repeated when an engine dies in each phase.
TEST_CASE_FIXTURE(engine_loss_fixture, "engine_killed_in_each_phase_is_resumed")
{
    for (const auto mode : {token_mode::prefix, token_mode::sampled}) {
        for (const auto& phase : phases) {
            CAPTURE(phase.name);
            settings.engine.mode = mode;
            test_caller local;
            build();
            REQUIRE(cluster->start(local, 0, "killed tokens=60"));
            REQUIRE(cluster->run_until([&] {
                return local.tokens.size() >= phase.at_token &&
                       (busy_engine() < 3 || local.finish);
            }));
            if (const auto victim = busy_engine(); victim < 3) {
                cluster->kill_engine(victim);
            }
            REQUIRE(cluster->run_until(
                [&] { return local.finish || local.failure; }));
            CHECK(local.is_complete(mode));
        }
    }
}

TEST_CASE_FIXTURE(engine_loss_fixture, "engine_frozen_in_middle_is_replaced")
{
    for (const std::size_t at : {std::size_t{0}, std::size_t{20}}) {
        test_caller local;
        build();
        REQUIRE(cluster->start(local, 0, "frozen tokens=60"));
        REQUIRE(cluster->run_until(
            [&] { return local.tokens.size() >= at && busy_engine() < 3; }));
        cluster->engines[busy_engine()]->freeze(true);
        REQUIRE(
            cluster->run_until([&] { return local.finish || local.failure; }));
        CHECK(local.is_complete(token_mode::prefix));
        CHECK(cluster->gates[0]->engines.outcomes[attempt_outcome::silent] ==
              1);
    }
}

// Guards against a suffix of the cancelled attempt getting into the answer
// after its engine wakes up.
TEST_CASE_FIXTURE(engine_loss_fixture, "woken_engine_adds_nothing")
{
    settings.engine.mode = token_mode::sampled;
    build();
    REQUIRE(cluster->start(caller, 0, "woken tokens=200"));
    REQUIRE(reach(20));
    const auto victim = busy_engine();
    cluster->engines[victim]->freeze(true);
    REQUIRE(cluster->run_until([&] { return caller.tokens.size() >= 60; }));
    cluster->engines[victim]->freeze(false);
    REQUIRE(finish());
    CHECK(caller.is_complete(token_mode::sampled));
    CHECK(cluster->run_until(
        [&] { return cluster->engines[victim]->running() == 0; }));
}

TEST_CASE_FIXTURE(engine_loss_fixture, "two_engines_lost_in_a_row_is_resumed")
{
    settings.engine.mode = token_mode::sampled;
    build();
    REQUIRE(cluster->start(caller, 0, "twice tokens=90"));
    REQUIRE(reach(20));
    cluster->kill_engine(busy_engine());
    REQUIRE(cluster->run_until([&] { return busy_engine() < 3; }));
    // The second loss is before the first token of the resumed attempt.
    cluster->engines[busy_engine()]->freeze(true);
    REQUIRE(finish());
    CHECK(caller.is_complete(token_mode::sampled));
    CHECK(caller.finish->attempts == 3);
}

TEST_CASE_FIXTURE(engine_loss_fixture, "repeated_or_missing_index_ends_attempt")
{
    for (const bool repeat : {true, false}) {
        test_caller local;
        build();
        auto& faults = cluster->engines[0]->faults();
        (repeat ? faults.repeat_every_tokens : faults.skip_every_tokens) = 10;
        REQUIRE(cluster->start(local, 0, "index tokens=60"));
        REQUIRE(
            cluster->run_until([&] { return local.finish || local.failure; }));
        CHECK(local.is_complete(token_mode::prefix));
        CHECK(cluster->gates[0]->engines.outcomes[attempt_outcome::malformed] ==
              1);
    }
}

TEST_CASE_FIXTURE(engine_loss_fixture, "stream_without_finish_is_resumed")
{
    build();
    cluster->engines[0]->faults().omit_finish = true;
    REQUIRE(cluster->start(caller, 0, "no finish tokens=30"));
    REQUIRE(finish());
    CHECK(caller.is_complete(token_mode::prefix));
    CHECK(caller.finish->attempts == 2);
}

TEST_CASE_FIXTURE(engine_loss_fixture, "refusing_engine_is_passed_over")
{
    build();
    cluster->engines[0]->faults().refuse = true;
    REQUIRE(cluster->start(caller, 0, "refused tokens=30"));
    REQUIRE(finish());
    CHECK(caller.is_complete(token_mode::prefix));
}

TEST_CASE_FIXTURE(engine_loss_fixture, "retries_used_up_fails_with_type")
{
    settings.streaming.max_retries = 3;
    build();
    for (auto& engine : cluster->engines) {
        engine->faults().reset_every_tokens = 1;
    }
    REQUIRE(cluster->start(caller, 0, "doomed tokens=60"));
    REQUIRE(finish());
    REQUIRE(caller.failure);
    CHECK(caller.failure->code == errc::upstream_failed);
    CHECK(caller.contiguous);
    CHECK(cluster->gates[0]->service->running() == 0);
}

TEST_CASE_FIXTURE(engine_loss_fixture, "retry_hook_refusal_ends_generation")
{
    unsigned asked = 0;
    settings.streaming.may_retry = [&asked](const auto&, const auto&) {
        ++asked;
        return false;
    };
    build();
    REQUIRE(cluster->start(caller, 0, "hook tokens=60"));
    REQUIRE(reach(10));
    cluster->kill_engine(busy_engine());
    REQUIRE(finish());
    CHECK(asked == 1);
    CHECK(caller.failure.has_value());
}

TEST_CASE_FIXTURE(engine_loss_fixture, "no_engine_fails_after_limit")
{
    settings.engines = 0;
    settings.streaming.no_engine_timeout = 200ms;
    build();
    REQUIRE(cluster->start(caller, 0, "none tokens=60"));
    REQUIRE(finish());
    REQUIRE(caller.failure);
    CHECK(caller.failure->code == errc::overloaded);
}

TEST_CASE_FIXTURE(engine_loss_fixture, "preempted_generation_goes_on_whole")
{
    settings.engine.mode = token_mode::sampled;
    build();
    REQUIRE(cluster->start(caller, 0, "preempted tokens=120"));
    REQUIRE(reach(20));
    auto& service = *cluster->gates[0]->service;
    CHECK(service.preempt(caller.id));
    CHECK_FALSE(service.preempt(caller.id));
    CHECK(cluster->run_until([&] { return busy_engine() == 3; }));
    cluster->run_for(300ms);
    CHECK_FALSE(caller.finish);
    CHECK(service.running() == 1);
    CHECK(service.resume(caller.id));
    REQUIRE(finish());
    CHECK(caller.is_complete(token_mode::sampled));
}

// Guards against unbounded memory behind a caller that does not read.
TEST_CASE_FIXTURE(engine_loss_fixture, "slow_caller_pauses_the_engine_stream")
{
    settings.engine.token_interval = 100us;
    settings.streaming.max_unreleased_tokens = 64;
    build();
    REQUIRE(cluster->start(caller, 0, "slow tokens=30000"));
    REQUIRE(reach(10));
    caller.sink->accepts_tokens = false;
    cluster->run_for(1500ms);
    const auto held = cluster->gates[0]->service->totals().tokens_generated;
    cluster->run_for(500ms);
    CHECK(cluster->gates[0]->service->totals().tokens_generated == held);
    CHECK(cluster->gates[0]->service->totals().attempts_silent == 0);
    caller.sink->accepts_tokens = true;
    cluster->gates[0]->service->sink_ready(caller.id);
    const std::size_t before = caller.tokens.size();
    CHECK(cluster->run_until(
        [&] { return caller.tokens.size() > before + 1000; }));
    cluster->gates[0]->service->cancel(caller.id);
    REQUIRE(finish());
    CHECK(caller.failure->code == errc::cancelled);
    CHECK(caller.contiguous);
}

TEST_CASE_FIXTURE(engine_loss_fixture, "cancel_stops_the_engine")
{
    build();
    REQUIRE(cluster->start(caller, 0, "cancelled tokens=5000"));
    REQUIRE(reach(10));
    cluster->gates[0]->service->cancel(caller.id);
    REQUIRE(finish());
    CHECK(caller.failure->code == errc::cancelled);
    CHECK(cluster->run_until([&] { return busy_engine() == 3; }));
}
