#ifndef BAMBOOGATE_RELAY_RETRY_LIMITER_HPP
#define BAMBOOGATE_RELAY_RETRY_LIMITER_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

namespace bamboogate::relay {

/// Limits the retries per service to a ratio of the first attempts within a
/// sliding window, plus this gate's share of a slack common to all gates.
/// Performs no I/O. Not thread safe.
class retry_limiter
{
public:
    struct options
    {
        double ratio = 0.8; ///< retries per first attempt
        duration window = std::chrono::seconds(10);
        double slack = 150; ///< retries per window, common to all gates
        /// Fraction of ratio and slack that is used; the rest covers requests
        /// that gates and upstreams count differently.
        double safety_factor = 0.7;
    };

    explicit retry_limiter(options settings) : settings_(settings) {}

    /// @brief Number of gates that share the slack, at least 1.
    void set_gates(std::uint64_t gates) { gates_ = gates == 0 ? 1 : gates; }

    /// @brief Counts the first attempt of a request.
    void record_request(const service_id& service, time_point now);

    /// @brief Consumes one retry. @return false if none is left
    [[nodiscard]] bool try_consume(const service_id& service, time_point now);

    /// This gate's part of the limit within the current window.
    struct part
    {
        std::size_t used = 0;
        double allowed = 0.0;
    };
    [[nodiscard]] part part_of(const service_id& service, time_point now);

    [[nodiscard]] std::uint64_t gates() const { return gates_; }

    /// @brief The leader's reserve has no retry of the service until then.
    void note_reserve_empty(const service_id& service, time_point until)
    {
        reserve_empty_until_[service] = until;
    }
    /// @brief Whether the leader may be asked for a retry of its reserve.
    [[nodiscard]] bool may_ask_reserve(const service_id& service,
                                       time_point now) const;

private:
    struct usage
    {
        std::deque<time_point> requests;
        std::deque<time_point> retries;
    };

    void remove_expired(usage& entry, time_point now) const;

    options settings_;
    std::uint64_t gates_ = 1;
    std::map<service_id, usage> usage_;
    std::map<service_id, time_point> reserve_empty_until_;
};

} // namespace bamboogate::relay

#endif
