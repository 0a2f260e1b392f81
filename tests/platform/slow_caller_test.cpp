// Callers and upstreams that read slowly or not at all.
#include <regex>

#include "platform/support/relay_fixture.hpp"
#include "support/slow_client.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;

namespace {

constexpr std::size_t kibibyte = 1u << 10;

struct slow_caller_fixture : relay_fixture
{
    static constexpr std::size_t event_bytes = 16000;
    static constexpr int events = 1500;
    int next_event = 1;              ///< of the first stream
    fake_upstream* engine = nullptr; ///< where the first stream runs

    void start(const relay::reader_pacing::options& settings)
    {
        readers = settings;
        start_gate();
        wait_for_leader();
        const std::string document =
            std::regex_replace(configuration(5), std::regex("timeoutMs\":3000"),
                               "timeoutMs\":20000");
        REQUIRE(
            control_call(1, "POST", "/Config.Replace", document)->status() ==
            200);
        REQUIRE(run_until(loop, [&] { return gate->ready(); }));
        announce(engine1, "gen", "d1");
        announce(engine2, "gen", "d2");
        announce(service, "book", "d1");
        run_until(
            loop, [] { return false; }, 50ms);
    }
    std::unique_ptr<slow_client> slow_request(const char* path,
                                              std::string_view attempt)
    {
        return std::make_unique<slow_client>(loop, gate->bound_address(),
                                             request(path, attempt));
    }
    static std::string request(const char* path, std::string_view attempt)
    {
        return fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\n"
                           "X-Attempt-Id: {}\r\nX-Deadline-Ms: 20000\r\n"
                           "X-Token-Count: 800,100\r\n"
                           "Authorization: Bearer k1\r\n"
                           "Content-Length: 6\r\n\r\nprompt",
                           path, attempt);
    }
    /// Waits for the first stream and begins it.
    void begin_first_stream()
    {
        REQUIRE(wait([&] {
            return engine1.received.size() + engine2.received.size() == 1;
        }));
        engine = engine1.received.empty() ? &engine2 : &engine1;
        engine->begin_stream(0);
    }
    /// Waits for a second request to one of the engines.
    std::pair<fake_upstream*, std::size_t> next_stream()
    {
        REQUIRE(wait([&] {
            return engine1.received.size() + engine2.received.size() == 2;
        }));
        fake_upstream& other = engine == &engine1 ? engine2 : engine1;
        const bool moved = !other.received.empty();
        const std::pair out(moved ? &other : engine, moved ? 0U : 1U);
        out.first->begin_stream(out.second);
        return out;
    }
    /// Sends events of the first stream while the gate reads them.
    void send_events()
    {
        const auto& responder = engine->received[0].responder;
        while (responder->queued_bytes() < 64 * kibibyte &&
               next_event <= events && !responder->ended()) {
            responder->write(fmt::format("id: {}\ndata: {}\n\n", next_event++,
                                         std::string(event_bytes, 'x')));
        }
    }
    /// Runs the engine for a while.
    void play(duration time)
    {
        run_until(
            loop,
            [&] {
                send_events();
                return false;
            },
            time);
    }
    /// Every event once and in order.
    static void check_events(const std::string& text)
    {
        int expected = 1;
        const std::regex id("id: (\\d+)\n");
        for (std::sregex_iterator at(text.begin(), text.end(), id), end;
             at != end; ++at) {
            CHECK(std::stoi((*at)[1]) == expected++);
        }
        CHECK(expected == events + 1);
    }
    [[nodiscard]] double metric(const std::string& name) const
    {
        const std::string text = "\n" + gate->metrics_text();
        const auto at = text.find("\n" + name + " ");
        REQUIRE(at != std::string::npos);
        return std::stod(text.substr(at + name.size() + 2));
    }
};

} // namespace

// Guards against a gate that reads an engine without end for a caller that
// doesn't read, and against events that are lost or repeated by the pause.
TEST_CASE_FIXTURE(slow_caller_fixture,
                  "caller_that_reads_again_gets_every_event_once_in_order")
{
    start({.stream_bytes = 128 * kibibyte});
    const auto slow = slow_request("/gen/x", "a1");
    begin_first_stream();
    play(1s);
    const int stands_at = next_event;
    CHECK(stands_at < events);
    CHECK(metric("bamboogate_relay_reading_pauses_total") >= 1);
    // An input of the gate comes on top of the bound.
    CHECK(metric("bamboogate_relay_unread_answer_bytes") <
          static_cast<double>((128 + 32) * kibibyte));
    // Longer than the silence limit of a stream that is read.
    const auto other = send_request("/gen/y", "a2");
    const auto [other_engine, number] = next_stream();
    play(600ms);
    other_engine->event(number, 1);
    CHECK(wait([&] { return other->body.find("e1") != std::string::npos; }));
    CHECK(next_event == stands_at);
    CHECK(engine->disconnected_callers == 0);
    slow->read();
    CHECK(run_until(
        loop,
        [&] {
            send_events();
            return next_event > events;
        },
        10s));
    engine->received[0].responder->finish();
    CHECK(run_until(
        loop, [&] { return slow->received().ends_with("\r\n0\r\n\r\n"); },
        10s));
    check_events(slow->received());
}

// Guards against a stream that an engine cut off because it remained unread,
// and that looks complete or is not resumed, and against blame for the engine.
TEST_CASE_FIXTURE(slow_caller_fixture,
                  "stream_cut_off_while_unread_resumes_after_the_last_event")
{
    start({.stream_bytes = 128 * kibibyte});
    const auto slow = slow_request("/gen/x", "a1");
    begin_first_stream();
    play(1500ms);
    CHECK(next_event < events);
    engine->received[0].responder->abort();
    slow->read();
    const auto [next, number] = next_stream();
    CHECK(next != engine);
    const int last = std::stoi(next->header(number, "Last-Event-ID"));
    CHECK(last < next_event);
    next_event = last + 1;
    engine = next;
    CHECK(run_until(
        loop,
        [&] {
            send_events();
            return next_event > events;
        },
        10s));
    engine->received[0].responder->finish();
    CHECK(run_until(
        loop, [&] { return slow->received().ends_with("\r\n0\r\n\r\n"); },
        10s));
    check_events(slow->received());
}

// Guards against an engine's work and a gate's memory that are held for a
// caller that never reads, and against an end that looks complete.
TEST_CASE_FIXTURE(slow_caller_fixture,
                  "caller_that_never_reads_is_given_up_while_others_go_on")
{
    start({.stream_bytes = 128 * kibibyte, .unread_limit = 500ms});
    const auto slow = slow_request("/gen/x", "a1");
    begin_first_stream();
    const auto other = send_request("/gen/y", "a2");
    const auto [other_engine, number] = next_stream();
    CHECK(wait([&] {
        send_events();
        return engine->disconnected_callers == 1;
    }));
    CHECK(metric("bamboogate_relay_readers_given_up_total") == 1);
    CHECK(metric("bamboogate_relay_callers_left_total") == 0);
    CHECK(metric("bamboogate_relay_unread_answer_bytes") == 0);
    slow->read();
    CHECK(wait([&] { return slow->closed(); }));
    CHECK_FALSE(slow->received().ends_with("0\r\n\r\n"));
    other_engine->event(number, 1);
    other_engine->event(number, 2);
    other_engine->received[number].responder->finish();
    CHECK(wait([&] { return other->complete; }));
    CHECK(other->body == "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n");
}

// Guards against whole answers of callers that don't read, which were counted
// only until they were handed to the connection.
TEST_CASE_FIXTURE(slow_caller_fixture,
                  "unread_plain_answers_give_way_to_the_next_answer")
{
    constexpr std::size_t budget = 4096 * kibibyte;
    start({.budget_bytes = budget, .recent_read = 10ms});
    const std::string large(3900 * kibibyte, 'x');
    std::size_t answered = 0;
    const auto answer_all = [&] {
        while (answered < service.received.size()) {
            service.answer(answered++, large);
        }
    };
    std::vector<std::unique_ptr<slow_client>> callers;
    for (int i = 0; i < 4; ++i) {
        // The sockets hold a part of the first answers.
        std::string requests;
        for (int k = 0; k < 4; ++k) {
            requests += request("/book/x", fmt::format("b{}-{}", i, k));
        }
        callers.push_back(std::make_unique<slow_client>(
            loop, gate->bound_address(), requests));
        run_until(
            loop,
            [&] {
                answer_all();
                return false;
            },
            300ms);
        CHECK(metric("bamboogate_relay_unread_answer_bytes") <= budget);
    }
    CHECK(metric("bamboogate_relay_readers_given_up_total") > 0);
    const auto ordinary = send_request("/book/x", "ordinary");
    CHECK(wait([&] {
        answer_all();
        return ordinary->complete;
    }));
    CHECK(ordinary->body == large);
}
