#include <doctest/doctest.h>

#include "support/streaming_cluster.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;
using namespace std::chrono_literals;
using fakes::token_mode;

namespace {

class gate_loss_fixture
{
public:
    gate_loss_fixture() { settings.engine.mode = token_mode::sampled; }

    streaming_cluster::options settings = streaming_cluster::fast();
    std::unique_ptr<streaming_cluster> cluster;
    test_caller caller;

    void build() { cluster = std::make_unique<streaming_cluster>(settings); }

    bool reach(std::size_t tokens)
    {
        return cluster->run_until(
            [&] { return caller.tokens.size() >= tokens; });
    }

    bool finish()
    {
        return cluster->run_until([&] {
            return caller.finish.has_value() || caller.failure.has_value();
        });
    }

    /// The gate that is neither the owner 0 nor the buddy.
    [[nodiscard]] std::size_t third_gate() const
    {
        return 3 - cluster->buddy_of(caller.id);
    }

    streaming::generation_service& service(std::size_t i)
    {
        return *cluster->gates[i]->service;
    }
};

} // namespace

// Guards invariants I1 and I2 (every token once, in order, of one generation)
// when the owner is killed and the caller reconnects to any gate.
TEST_CASE_FIXTURE(gate_loss_fixture,
                  "owner_killed_caller_reconnects_to_any_gate")
{
    for (const bool to_buddy : {true, false}) {
        for (const std::size_t at :
             {std::size_t{0}, std::size_t{40}, std::size_t{100}}) {
            CAPTURE(to_buddy);
            CAPTURE(at);
            test_caller local;
            build();
            REQUIRE(cluster->start(local, 0, "owner lost tokens=100"));
            REQUIRE(cluster->run_until([&] {
                return local.tokens.size() >= at &&
                       cluster->gates[0]->service->totals().attempts > 0;
            }));
            if (at == 0) {
                cluster->run_for(5ms);
            }
            const auto buddy = cluster->buddy_of(local.id);
            REQUIRE(buddy < 3);
            cluster->kill_gate(0);
            // A complete answer may have arrived between two checks.
            local.finish.reset();
            const auto target = to_buddy ? buddy : 3 - buddy;
            cluster->attach(local, target);
            REQUIRE(cluster->run_until(
                [&] { return local.finish || local.failure; }));
            CHECK(local.is_complete(token_mode::sampled));
            CHECK(service(buddy).totals().takeovers == 1);
        }
    }
}

// Guards against a takeover when the caller reconnects to another gate while
// the owner is healthy: the answer must continue without a new engine attempt.
TEST_CASE_FIXTURE(gate_loss_fixture, "caller_moves_owner_alive_is_forwarded")
{
    build();
    REQUIRE(cluster->start(caller, 0, "moved tokens=2000"));
    REQUIRE(reach(40));
    const auto first = caller.sink;
    cluster->attach(caller, third_gate());
    REQUIRE(reach(200));
    CHECK(first->failure->code == errc::superseded);
    const auto second = caller.sink;
    cluster->attach(caller, cluster->buddy_of(caller.id));
    REQUIRE(finish());
    CHECK(caller.is_complete(token_mode::sampled));
    CHECK(caller.finish->attempts == 1);
    CHECK(second->failure->code == errc::superseded);
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(service(i).totals().takeovers == 0);
        CHECK(cluster->run_until([&] { return service(i).running() == 0; }));
    }
}

// Guards against a forwarded stream that ends with its owner although the buddy
// holds a copy.
TEST_CASE_FIXTURE(gate_loss_fixture, "forwarding_owner_killed_buddy_takes_over")
{
    build();
    REQUIRE(cluster->start(caller, 0, "forwarded tokens=300"));
    REQUIRE(reach(40));
    cluster->attach(caller, third_gate());
    REQUIRE(reach(100));
    cluster->kill_gate(0);
    REQUIRE(finish());
    CHECK(caller.is_complete(token_mode::sampled));
    CHECK(service(cluster->buddy_of(caller.id)).totals().takeovers == 1);
}

// Guards against an owner that continues its answer after a freeze during which
// another gate took over.
TEST_CASE_FIXTURE(gate_loss_fixture, "thawed_owner_releases_nothing")
{
    for (const bool to_buddy : {true, false}) {
        for (const auto sleep : {100ms, 1200ms}) {
            CAPTURE(to_buddy);
            CAPTURE(sleep.count());
            test_caller local;
            build();
            REQUIRE(cluster->start(local, 0, "frozen owner tokens=1500"));
            REQUIRE(
                cluster->run_until([&] { return local.tokens.size() >= 50; }));
            const auto first = local.sink;
            const auto buddy = cluster->buddy_of(local.id);
            cluster->freeze_gate(0, true);
            cluster->attach(local, to_buddy ? buddy : 3 - buddy);
            const auto taken = local.tokens.size();
            REQUIRE(cluster->run_until(
                [&] { return local.tokens.size() > taken + 20; }));
            CHECK(service(buddy).totals().takeovers == 1);
            cluster->run_for(sleep);
            cluster->freeze_gate(0, false);
            REQUIRE(cluster->run_until(
                [&] { return local.finish || local.failure; }));
            CHECK(local.is_complete(token_mode::sampled));
            CHECK(cluster->run_until([&] { return first->ended; }, 3s));
            REQUIRE(first->failure);
            CHECK(first->failure->code == errc::superseded);
            CHECK_FALSE(first->late_finish);
            // Acknowledgements from before the freeze may release tokens of
            // the common prefix, but none of another continuation.
            CHECK(local.agrees_with_older_connections());
            CHECK(service(0).totals().superseded == 1);
            CHECK(service(0).totals().tokens_without_copy == 0);
        }
    }
}

// Guards against an answer that waits for a lost buddy or continues without a
// copy.
TEST_CASE_FIXTURE(gate_loss_fixture, "buddy_killed_owner_chooses_another")
{
    build();
    REQUIRE(cluster->start(caller, 0, "buddy lost tokens=600"));
    REQUIRE(reach(40));
    cluster->kill_gate(cluster->buddy_of(caller.id));
    REQUIRE(reach(300));
    CHECK(service(0).totals().buddy_changes == 1);
    CHECK(service(0).totals().tokens_without_copy == 0);
    // The second copy must support a takeover as well.
    const auto target = third_gate();
    cluster->kill_gate(0);
    cluster->attach(caller, target);
    REQUIRE(finish());
    CHECK(caller.is_complete(token_mode::sampled));
}

// Guards against a pause in the answer as long as the silence limit of a link.
TEST_CASE_FIXTURE(gate_loss_fixture, "buddy_frozen_owner_chooses_another")
{
    build();
    REQUIRE(cluster->start(caller, 0, "buddy frozen tokens=900"));
    REQUIRE(reach(40));
    const auto buddy = cluster->buddy_of(caller.id);
    cluster->freeze_gate(buddy, true);
    const auto held = caller.tokens.size();
    REQUIRE(
        cluster->run_until([&] { return caller.tokens.size() > held + 50; }));
    cluster->run_for(300ms);
    cluster->freeze_gate(buddy, false);
    REQUIRE(finish());
    CHECK(caller.is_complete(token_mode::sampled));
    CHECK(service(0).totals().tokens_without_copy == 0);
    CHECK(caller.longest_pause() < 700ms);
    // The outdated copy must not be kept.
    CHECK(cluster->run_until([&] {
        return service(buddy).totals().copies_held == 0 ||
               service(third_gate()).totals().copies_held == 0;
    }));
}

// Guards against a takeover from a copy that became outdated during a freeze:
// the owner has released more tokens since, so the answer would diverge.
TEST_CASE_FIXTURE(gate_loss_fixture, "thawed_buddy_does_not_take_over")
{
    build();
    REQUIRE(cluster->start(caller, 0, "woken buddy tokens=900"));
    REQUIRE(reach(40));
    const auto buddy = cluster->buddy_of(caller.id);
    cluster->freeze_gate(buddy, true);
    // The caller connects to the frozen gate, and its first connection stays
    // open.
    cluster->attach(caller, buddy);
    cluster->run_for(650ms);
    CHECK(service(0).totals().buddy_changes == 1);
    // The gate has seen its links close, but no new link yet.
    net::link_hub& hub = *cluster->gates[buddy]->hub;
    for (const auto& peer : hub.peers_up()) {
        hub.remove_peer(peer.node);
    }
    cluster->freeze_gate(buddy, false);
    REQUIRE(finish());
    CHECK(caller.is_complete(token_mode::sampled));
    CHECK(caller.agrees_with_older_connections());
    CHECK(service(buddy).totals().takeovers == 0);
}

// Guards against a single gate that waits for a buddy that does not exist.
TEST_CASE_FIXTURE(gate_loss_fixture, "no_other_gate_alive_releases_at_once")
{
    settings.gates = 1;
    build();
    REQUIRE(cluster->start(caller, 0, "alone tokens=60"));
    REQUIRE(finish());
    CHECK(caller.is_complete(token_mode::sampled));
    CHECK(service(0).totals().tokens_without_copy == 60);
}

// Guards against tokens released at once by a gate that was suspended and may
// be superseded.
TEST_CASE_FIXTURE(gate_loss_fixture,
                  "last_other_gate_lost_releases_after_grace")
{
    settings.gates = 2;
    build();
    REQUIRE(cluster->start(caller, 0, "last tokens=600"));
    REQUIRE(reach(40));
    cluster->kill_gate(1);
    REQUIRE(reach(200));
    CHECK(service(0).totals().tokens_without_copy > 0);
    CHECK(caller.longest_pause() > 500ms);
    // A gate that returns gets a copy, and tokens are held back for its
    // acknowledgement again.
    cluster->start_gate(1);
    REQUIRE(cluster->run_until(
        [&] { return service(1).totals().copies_held == 1; }));
    REQUIRE(finish());
    CHECK(caller.is_complete(token_mode::sampled));
}

// Guards against a takeover that depends on the engine of the lost attempt.
TEST_CASE_FIXTURE(gate_loss_fixture, "owner_and_engine_lost_together")
{
    build();
    REQUIRE(cluster->start(caller, 0, "both tokens=200"));
    REQUIRE(reach(50));
    for (auto& engine : cluster->engines) {
        if (engine->running() > 0) {
            engine.reset();
            break;
        }
    }
    cluster->kill_gate(0);
    cluster->attach(caller, third_gate());
    REQUIRE(finish());
    CHECK(caller.is_complete(token_mode::sampled));
}

// Guards against a caller that has the id of a generation that only the lost
// gate held.
TEST_CASE_FIXTURE(gate_loss_fixture,
                  "owner_lost_right_after_the_start_accepted_answer_continues")
{
    settings.streaming.attach_timeout = 500ms;
    constexpr unsigned max_iterations = 20;
    unsigned accepted = 0;
    for (unsigned iterations = 0; iterations < max_iterations; ++iterations) {
        CAPTURE(iterations);
        test_caller local;
        build();
        REQUIRE(cluster->start(local, 0, "early loss tokens=50"));
        for (unsigned i = 0; i < iterations; ++i) {
            cluster->run_once();
        }
        cluster->kill_gate(0);
        if (!local.accepted) {
            CHECK(local.tokens.empty());
            continue;
        }
        ++accepted;
        cluster->attach(local, 3 - cluster->buddy_of(local.id));
        REQUIRE(
            cluster->run_until([&] { return local.finish || local.failure; }));
        CHECK(local.is_complete(token_mode::sampled));
    }
    CHECK(accepted > 0);
}

// Guards against a caller that waits forever when both copies are lost.
TEST_CASE_FIXTURE(gate_loss_fixture, "owner_and_buddy_lost_fails_as_not_found")
{
    settings.streaming.attach_timeout = 500ms;
    build();
    REQUIRE(cluster->start(caller, 0, "all lost tokens=2000"));
    REQUIRE(reach(50));
    const auto target = third_gate();
    cluster->kill_gate(cluster->buddy_of(caller.id));
    cluster->kill_gate(0);
    cluster->attach(caller, target);
    REQUIRE(finish());
    REQUIRE(caller.failure);
    CHECK(caller.failure->code == errc::generation_not_found);
}

// Guards against a takeover whose new owner has no usable copy at a buddy.
TEST_CASE_FIXTURE(gate_loss_fixture,
                  "two_takeovers_in_a_row_complete_the_answer")
{
    build();
    REQUIRE(cluster->start(caller, 0, "chain tokens=900"));
    REQUIRE(reach(50));
    const auto first = cluster->buddy_of(caller.id);
    const auto second = third_gate();
    cluster->kill_gate(0);
    cluster->attach(caller, first);
    REQUIRE(reach(300));
    cluster->start_gate(0);
    cluster->run_for(200ms);
    cluster->kill_gate(first);
    cluster->attach(caller, second);
    REQUIRE(finish());
    CHECK(caller.is_complete(token_mode::sampled));
}

// Guards against generations that run on for callers that never reconnect.
TEST_CASE_FIXTURE(gate_loss_fixture,
                  "detached_caller_time_out_cancels_generation")
{
    settings.streaming.detached_timeout = 300ms;
    build();
    REQUIRE(cluster->start(caller, 0, "absent tokens=5000"));
    REQUIRE(reach(20));
    service(0).detach(caller.id, caller.sink.get());
    caller.abandon_connection();
    REQUIRE(cluster->run_until([&] { return service(0).running() == 0; }));
    cluster->attach(caller, third_gate());
    REQUIRE(finish());
    REQUIRE(caller.failure);
    CHECK(caller.failure->code == errc::cancelled);
}

// Guards against the loss of an answer that is completed while its caller is
// detached.
TEST_CASE_FIXTURE(gate_loss_fixture,
                  "detached_caller_gets_the_answer_after_reconnecting")
{
    build();
    REQUIRE(cluster->start(caller, 0, "away tokens=100"));
    REQUIRE(reach(20));
    service(0).detach(caller.id, caller.sink.get());
    caller.abandon_connection();
    cluster->run_for(600ms);
    // Two gates hold the complete answer, so a drain does not wait for it.
    bool idle = false;
    service(0).drain([&] { idle = true; });
    CHECK(cluster->run_until([&] { return idle; }));
    cluster->attach(caller, third_gate());
    REQUIRE(finish());
    CHECK(caller.is_complete(token_mode::sampled));
}

// Guards against a drain that cuts running generations or starts new ones.
TEST_CASE_FIXTURE(gate_loss_fixture, "drain_refuses_new_and_finishes_running")
{
    build();
    REQUIRE(cluster->start(caller, 0, "drained tokens=100"));
    REQUIRE(reach(5));
    bool idle = false;
    service(0).drain([&] { idle = true; });
    test_caller late;
    CHECK_FALSE(cluster->start(late, 0, "late"));
    CHECK_FALSE(idle);
    REQUIRE(cluster->run_until([&] { return idle; }));
    CHECK(caller.is_complete(token_mode::sampled));
}

// Guards invariant I2 (all tokens are of one generation): a gate that took over
// from fewer tokens must not continue those of a partitioned owner.
TEST_CASE_FIXTURE(gate_loss_fixture, "caller_with_more_tokens_is_not_continued")
{
    settings.streaming.attach_timeout = 300ms;
    build();
    REQUIRE(cluster->start(caller, 0, "ahead tokens=3000"));
    REQUIRE(reach(50));
    const auto buddy = cluster->buddy_of(caller.id);
    cluster->kill_gate(0);
    caller.tokens.resize(2900, "x");
    cluster->attach(caller, buddy);
    REQUIRE(finish());
    REQUIRE(caller.failure);
    CHECK(caller.failure->code == errc::conflict);
}

// Guards against a generation that runs on because its caller cancelled at
// another gate.
TEST_CASE_FIXTURE(gate_loss_fixture, "cancel_at_another_gate_reaches_the_owner")
{
    build();
    REQUIRE(cluster->start(caller, 0, "cancel tokens=5000"));
    REQUIRE(reach(20));
    service(third_gate()).cancel(caller.id);
    REQUIRE(finish());
    CHECK(caller.failure->code == errc::cancelled);
}

// Guards against copies that exceed the memory limit of a gate.
TEST_CASE_FIXTURE(gate_loss_fixture, "full_copy_memory_moves_to_another_gate")
{
    settings.streaming.max_copies_bytes = 4096;
    build();
    REQUIRE(cluster->start(caller, 0, "full tokens=1000"));
    REQUIRE(cluster->run_until(
        [&] { return service(0).totals().buddy_changes > 0; }));
    service(0).cancel(caller.id);
    REQUIRE(finish());
    CHECK(service(1).totals().copies_bytes <= 4096);
    CHECK(service(2).totals().copies_bytes <= 4096);
}
