#ifndef BAMBOOGATE_CONSENSUS_RAFT_LOG_HPP
#define BAMBOOGATE_CONSENSUS_RAFT_LOG_HPP

#include <bamboogate/consensus/types.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace bamboogate::consensus {

/// In-memory log: the entries after the last snapshot and the configurations
/// that they contain. Not thread safe.
class raft_log
{
public:
    /// @param entries contiguous; entries up to `base` are skipped
    raft_log(snapshot_info base, std::vector<entry> entries);

    /// Position before the first retained entry.
    [[nodiscard]] const log_position& base() const noexcept { return base_; }
    [[nodiscard]] log_position last() const;
    [[nodiscard]] const log_position& snapshot() const noexcept
    {
        return snapshot_;
    }

    /// @brief Term of the entry at an index, if the index is still in the log.
    [[nodiscard]] std::optional<std::uint64_t>
    term_at(std::uint64_t index) const;

    /// @pre base().index < index <= last().index
    [[nodiscard]] const entry& at(std::uint64_t index) const;

    /// @brief Copies entries starting at index `first`.
    /// @param max_bytes limit on the total data size; at least one entry is
    ///     copied
    [[nodiscard]] std::vector<entry> slice(std::uint64_t first,
                                           std::size_t max_bytes) const;

    /// @pre the position's index is last().index + 1
    void append(entry added);

    /// @brief Removes the entry at the index and all later ones.
    void truncate_from(std::uint64_t index);

    /// Covered entries that are kept, so that slightly lagging followers catch
    /// up without a snapshot.
    struct retention
    {
        std::uint64_t entries = 0;
        std::size_t bytes = 0; ///< of their data
    };

    /// @brief Records a snapshot and removes the entries that it covers, except
    ///     the last ones within both limits of `kept`.
    void compact(const snapshot_info& info, const retention& kept);

    /// @brief Clears the log, which then continues after a snapshot.
    void reset(const snapshot_info& info);

    /// @brief The newest configuration, committed or not.
    [[nodiscard]] const membership& members() const;
    [[nodiscard]] std::uint64_t members_index() const;

    /// @brief The newest configuration at or before an index.
    [[nodiscard]] const membership& members_at(std::uint64_t index) const;

private:
    log_position base_;
    log_position snapshot_;
    std::deque<entry> entries_;
    /// Index and configuration, oldest first; never empty.
    std::vector<std::pair<std::uint64_t, membership>> configurations_;
};

} // namespace bamboogate::consensus

#endif
