#ifndef BAMBOOGATE_RELAY_UPSTREAM_HEALTH_HPP
#define BAMBOOGATE_RELAY_UPSTREAM_HEALTH_HPP

#include <bamboogate/core/time.hpp>

#include <algorithm>
#include <cstdint>

namespace bamboogate::relay {

/// The health of one upstream as observed by this gate: failures, which suspend
/// it temporarily, and response latency. Performs no I/O. Not thread safe.
class upstream_health
{
public:
    struct options
    {
        /// Suspension after the first failure; doubles with each further one.
        duration first_suspension = std::chrono::milliseconds(300);
        duration max_suspension = std::chrono::seconds(2);
        /// Weight of a new sample in the moving average of the latency.
        double latency_weight = 0.2;
    };

    upstream_health() : upstream_health(options{}) {}
    explicit upstream_health(options settings) : settings_(settings) {}

    void request_started() { ++in_flight_; }
    void request_ended() { in_flight_ -= in_flight_ > 0 ? 1 : 0; }

    /// @brief Records an answered request.
    void note_success(duration latency)
    {
        failures_ = 0;
        suspended_until_ = {};
        const double sample = to_milliseconds(latency);
        latency_ms_ = latency_ms_ == 0.0
                          ? sample
                          : latency_ms_ + settings_.latency_weight *
                                              (sample - latency_ms_);
    }

    /// @brief Records a failed connection or a request without a response.
    void note_failure(time_point now)
    {
        const unsigned doublings = std::min(failures_, 8U);
        ++failures_;
        suspended_until_ = now + std::min<duration>(settings_.first_suspension *
                                                        (1 << doublings),
                                                    settings_.max_suspension);
    }

    /// @brief Records that the upstream refused a request because it was full,
    ///     and suspends it for `backoff`.
    void note_full(time_point now, duration backoff)
    {
        suspended_until_ = std::max(suspended_until_, now + backoff);
    }

    [[nodiscard]] bool suspended(time_point now) const
    {
        return now < suspended_until_;
    }
    [[nodiscard]] unsigned failures() const { return failures_; }
    [[nodiscard]] unsigned in_flight() const { return in_flight_; }
    /// @brief Moving average of the latency in milliseconds; 0 without samples.
    [[nodiscard]] double latency_ms() const { return latency_ms_; }

private:
    options settings_;
    unsigned in_flight_ = 0;
    unsigned failures_ = 0;
    time_point suspended_until_{};
    double latency_ms_ = 0.0;
};

} // namespace bamboogate::relay

#endif
