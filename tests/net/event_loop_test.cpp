#include <bamboogate/net/event_loop.hpp>

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <thread>

#include "support/loop_runner.hpp"

using namespace bamboogate;
using namespace bamboogate::net;
using namespace std::chrono_literals;

namespace {

struct event_loop_fixture
{
    event_loop loop;
    std::array<int, 2> sockets{};
    std::string order;

    event_loop_fixture()
    {
        REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, sockets.data()) == 0);
    }
    ~event_loop_fixture()
    {
        ::close(sockets[0]);
        ::close(sockets[1]);
    }
};

} // namespace

// Guards against time-outs that win against input that has already arrived,
// because the process stood still.
TEST_CASE_FIXTURE(event_loop_fixture,
                  "input_that_arrived_is_handled_before_an_expired_timer")
{
    io_watcher input(loop, sockets[0], [&](io_event) {
        char byte = 0;
        CHECK(::recv(sockets[0], &byte, 1, 0) == 1);
        order += byte;
    });
    input.await(io_event::read);
    timer expired(loop, [&] { order += 't'; });
    expired.start_once(10ms);
    loop.run_once();
    REQUIRE(::send(sockets[1], "i", 1, 0) == 1);
    std::this_thread::sleep_for(20ms);
    REQUIRE(tests::run_until(loop, [&] { return order.size() == 2; }));
    CHECK(order == "it");
}

// Guards against time-outs that win against input that has arrived during a
// long callback.
TEST_CASE_FIXTURE(event_loop_fixture,
                  "input_during_a_long_callback_is_handled_before_a_timer")
{
    std::array<int, 2> others{};
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, others.data()) == 0);
    io_watcher input(loop, sockets[0], [&](io_event) {
        char byte = 0;
        CHECK(::recv(sockets[0], &byte, 1, 0) == 1);
        order += byte;
    });
    input.await(io_event::read);
    io_watcher busy(loop, others[0], [&](io_event) {
        char byte = 0;
        CHECK(::recv(others[0], &byte, 1, 0) == 1);
        order += 'b';
        CHECK(::send(sockets[1], "i", 1, 0) == 1);
        std::this_thread::sleep_for(10ms);
    });
    busy.await(io_event::read);
    timer expired(loop, [&] { order += 't'; });
    expired.start_once(10ms);
    loop.run_once();
    REQUIRE(::send(others[1], "x", 1, 0) == 1);
    std::this_thread::sleep_for(20ms);
    REQUIRE(tests::run_until(loop, [&] { return order.size() == 3; }));
    CHECK(order == "bit");
    ::close(others[0]);
    ::close(others[1]);
}

// Guards against a deferred timer that fires although it was stopped.
TEST_CASE_FIXTURE(event_loop_fixture,
                  "deferred_timer_that_is_stopped_is_silent")
{
    timer expired(loop, [&] { order += 't'; });
    io_watcher busy(loop, sockets[0], [&](io_event) {
        char byte = 0;
        CHECK(::recv(sockets[0], &byte, 1, 0) == 1);
        std::this_thread::sleep_for(10ms);
        loop.post([&] { expired.stop(); });
    });
    busy.await(io_event::read);
    expired.start_once(5ms);
    loop.run_once();
    REQUIRE(::send(sockets[1], "x", 1, 0) == 1);
    std::this_thread::sleep_for(10ms);
    tests::run_until(
        loop, [] { return false; }, 50ms);
    CHECK(order.empty());
    CHECK_FALSE(expired.active());
}
