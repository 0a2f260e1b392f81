#include <bamboogate/net/background_worker.hpp>
#include <bamboogate/net/event_loop.hpp>

#include <ev.h>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <stop_token>
#include <thread>
#include <utility>
#include <vector>

namespace bamboogate::net {

// libev's watcher macros cast between watcher types.
#pragma GCC diagnostic ignored "-Wstrict-aliasing"

struct background_worker::impl
{
    struct task
    {
        std::function<void()> job;
        std::function<void()> completion;
    };

    struct ::ev_loop* loop;
    ev_async ended_signal{};
    std::mutex mutex; ///< of the two queues
    std::condition_variable_any submitted_signal;
    std::deque<task> submitted;
    std::vector<std::function<void()>> ended; ///< completions
    std::jthread thread;

    explicit impl(struct ::ev_loop* used_loop) : loop(used_loop)
    {
        ev_async_init(&ended_signal, &impl::on_ended);
        ended_signal.data = this;
        ev_async_start(loop, &ended_signal);
        ev_unref(loop);
        thread =
            std::jthread([this](const std::stop_token& stop) { run(stop); });
    }

    ~impl()
    {
        thread.request_stop();
        thread.join();
        ev_ref(loop);
        ev_async_stop(loop, &ended_signal);
    }

    void run(const std::stop_token& stop)
    {
        std::unique_lock lock(mutex);
        while (submitted_signal.wait(lock, stop, [this] {
            return !submitted.empty();
        }) && !stop.stop_requested()) {
            task next = std::move(submitted.front());
            submitted.pop_front();
            lock.unlock();
            next.job();
            lock.lock();
            ended.push_back(std::move(next.completion));
            ev_async_send(loop, &ended_signal);
        }
    }

    static void on_ended(struct ::ev_loop*, ev_async* watcher, int)
    {
        auto* self = static_cast<impl*>(watcher->data);
        std::vector<std::function<void()>> ready;
        {
            const std::lock_guard lock(self->mutex);
            ready = std::exchange(self->ended, {});
        }
        for (const auto& completion : ready) {
            completion();
        }
    }
};

background_worker::background_worker(event_loop& loop)
    : impl_(std::make_unique<impl>(loop.native()))
{}

background_worker::~background_worker() = default;

void background_worker::submit(std::function<void()> job,
                               std::function<void()> completion)
{
    {
        const std::lock_guard lock(impl_->mutex);
        impl_->submitted.push_back({std::move(job), std::move(completion)});
    }
    impl_->submitted_signal.notify_one();
}

} // namespace bamboogate::net
