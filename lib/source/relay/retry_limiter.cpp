#include <bamboogate/relay/retry_limiter.hpp>

namespace bamboogate::relay {

void retry_limiter::remove_expired(usage& entry, time_point now) const
{
    for (auto* times : {&entry.requests, &entry.retries}) {
        while (!times->empty() && now - times->front() > settings_.window) {
            times->pop_front();
        }
    }
}

void retry_limiter::record_request(const service_id& service, time_point now)
{
    usage& entry = usage_[service];
    remove_expired(entry, now);
    entry.requests.push_back(now);
}

bool retry_limiter::try_consume(const service_id& service, time_point now)
{
    usage& entry = usage_[service];
    remove_expired(entry, now);
    const double allowed =
        settings_.safety_factor *
        (settings_.ratio * static_cast<double>(entry.requests.size()) +
         settings_.slack / static_cast<double>(gates_));
    if (static_cast<double>(entry.retries.size()) + 1.0 > allowed) {
        return false;
    }
    entry.retries.push_back(now);
    return true;
}

} // namespace bamboogate::relay
