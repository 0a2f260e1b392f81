#include <bamboogate/relay/retry_limiter.hpp>

namespace bamboogate::relay {

void retry_limiter::forget_old(usage& which, time_point now) const
{
    for (auto* times : {&which.first, &which.repeats}) {
        while (!times->empty() && now - times->front() > settings_.window) {
            times->pop_front();
        }
    }
}

void retry_limiter::record_request(const service_id& service, time_point now)
{
    usage& which = usage_[service];
    forget_old(which, now);
    which.first.push_back(now);
}

bool retry_limiter::try_consume(const service_id& service, time_point now)
{
    usage& which = usage_[service];
    forget_old(which, now);
    const double allowed =
        settings_.safety_factor *
        (settings_.ratio * static_cast<double>(which.first.size()) +
         settings_.slack / static_cast<double>(gates_));
    if (static_cast<double>(which.repeats.size()) + 1.0 > allowed) {
        return false;
    }
    which.repeats.push_back(now);
    return true;
}

} // namespace bamboogate::relay
