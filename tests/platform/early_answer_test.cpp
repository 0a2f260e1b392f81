// Upstreams that answer a long upload before they have read it, without a
// length, and break off.
#include "platform/support/raw_service_fixture.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;

namespace {

struct early_answer_fixture : raw_service_fixture
{
    static constexpr std::size_t max_body_bytes = 16u << 20;
    /// Larger than what the kernel takes of an upload that nobody reads.
    std::size_t upload_bytes = 8u << 20;

    void start_for_uploads()
    {
        request_end = "";
        start();
        std::string text = configuration(6);
        text.pop_back();
        text +=
            fmt::format(R"(,"limits":{{"maxBodyBytes":{}}}}})", max_body_bytes);
        REQUIRE(control_call(1, "POST", "/Config.Replace", text)->status() ==
                200);
        pause(200ms);
    }
    std::unique_ptr<caller> send_upload(std::string target, const char* attempt)
    {
        return call(gate->bound_address(), "POST", std::move(target),
                    {{"Host", "h.example"},
                     {"X-Attempt-Id", attempt},
                     {"X-Deadline-Ms", "3000"},
                     {"X-Token-Count", "800,100"},
                     {"Authorization", "Bearer k1"}},
                    std::string(upload_bytes, 'u'));
    }
    /// Answers a head with a part of a body, and ends in the way of the test.
    void answer_part(const std::string& part)
    {
        respond = [this, part](raw_server::connection& to) {
            to.stop_reading();
            to.send(answer_head("b1", "Connection: close") + part);
            if (pause_before_end == duration::zero()) {
                end(to);
                return;
            }
            broken = &to;
            end_timer.start_once(pause_before_end);
        };
    }
    void pause(duration time)
    {
        run_until(
            loop, [] { return false; }, time);
    }

    std::function<void(raw_server::connection&)> end =
        [](raw_server::connection& from) { from.reset(); };
    duration pause_before_end{};
    raw_server::connection* broken = nullptr;
    net::timer end_timer{loop, [this] { end(*broken); }};
};

} // namespace

// Guards against a part of an answer that reached callers as a complete one:
// a write of the upload had found the reset, and the next read saw a plain end.
TEST_CASE_FIXTURE(early_answer_fixture,
                  "answer_without_length_cut_in_an_upload_is_not_complete")
{
    SUBCASE("reset at once") {}
    SUBCASE("reset after the part was read")
    {
        pause_before_end = 50ms;
    }
    SUBCASE("closed while the upload is unread")
    {
        pause_before_end = 50ms;
        end = [](raw_server::connection& from) { from.close(); };
    }
    SUBCASE("ended while the upload is unread")
    {
        pause_before_end = 50ms;
        end = [](raw_server::connection& from) { from.end_output(); };
    }
    SUBCASE("ended while the kernel holds the rest of the upload")
    {
        upload_bytes = 2u << 20;
        pause_before_end = 50ms;
        end = [](raw_server::connection& from) { from.end_output(); };
    }
    start_for_uploads();
    answer_part("hello");
    for (int i = 0; i < 5; ++i) {
        const auto request = send_upload("/book/x", "b1");
        REQUIRE(wait([&] { return request->ended(); }));
        CHECK(request->status() == 502);
        CHECK(request->body.empty());
    }
    CHECK(requests == 5);
}

// Guards against a stream that ends early and looks complete: an engine that
// still accepts connections counted as one that had ended its stream.
TEST_CASE_FIXTURE(early_answer_fixture,
                  "stream_without_length_cut_in_an_upload_goes_on_elsewhere")
{
    SUBCASE("reset")
    {
        pause_before_end = 50ms;
    }
    SUBCASE("ended while the upload is unread")
    {
        pause_before_end = 50ms;
        end = [](raw_server::connection& from) { from.end_output(); };
    }
    start_for_uploads();
    engine1.server->change_limits({.body_bytes = max_body_bytes}, 5s, 5s);
    announce_raw("gen", "raw-engine");
    answer_part("id: 1\ndata: e1\n\n");
    const auto request = send_upload("/gen/x", "b1");
    REQUIRE(wait([&] { return requests == 1; }));
    announce(engine1, "gen", "d1");
    REQUIRE(wait([&] { return !engine1.received.empty(); }));
    CHECK(engine1.header(0, "Last-Event-Id") == "1");
    engine1.begin_stream(0);
    engine1.event(0, 2);
    engine1.received[0].responder->finish();
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->complete);
    CHECK(request->body == "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n");
}
