#ifndef BAMBOOGATE_RELAY_INSTANCE_REGISTRY_HPP
#define BAMBOOGATE_RELAY_INSTANCE_REGISTRY_HPP

#include <bamboogate/core/time.hpp>
#include <bamboogate/relay/protocol.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bamboogate::relay {

/// Whether an upstream may receive work.
enum class instance_state : std::uint8_t
{
    ready,
    leaving, ///< draining or deregistered: no new work, running work continues
    lost,    ///< replaced by a later start or another upstream at its address
};

/// @brief The state as a word for logs.
[[nodiscard]] std::string_view name_of(instance_state state);

/// The state of one upstream as known to this process.
struct instance
{
    announcement announced;
    instance_state state = instance_state::ready;
    time_point last_seen; ///< when its newest announcement arrived
};

/// The newest start of an upstream that is known to have deregistered.
struct departure
{
    std::uint64_t started_at = 0;
    time_point recorded_at;
};

/// The upstreams that have announced themselves. Announcements may be delayed,
/// duplicated and reordered, even past a crash of the sender after which a new
/// start owns its id or its address; the newest start wins and, within one
/// start, the highest sequence number. A start that deregistered stays departed
/// even if its announcements arrive only afterwards; `spec/announcements.pml`
/// is the model. Performs no I/O. Not thread safe.
class instance_registry
{
public:
    enum class change : std::uint8_t
    {
        none,      ///< outdated or repeated
        refreshed, ///< newer, without a relevant change
        updated,   ///< new, or its state or address changed
    };

    struct options
    {
        /// An upstream without announcements for this long is removed.
        duration expiry = std::chrono::seconds(30);
    };

    explicit instance_registry(options settings) : settings_(settings) {}

    /// @brief Sets the services that the configuration names. An announcement
    ///     for another service takes neither the id nor the address of an
    ///     upstream of these. Until the first call, all services count as
    ///     named.
    void declare_services(std::set<service_id> services);

    /// @brief Records an announcement.
    change record_announcement(const announcement& received, time_point now);

    /// @brief Records that a known start announced itself again without a
    ///     change; other starts are ignored.
    /// @return `refreshed`, or `none` if the start is unknown or the sequence
    ///     number is not newer
    change record_refresh(const upstream_id& id, std::uint64_t started_at,
                          std::uint64_t sequence, time_point now);

    /// @brief Records that an upstream deregistered.
    /// @param started_at 0 if the message doesn't identify the start
    change record_departure(const upstream_id& id, std::uint64_t started_at,
                            time_point now);

    /// @brief Removes upstreams without announcements for `expiry`.
    /// @return the removed upstreams
    std::vector<upstream_id> expire(time_point now);

    /// @return null for unknown upstreams
    [[nodiscard]] const instance* find(const upstream_id& id) const;
    /// @brief The upstream that the address belongs to; it may be lost.
    /// @return null if no upstream has it
    [[nodiscard]] const instance* find_at(const net::address& address) const;
    /// @brief The state of an upstream as a word for logs; "unknown" for
    ///     unknown ones.
    [[nodiscard]] std::string_view state_name(const upstream_id& id) const;
    [[nodiscard]] const std::map<upstream_id, instance>& instances() const
    {
        return instances_;
    }

    /// @brief Starts that deregistered, for processes that connect later.
    [[nodiscard]] const std::map<upstream_id, departure>& departures() const
    {
        return departures_;
    }

private:
    [[nodiscard]] bool has_departed(const announcement& received) const;
    [[nodiscard]] bool claim_address(const announcement& received);
    [[nodiscard]] bool is_declared(const service_id& service) const;
    /// True if the announcement must not replace what the upstream is known
    /// for.
    [[nodiscard]] bool is_foreign(const announcement& received,
                                  const announcement& known) const;

    options settings_;
    std::map<upstream_id, instance> instances_;
    std::map<std::string, upstream_id> by_address_;
    std::optional<std::set<service_id>> services_;
    std::map<upstream_id, departure> departures_;
};

} // namespace bamboogate::relay

#endif
