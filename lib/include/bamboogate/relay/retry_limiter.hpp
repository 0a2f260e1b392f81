#ifndef BAMBOOGATE_RELAY_RETRY_LIMITER_HPP
#define BAMBOOGATE_RELAY_RETRY_LIMITER_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/time.hpp>

#include <cstdint>
#include <deque>
#include <map>

namespace bamboogate::relay {

/// Bounds repeats per service to a share of first sends within a sliding
/// window, plus a share of a slack that all gates have together. Pure. Not
/// thread safe.
class retry_limiter
{
public:
    struct options
    {
        double ratio = 0.8;
        duration window = std::chrono::seconds(10);
        double slack = 150;
        /// Part of ratio and slack that is used; the rest covers requests
        /// that the gates count differently from the upstreams.
        double safety_factor = 0.7;
    };

    explicit retry_limiter(options settings) : settings_(settings) {}

    /// @brief Number of gates that share the slack, at least 1.
    void set_gates(std::uint64_t gates) { gates_ = gates == 0 ? 1 : gates; }

    void record_request(const service_id& service, time_point now);

    /// @brief Takes one repeat. @return false when none is left
    [[nodiscard]] bool try_consume(const service_id& service, time_point now);

private:
    struct usage
    {
        std::deque<time_point> first;
        std::deque<time_point> repeats;
    };

    void forget_old(usage& which, time_point now) const;

    options settings_;
    std::uint64_t gates_ = 1;
    std::map<service_id, usage> usage_;
};

} // namespace bamboogate::relay

#endif
