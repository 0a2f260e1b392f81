#ifndef BAMBOOGATE_RELAY_RETRY_RESERVE_HPP
#define BAMBOOGATE_RELAY_RETRY_RESERVE_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/time.hpp>

#include <map>

namespace bamboogate::relay {

/// The leader's part of the limit of retries, for streams that have begun at
/// gates whose own parts are used up. A token bucket per service: it starts
/// empty with the leadership, so that successive leaders together grant no more
/// than one, and fills up to `share * slack` once per window.
///
/// Within any window, all leaders together grant at most
/// `2 * share * slack`: what the first one had saved, and what is filled since.
/// With the part of the gates (`retry_limiter::options::safety_factor`), 0.7 of
/// the ratio and 0.9 of the slack are used. Performs no I/O. Not thread safe.
class retry_reserve
{
public:
    struct options
    {
        /// Of all gates together, see `retry_limiter::options`.
        double slack = 150;
        duration window = std::chrono::seconds(10);
        double share = 0.1; ///< of the slack
    };

    /// The reply to a request for a retry.
    struct decision
    {
        bool granted = false;
        duration wait{}; ///< until the next retry can be granted; if refused
    };

    explicit retry_reserve(options settings) : settings_(settings) {}

    /// @brief This replica became the leader: all buckets are empty.
    void reset(time_point now);

    /// @brief Requests one retry of the service.
    /// @pre the replica leads, and `reset` was called when it became the leader
    [[nodiscard]] decision request(const service_id& service, time_point now);

private:
    struct bucket
    {
        double tokens = 0.0;
        time_point filled_at;
    };

    options settings_;
    time_point started_at_{};
    std::map<service_id, bucket> buckets_;
};

} // namespace bamboogate::relay

#endif
