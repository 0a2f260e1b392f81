// Streams whose engine is lost while the next engine answers with an error or
// with bytes that are no stream.
#include "platform/support/relay_fixture.hpp"
#include "support/raw_server.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;

namespace {

/// Two engines whose bytes are chosen by the test. Streams are answered by the
/// steps in order, at whichever engine they arrive.
struct broken_stream_fixture : relay_fixture
{
    using step = std::function<void(raw_server::connection&)>;
    std::vector<step> steps;
    std::size_t runs = 0;
    std::vector<std::string> received; ///< requests
    raw_server* serving = nullptr;     ///< engine of the newest input
    raw_server engine_a{loop, [this](auto& from) {
                            serving = &engine_a;
                            on_input(from);
                        }};
    raw_server engine_b{loop, [this](auto& from) {
                            serving = &engine_b;
                            on_input(from);
                        }};
    /// Answers a copy call; refuses it unless the test replaces this.
    step answer_copy = send("HTTP/1.1 503 Service Unavailable\r\n"
                            "Content-Length: 0\r\n\r\n");
    std::unique_ptr<caller> request;

    void on_input(raw_server::connection& from)
    {
        const bool has_head =
            from.received.find("\r\n\r\n") != std::string::npos;
        if (has_head && from.received.starts_with("GET ")) {
            from.received.clear();
            from.send("HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n"
                      R"({"events":[]})");
        } else if (has_head && from.received.starts_with("POST /kv-move")) {
            from.received.clear();
            answer_copy(from);
        } else if (holds_request(from.received, "prompt")) {
            received.push_back(std::exchange(from.received, {}));
            const std::size_t at = runs++;
            CHECK(at < steps.size());
            if (at < steps.size()) {
                steps[at](from);
            }
        }
    }
    void announce_engine(const raw_server& engine, const char* id,
                         const char* zone, int started_at = 1000)
    {
        const auto reply = control_call(
            0, "POST", fmt::format("/Instances.Heartbeat/{}", id),
            fmt::format(
                R"({{"service":"gen","address":"{}","zone":"{}",)"
                R"("slots":8,"state":"ready","coldLeftMs":0,"version":"",)"
                R"("seqNo":1,"born":{}}})",
                engine.bound_address().text(), zone, started_at));
        CHECK(reply->status() == 200);
    }
    void start()
    {
        wait_for_leader();
        REQUIRE(control_call(1, "POST", "/Config.Replace", configuration(5))
                    ->status() == 200);
        REQUIRE(run_until(loop, [&] { return gate->ready(); }));
        announce_engine(engine_a, "a", "d1");
        announce_engine(engine_b, "b", "d2");
        run_until(
            loop, [] { return false; }, 50ms);
        request = send_request("/gen/x", "g1");
    }
    static std::string chunk(std::string_view text)
    {
        return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
    }
    static std::string head(std::string_view status, std::string_view framing,
                            std::string_view type = "text/event-stream")
    {
        return fmt::format("HTTP/1.1 {}\r\nX-Response-Seal: seal\r\n"
                           "X-Attempt-Id: g1\r\nContent-Type: {}\r\n{}\r\n\r\n",
                           status, type, framing);
    }
    static std::string length(std::string_view body)
    {
        return fmt::format("Content-Length: {}", body.size());
    }
    static step send_then_close(const std::string& bytes)
    {
        return [bytes](raw_server::connection& to) {
            to.send(bytes);
            to.close();
        };
    }
    static step send(const std::string& bytes)
    {
        return [bytes](raw_server::connection& to) { to.send(bytes); };
    }
    /// A stream of two events that breaks off.
    static step begin_and_break()
    {
        return send_then_close(head("200 OK", chunked) + chunk(event1) +
                               chunk(event2) + "8\r\nid: 3\n");
    }
    static step continue_and_end()
    {
        return send(head("200 OK", chunked) + chunk(event3) + "0\r\n\r\n");
    }
    static constexpr const char* chunked = "Transfer-Encoding: chunked";
    static constexpr const char* event1 = "id: 1\ndata: e1\n\n";
    static constexpr const char* event2 = "id: 2\ndata: e2\n\n";
    static constexpr const char* event3 = "id: 3\ndata: e3\n\n";
};

} // namespace

// Guards against the text of an error inside a stream, and against a stream
// that looks complete after an answer that is no stream.
TEST_CASE_FIXTURE(broken_stream_fixture,
                  "error_of_the_next_engine_is_no_part_of_a_stream")
{
    const std::string text = "engine failed\n\nid: 3\ndata: no event\n\n";
    step odd;
    SUBCASE("500 with a length")
    {
        odd = send(head("500 Internal Server Error", length(text)) + text);
    }
    SUBCASE("500 that ends with the connection")
    {
        odd = send_then_close(
            head("500 Internal Server Error", "Connection: close") + text);
    }
    SUBCASE("500 in pieces")
    {
        odd = [&](raw_server::connection& to) {
            const std::string bytes =
                head("500 Internal Server Error", chunked) + chunk(text) +
                "0\r\n\r\n";
            for (const char each : bytes) {
                to.send(std::string_view(&each, 1));
            }
        };
    }
    SUBCASE("502 without a seal")
    {
        odd = send("HTTP/1.1 502 Bad Gateway\r\n" + length(text) + "\r\n\r\n" +
                   text);
    }
    SUBCASE("404")
    {
        odd = send(head("404 Not Found", length(text)) + text);
    }
    SUBCASE("204")
    {
        odd = send(head("204 No Content", "X-Field: x"));
    }
    SUBCASE("206 with the right event")
    {
        odd = send(head("206 Partial Content", length(event3)) + event3);
    }
    SUBCASE("302")
    {
        odd = send(head("302 Found", length(text)) + text);
    }
    SUBCASE("200 without a seal")
    {
        odd = send("HTTP/1.1 200 OK\r\nX-Attempt-Id: g1\r\n" + length(event3) +
                   "\r\n\r\n" + event3);
    }
    SUBCASE("malformed head")
    {
        odd = send_then_close("HTTP/1.1 5x0 No\r\n\r\n" + text);
    }
    SUBCASE("bytes without a head")
    {
        odd = send_then_close(text);
    }
    SUBCASE("head of an error in the body of a stream")
    {
        odd = send(head("200 OK", chunked) +
                   chunk("HTTP/1.1 500 Internal Server Error\r\n"
                         "Content-Length: 0\r\n\r\n") +
                   "0\r\n\r\n");
    }
    SUBCASE("error in the body of a stream, before an event")
    {
        odd = send(head("200 OK", chunked) +
                   chunk("HTTP/1.1 500 Internal Server Error\r\n"
                         "Content-Length: 0\r\n" +
                         std::string(event3)) +
                   "0\r\n\r\n");
    }
    SUBCASE("200 with a text that is no event")
    {
        odd = send(head("200 OK", length("engine failed\n\n")) +
                   "engine failed\n\n");
    }
    SUBCASE("200 with a document that ends with a blank line")
    {
        const std::string document = "{\"error\":\"engine failed\"}\n\n";
        odd = send(head("200 OK", length(document), "application/json") +
                   document);
    }
    SUBCASE("200 with an empty body of another type")
    {
        odd = send(head("200 OK", "Content-Length: 0", "application/json"));
    }
    SUBCASE("200 with the right event in a body of another type")
    {
        odd = send(head("200 OK", length(event3), "text/plain") + event3);
    }
    SUBCASE("200 that ends with the connection before an event")
    {
        odd = send_then_close(head("200 OK", "Connection: close"));
    }
    SUBCASE("200 that ends inside an event")
    {
        odd = send(head("200 OK", length("id: 3\ndata: e")) + "id: 3\ndata: e");
    }
    steps = {begin_and_break(), odd, continue_and_end()};
    start();
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->status() == 200);
    CHECK(request->body == std::string(event1) + event2 + event3);
    CHECK(request->complete);
    CHECK(runs == 3);
}

// Guards against the same when no further engine may run the stream: it must
// not look complete.
TEST_CASE_FIXTURE(broken_stream_fixture,
                  "stream_that_no_engine_continues_breaks_off")
{
    const std::string text = "engine failed\n\n";
    step odd;
    SUBCASE("error")
    {
        odd = send(head("500 Internal Server Error", length(text)) + text);
    }
    SUBCASE("error that breaks off")
    {
        odd = send_then_close(
            head("500 Internal Server Error", "Content-Length: 500") + text);
    }
    SUBCASE("client error")
    {
        odd = send(head("400 Bad Request", length(text)) + text);
    }
    SUBCASE("text")
    {
        odd = send(head("200 OK", length(text)) + text);
    }
    SUBCASE("no events")
    {
        odd = send_then_close(head("200 OK", "Connection: close"));
    }
    SUBCASE("another type")
    {
        odd = send(head("200 OK", length(text), "text/plain") + text);
    }
    steps = {begin_and_break(), odd, odd};
    start();
    // It is placed again until its deadline, which is 3 s.
    REQUIRE(run_until(
        loop, [&] { return request->ended(); }, 4s));
    CHECK(request->failed);
    CHECK(request->body == std::string(event1) + event2);
}

// Guards against a retry of a stream that had ended when its engine was lost.
TEST_CASE_FIXTURE(broken_stream_fixture,
                  "stream_without_further_events_is_complete")
{
    steps = {begin_and_break(), send(head("200 OK", chunked) + "0\r\n\r\n")};
    start();
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->complete);
    CHECK(request->body == std::string(event1) + event2);
    CHECK(runs == 2);
}

// Guards against an engine in trouble that keeps the gate busy with bytes that
// have no end and carry no part of the stream, one chunk a line.
TEST_CASE_FIXTURE(broken_stream_fixture,
                  "bytes_without_an_event_end_the_attempt")
{
    std::string piece;
    SUBCASE("lines without a blank one")
    {
        piece = chunk("a\n");
    }
    SUBCASE("fields without a blank line")
    {
        piece = chunk("id: 7\n");
    }
    SUBCASE("bytes without a line end")
    {
        piece = chunk("a");
    }
    SUBCASE("blank lines")
    {
        piece = chunk("\n");
    }
    SUBCASE("comments")
    {
        piece = chunk(":\n\n");
    }
    SUBCASE("events without an id")
    {
        piece = chunk("data: x\n\n");
    }
    raw_server* hostile = nullptr;
    steps = {[&](raw_server::connection& to) {
                 hostile = serving;
                 to.send(head("200 OK", chunked));
                 to.send_without_end(piece);
             },
             send(head("200 OK", chunked) + chunk(event1) + chunk(event2) +
                  "0\r\n\r\n")};
    start();
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->complete);
    CHECK(request->body == std::string(event1) + event2);
    CHECK(runs == 2);
    REQUIRE(hostile != nullptr);
    std::size_t sent = 0;
    for (const auto& each : hostile->connections) {
        sent += each->sent_bytes();
    }
    // 256 KiB in chunks of one byte, and what the sockets hold.
    constexpr std::size_t most = 10u << 20;
    CHECK(sent < most);
}

// Guards against an engine that stalls inside its first event, where the limit
// for the whole prompt held, not the one between two parts of the answer.
TEST_CASE_FIXTURE(broken_stream_fixture,
                  "stall_inside_the_first_event_ends_the_attempt")
{
    raw_server::connection* stalled = nullptr;
    const auto begin_event = [&](raw_server::connection& to) {
        to.send(head("200 OK", chunked) + chunk("id: 1\nda"));
        stalled = &to;
    };
    net::timer trickle(loop, [&] {
        if (stalled != nullptr && !stalled->closed()) {
            stalled->send(chunk("t"));
        }
    });
    SUBCASE("without a further byte") {}
    SUBCASE("with a byte now and then")
    {
        trickle.start_periodic(50ms);
    }
    steps = {begin_event, send(head("200 OK", chunked) + chunk(event1) +
                               chunk(event2) + "0\r\n\r\n")};
    start();
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->complete);
    CHECK(request->body == std::string(event1) + event2);
    CHECK(runs == 2);
}

// Guards against a sound engine that is abandoned because it sends comments
// while it reads a long prompt.
TEST_CASE_FIXTURE(broken_stream_fixture,
                  "comments_before_the_first_event_are_no_stall")
{
    raw_server::connection* engine = nullptr;
    net::timer comments(loop, [&] {
        if (engine != nullptr) {
            // In two parts, as the network may split it.
            engine->send(chunk(": wa"));
            engine->send(chunk("it\n\n"));
        }
    });
    comments.start_periodic(100ms);
    steps = {[&](raw_server::connection& to) {
        to.send(head("200 OK", chunked));
        engine = &to;
    }};
    start();
    run_until(
        loop, [] { return false; }, 1500ms);
    REQUIRE(engine != nullptr);
    comments.stop();
    engine->send(chunk(event1) + chunk(event2) + "0\r\n\r\n");
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->complete);
    CHECK(request->body == std::string(event1) + event2);
    CHECK(runs == 1);
}

// Guards against a stream without a length whose engine is killed: the end of
// its connection was taken for the end of the stream.
TEST_CASE_FIXTURE(broken_stream_fixture,
                  "stream_without_length_of_a_killed_engine_goes_on")
{
    const step begin_and_die = [this](raw_server::connection& to) {
        to.send(head("200 OK", "Connection: close") + event1 + event2);
        serving->stop_listening();
        to.close();
    };
    steps = {begin_and_die, continue_and_end()};
    start();
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->complete);
    CHECK(request->body == std::string(event1) + event2 + event3);
    CHECK(runs == 2);
}

// Guards against a whole stream without a length that is sent again.
TEST_CASE_FIXTURE(broken_stream_fixture,
                  "stream_without_length_of_a_live_engine_is_complete")
{
    steps = {send_then_close(head("200 OK", "Connection: close") + event1 +
                             event2 + event3)};
    start();
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->complete);
    CHECK(request->body == std::string(event1) + event2 + event3);
    CHECK(runs == 1);
}

// Guards against a repeated answer to a copy call that is taken for the answer
// to the next one on its connection: with several streams on an engine, one
// stream went on from the memory of another.
TEST_CASE_FIXTURE(broken_stream_fixture,
                  "repeated_answer_to_a_copy_call_is_no_answer_to_the_next")
{
    std::map<raw_server::connection*, std::string> answered;
    int copies = 0;
    answer_copy = [&](raw_server::connection& to) {
        const std::string body =
            fmt::format(R"({{"kvHandle":"h{}","made":2}})", ++copies);
        const std::string answer =
            fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                        body.size(), body);
        to.send(answered[&to] + answer);
        answered[&to] = answer;
    };
    raw_server::connection* stream = nullptr;
    int events = 0;
    const auto send_event = [&] {
        ++events;
        stream->send(chunk(fmt::format("id: {0}\ndata: e{0}\n\n", events)));
    };
    steps = {[&](raw_server::connection& to) {
                 stream = &to;
                 to.send(head("200 OK", chunked));
                 send_event();
             },
             [&](raw_server::connection& to) {
                 to.send(head("200 OK", chunked) + "0\r\n\r\n");
             }};
    start();
    REQUIRE(wait([&] { return !request->body.empty(); }));
    // The holder of the first copy starts again, so copies are ordered.
    if (serving == &engine_a) {
        announce_engine(engine_b, "b", "d2", 2000);
    } else {
        announce_engine(engine_a, "a", "d1", 2000);
    }
    const time_point begun = loop.now();
    while (copies < 2 && loop.now() - begun < 3s) {
        send_event();
        run_until(
            loop, [] { return false; }, 50ms);
    }
    REQUIRE(copies == 2);
    const int last_copy = copies;
    stream->close();
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->complete);
    REQUIRE(received.size() == 2);
    CHECK(received[1].find(fmt::format("/h{}\r\n", last_copy)) !=
          std::string::npos);
}

// Guards against a refusal of the first send that is taken for the refusal of
// the second one to the same engine, which runs it.
TEST_CASE_FIXTURE(broken_stream_fixture,
                  "repeated_refusal_of_a_stream_is_no_answer_to_its_next_send")
{
    std::vector<raw_server::connection*> refused_on;
    int answered = 0;
    const std::string refusal =
        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
        "X-Attempt-Id: g1\r\nContent-Length: 0\r\n\r\n";
    const step refuse = [&](raw_server::connection& to) {
        refused_on.push_back(&to);
        to.send(refusal);
    };
    const step run = [&](raw_server::connection& to) {
        ++answered;
        if (std::find(refused_on.begin(), refused_on.end(), &to) !=
            refused_on.end()) {
            to.send(refusal);
        }
        to.send(head("200 OK", chunked) + chunk(event1) + chunk(event2) +
                chunk(event3) + "0\r\n\r\n");
    };
    steps = {refuse, refuse, run, run, run};
    start();
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->status() == 200);
    CHECK(request->body == std::string(event1) + event2 + event3);
    CHECK(answered == 1);
}
