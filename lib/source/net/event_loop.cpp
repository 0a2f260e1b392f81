#include <bamboogate/net/event_loop.hpp>

#include <ev.h>

#include <algorithm>
#include <deque>
#include <limits>
#include <utility>
#include <vector>

namespace bamboogate::net {

// The order within one turn, as priorities of libev: readiness of sockets,
// where those of control are handled at once; time-outs of control; posted
// functions, which have the default priority 0; the other sockets; the other
// time-outs. Sockets come before the time-outs of their kind, because after a
// stall of the process a time-out would win against the data it waits for.
constexpr int io_priority = EV_MAXPRI;
constexpr int control_timer_priority = 1;
constexpr int queue_priority = -1;
constexpr int timer_priority = EV_MINPRI;

// Time per turn for the sockets that are not control. Heartbeats are sent every
// 100 ms and more, so that neither theirs nor a message on its way waits for
// more than a part of that.
constexpr duration max_queue_time = std::chrono::milliseconds(20);

// A timer that expires more than this after the loop looked at the sockets
// waits until it has looked again: a callback took long, and input may have
// arrived meanwhile.
constexpr duration max_input_age = std::chrono::milliseconds(1);

// libev's watcher macros cast between watcher types.
#pragma GCC diagnostic ignored "-Wstrict-aliasing"

namespace {

/// A socket that is ready and waits for its turn.
struct ready_socket
{
    int events = 0; ///< of libev
    bool queued = false;

    /// Handles the events that are still awaited.
    virtual void handle(int ready) = 0;

protected:
    ~ready_socket() = default;
};

/// Records when the loop last looked at its sockets and how long it handled
/// their events, and keeps the sockets that are ready. The loop's user data.
struct poll_state
{
    ev_check after_poll{};
    ev_check queue_due{};
    ev_idle queue_not_empty{}; ///< keeps the loop from blocking
    ev_prepare before_poll{};
    /// In the order of their readiness; null if destroyed meanwhile.
    std::deque<ready_socket*> queue;
    std::uint64_t queued = 0;  ///< sockets ever added to the queue
    std::uint64_t handled = 0; ///< and taken from it
    time_point polled_at = monotonic_clock::now();
    bool polled = false;
    event_loop::turn_totals totals;
    duration long_turn = duration::max();
    std::function<void(duration)> on_long_turn;

    static void on_polled(struct ::ev_loop*, ev_check* watcher, int)
    {
        auto* self = static_cast<poll_state*>(watcher->data);
        self->polled_at = monotonic_clock::now();
        self->polled = true;
    }

    static void on_poll_due(struct ::ev_loop*, ev_prepare* watcher, int)
    {
        static_cast<poll_state*>(watcher->data)->end_turn();
    }

    static void on_queue_due(struct ::ev_loop* loop, ev_check* watcher, int)
    {
        static_cast<poll_state*>(watcher->data)->handle_queue(loop);
    }

    static void on_idle(struct ::ev_loop*, ev_idle*, int) {}

    void add(ready_socket& socket, int events)
    {
        socket.events |= events;
        if (!std::exchange(socket.queued, true)) {
            queue.push_back(&socket);
            ++queued;
        }
    }

    void remove(ready_socket& socket)
    {
        if (std::exchange(socket.queued, false)) {
            std::replace(queue.begin(), queue.end(), &socket,
                         static_cast<ready_socket*>(nullptr));
        }
    }

    void handle_queue(struct ::ev_loop* loop)
    {
        const time_point end = monotonic_clock::now() + max_queue_time;
        while (!queue.empty()) {
            ready_socket* next = queue.front();
            queue.pop_front();
            ++handled;
            if (next == nullptr) {
                continue;
            }
            next->queued = false;
            next->handle(std::exchange(next->events, 0));
            if (monotonic_clock::now() >= end) {
                break;
            }
        }
        if (queue.empty()) {
            ev_idle_stop(loop, &queue_not_empty);
        } else {
            ev_idle_start(loop, &queue_not_empty);
        }
    }

    void end_turn()
    {
        if (!std::exchange(polled, false)) {
            return;
        }
        const duration taken = monotonic_clock::now() - polled_at;
        ++totals.turns;
        totals.longest = std::max(totals.longest, taken);
        if (taken >= long_turn && on_long_turn) {
            on_long_turn(taken);
        }
    }
};

} // namespace

struct event_loop::impl
{
    struct signal_watcher
    {
        ev_signal watcher{};
        std::function<void()> handler;
    };

    struct ::ev_loop* loop = ev_loop_new(EVBACKEND_EPOLL);
    ev_async wake{};
    poll_state polls;
    std::vector<std::function<void()>> posted;
    std::vector<std::unique_ptr<signal_watcher>> signals;

    static void on_wake(struct ::ev_loop*, ev_async* watcher, int)
    {
        auto* self = static_cast<impl*>(watcher->data);
        auto ready = std::exchange(self->posted, {});
        for (auto& function : ready) {
            function();
        }
    }

    static void on_signal(struct ::ev_loop*, ev_signal* watcher, int)
    {
        static_cast<signal_watcher*>(watcher->data)->handler();
    }
};

event_loop::event_loop() : impl_(std::make_unique<impl>())
{
    ev_async_init(&impl_->wake, &impl::on_wake);
    impl_->wake.data = impl_.get();
    ev_async_start(impl_->loop, &impl_->wake);
    ev_unref(impl_->loop);
    ev_check_init(&impl_->polls.after_poll, &poll_state::on_polled);
    ev_set_priority(&impl_->polls.after_poll, EV_MAXPRI);
    impl_->polls.after_poll.data = &impl_->polls;
    ev_check_start(impl_->loop, &impl_->polls.after_poll);
    ev_unref(impl_->loop);
    ev_check_init(&impl_->polls.queue_due, &poll_state::on_queue_due);
    ev_set_priority(&impl_->polls.queue_due, queue_priority);
    impl_->polls.queue_due.data = &impl_->polls;
    ev_check_start(impl_->loop, &impl_->polls.queue_due);
    ev_unref(impl_->loop);
    ev_idle_init(&impl_->polls.queue_not_empty, &poll_state::on_idle);
    ev_prepare_init(&impl_->polls.before_poll, &poll_state::on_poll_due);
    impl_->polls.before_poll.data = &impl_->polls;
    ev_prepare_start(impl_->loop, &impl_->polls.before_poll);
    ev_unref(impl_->loop);
    ev_set_userdata(impl_->loop, &impl_->polls);
}

event_loop::~event_loop()
{
    for (auto& signal : impl_->signals) {
        ev_ref(impl_->loop);
        ev_signal_stop(impl_->loop, &signal->watcher);
    }
    ev_ref(impl_->loop);
    ev_async_stop(impl_->loop, &impl_->wake);
    ev_ref(impl_->loop);
    ev_check_stop(impl_->loop, &impl_->polls.after_poll);
    ev_ref(impl_->loop);
    ev_check_stop(impl_->loop, &impl_->polls.queue_due);
    ev_idle_stop(impl_->loop, &impl_->polls.queue_not_empty);
    ev_ref(impl_->loop);
    ev_prepare_stop(impl_->loop, &impl_->polls.before_poll);
    ev_loop_destroy(impl_->loop);
}

void event_loop::run()
{
    ev_run(impl_->loop, 0);
}

void event_loop::run_once()
{
    ev_run(impl_->loop, EVRUN_NOWAIT);
}

void event_loop::stop()
{
    ev_break(impl_->loop, EVBREAK_ALL);
}

void event_loop::post(std::function<void()> function)
{
    impl_->posted.push_back(std::move(function));
    ev_async_send(impl_->loop, &impl_->wake);
}

void event_loop::on_signal(int signal, std::function<void()> handler)
{
    auto entry = std::make_unique<impl::signal_watcher>();
    entry->handler = std::move(handler);
    ev_signal_init(&entry->watcher, &impl::on_signal, signal);
    entry->watcher.data = entry.get();
    ev_signal_start(impl_->loop, &entry->watcher);
    ev_unref(impl_->loop);
    impl_->signals.push_back(std::move(entry));
}

void event_loop::on_long_turn(duration threshold,
                              std::function<void(duration)> observer)
{
    impl_->polls.long_turn = threshold;
    impl_->polls.on_long_turn = std::move(observer);
}

event_loop::turn_totals event_loop::turns() const noexcept
{
    return impl_->polls.totals;
}

struct ::ev_loop* event_loop::native() noexcept
{
    return impl_->loop;
}

struct timer::impl
{
    struct ::ev_loop* loop;
    loop_priority priority;
    ev_timer watcher{};
    ev_timer deferred{}; ///< looks again in the next turn
    std::uint64_t sockets_first = 0;
    std::function<void()> function;

    [[nodiscard]] const poll_state& polls() const
    {
        return *static_cast<const poll_state*>(ev_userdata(loop));
    }

    static void on_timeout(struct ::ev_loop*, ev_timer* watcher, int)
    {
        auto* self = static_cast<impl*>(watcher->data);
        const bool waits =
            ev_is_active(&self->deferred) || ev_is_pending(&self->deferred);
        if (waits) {
            return;
        }
        const duration input_age =
            monotonic_clock::now() - self->polls().polled_at;
        if (input_age > max_input_age) {
            self->sockets_first = never_handled;
            self->look_again();
            return;
        }
        self->sockets_first = self->polls().queued;
        self->call_after_sockets();
    }

    static void on_deferred(struct ::ev_loop*, ev_timer* watcher, int)
    {
        auto* self = static_cast<impl*>(watcher->data);
        if (self->sockets_first == never_handled) {
            self->sockets_first = self->polls().queued;
        }
        self->call_after_sockets();
    }

    /// Calls the function once the sockets that were ready when the time-out
    /// expired are handled.
    void call_after_sockets()
    {
        if (priority == loop_priority::normal &&
            polls().handled < sockets_first) {
            look_again();
            return;
        }
        // The function may destroy the timer, so a copy of it is called.
        const auto copy = function;
        copy();
    }

    void look_again()
    {
        ev_timer_set(&deferred, 0., 0.);
        ev_timer_start(loop, &deferred);
    }

    /// Pending: expired in this turn and not called yet.
    [[nodiscard]] bool active() const
    {
        return ev_is_active(&watcher) || ev_is_pending(&watcher) ||
               ev_is_active(&deferred) || ev_is_pending(&deferred);
    }

    void stop()
    {
        ev_timer_stop(loop, &watcher);
        ev_timer_stop(loop, &deferred);
    }

    void start(duration delay, duration period)
    {
        stop();
        // libev's cached time is stale after a long callback.
        ev_now_update(loop);
        ev_timer_set(&watcher, to_seconds(delay), to_seconds(period));
        ev_timer_start(loop, &watcher);
    }

private:
    static constexpr std::uint64_t never_handled =
        std::numeric_limits<std::uint64_t>::max();
};

timer::timer(event_loop& loop, std::function<void()> function,
             loop_priority priority)
    : impl_(std::make_unique<impl>())
{
    impl_->loop = loop.native();
    impl_->priority = priority;
    impl_->function = std::move(function);
    const int level = priority == loop_priority::control
                          ? control_timer_priority
                          : timer_priority;
    ev_timer_init(&impl_->watcher, &impl::on_timeout, 0., 0.);
    ev_set_priority(&impl_->watcher, level);
    impl_->watcher.data = impl_.get();
    ev_timer_init(&impl_->deferred, &impl::on_deferred, 0., 0.);
    ev_set_priority(&impl_->deferred, level);
    impl_->deferred.data = impl_.get();
}

timer::~timer()
{
    impl_->stop();
}

void timer::start_once(duration delay)
{
    impl_->start(delay, duration::zero());
}

void timer::start_periodic(duration period)
{
    impl_->start(period, period);
}

void timer::stop()
{
    impl_->stop();
}

bool timer::active() const noexcept
{
    return impl_->active();
}

struct io_watcher::impl final : ready_socket
{
    struct ::ev_loop* loop;
    int descriptor;
    loop_priority priority;
    ev_io watcher{};
    std::function<void(io_event)> function;

    [[nodiscard]] poll_state& polls() const
    {
        return *static_cast<poll_state*>(ev_userdata(loop));
    }

    static void on_ready(struct ::ev_loop*, ev_io* watcher, int events)
    {
        auto* self = static_cast<impl*>(watcher->data);
        if (self->priority == loop_priority::control) {
            self->handle(events);
            return;
        }
        self->polls().add(*self, events);
    }

    void handle(int ready) override
    {
        const int awaited = ev_is_active(&watcher) ? watcher.events : 0;
        const int handled = ready & awaited & (EV_READ | EV_WRITE);
        if (handled == 0) {
            return;
        }
        const auto copy = function;
        copy(static_cast<io_event>(((handled & EV_READ) != 0 ? 1 : 0) |
                                   ((handled & EV_WRITE) != 0 ? 2 : 0)));
    }
};

io_watcher::io_watcher(event_loop& loop, int descriptor,
                       std::function<void(io_event)> function,
                       loop_priority priority)
    : impl_(std::make_unique<impl>())
{
    impl_->loop = loop.native();
    impl_->descriptor = descriptor;
    impl_->priority = priority;
    impl_->function = std::move(function);
    ev_io_init(&impl_->watcher, &impl::on_ready, descriptor, 0);
    ev_set_priority(&impl_->watcher, io_priority);
    impl_->watcher.data = impl_.get();
}

io_watcher::~io_watcher()
{
    ev_io_stop(impl_->loop, &impl_->watcher);
    impl_->polls().remove(*impl_);
}

void io_watcher::change_priority(loop_priority priority)
{
    impl_->priority = priority;
}

bool io_watcher::waits() const noexcept
{
    return impl_->queued;
}

void io_watcher::await(io_event events)
{
    const int wanted = (has(events, io_event::read) ? EV_READ : 0) |
                       (has(events, io_event::write) ? EV_WRITE : 0);
    if (ev_is_active(&impl_->watcher) &&
        (impl_->watcher.events & (EV_READ | EV_WRITE)) == wanted) {
        return;
    }
    ev_io_stop(impl_->loop, &impl_->watcher);
    if (wanted == 0) {
        return;
    }
    ev_io_set(&impl_->watcher, impl_->descriptor, wanted);
    ev_io_start(impl_->loop, &impl_->watcher);
}

} // namespace bamboogate::net
