// Upstreams that break the protocol: bytes without end, answers that belong to
// other requests, streams that stall.
#include "platform/support/raw_service_fixture.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;

namespace {

constexpr std::size_t mebibyte = 1u << 20;

} // namespace

// Guards against memory and time without a limit: a server in trouble may send
// bytes that are no answer until its connection is closed.
TEST_CASE_FIXTURE(raw_service_fixture,
                  "bytes_without_end_fail_the_request_before_its_deadline")
{
    std::size_t limit = mebibyte;
    SUBCASE("in a header field")
    {
        respond = [](raw_server::connection& to) {
            to.send("HTTP/1.1 200 OK\r\nX-Fill: ");
            to.send_without_end("aaaaaaaa");
        };
    }
    SUBCASE("in the number of header fields")
    {
        respond = [](raw_server::connection& to) {
            to.send("HTTP/1.1 200 OK\r\n");
            to.send_without_end("X-Fill: a\r\n");
        };
    }
    SUBCASE("in bytes that are no head")
    {
        respond = [](raw_server::connection& to) {
            to.send_without_end(std::string("\x01\xff", 2));
        };
    }
    SUBCASE("in a chunk line")
    {
        respond = [](raw_server::connection& to) {
            to.send(answer_head("b1", "Transfer-Encoding: chunked"));
            to.send("5;");
            to.send_without_end("aaaaaaaa");
        };
    }
    SUBCASE("in the trailer")
    {
        respond = [](raw_server::connection& to) {
            to.send(answer_head("b1", "Transfer-Encoding: chunked"));
            to.send("0\r\n");
            to.send_without_end("X-Fill: a\r\n");
        };
    }
    SUBCASE("in a body with chunks")
    {
        limit = 4 * mebibyte;
        respond = [](raw_server::connection& to) {
            to.send(answer_head("b1", "Transfer-Encoding: chunked"));
            to.send_without_end("8\r\naaaaaaaa\r\n");
        };
    }
    SUBCASE("in a body without a length")
    {
        limit = 4 * mebibyte;
        respond = [](raw_server::connection& to) {
            to.send(answer_head("b1", "Connection: close"));
            to.send_without_end("aaaaaaaa");
        };
    }
    SUBCASE("in interim responses")
    {
        respond = [](raw_server::connection& to) {
            to.send_without_end("HTTP/1.1 100 Continue\r\n\r\n");
        };
    }
    SUBCASE("in answers to another request")
    {
        respond = [](raw_server::connection& to) {
            to.send_without_end(answer_head("other", "Content-Length: 0"));
        };
    }
    start();
    const time_point sent_at = loop.now();
    const auto request = send_request("/book/x", "b1");
    REQUIRE(wait([&] { return request->ended(); }));
    // The request may have run, so the caller is not told otherwise.
    CHECK(request->status() == 502);
    CHECK(requests == 1);
    CHECK(loop.now() - sent_at < 2500ms);
    CHECK(wait([&] { return upstream.connections.front()->closed(); }));
    // Framing and socket buffers come on top of the limit.
    CHECK(sent_bytes() < 4 * limit + 8 * mebibyte);
}

// Guards against an answer that belongs to another request: the upstream
// repeats its previous response on a reused keep-alive connection, before the
// response to the current request.
TEST_CASE_FIXTURE(raw_service_fixture,
                  "late_second_copy_on_a_reused_connection_is_discarded")
{
    std::size_t part_bytes = 1;
    SUBCASE("in one part")
    {
        part_bytes = 1000;
    }
    SUBCASE("split into single bytes")
    {
        part_bytes = 1;
    }
    std::string late;
    respond = [&](raw_server::connection& to) {
        const std::string attempt =
            last_request.find("b1") != std::string::npos ? "b1" : "b2";
        const std::string own =
            answer_head(attempt, "Content-Length: 2") + attempt;
        const std::string bytes = late + own;
        for (std::size_t at = 0; at < bytes.size(); at += part_bytes) {
            to.send(std::string_view(bytes).substr(at, part_bytes));
        }
        late = own;
    };
    start();
    const auto first = send_request("/book/x", "b1");
    REQUIRE(wait([&] { return first->ended(); }));
    CHECK(first->body == "b1");
    const auto second = send_request("/book/x", "b2");
    REQUIRE(wait([&] { return second->ended(); }));
    CHECK(upstream.connections.size() == 1);
    CHECK(second->status() == 200);
    CHECK(second->body == "b2");
    CHECK(second->head->headers.find("X-Attempt-Id") == "b2");
}

// Guards against a promise "not run" for a request that the upstream runs, and
// against its second run elsewhere: the upstream repeats an earlier refusal on
// a reused keep-alive connection.
TEST_CASE_FIXTURE(raw_service_fixture,
                  "repeated_refusal_is_no_answer_to_the_next_request")
{
    std::size_t copies = 1;
    std::string refusal;
    SUBCASE("with the id of the earlier request")
    {
        refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
                  "X-Attempt-Id: b1\r\nContent-Length: 0\r\n\r\n";
    }
    SUBCASE("without an id")
    {
        refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
                  "Content-Length: 4\r\n\r\nfull";
    }
    SUBCASE("misdirected, without an id")
    {
        refusal = "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: e9\r\n"
                  "Content-Length: 0\r\n\r\n";
    }
    SUBCASE("twice, with the id of the earlier request")
    {
        copies = 2;
        refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
                  "X-Attempt-Id: b1\r\nContent-Length: 0\r\n\r\n";
    }
    raw_server::connection* refused_on = nullptr;
    respond = [&](raw_server::connection& to) {
        if (refused_on == nullptr) {
            refused_on = &to;
            to.send(refusal);
            return;
        }
        for (std::size_t i = 0; &to == refused_on && i < copies; ++i) {
            to.send(refusal);
        }
        to.send(answer_head("b2", "Content-Length: 2") + "b2");
    };
    start();
    const auto first = send_request("/book/x", "b1");
    REQUIRE(wait([&] { return first->ended(); }));
    CHECK(first->status() == 503);
    announce(service, "book", "d1");
    run_until(
        loop, [] { return false; }, 100ms);
    const auto second = send_request("/book/x", "b2");
    REQUIRE(wait([&] { return second->ended() || !service.received.empty(); }));
    CHECK(service.received.empty());
    CHECK(second->status() == 200);
    CHECK(second->body == "b2");
    CHECK(requests == 2);
}

// Guards against the same when the repeated refusal arrives between two
// requests.
TEST_CASE_FIXTURE(raw_service_fixture,
                  "refusal_repeated_on_an_idle_connection_closes_it")
{
    std::string id_field;
    SUBCASE("with the id of the earlier request")
    {
        id_field = "X-Attempt-Id: b1\r\n";
    }
    SUBCASE("without an id") {}
    const std::string refusal =
        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" + id_field +
        "Content-Length: 0\r\n\r\n";
    respond = [&](raw_server::connection& to) {
        if (requests == 1) {
            to.send(refusal);
        } else {
            to.send(answer_head("b2", "Content-Length: 2") + "b2");
        }
    };
    start();
    const auto first = send_request("/book/x", "b1");
    REQUIRE(wait([&] { return first->ended(); }));
    if (!upstream.connections[0]->closed()) {
        upstream.connections[0]->send(refusal);
    }
    CHECK(wait([&] { return upstream.connections[0]->closed(); }));
    const auto second = send_request("/book/x", "b2");
    REQUIRE(wait([&] { return second->ended(); }));
    CHECK(second->status() == 200);
    CHECK(second->body == "b2");
    CHECK(requests == 2);
}

// Guards against truncated answers that reach the caller as complete: the
// connection closes after every possible byte.
TEST_CASE_FIXTURE(raw_service_fixture,
                  "answer_cut_at_any_byte_is_never_a_success")
{
    std::string whole;
    SUBCASE("with a length")
    {
        whole = answer_head("b1", "Content-Length: 5") + "hello";
    }
    SUBCASE("with chunks")
    {
        whole = answer_head("b1", "Transfer-Encoding: chunked") +
                "5\r\nhello\r\n0\r\n\r\n";
    }
    std::size_t cut = 0;
    respond = [&](raw_server::connection& to) {
        to.send(std::string_view(whole).substr(0, cut));
        to.close();
    };
    start();
    for (cut = 0; cut < whole.size(); ++cut) {
        const auto request = send_request("/book/x", "b1");
        REQUIRE(wait([&] { return request->ended(); }));
        CAPTURE(cut);
        CHECK(request->status() == 502);
    }
}
