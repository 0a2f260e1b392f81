#include <bamboogate/net/event_loop.hpp>

#include <ev.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace bamboogate::net {

// libev invokes watchers of equal priority in the reverse order of their
// events, so that expired timers would come before input that arrived earlier:
// after a stall of the process, a time-out would win against the data it waits
// for.
constexpr int io_priority = 1;

// A timer that expires more than this after the loop looked at the sockets
// waits until it has looked again: a callback took long, and input may have
// arrived meanwhile.
constexpr duration max_input_age = std::chrono::milliseconds(1);

// libev's watcher macros cast between watcher types.
#pragma GCC diagnostic ignored "-Wstrict-aliasing"

namespace {

/// Records when the loop last looked at its sockets and how long it handled
/// their events. The loop's user data.
struct poll_clock
{
    ev_check after_poll{};
    ev_prepare before_poll{};
    time_point polled_at = monotonic_clock::now();
    bool polled = false;
    event_loop::turn_totals totals;
    duration long_turn = duration::max();
    std::function<void(duration)> on_long_turn;

    static void on_polled(struct ::ev_loop*, ev_check* watcher, int)
    {
        auto* self = static_cast<poll_clock*>(watcher->data);
        self->polled_at = monotonic_clock::now();
        self->polled = true;
    }

    static void on_poll_due(struct ::ev_loop*, ev_prepare* watcher, int)
    {
        static_cast<poll_clock*>(watcher->data)->end_turn();
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
    poll_clock polls;
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
    ev_check_init(&impl_->polls.after_poll, &poll_clock::on_polled);
    ev_set_priority(&impl_->polls.after_poll, EV_MAXPRI);
    impl_->polls.after_poll.data = &impl_->polls;
    ev_check_start(impl_->loop, &impl_->polls.after_poll);
    ev_unref(impl_->loop);
    ev_prepare_init(&impl_->polls.before_poll, &poll_clock::on_poll_due);
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
    ev_timer watcher{};
    ev_timer deferred{}; ///< calls the function in the next iteration
    std::function<void()> function;

    static void on_timeout(struct ::ev_loop* loop, ev_timer* watcher, int)
    {
        auto* self = static_cast<impl*>(watcher->data);
        const auto* polls = static_cast<poll_clock*>(ev_userdata(loop));
        if (monotonic_clock::now() - polls->polled_at <= max_input_age) {
            self->call();
            return;
        }
        const bool waits =
            ev_is_active(&self->deferred) || ev_is_pending(&self->deferred);
        if (!waits) {
            ev_timer_set(&self->deferred, 0., 0.);
            ev_timer_start(loop, &self->deferred);
        }
    }

    static void on_deferred(struct ::ev_loop*, ev_timer* watcher, int)
    {
        static_cast<impl*>(watcher->data)->call();
    }

    void call()
    {
        // The function may destroy the timer, so a copy of it is called.
        const auto copy = function;
        copy();
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
};

timer::timer(event_loop& loop, std::function<void()> function)
    : impl_(std::make_unique<impl>())
{
    impl_->loop = loop.native();
    impl_->function = std::move(function);
    ev_timer_init(&impl_->watcher, &impl::on_timeout, 0., 0.);
    impl_->watcher.data = impl_.get();
    ev_timer_init(&impl_->deferred, &impl::on_deferred, 0., 0.);
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
    return ev_is_active(&impl_->watcher) || ev_is_active(&impl_->deferred);
}

struct io_watcher::impl
{
    struct ::ev_loop* loop;
    int descriptor;
    ev_io watcher{};
    std::function<void(io_event)> function;

    static void on_ready(struct ::ev_loop*, ev_io* watcher, int events)
    {
        auto function = static_cast<impl*>(watcher->data)->function;
        const int ready = ((events & EV_READ) != 0 ? 1 : 0) |
                          ((events & EV_WRITE) != 0 ? 2 : 0);
        function(static_cast<io_event>(ready));
    }
};

io_watcher::io_watcher(event_loop& loop, int descriptor,
                       std::function<void(io_event)> function)
    : impl_(std::make_unique<impl>())
{
    impl_->loop = loop.native();
    impl_->descriptor = descriptor;
    impl_->function = std::move(function);
    ev_io_init(&impl_->watcher, &impl::on_ready, descriptor, 0);
    ev_set_priority(&impl_->watcher, io_priority);
    impl_->watcher.data = impl_.get();
}

io_watcher::~io_watcher()
{
    ev_io_stop(impl_->loop, &impl_->watcher);
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
