#ifndef BAMBOOGATE_ROUTING_CAPACITY_SHARE_HPP
#define BAMBOOGATE_ROUTING_CAPACITY_SHARE_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/time.hpp>

#include <map>
#include <span>
#include <vector>

namespace bamboogate::routing {

/// What a gate asks for, in slots.
struct slot_demand
{
    double total = 0.0;
    double urgent = 0.0; ///< part of the total, met first
};

/// @brief Divides slots max-min fairly, first by urgent demand, then by total.
///
/// Without the first step, a flood of lower work at all gates would give every
/// gate the same slots, however its urgent work varies. What nobody demands is
/// dealt out in equal parts, so that a burst finds room before the next news.
/// @param demands one per gate, in the order of the gates
/// @return whole slots per gate; the sum is exactly `capacity` (0 gates: none)
[[nodiscard]] std::vector<unsigned>
divide_capacity(unsigned capacity, std::span<const slot_demand> demands);

/// This gate's part of the slots of a pool of engines.
///
/// Every gate computes the same function of the exchanged demands. A gate
/// without recent news counts with its equal part, which it also gives itself
/// without news: a clean cut therefore never oversubscribes the engines. While
/// views differ by one report, a share rises only after `rise_delay` and falls
/// at once. At the worst (views differ for longer) the sum over gates stays
/// within `max_factor` times the capacity. Pure. Not thread safe.
class capacity_share
{
public:
    struct options
    {
        node_id self;
        std::vector<node_id> gates; ///< all, with this one
        duration report_ttl = std::chrono::seconds(2);
        duration rise_delay = std::chrono::milliseconds(500);
        double max_factor = 3.0; ///< cap on a share, in equal parts
    };

    explicit capacity_share(options settings);

    /// @brief Notes a gate's demand.
    void receive(const node_id& gate, const slot_demand& demand,
                 time_point now);

    /// @brief This gate's slots now.
    /// @param capacity slots of all engines of the pool in this gate's view
    [[nodiscard]] unsigned slots(unsigned capacity, time_point now);

    /// @brief Whether the news of every other gate is recent.
    [[nodiscard]] bool all_reports_recent(time_point now) const;

private:
    struct news
    {
        slot_demand demand;
        time_point received;
    };

    options settings_;
    std::map<node_id, news> demands_;
    bool has_value_ = false;
    unsigned value_ = 0;
    unsigned capacity_ = 0;
    time_point rise_since_;
    bool rising_ = false;
};

} // namespace bamboogate::routing

#endif
