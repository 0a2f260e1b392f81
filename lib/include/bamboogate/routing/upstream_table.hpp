#ifndef BAMBOOGATE_ROUTING_UPSTREAM_TABLE_HPP
#define BAMBOOGATE_ROUTING_UPSTREAM_TABLE_HPP

#include <bamboogate/core/time.hpp>
#include <bamboogate/routing/announcement.hpp>

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bamboogate::routing {

/// Order of an upstream's announcements: by incarnation, then by sequence.
struct announcement_position
{
    bamboogate::incarnation incarnation;
    std::uint64_t sequence = 0;

    auto operator<=>(const announcement_position&) const = default;
};

/// State of one upstream as known to a gate.
struct upstream_record
{
    announcement latest;
    time_point last_heard;
    time_point joined; ///< when this incarnation was added to the table
    bool suspected = false;
    std::uint64_t version = 0; ///< table version of the last change

    [[nodiscard]] announcement_position position() const noexcept
    {
        return {latest.incarnation, latest.sequence};
    }
    /// False as soon as the upstream reports that it is draining.
    [[nodiscard]] bool accepts_work() const noexcept
    {
        return !latest.draining;
    }
};

/// Marks an upstream that left or was removed, so that late announcements are
/// rejected.
struct tombstone
{
    upstream_id id;
    /// Announcements up to this position are rejected. A leave covers the whole
    /// incarnation.
    announcement_position void_until;
    std::uint64_t version = 0;
    time_point since;
};

/// Table changes for another gate. Ages are relative, so clocks need not be
/// synchronized.
struct table_delta
{
    struct entry
    {
        announcement latest;
        duration age{0}; ///< since the last announcement at the sender
    };
    std::vector<entry> entries;
    std::vector<tombstone> departures;
    std::uint64_t sender_version = 0; ///< version of the sender's table

    [[nodiscard]] bool empty() const noexcept
    {
        return entries.empty() && departures.empty();
    }
};

/// States that a gate received no announcement of an upstream within the TTL.
struct suspicion
{
    upstream_id id;
    announcement_position last_known;
};

enum class table_event : std::uint8_t
{
    joined,    ///< first announcement, or a new incarnation
    updated,   ///< newer announcement of the same incarnation
    recovered, ///< announcement of a suspected upstream
    suspected,
    left,    ///< sent a leave
    removed, ///< suspected by a majority of the gates
};

/// Result of applying an announcement or a leave.
enum class update_result : std::uint8_t
{
    accepted,
    stale,      ///< not newer than the known state, or covered by a tombstone
    table_full, ///< unknown upstream and the table is at its limit
};

/// The upstreams known to a gate, from their own announcements and from other
/// gates. Pure: time is an argument. Not thread safe.
class upstream_table
{
public:
    struct options
    {
        node_id self;
        /// All configured gates, including this one. Majorities are counted
        /// over this list, so an isolated gate never removes an upstream.
        std::vector<node_id> gates;
        duration ttl = std::chrono::seconds(3);
        /// Must exceed the longest delay of a late announcement.
        duration tombstone_retention = std::chrono::minutes(10);
        std::size_t max_upstreams = 4096;
        std::size_t max_tombstones = 16384;
    };
    using observer =
        std::function<void(table_event, const upstream_record& record)>;

    explicit upstream_table(options settings);

    /// @brief Registers an observer. Observers are called synchronously after
    ///     each change, in the order of registration, and must not change the
    ///     table.
    void on_event(observer function);

    /// @brief Applies an announcement that an upstream sent to this gate.
    update_result announce(announcement received, time_point now);

    /// @brief Applies the leave that an upstream sent.
    /// @param upstream_incarnation the incarnation that leaves; announcements
    ///     of older ones are rejected as well
    /// @return stale when this leave, or a later one, is already known
    update_result leave(const upstream_id& id, incarnation upstream_incarnation,
                        time_point now);

    /// @brief Suspects upstreams whose TTL has passed, removes those that a
    ///     majority suspects, and drops old tombstones. Call it a few times
    ///     per TTL.
    void expire(time_point now);

    /// @brief The upstreams that this gate currently suspects.
    [[nodiscard]] std::vector<suspicion> suspicions() const;

    /// @brief Upstreams without an announcement for half the TTL. Requesting
    ///     newer announcements from other gates avoids suspicion when only the
    ///     path to the gate that receives them is down.
    [[nodiscard]] std::vector<suspicion> overdue(time_point now) const;

    /// @brief The ids for which this table has newer state than the list.
    [[nodiscard]] std::vector<upstream_id>
    newer_than(const std::vector<suspicion>& list) const;

    /// @brief Replaces the suspicions of another gate. The suspicions of a gate
    ///     that is not configured are not counted.
    /// @return the ids for which this table has newer state than that gate;
    ///     send it their `changes_of`
    std::vector<upstream_id>
    receive_suspicions(const node_id& gate, const std::vector<suspicion>& list,
                       time_point now);

    /// @brief All changes after a version; 0 returns the whole table.
    [[nodiscard]] table_delta changes_since(std::uint64_t version,
                                            time_point now) const;

    /// @brief The current state of the given upstreams, as a delta.
    [[nodiscard]] table_delta changes_of(const std::vector<upstream_id>& ids,
                                         time_point now) const;

    /// @brief Applies another gate's delta. Order and repetition do not matter.
    /// @return number of entries and departures that changed the table
    std::size_t merge(const table_delta& delta, time_point now);

    /// @brief The record of an upstream, or null. Valid until the next change.
    [[nodiscard]] const upstream_record*
    find(const upstream_id& id) const noexcept;

    [[nodiscard]] const std::map<upstream_id, upstream_record>&
    records() const noexcept
    {
        return records_;
    }
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
    [[nodiscard]] std::size_t tombstones() const noexcept
    {
        return tombstones_.size();
    }

private:
    struct vote
    {
        announcement_position last_known;
        time_point received;
    };

    update_result apply(announcement received, time_point received_at,
                        time_point now);
    bool add_tombstone(const upstream_id& id, announcement_position until,
                       table_event reason, time_point now);
    void evict_tombstones();
    [[nodiscard]] std::size_t suspicion_votes(const upstream_record& record,
                                              time_point now) const;
    void notify(table_event event, const upstream_record& record) const;

    options settings_;
    std::vector<observer> observers_;
    std::map<upstream_id, upstream_record> records_;
    std::unordered_map<upstream_id, tombstone> tombstones_;
    std::map<node_id, std::unordered_map<upstream_id, vote>> votes_;
    std::uint64_t version_ = 0;
};

} // namespace bamboogate::routing

#endif
