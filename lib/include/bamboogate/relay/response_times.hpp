#ifndef BAMBOOGATE_RELAY_RESPONSE_TIMES_HPP
#define BAMBOOGATE_RELAY_RESPONSE_TIMES_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/time.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>

namespace bamboogate::relay {

/// The slowest recent response of each service, from the arrival of the
/// request. Not thread safe.
class response_times
{
public:
    /// A response counts for one to two of these periods.
    static constexpr duration period = std::chrono::seconds(30);

    void record(const service_id& service, duration time, time_point now)
    {
        recent& each = services_[service];
        rotate(each, now);
        each.current = std::max(each.current.value_or(time), time);
    }

    /// @return none without a response in the last period
    [[nodiscard]] std::optional<duration> slowest(const service_id& service,
                                                  time_point now)
    {
        const auto found = services_.find(service);
        if (found == services_.end()) {
            return std::nullopt;
        }
        rotate(found->second, now);
        return std::max(found->second.current, found->second.previous);
    }

private:
    struct recent
    {
        time_point since;
        std::optional<duration> current;
        std::optional<duration> previous;
    };

    static void rotate(recent& each, time_point now)
    {
        const duration age = now - each.since;
        if (age < period) {
            return;
        }
        each.previous = age < 2 * period ? each.current : std::nullopt;
        each.current.reset();
        each.since = now;
    }

    std::map<service_id, recent> services_;
};

} // namespace bamboogate::relay

#endif
