#ifndef BAMBOOGATE_RELAY_INSTANCE_REGISTRY_HPP
#define BAMBOOGATE_RELAY_INSTANCE_REGISTRY_HPP

#include <bamboogate/core/time.hpp>
#include <bamboogate/relay/protocol.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bamboogate::relay {

/// Whether an upstream may be given work.
enum class instance_state : std::uint8_t
{
    ready,
    leaving, ///< draining or deregistered: no new work, runs go on
    lost,    ///< another start of it, or another upstream at its address
};

/// One upstream as this process knows it.
struct instance
{
    announcement announced;
    instance_state state = instance_state::ready;
    time_point last_seen; ///< when its newest announcement arrived
};

/// The newest start of an upstream that is known to leave.
struct departure
{
    std::uint64_t started_at = 0;
    time_point recorded_at;
};

/// The upstreams that have announced themselves. Announcements may arrive
/// late, twice and out of order, also after the sender has crashed and a new
/// start holds its id or its address; the newest start and, within it, the
/// highest sequence number decide. A start that leaves stays away, also where
/// its announcements arrive only after that word; `spec/announcements.pml` is
/// the model. Pure. Not thread safe.
class instance_registry
{
public:
    enum class change : std::uint8_t
    {
        none,      ///< late or repeated
        refreshed, ///< newer, with nothing that matters changed
        updated,   ///< new, or its state or address changed
    };

    struct options
    {
        /// An upstream that is silent for this long is forgotten.
        duration expiry = std::chrono::seconds(30);
    };

    explicit instance_registry(options settings) : settings_(settings) {}

    /// @brief Takes an announcement.
    change record_announcement(const announcement& said, time_point now);

    /// @brief Takes the word that an upstream leaves.
    /// @param started_at 0 when the word doesn't say which start it is
    change record_departure(const upstream_id& id, std::uint64_t started_at,
                            time_point now);

    /// @brief Forgets upstreams that are silent for `expiry`.
    /// @return those forgotten
    std::vector<upstream_id> expire(time_point now);

    [[nodiscard]] const instance* find(const upstream_id& id) const;
    [[nodiscard]] const std::map<upstream_id, instance>& instances() const
    {
        return instances_;
    }

    /// @brief Starts that left, for processes that hear of them later.
    [[nodiscard]] const std::map<upstream_id, departure>& departures() const
    {
        return departures_;
    }

private:
    [[nodiscard]] bool has_departed(const announcement& said) const;
    [[nodiscard]] bool claim_address(const announcement& said);

    options settings_;
    std::map<upstream_id, instance> instances_;
    std::map<std::string, upstream_id> by_address_;
    std::map<upstream_id, departure> departures_;
};

} // namespace bamboogate::relay

#endif
