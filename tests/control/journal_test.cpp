#include <doctest/doctest.h>

#include <string>

#include "support/samples.hpp"

using namespace bamboogate;
using namespace bamboogate::control;
using namespace std::chrono_literals;

namespace {

class journal_fixture
{
public:
    journal calls;
    state_limits limits;
    std::uint64_t now = 1000;
    static constexpr milliseconds retention{600'000};

    static call_ticket ticket(const std::string& key, const std::string& gate,
                              std::uint64_t number,
                              std::uint64_t incarnation_number = 1)
    {
        return {.account = client_account_id("small"),
                .idempotency_key = key,
                .gate = node_id(gate),
                .gate_incarnation = {incarnation_number},
                .call_number = number};
    }

    result<call_decision> begin(const call_ticket& call,
                                const std::string& body = "body")
    {
        return calls.begin({call, service_id("booking"), body}, retention,
                           limits);
    }

    decision_kind kind(const call_ticket& call,
                       const std::string& body = "body")
    {
        const auto decision = begin(call, body);
        REQUIRE(decision);
        return decision.value().kind;
    }

    result<void> complete(const call_ticket& call,
                          const std::string& body = "done")
    {
        return calls.complete({call, {200, {{"x", "y"}}, body}}, now, limits);
    }
};

} // namespace

// Guards against a second dispatch of a key by another request.
TEST_CASE_FIXTURE(journal_fixture, "journal_open_call_only_owner_runs")
{
    const auto owner = ticket("k", "g1", 1);
    CHECK(kind(owner) == decision_kind::run);
    CHECK(kind(owner) == decision_kind::run);
    CHECK(kind(ticket("k", "g1", 2)) == decision_kind::in_progress);
    CHECK(kind(ticket("k", "g2", 1)) == decision_kind::in_progress);
    CHECK(kind(ticket("k", "g1", 1, 2)) == decision_kind::in_progress);
    auto other_account = ticket("k", "g2", 7);
    other_account.account = client_account_id("large");
    CHECK(kind(other_account) == decision_kind::run);
    CHECK(calls.size() == 2);
}

// Guards against a retry that changes the stored answer, runs the call again,
// or gets the answer to another body.
TEST_CASE_FIXTURE(journal_fixture, "journal_completed_call_answer_is_replayed")
{
    const auto owner = ticket("k", "g1", 1);
    REQUIRE(kind(owner) == decision_kind::run);
    REQUIRE(complete(owner));
    REQUIRE(complete(owner, "a resend does not change the answer"));
    const auto again = begin(ticket("k", "g2", 9));
    REQUIRE(again);
    CHECK(again.value().kind == decision_kind::answered);
    CHECK(again.value().answer.status == 200);
    CHECK(again.value().answer.body == "done");
    CHECK(again.value().answer.headers == header_list{{"x", "y"}});
    CHECK(kind(ticket("k", "g2", 9), "other") == decision_kind::key_reused);
}

// Guards against an attempt that ends the call of another attempt.
TEST_CASE_FIXTURE(journal_fixture, "journal_foreign_ticket_is_superseded")
{
    REQUIRE(kind(ticket("k", "g1", 1)) == decision_kind::run);
    const auto foreign = ticket("k", "g2", 1);
    CHECK(complete(foreign).error().code == errc::superseded);
    CHECK(calls.mark_unknown(foreign, now).error().code == errc::superseded);
    CHECK(calls.abort(foreign, now).error().code == errc::superseded);
    CHECK(complete(ticket("none", "g1", 1)).error().code == errc::not_found);
    CHECK(kind(ticket("k", "g1", 1)) == decision_kind::run);
}

// Guards against a key that stays unusable after an abort, and against an
// aborted attempt that runs or completes afterwards.
TEST_CASE_FIXTURE(journal_fixture, "journal_aborted_call_can_run_again")
{
    const auto first = ticket("k", "g1", 1);
    REQUIRE(kind(first) == decision_kind::run);
    REQUIRE(calls.abort(first, now));
    REQUIRE(calls.abort(first, now));
    CHECK(begin(first).error().code == errc::not_run);
    CHECK(complete(first).error().code == errc::superseded);
    CHECK(kind(ticket("k", "g2", 1), "other") == decision_kind::key_reused);
    CHECK(kind(ticket("k", "g2", 1)) == decision_kind::run);
}

// Guards against a begin that is delivered after its abort: nothing waits for
// its decision, so the key would stay open.
TEST_CASE_FIXTURE(journal_fixture, "journal_begin_after_its_abort_is_refused")
{
    const auto late = ticket("k", "g1", 1);
    REQUIRE(calls.abort(late, now));
    CHECK(begin(late).error().code == errc::not_run);
    CHECK(kind(ticket("k", "g1", 2)) == decision_kind::run);
}

// Guards against a call that is dispatched again after the loss of its gate.
TEST_CASE_FIXTURE(journal_fixture, "journal_lost_gate_call_becomes_unknown")
{
    const auto lost = ticket("a", "g1", 1, 5);
    const auto newer = ticket("b", "g1", 1, 6);
    const auto other = ticket("c", "g2", 1, 5);
    for (const auto& each : {lost, newer, other}) {
        REQUIRE(kind(each) == decision_kind::run);
    }
    CHECK(calls.open_owners().size() == 3);
    CHECK(calls.end_incarnation(node_id("g1"), {5}, now) == 1);
    CHECK(kind(ticket("a", "g3", 1)) == decision_kind::unknown);
    CHECK(kind(lost) == decision_kind::unknown);
    CHECK(kind(newer) == decision_kind::run);
    CHECK(kind(other) == decision_kind::run);
    CHECK(calls.open_owners().size() == 2);
    // The gate was only paused and reports the answer later.
    REQUIRE(complete(lost));
    CHECK(kind(ticket("a", "g3", 1)) == decision_kind::answered);
}

// Guards against entries that are kept for ever or expire early, and against
// open calls that expire.
TEST_CASE_FIXTURE(journal_fixture, "journal_retention_over_entry_removed")
{
    REQUIRE(kind(ticket("done", "g1", 1)) == decision_kind::run);
    REQUIRE(complete(ticket("done", "g1", 1)));
    REQUIRE(kind(ticket("open", "g1", 2)) == decision_kind::run);
    const std::uint64_t end = now + 600'000;
    CHECK(calls.expire(end - 1) == 0);
    CHECK(calls.expire(end) == 1);
    CHECK(calls.answer_bytes() == 0);
    CHECK(kind(ticket("open", "g2", 9)) == decision_kind::in_progress);
    CHECK(kind(ticket("done", "g2", 9)) == decision_kind::run);
}

// Guards against unbounded memory, and against evicting calls early instead.
TEST_CASE_FIXTURE(journal_fixture, "journal_full_refuses_new_keys_only")
{
    limits.journal_entries = 3;
    for (int i = 0; i < 3; ++i) {
        REQUIRE(kind(ticket("k" + std::to_string(i), "g1", 1)) ==
                decision_kind::run);
    }
    CHECK(begin(ticket("k3", "g1", 1)).error().code == errc::overloaded);
    CHECK(kind(ticket("k1", "g1", 1)) == decision_kind::run);
    limits.journal_entries = 100;
    limits.total_answer_bytes = 50;
    REQUIRE(complete(ticket("k0", "g1", 1), std::string(60, 'x')));
    CHECK(begin(ticket("k3", "g1", 1)).error().code == errc::overloaded);
    REQUIRE(complete(ticket("k1", "g1", 1)));
    limits.answer_bytes = 10;
    REQUIRE(complete(ticket("k2", "g1", 1), std::string(11, 'x')));
    CHECK(begin(ticket("k2", "g2", 1)).error().code == errc::limit_exceeded);
}

// Guards against entries, answers or owners that are lost in a snapshot, and
// against truncated snapshots that are accepted.
TEST_CASE_FIXTURE(journal_fixture, "journal_packed_and_unpacked_is_the_same")
{
    REQUIRE(kind(ticket("open", "g1", 1)) == decision_kind::run);
    REQUIRE(kind(ticket("done", "g1", 2)) == decision_kind::run);
    REQUIRE(complete(ticket("done", "g1", 2), std::string("\0\xff", 2)));
    REQUIRE(calls.abort(ticket("gone", "g1", 3), now));
    const std::string packed = calls.pack();
    journal copy;
    REQUIRE(copy.unpack(packed));
    CHECK(copy.pack() == packed);
    CHECK(copy.answer_bytes() == calls.answer_bytes());
    CHECK(copy.end_incarnation(node_id("g1"), {1}, now) == 1);
    for (std::size_t size = 0; size < packed.size(); ++size) {
        CHECK_FALSE(copy.unpack(packed.substr(0, size)));
    }
    CHECK_FALSE(copy.unpack(packed + "x"));
}
