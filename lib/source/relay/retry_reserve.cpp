#include <bamboogate/relay/retry_reserve.hpp>

#include <algorithm>

namespace bamboogate::relay {

namespace {

/// Reply to gates if nothing will ever be granted.
constexpr duration max_wait = std::chrono::seconds(1);

} // namespace

void retry_reserve::reset(time_point now)
{
    started_at_ = now;
    buckets_.clear();
}

retry_reserve::decision retry_reserve::request(const service_id& service,
                                               time_point now)
{
    const double capacity = settings_.share * settings_.slack;
    const double per_second = capacity / to_seconds(settings_.window);
    bucket& entry =
        buckets_.try_emplace(service, bucket{0.0, started_at_}).first->second;
    entry.tokens =
        std::min(capacity,
                 entry.tokens + per_second * to_seconds(now - entry.filled_at));
    entry.filled_at = now;
    if (entry.tokens >= 1.0) {
        entry.tokens -= 1.0;
        return {.granted = true, .wait = {}};
    }
    if (capacity < 1.0) {
        return {.granted = false, .wait = max_wait};
    }
    return {.granted = false,
            .wait = std::min<duration>(
                max_wait, std::chrono::duration_cast<duration>(
                              std::chrono::duration<double>(
                                  (1.0 - entry.tokens) / per_second)))};
}

} // namespace bamboogate::relay
