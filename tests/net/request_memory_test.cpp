#include <bamboogate/net/connection_choice.hpp>
#include <bamboogate/net/request_memory.hpp>

#include <doctest/doctest.h>

using namespace bamboogate;
using namespace bamboogate::net;
using namespace std::chrono_literals;

namespace {

using admission = request_memory::admission;

/// Room for ten requests of 1000 bytes; 1250 bytes are kept for small ones.
struct memory_fixture
{
    request_memory memory{{.total_bytes = 10'000,
                           .small_bytes = 100,
                           .max_waiting = 3,
                           .max_wait = 500ms,
                           .stall_time = 250ms,
                           .min_bytes_per_second = 1000,
                           .rate_time = 1s}};
    time_point now{1h};

    /// Admits as many large requests as fit. @return their number
    request_memory::client_id fill()
    {
        request_memory::client_id client = 0;
        while (memory.request(client + 1, 1000, now) == admission::admitted) {
            ++client;
        }
        memory.release(client + 1);
        return client;
    }
};

} // namespace

// Guards against requests that are bounded one by one but not in sum.
TEST_CASE_FIXTURE(memory_fixture, "request_memory_large_requests_stay_in_bound")
{
    CHECK(fill() == 8);
    CHECK(memory.used_bytes() <= 8750);
}

// Guards against large requests that leave no room for small ones.
TEST_CASE_FIXTURE(memory_fixture, "request_memory_small_request_uses_reserve")
{
    fill();
    CHECK(memory.request(50, 1000, now) == admission::waiting);
    CHECK(memory.request(51, 100, now) == admission::admitted);
}

// Guards against a limit below the largest legal request, which would never be
// served.
TEST_CASE_FIXTURE(memory_fixture, "request_memory_single_request_fits_always")
{
    CHECK(memory.request(1, 50'000, now) == admission::admitted);
    CHECK(memory.request(2, 1000, now) == admission::waiting);
}

// Guards against refusals while the requests in progress are about to end.
TEST_CASE_FIXTURE(memory_fixture, "request_memory_waiting_request_gets_room")
{
    fill();
    REQUIRE(memory.request(50, 1000, now) == admission::waiting);
    REQUIRE(memory.request(51, 1000, now) == admission::waiting);
    CHECK(memory.review(now).admitted.empty());
    memory.release(3);
    const auto decided = memory.review(now);
    REQUIRE(decided.admitted.size() == 1);
    CHECK(decided.admitted[0] == 50);
    memory.release(50);
    CHECK(memory.review(now).admitted.size() == 1);
    CHECK(memory.used_bytes() == 8000);
}

// Guards against callers that wait until their deadline for room.
TEST_CASE_FIXTURE(memory_fixture, "request_memory_long_wait_ends_as_refusal")
{
    const auto clients = fill();
    for (request_memory::client_id each = 1; each <= clients; ++each) {
        memory.note_complete(each);
    }
    REQUIRE(memory.request(50, 1000, now) == admission::waiting);
    CHECK(memory.review(now + 400ms).refused.empty());
    const auto decided = memory.review(now + 500ms);
    REQUIRE(decided.refused.size() == 1);
    CHECK(decided.refused[0] == 50);
    CHECK(decided.displaced.empty());
    CHECK_FALSE(memory.has_waiting());
}

// Guards against a queue of waiting requests without a bound.
TEST_CASE_FIXTURE(memory_fixture, "request_memory_full_queue_refuses_at_once")
{
    fill();
    for (request_memory::client_id each = 50; each < 53; ++each) {
        CHECK(memory.request(each, 1000, now) == admission::waiting);
    }
    CHECK(memory.request(53, 1000, now) == admission::refused);
}

// Guards against clients that stop just short of the end of their body and
// hold its memory.
TEST_CASE_FIXTURE(memory_fixture, "request_memory_stalled_sender_is_displaced")
{
    fill();
    now += 200ms;
    memory.note_complete(1);
    for (request_memory::client_id each = 3; each <= 8; ++each) {
        memory.note_progress(each, 500, now);
    }
    now += 100ms;
    REQUIRE(memory.request(50, 1000, now) == admission::waiting);
    const auto decided = memory.review(now);
    // Client 1 is served and the others made progress.
    REQUIRE(decided.displaced.size() == 1);
    CHECK(decided.displaced[0] == 2);
    memory.release(2);
    CHECK(memory.review(now).admitted.size() == 1);
}

// Guards against clients that send a byte now and then to pass for active.
TEST_CASE_FIXTURE(memory_fixture,
                  "request_memory_trickling_sender_is_displaced")
{
    fill();
    for (int i = 0; i < 12; ++i) {
        now += 100ms;
        memory.note_progress(1, 1, now);
        for (request_memory::client_id each = 2; each <= 8; ++each) {
            memory.note_progress(each, 120, now);
        }
    }
    REQUIRE(memory.request(50, 1000, now) == admission::waiting);
    const auto decided = memory.review(now);
    REQUIRE(decided.displaced.size() == 1);
    CHECK(decided.displaced[0] == 1);
}

// Guards against slow senders that are closed although nobody needs the room.
TEST_CASE_FIXTURE(memory_fixture, "request_memory_slow_sender_in_calm_stays")
{
    REQUIRE(memory.request(1, 1000, now) == admission::admitted);
    CHECK(memory.review(now + 10s).displaced.empty());
}

// Guards against pipelined input that is not counted.
TEST_CASE_FIXTURE(memory_fixture, "request_memory_added_input_is_bounded")
{
    const auto clients = fill();
    CHECK(memory.try_add(clients, 1500));
    CHECK_FALSE(memory.try_add(clients, 1000));
    memory.release(clients);
    CHECK(memory.used_bytes() == 7000);
}

// Guards against ordinary callers that lose their connections to clients that
// only hold theirs open.
TEST_CASE("connection_choice_idle_then_closing_then_slow_is_closed")
{
    const time_point now{1h};
    using enum connection_use;
    const std::vector<connection_state> all{{serving, now - 9s},
                                            {sending, now - 8s},
                                            {closing, now - 7s},
                                            {idle, now - 1s},
                                            {idle, now - 2s}};
    const auto close_first = [&](std::size_t count) {
        return connection_to_close(std::span(all).first(count), now);
    };
    CHECK(close_first(5) == 4);
    CHECK(close_first(4) == 3);
    CHECK(close_first(3) == 2);
    CHECK(close_first(2) == 1);
    CHECK_FALSE(close_first(1));
    CHECK_FALSE(connection_to_close(
        std::vector<connection_state>{{sending, now - 100ms}}, now));
}
