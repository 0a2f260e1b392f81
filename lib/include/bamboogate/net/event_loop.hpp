#ifndef BAMBOOGATE_NET_EVENT_LOOP_HPP
#define BAMBOOGATE_NET_EVENT_LOOP_HPP

#include <bamboogate/core/time.hpp>

#include <cstdint>
#include <functional>
#include <memory>

struct ev_loop;

namespace bamboogate::net {

/// Order of handling within a turn of the loop. What is `control` is handled
/// first, in every turn, so it must be little work: links between processes
/// that carry heartbeats, configurations and the replicated log. The rest is
/// handled in the order of its arrival, for a bounded time per turn.
enum class loop_priority : std::uint8_t
{
    normal,
    control,
};

/// The event loop of a process, based on libev. All members must be called from
/// the thread that runs the loop.
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// @brief Runs until `stop` is called or no watcher is active.
    void run();

    /// @brief Handles the pending events without blocking.
    void run_once();

    /// @brief Makes `run` return after the current event.
    void stop();

    /// @brief Runs a function in the next iteration of the loop, before its
    ///     sockets of normal priority. Functions run in the order in which they
    ///     were posted.
    void post(std::function<void()> function);

    /// @brief Calls the handler when the process receives the signal, for the
    ///     lifetime of the loop.
    void on_signal(int signal, std::function<void()> handler);

    /// Turns of the loop since the start. A turn is the handling of the events
    /// of one poll; messages that arrive meanwhile wait for its end.
    struct turn_totals
    {
        std::uint64_t turns = 0;
        duration longest{};
    };

    /// @brief Calls the observer after each turn that took at least the
    ///     threshold. Replaces an earlier observer.
    void on_long_turn(duration threshold,
                      std::function<void(duration)> observer);

    [[nodiscard]] turn_totals turns() const noexcept;

    /// @brief Reads the monotonic clock.
    [[nodiscard]] time_point now() const noexcept
    {
        return monotonic_clock::now();
    }

    /// The libev handle, for the watchers of this module.
    [[nodiscard]] struct ::ev_loop* native() noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// A timer that calls its function once or periodically. Input that arrived
/// before it expired is handled first, also when the process stood still; for a
/// timer of control, only input of control. Destruction stops it. Not thread
/// safe.
class timer
{
public:
    /// @param loop must outlive the timer
    timer(event_loop& loop, std::function<void()> function,
          loop_priority priority = loop_priority::normal);
    ~timer();
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    /// @brief Fires once after the delay; replaces an earlier schedule.
    void start_once(duration delay);

    /// @brief Fires every period, first after one period.
    /// @pre period > 0
    void start_periodic(duration period);

    /// @brief Cancels the schedule. The timer can be started again.
    void stop();

    [[nodiscard]] bool active() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// Readiness events of a descriptor; a set of flags.
enum class io_event : std::uint8_t
{
    none = 0,
    read = 1,
    write = 2,
    read_write = 3,
};

[[nodiscard]] constexpr bool has(io_event set, io_event flag) noexcept
{
    return (static_cast<int>(set) & static_cast<int>(flag)) != 0;
}

/// Watches a descriptor that the caller owns. Destruction stops watching. Not
/// thread safe.
class io_watcher
{
public:
    io_watcher(event_loop& loop, int descriptor,
               std::function<void(io_event)> function,
               loop_priority priority = loop_priority::normal);
    ~io_watcher();
    io_watcher(const io_watcher&) = delete;
    io_watcher& operator=(const io_watcher&) = delete;

    /// @brief Replaces the set of awaited events; `none` stops watching.
    void await(io_event events);

    /// @brief Takes effect the next time that the descriptor is ready.
    void change_priority(loop_priority priority);

    /// @brief True if the descriptor was found ready and waits for its turn.
    [[nodiscard]] bool waits() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace bamboogate::net

#endif
