#ifndef BAMBOOGATE_ROUTING_CAPACITY_SHARE_HPP
#define BAMBOOGATE_ROUTING_CAPACITY_SHARE_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/time.hpp>

#include <map>
#include <span>
#include <vector>

namespace bamboogate::routing {

/// Slots that a gate requests.
struct slot_demand
{
    double total = 0.0;
    double urgent = 0.0; ///< part of the total that is met first
};

/// @brief Divides slots max-min fairly, first by urgent demand, then by total.
///
/// Without the first step, an overload of lower-priority work at all gates
/// would give every gate the same number of slots, regardless of its urgent
/// demand. Slots beyond the total demand are distributed evenly, so that a
/// burst can start before the next demand report arrives.
/// @param demands one per gate, in the order of the gates
/// @return slots per gate; they add up to `capacity`. Empty without gates.
[[nodiscard]] std::vector<unsigned>
divide_capacity(unsigned capacity, std::span<const slot_demand> demands);

/// This gate's share of the slots of an engine pool.
///
/// Every gate evaluates the same function on the exchanged demands. A gate
/// whose report is not recent is assigned its equal share, and a gate that
/// receives no reports uses its own equal share. A network partition whose
/// sides each have a consistent view therefore never oversubscribes the
/// engines. To tolerate views that differ by one report, an increase takes
/// effect after `rise_delay` and a decrease immediately. If views differ for
/// longer, the sum over all gates stays within `max_factor` times the
/// capacity. Pure: time is an argument. Not thread safe.
class capacity_share
{
public:
    struct options
    {
        node_id self;
        std::vector<node_id> gates; ///< all gates, including this one
        duration report_ttl = std::chrono::seconds(2);
        duration rise_delay = std::chrono::milliseconds(500);
        double max_factor = 3.0; ///< limit, in equal shares
    };

    explicit capacity_share(options settings);

    /// @brief Records a gate's demand. Unknown gates and values that are not
    ///     finite are ignored.
    void receive(const node_id& gate, const slot_demand& demand,
                 time_point now);

    /// @brief This gate's current number of slots.
    /// @param capacity slots of all engines of the pool known to this gate
    /// @return 0 when `options::gates` does not contain this gate
    [[nodiscard]] unsigned slots(unsigned capacity, time_point now);

    /// @brief Whether the reports of all other gates are recent.
    [[nodiscard]] bool all_reports_recent(time_point now) const;

private:
    struct demand_report
    {
        slot_demand demand;
        time_point received;
    };

    options settings_;
    std::map<node_id, demand_report> reports_;
    bool has_value_ = false;
    unsigned value_ = 0;
    unsigned capacity_ = 0;
    time_point rise_since_;
    bool rising_ = false;
};

} // namespace bamboogate::routing

#endif
