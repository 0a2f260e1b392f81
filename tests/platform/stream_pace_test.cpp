// Streams whose engines are slow but sound, and streams that stall while their
// engines still send bytes.
#include "platform/support/relay_fixture.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;

namespace {

constexpr int last_event = 4;

/// Engines that send one event per interval, starting behind the last one that
/// the request has.
struct paced_engines_fixture : relay_fixture
{
    duration interval = 400ms;
    net::timer timer{loop, [this] { send_events(); }};

    void start_pace()
    {
        start_system();
        timer.start_periodic(interval);
    }
    void send_events()
    {
        for (auto* engine : {&engine1, &engine2}) {
            for (std::size_t i = 0; i < engine->received.size(); ++i) {
                send_next(*engine, i);
            }
        }
    }
    void send_next(fake_upstream& engine, std::size_t index)
    {
        const auto& responder = engine.received[index].responder;
        if (responder->ended()) {
            return;
        }
        int& next = next_events[responder.get()];
        if (next == 0) {
            engine.begin_stream(index);
            const std::string resumed = engine.header(index, "Last-Event-Id");
            next = resumed.empty() ? 1 : std::stoi(resumed) + 1;
        }
        engine.event(index, next++);
        if (next > last_event) {
            responder->finish();
        }
    }
    std::map<const void*, int> next_events;
};

} // namespace

// Guards against slow but sound streams that are cut: every engine of the
// service is slower than the silence limit of a first attempt, 320 ms.
TEST_CASE_FIXTURE(paced_engines_fixture,
                  "stream_of_slow_engines_is_completed_in_order")
{
    start_pace();
    const auto request = send_request("/gen/x", "g1");
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->complete);
    std::string expected;
    for (int event = 1; event <= last_event; ++event) {
        expected += fmt::format("id: {}\ndata: e{}\n\n", event, event);
    }
    CHECK(request->body == expected);
}

// Guards against stalled streams that never end: the engine sends a comment now
// and then, but no event.
TEST_CASE_FIXTURE(relay_fixture,
                  "stalled_stream_with_comments_resumes_on_another_engine")
{
    start_system();
    const auto request = send_request("/gen/x", "g1");
    REQUIRE(wait([&] {
        return engine1.received.size() + engine2.received.size() == 1;
    }));
    auto& first = engine1.received.empty() ? engine2 : engine1;
    auto& other = engine1.received.empty() ? engine1 : engine2;
    first.begin_stream(0);
    first.event(0, 1);
    net::timer comments(loop, [&] {
        if (!first.received[0].responder->ended()) {
            first.received[0].responder->write(": still here\n\n");
        }
    });
    comments.start_periodic(50ms);
    const time_point stalled_at = loop.now();
    REQUIRE(wait([&] { return other.received.size() == 1; }));
    CHECK(loop.now() - stalled_at < 700ms);
    other.begin_stream(0);
    other.event(0, 2);
    other.received[0].responder->finish();
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->complete);
    CHECK(request->body == "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n");
}

// Guards against an event without an end, which would be buffered until the
// memory of the gate is used up.
TEST_CASE_FIXTURE(relay_fixture,
                  "stream_with_an_event_without_end_resumes_elsewhere")
{
    start_system();
    const auto request = send_request("/gen/x", "g1");
    REQUIRE(wait([&] {
        return engine1.received.size() + engine2.received.size() == 1;
    }));
    auto& first = engine1.received.empty() ? engine2 : engine1;
    auto& other = engine1.received.empty() ? engine1 : engine2;
    first.begin_stream(0);
    first.event(0, 1);
    first.received[0].responder->write("id: 2\ndata: ");
    const std::string part(64u << 10, 'a');
    for (int i = 0; i < 8; ++i) {
        first.received[0].responder->write(part);
    }
    REQUIRE(wait([&] { return other.received.size() == 1; }));
    CHECK(wait([&] { return first.disconnected_callers == 1; }));
    other.begin_stream(0);
    other.event(0, 2);
    other.received[0].responder->finish();
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->complete);
    CHECK(request->body == "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n");
}
