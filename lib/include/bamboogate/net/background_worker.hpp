#ifndef BAMBOOGATE_NET_BACKGROUND_WORKER_HPP
#define BAMBOOGATE_NET_BACKGROUND_WORKER_HPP

#include <functional>
#include <memory>

namespace bamboogate::net {

class event_loop;

/// A thread for jobs that block, such as syncs of a disk. It runs the jobs in
/// the order of their submission, and the loop runs their completions. All
/// members must be called from the loop's thread.
class background_worker
{
public:
    /// @param loop must outlive the worker
    explicit background_worker(event_loop& loop);
    /// @brief Waits for the end of the job that runs. Discards the jobs that
    ///     have not begun and the completions that have not run.
    ~background_worker();
    background_worker(const background_worker&) = delete;
    background_worker& operator=(const background_worker&) = delete;

    /// @param job runs on the thread of the worker; must not throw
    /// @param completion runs on the loop after the job
    void submit(std::function<void()> job, std::function<void()> completion);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace bamboogate::net

#endif
