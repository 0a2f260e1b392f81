#include <bamboogate/net/tcp_stream.hpp>

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>

#include "support/loop_runner.hpp"
#include "support/raw_server.hpp"

using namespace bamboogate;
using namespace bamboogate::net;
using namespace std::chrono_literals;
using tests::raw_server;

namespace {

/// A stream to a peer whose end is chosen by the test.
struct tcp_stream_fixture
{
    event_loop loop;
    raw_server peer{loop, [](raw_server::connection&) {}};
    std::string received;
    std::optional<stream_end> end;
    std::unique_ptr<tcp_stream> stream;

    tcp_stream_fixture()
    {
        stream = std::make_unique<tcp_stream>(
            loop, start_connect(peer.bound_address()).value(), true,
            tcp_stream::callbacks{
                .on_data =
                    [this](std::string_view bytes) { received.append(bytes); },
                .on_end = [this](stream_end reason) { end = reason; }});
        REQUIRE(wait([&] {
            return stream->connected() && peer.connections.size() == 1;
        }));
    }
    raw_server::connection& accepted() { return *peer.connections.front(); }
    bool wait(const std::function<bool()>& condition)
    {
        return tests::run_until(loop, condition, 3s);
    }
};

constexpr std::size_t more_than_kernel_takes = 8u << 20;

} // namespace

TEST_CASE_FIXTURE(tcp_stream_fixture, "stream_closed_by_its_peer_ends_closed")
{
    stream->write("request");
    REQUIRE(wait([&] { return accepted().received == "request"; }));
    accepted().send("answer");
    accepted().end_output();
    REQUIRE(wait([&] { return end.has_value(); }));
    CHECK(*end == stream_end::closed);
    CHECK(received == "answer");
}

TEST_CASE_FIXTURE(tcp_stream_fixture, "stream_reset_by_its_peer_ends_reset")
{
    accepted().reset();
    REQUIRE(wait([&] { return end.has_value(); }));
    CHECK(*end == stream_end::reset);
}

// Guards against a reset that looks like a plain end: a write gets the error of
// the connection, and the next read only its end.
TEST_CASE_FIXTURE(tcp_stream_fixture,
                  "stream_whose_write_finds_a_reset_ends_reset")
{
    SUBCASE("in the queued output")
    {
        accepted().stop_reading();
        stream->write(std::string(more_than_kernel_takes, 'u'));
        REQUIRE(stream->queued_bytes() > 0);
        accepted().reset();
    }
    SUBCASE("in a new write")
    {
        accepted().reset();
        stream->write("late");
        CHECK_FALSE(stream->connected());
        stream->write("later");
    }
    REQUIRE(wait([&] { return end.has_value(); }));
    CHECK(*end == stream_end::reset);
}

// Guards against an end that looks regular although the peer cannot have read
// what it was sent.
TEST_CASE_FIXTURE(tcp_stream_fixture,
                  "stream_closed_before_its_output_arrived_ends_closed_early")
{
    std::size_t bytes = 0;
    SUBCASE("with output in the queue")
    {
        bytes = more_than_kernel_takes;
    }
    SUBCASE("with output in the kernel")
    {
        bytes = 2u << 20;
    }
    accepted().stop_reading();
    stream->write(std::string(bytes, 'u'));
    accepted().end_output();
    REQUIRE(wait([&] { return end.has_value(); }));
    CHECK(*end == stream_end::closed_early);
}
