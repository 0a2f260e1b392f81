#ifndef BAMBOOGATE_ROUTING_CIRCUIT_BREAKER_HPP
#define BAMBOOGATE_ROUTING_CIRCUIT_BREAKER_HPP

#include <bamboogate/core/time.hpp>

#include <cstdint>

namespace bamboogate::routing {

/// Stops new work to one upstream after repeated failures and lets one trial
/// request through after a growing pause. Pure. Not thread safe.
class circuit_breaker
{
public:
    struct options
    {
        unsigned failure_threshold = 3; ///< in a row
        duration initial_backoff = std::chrono::milliseconds(500);
        duration max_backoff = std::chrono::seconds(10);
        /// A trial without outcome is given up after this time.
        duration trial_timeout = std::chrono::seconds(10);
    };
    enum class state : std::uint8_t
    {
        closed,
        open,
        half_open, ///< one trial request is under way
    };

    circuit_breaker() : circuit_breaker(options{}) {}
    explicit circuit_breaker(options settings) : settings_(settings) {}

    /// @brief Whether a request may be sent now. Changes nothing.
    [[nodiscard]] bool allows(time_point now) const noexcept;

    /// @brief Notes that a request is sent; in the open state it is the trial.
    /// @pre allows(now)
    void started(time_point now) noexcept;

    /// @brief Notes success: tokens arrived, or the call was answered.
    void succeeded() noexcept;

    /// @brief Notes a failure that the upstream is responsible for.
    void failed(time_point now) noexcept;

    [[nodiscard]] state current() const noexcept { return state_; }

private:
    void open(time_point now) noexcept;

    options settings_;
    state state_ = state::closed;
    unsigned failures_ = 0;
    duration pause_{0};
    time_point until_;
};

} // namespace bamboogate::routing

#endif
