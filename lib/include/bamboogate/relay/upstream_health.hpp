#ifndef BAMBOOGATE_RELAY_UPSTREAM_HEALTH_HPP
#define BAMBOOGATE_RELAY_UPSTREAM_HEALTH_HPP

#include <bamboogate/core/time.hpp>

#include <algorithm>
#include <cstdint>

namespace bamboogate::relay {

/// Longest pause that an upstream can ask for; a longer one is cut.
inline constexpr duration max_upstream_pause = std::chrono::hours(1);

/// The health of one upstream as observed by this gate: failures, which suspend
/// it temporarily, pauses that the upstream has asked for, and response
/// latency. A suspended upstream may still be used if there is no other, a
/// paused one may not. After a pause single requests are sent until one is
/// answered, so that the upstream is not overloaded again. Performs no I/O. Not
/// thread safe.
class upstream_health
{
public:
    struct options
    {
        /// Suspension after the first failure; doubles with each further one.
        duration first_suspension = std::chrono::milliseconds(300);
        duration max_suspension = std::chrono::seconds(2);
        /// A request after a pause that is not answered for this long is
        /// followed by another one.
        duration trial_interval = std::chrono::seconds(1);
        /// Weight of a new sample in the moving average of the latency.
        double latency_weight = 0.2;
    };

    upstream_health() : upstream_health(options{}) {}
    explicit upstream_health(options settings) : settings_(settings) {}

    void request_started(time_point now)
    {
        ++in_flight_;
        if (on_trial_ && now >= paused_until_) {
            trial_until_ = now + settings_.trial_interval;
        }
    }
    void request_ended() { in_flight_ -= in_flight_ > 0 ? 1 : 0; }

    /// @brief Records an answered request.
    void note_success(duration latency)
    {
        failures_ = 0;
        suspended_until_ = {};
        if (trial_until_ != time_point{}) {
            end_pause();
        }
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

    /// @brief Records that the upstream asked for no requests for some time.
    /// @return the pause that is kept; zero for a time that is not positive
    duration note_pause(time_point now, duration stated)
    {
        const duration pause = std::min(stated, max_upstream_pause);
        if (pause <= duration::zero()) {
            return duration::zero();
        }
        paused_until_ = std::max(paused_until_, now + pause);
        trial_until_ = {};
        on_trial_ = true;
        return pause;
    }

    /// @brief Forgets a pause, for example of an earlier start.
    void end_pause()
    {
        on_trial_ = false;
        paused_until_ = {};
        trial_until_ = {};
    }

    /// @brief True if no request may be sent because of a pause.
    [[nodiscard]] bool paused(time_point now) const
    {
        return pause_left(now) > duration::zero();
    }
    /// @brief Time until a request may be sent.
    [[nodiscard]] duration pause_left(time_point now) const
    {
        return std::max<duration>(std::max(paused_until_, trial_until_) - now,
                                  duration::zero());
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
    time_point paused_until_{};
    bool on_trial_ = false;    ///< no answer since the last pause
    time_point trial_until_{}; ///< no further request while one is on trial
    double latency_ms_ = 0.0;
};

} // namespace bamboogate::relay

#endif
