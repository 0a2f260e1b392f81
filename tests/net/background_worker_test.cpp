#include <bamboogate/net/background_worker.hpp>
#include <bamboogate/net/event_loop.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <thread>
#include <vector>

using namespace bamboogate;
using namespace std::chrono_literals;

// Guards against jobs out of order, a loop that waits for a job, and
// completions on another thread than the loop's.
TEST_CASE("background_worker_runs_jobs_in_order_beside_the_loop")
{
    net::event_loop loop;
    net::background_worker worker(loop);
    std::promise<void> permission;
    std::vector<int> order;
    std::vector<std::thread::id> threads(2);
    worker.submit([&] { permission.get_future().wait(); },
                  [&] { order.push_back(1); });
    worker.submit([&] { threads[0] = std::this_thread::get_id(); },
                  [&] {
                      threads[1] = std::this_thread::get_id();
                      order.push_back(2);
                  });
    loop.run_once();
    CHECK(order.empty());
    permission.set_value();
    const time_point limit = loop.now() + 5s;
    while (order.size() < 2 && loop.now() < limit) {
        loop.run_once();
    }
    CHECK(order == std::vector{1, 2});
    CHECK(threads[0] != std::this_thread::get_id());
    CHECK(threads[1] == std::this_thread::get_id());
}

// Guards against a completion that runs after its owner is gone.
TEST_CASE("background_worker_destroyed_discards_completions")
{
    net::event_loop loop;
    bool job_ended = false;
    bool completed = false;
    {
        net::background_worker worker(loop);
        std::promise<void> begun;
        worker.submit(
            [&] {
                begun.set_value();
                std::this_thread::sleep_for(20ms);
                job_ended = true;
            },
            [&] { completed = true; });
        begun.get_future().wait();
    }
    CHECK(job_ended);
    loop.run_once();
    CHECK_FALSE(completed);
}
