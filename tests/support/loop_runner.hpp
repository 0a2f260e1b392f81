#ifndef BAMBOOGATE_TESTS_SUPPORT_LOOP_RUNNER_HPP
#define BAMBOOGATE_TESTS_SUPPORT_LOOP_RUNNER_HPP

#include <bamboogate/net/event_loop.hpp>

#include <chrono>

namespace bamboogate::tests {

/// @brief Runs the loop on the calling thread until the condition holds.
/// @return false if the time limit was exceeded first
template <typename Condition>
bool run_until(net::event_loop& loop, Condition condition,
               duration limit = std::chrono::seconds(5))
{
    // Keeps at least one watcher active; run_once itself does not block.
    net::timer tick(loop, [] {});
    tick.start_periodic(std::chrono::milliseconds(1));
    const time_point end = loop.now() + limit;
    while (!condition() && loop.now() < end) {
        loop.run_once();
    }
    return condition();
}

} // namespace bamboogate::tests

#endif
