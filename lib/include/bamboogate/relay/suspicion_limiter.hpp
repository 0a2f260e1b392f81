#ifndef BAMBOOGATE_RELAY_SUSPICION_LIMITER_HPP
#define BAMBOOGATE_RELAY_SUSPICION_LIMITER_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/time.hpp>

#include <map>

namespace bamboogate::relay {

/// Admits one report per upstream and interval. An engine that fails breaks the
/// connections of all its streams at once, and each of them reports it; without
/// a limit the messages about one failure grow with the number of gates times
/// the number of streams. Performs no I/O. Not thread safe.
class suspicion_limiter
{
public:
    struct options
    {
        /// Shorter than an engine needs to restart, so that the failure of its
        /// next start is reported again.
        duration interval = std::chrono::milliseconds(500);
    };

    suspicion_limiter() : suspicion_limiter(options{}) {}
    explicit suspicion_limiter(options settings) : settings_(settings) {}

    /// @return whether the upstream's failure has to be reported now; false if
    ///     a report was admitted less than `interval` ago
    [[nodiscard]] bool admit(const upstream_id& upstream, time_point now)
    {
        std::erase_if(admitted_at_, [&](const auto& each) {
            return now - each.second >= settings_.interval;
        });
        return admitted_at_.try_emplace(upstream, now).second;
    }

private:
    options settings_;
    std::map<upstream_id, time_point> admitted_at_;
};

} // namespace bamboogate::relay

#endif
