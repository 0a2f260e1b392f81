// Upstreams whose answers have heads that are no valid HTTP.
#include <array>

#include "platform/support/raw_service_fixture.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;

namespace {

/// A service and two engines whose first answer to a request is broken.
struct broken_answer_fixture : raw_service_fixture
{
    raw_server second_engine{
        loop, [this](raw_server::connection& from) { on_input(from); }};

    void start_engines()
    {
        start();
        announce_raw("gen", "engine-a");
        announce_raw("gen", "engine-b", second_engine);
    }
    static std::string answer(std::string_view status_line,
                              std::string_view field, std::string_view body)
    {
        return fmt::format("HTTP/1.1 {}\r\nX-Response-Seal: seal\r\n"
                           "X-Attempt-Id: b1\r\n{}Content-Length: {}\r\n\r\n{}",
                           status_line, field, body.size(), body);
    }
    /// @pre `start` was called
    void check_plain_answer_is_lost(const std::string& broken)
    {
        requests = 0;
        respond = [&](raw_server::connection& to) { to.send(broken); };
        const auto request = send_request("/book/x", "b1");
        REQUIRE(wait([&] { return request->ended(); }));
        // The request may have run.
        CHECK(request->status() == 502);
        CHECK(request->body.empty());
        CHECK_FALSE(request->head->headers.find("X-Response-Seal"));
        CHECK(requests == 1);
    }
    /// @pre `start_engines` was called
    void check_stream_runs_at_the_next_engine(const std::string& broken)
    {
        requests = 0;
        respond = [&](raw_server::connection& to) {
            to.send(requests == 1 ? broken
                                  : answer("200 OK", "", "id: 1\ndata: a\n\n"));
        };
        const auto request = send_request("/gen/x", "b1");
        REQUIRE(wait([&] { return request->ended(); }));
        CHECK(request->complete);
        CHECK(request->status() == 200);
        CHECK(request->body == "id: 1\ndata: a\n\n");
        CHECK_FALSE(request->head->headers.find("X-Odd"));
        CHECK(requests == 2);
    }
};

constexpr const char* broken_event = "id: 1\ndata: broken\n\n";

constexpr std::array invalid_statuses{"000 Odd", "001 Odd", "099 Odd",
                                      "600 Odd", "999 Odd"};

/// Header lines whose name holds a blank or a control byte.
const std::array<std::string, 6> invalid_fields{
    "X Odd: a\r\n",    "X\tOdd: a\r\n",
    "X\x01Odd: a\r\n", std::string("X\0Odd: a\r\n", 10),
    "X-Odd : a\r\n",   "X\x7fOdd: a\r\n",
};

} // namespace

// Guards against an answer with a status that HTTP does not have, which reached
// callers as the upstream's own.
TEST_CASE_FIXTURE(broken_answer_fixture,
                  "answer_with_an_invalid_status_does_not_reach_the_caller")
{
    start();
    for (const std::string_view status : invalid_statuses) {
        CAPTURE(status);
        check_plain_answer_is_lost(answer(status, "", "hello"));
    }
}

TEST_CASE_FIXTURE(broken_answer_fixture,
                  "stream_with_an_invalid_status_runs_at_the_next_engine")
{
    start_engines();
    for (const std::string_view status : invalid_statuses) {
        CAPTURE(status);
        check_stream_runs_at_the_next_engine(answer(status, "", broken_event));
    }
}

// Guards against a line of the head that is passed on although it is no header
// field, and against a body that begins elsewhere than the upstream's.
TEST_CASE_FIXTURE(broken_answer_fixture,
                  "answer_with_an_invalid_field_does_not_reach_the_caller")
{
    start();
    for (const auto& line : invalid_fields) {
        CAPTURE(line);
        check_plain_answer_is_lost(answer("200 OK", line, "hello"));
    }
}

TEST_CASE_FIXTURE(broken_answer_fixture,
                  "stream_with_an_invalid_field_runs_at_the_next_engine")
{
    start_engines();
    for (const auto& line : invalid_fields) {
        CAPTURE(line);
        check_stream_runs_at_the_next_engine(
            answer("200 OK", line, broken_event));
    }
}

// Guards against a body whose end is not known, of which callers got a part or
// its coded bytes: only the transfer coding `chunked` is understood.
TEST_CASE_FIXTURE(broken_answer_fixture,
                  "answer_with_an_unknown_coding_does_not_reach_the_caller")
{
    start();
    for (const std::string_view coding :
         {"gzip", "gzip, chunked", "chunked, gzip", "identity", ""}) {
        CAPTURE(coding);
        const auto field = fmt::format("Transfer-Encoding: {}\r\n", coding);
        check_plain_answer_is_lost(answer("200 OK", field, "hello"));
    }
}

TEST_CASE_FIXTURE(broken_answer_fixture,
                  "stream_with_an_unknown_coding_runs_at_the_next_engine")
{
    start_engines();
    check_stream_runs_at_the_next_engine(
        answer("200 OK", "Transfer-Encoding: gzip\r\n", broken_event));
}
