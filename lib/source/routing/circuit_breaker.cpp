#include <bamboogate/routing/circuit_breaker.hpp>

#include <algorithm>

namespace bamboogate::routing {

bool circuit_breaker::allows(time_point now) const noexcept
{
    return state_ == state::closed || now >= until_;
}

void circuit_breaker::started(time_point now) noexcept
{
    if (state_ == state::closed) {
        return;
    }
    state_ = state::half_open;
    until_ = now + settings_.trial_timeout;
}

void circuit_breaker::succeeded() noexcept
{
    // Success of a request that was sent before the circuit opened proves
    // nothing about the present, so only a trial closes it.
    if (state_ == state::open) {
        return;
    }
    state_ = state::closed;
    failures_ = 0;
    pause_ = duration::zero();
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
    pause_ = pause_ == duration::zero()
                 ? settings_.initial_backoff
                 : std::min(pause_ * 2, settings_.max_backoff);
    state_ = state::open;
    until_ = now + pause_;
}

} // namespace bamboogate::routing
