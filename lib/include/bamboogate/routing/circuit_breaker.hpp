#ifndef BAMBOOGATE_ROUTING_CIRCUIT_BREAKER_HPP
#define BAMBOOGATE_ROUTING_CIRCUIT_BREAKER_HPP

#include <bamboogate/core/time.hpp>

#include <cstdint>

namespace bamboogate::routing {

/// Circuit breaker of one upstream. Opens after consecutive failures and admits
/// a single trial request after an exponentially growing backoff. Pure: time is
/// an argument. Not thread safe.
class circuit_breaker
{
public:
    struct options
    {
        unsigned failure_threshold = 3; ///< consecutive failures
        duration initial_backoff = std::chrono::milliseconds(500);
        duration max_backoff = std::chrono::seconds(10);
        /// A trial request without a result counts as lost after this time.
        duration trial_timeout = std::chrono::seconds(10);
    };
    enum class state : std::uint8_t
    {
        closed,
        open,
        half_open, ///< a trial request is in flight
    };

    circuit_breaker() : circuit_breaker(options{}) {}
    explicit circuit_breaker(options settings) : settings_(settings) {}

    /// @brief Whether a request may be sent now.
    [[nodiscard]] bool allows(time_point now) const noexcept;

    /// @brief Records that a request is sent. In the open state it becomes the
    ///     trial request.
    /// @pre allows(now)
    void started(time_point now) noexcept;

    /// @brief Records a success: tokens arrived, or the call was answered.
    void succeeded() noexcept;

    /// @brief Records a failure caused by the upstream.
    void failed(time_point now) noexcept;

    [[nodiscard]] state current() const noexcept { return state_; }

private:
    void open(time_point now) noexcept;

    options settings_;
    state state_ = state::closed;
    unsigned failures_ = 0;
    duration backoff_{0};
    time_point blocked_until_;
};

} // namespace bamboogate::routing

#endif
