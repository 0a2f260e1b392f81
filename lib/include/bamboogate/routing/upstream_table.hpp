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

/// Position of an upstream's news: incarnation first, then sequence.
struct announcement_position
{
    bamboogate::incarnation incarnation;
    std::uint64_t sequence = 0;

    auto operator<=>(const announcement_position&) const = default;
};

/// What a gate knows about one upstream.
struct upstream_record
{
    announcement latest;
    time_point last_heard;
    time_point joined; ///< start of this life in the table
    bool suspected = false;
    std::uint64_t version = 0; ///< table version of the last change

    [[nodiscard]] announcement_position position() const noexcept
    {
        return {latest.incarnation, latest.sequence};
    }
    /// False from the moment that the upstream says it is draining.
    [[nodiscard]] bool accepts_work() const noexcept
    {
        return !latest.draining;
    }
};

/// Memory of an upstream that left or was removed.
struct tombstone
{
    upstream_id id;
    /// News up to this position is void. A leave voids the whole incarnation.
    announcement_position void_until;
    std::uint64_t version = 0;
    time_point since;
};

/// Changes for another gate. Ages are relative, so clocks need not agree.
struct table_delta
{
    struct entry
    {
        announcement latest;
        duration age{0}; ///< time since the sender last heard this upstream
    };
    std::vector<entry> entries;
    std::vector<tombstone> departures;
    std::uint64_t sender_version = 0; ///< version of the sender's table

    [[nodiscard]] bool empty() const noexcept
    {
        return entries.empty() && departures.empty();
    }
};

/// One gate's statement that an upstream has been silent beyond the TTL.
struct suspicion
{
    upstream_id id;
    announcement_position last_known;
};

enum class table_event : std::uint8_t
{
    joined,    ///< first news, or a new incarnation
    updated,   ///< newer news of the same life
    recovered, ///< news of a suspected upstream
    suspected,
    left,    ///< said that it leaves
    removed, ///< suspected by a majority
};

/// What became of a piece of news.
enum class update_result : std::uint8_t
{
    accepted,
    stale,      ///< not newer than what is known, or voided by a leave
    table_full, ///< unknown upstream and the table is at its limit
};

/// The upstreams a gate knows, from their own announcements and from other
/// gates. Pure: time is an argument. Not thread safe.
class upstream_table
{
public:
    struct options
    {
        node_id self;
        /// All gates of the settings, with this one. Majorities are counted
        /// over this list, so a gate that is cut off never removes anything.
        std::vector<node_id> gates;
        duration ttl = std::chrono::seconds(3);
        /// Must exceed the longest delay of a stray announcement.
        duration tombstone_retention = std::chrono::minutes(10);
        std::size_t max_upstreams = 4096;
        std::size_t max_tombstones = 16384;
    };
    using observer =
        std::function<void(table_event, const upstream_record& record)>;

    explicit upstream_table(options settings);

    /// @brief Calls the function after each change, from inside the change, in
    /// the order of registration. The function must not change the table.
    void on_event(observer function);

    /// @brief Takes an announcement that an upstream sent to this gate.
    update_result announce(announcement news, time_point now);

    /// @brief Takes an upstream's own statement that it leaves.
    /// @param life the incarnation that leaves; older ones are void as well
    /// @return stale when this leave, or a later one, is already known
    update_result leave(const upstream_id& id, incarnation life,
                        time_point now);

    /// @brief Marks silent upstreams, counts suspicions, drops old tombstones.
    /// Call it a few times per TTL.
    void expire(time_point now);

    /// @brief The upstreams that this gate suspects now.
    [[nodiscard]] std::vector<suspicion> suspicions() const;

    /// @brief Upstreams that have been silent for half the TTL. Asking other
    /// gates for newer news of them avoids suspicion when only the path from
    /// the gate that hears them is cut.
    [[nodiscard]] std::vector<suspicion> overdue(time_point now) const;

    /// @brief The ids for which this table has newer news than the list.
    [[nodiscard]] std::vector<upstream_id>
    newer_than(const std::vector<suspicion>& list) const;

    /// @brief Replaces what another gate suspects.
    /// @return the ids for which this table has newer news than that gate;
    ///     send them to it (`changes_of`)
    std::vector<upstream_id>
    receive_suspicions(const node_id& gate, const std::vector<suspicion>& list,
                       time_point now);

    /// @brief All changes after a version; 0 gives the whole table.
    [[nodiscard]] table_delta changes_since(std::uint64_t version,
                                            time_point now) const;

    /// @brief The present state of some upstreams, as a delta.
    [[nodiscard]] table_delta changes_of(const std::vector<upstream_id>& ids,
                                         time_point now) const;

    /// @brief Takes another gate's delta. Order and repetition do not matter.
    /// @return number of entries and departures that were news
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

    update_result take(announcement news, time_point heard, time_point now);
    bool bury(const upstream_id& id, announcement_position until,
              table_event reason, time_point now);
    void limit_tombstones();
    [[nodiscard]] std::size_t votes_against(const upstream_record& record,
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
