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

retry_limiter::part retry_limiter::part_of(const service_id& service,
                                           time_point now)
{
    usage& entry = usage_[service];
    remove_expired(entry, now);
    return {.used = entry.retries.size(),
            .allowed =
                settings_.safety_factor *
                (settings_.ratio * static_cast<double>(entry.requests.size()) +
                 settings_.slack / static_cast<double>(gates_))};
}

bool retry_limiter::try_consume(const service_id& service, time_point now)
{
    const part current = part_of(service, now);
    if (static_cast<double>(current.used) + 1.0 > current.allowed) {
        return false;
    }
    usage_[service].retries.push_back(now);
    return true;
}

bool retry_limiter::may_ask_reserve(const service_id& service,
                                    time_point now) const
{
    const auto found = reserve_empty_until_.find(service);
    return found == reserve_empty_until_.end() || now >= found->second;
}

} // namespace bamboogate::relay
