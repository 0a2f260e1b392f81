#ifndef BAMBOOGATE_TESTS_PLATFORM_SUPPORT_RAW_SERVICE_FIXTURE_HPP
#define BAMBOOGATE_TESTS_PLATFORM_SUPPORT_RAW_SERVICE_FIXTURE_HPP

#include "platform/support/relay_fixture.hpp"
#include "support/raw_server.hpp"

namespace bamboogate::tests {

/// A booking service whose bytes are chosen by the test.
struct raw_service_fixture : relay_fixture
{
    std::function<void(raw_server::connection&)> respond;
    /// End of the input that is answered; empty for answers to a head.
    std::string request_end = "prompt";
    raw_server upstream{
        loop, [this](raw_server::connection& from) { on_input(from); }};
    std::string last_request;
    int requests = 0;

    void on_input(raw_server::connection& from)
    {
        if (from.received.starts_with("GET ")) {
            answer_watch(from);
        } else if (holds_request(from.received, request_end)) {
            last_request = std::exchange(from.received, {});
            ++requests;
            respond(from);
        }
    }
    void start()
    {
        wait_for_leader();
        REQUIRE(control_call(1, "POST", "/Config.Replace", configuration(5))
                    ->status() == 200);
        REQUIRE(run_until(loop, [&] { return gate->ready(); }));
        announce_raw("book", "raw");
    }
    void announce_raw(const char* service_name, const char* id)
    {
        announce_raw(service_name, id, upstream);
    }
    void announce_raw(const char* service_name, const char* id,
                      const raw_server& server)
    {
        const auto reply = control_call(
            0, "POST", fmt::format("/Instances.Heartbeat/{}", id),
            fmt::format(
                R"({{"service":"{}","address":"{}","zone":"d1",)"
                R"("slots":8,"state":"ready","coldLeftMs":0,"version":"",)"
                R"("seqNo":1,"born":1000}})",
                service_name, server.bound_address().text()));
        CHECK(reply->status() == 200);
        run_until(
            loop, [] { return false; }, 50ms);
    }
    /// Answers the control node's call that checks whether an engine lives.
    static void answer_watch(raw_server::connection& from)
    {
        if (holds_request(from.received, "")) {
            from.received.clear();
            from.send("HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n"
                      R"({"events":[]})");
        }
    }
    [[nodiscard]] std::size_t sent_bytes() const
    {
        std::size_t total = 0;
        for (const auto& each : upstream.connections) {
            total += each->sent_bytes();
        }
        return total;
    }
    static std::string answer_head(const std::string& attempt,
                                   const std::string& framing)
    {
        return fmt::format("HTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\n"
                           "X-Attempt-Id: {}\r\n{}\r\n\r\n",
                           attempt, framing);
    }
};

} // namespace bamboogate::tests

#endif
