#include <bamboogate/routing/circuit_breaker.hpp>

#include <algorithm>

namespace bamboogate::routing {

bool circuit_breaker::allows(time_point now) const noexcept
{
    return state_ == state::closed || now >= blocked_until_;
}

void circuit_breaker::started(time_point now) noexcept
{
    if (state_ == state::closed) {
        return;
    }
    state_ = state::half_open;
    blocked_until_ = now + settings_.trial_timeout;
}

void circuit_breaker::succeeded() noexcept
{
    // Requests sent before the circuit opened do not show the current state of
    // the upstream, so only a trial request closes it.
    if (state_ == state::open) {
        return;
    }
    state_ = state::closed;
    failures_ = 0;
    backoff_ = duration::zero();
}

void circuit_breaker::failed(time_point now) noexcept
{
    if (state_ == state::open) {
        return;
    }
    ++failures_;
    if (state_ == state::half_open ||
        failures_ >= settings_.failure_threshold) {
        open(now);
    }
}

void circuit_breaker::open(time_point now) noexcept
{
    backoff_ = backoff_ == duration::zero()
                   ? settings_.initial_backoff
                   : std::min(backoff_ * 2, settings_.max_backoff);
    state_ = state::open;
    blocked_until_ = now + backoff_;
}

} // namespace bamboogate::routing
