#ifndef BAMBOOGATE_CONSENSUS_RAFT_LOG_HPP
#define BAMBOOGATE_CONSENSUS_RAFT_LOG_HPP

#include <bamboogate/consensus/types.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace bamboogate::consensus {

/// The entries after the last snapshot, in memory, and the configurations
/// that they contain. Not thread safe.
class raft_log
{
public:
    /// @param entries contiguous; entries up to `base` are skipped
    raft_log(snapshot_info base, std::vector<entry> entries);

    /// Position before the first entry kept.
    [[nodiscard]] const log_position& base() const noexcept { return base_; }
    [[nodiscard]] log_position last() const;
    [[nodiscard]] const log_position& snapshot() const noexcept
    {
        return snapshot_;
    }

    /// @brief Term of the entry at an index, when it is still known.
    [[nodiscard]] std::optional<std::uint64_t>
    term_at(std::uint64_t index) const;

    /// @pre base().index < index <= last().index
    [[nodiscard]] const entry& at(std::uint64_t index) const;

    /// @brief Copies entries from an index on.
    /// @param max_bytes stops before this is exceeded, but after one entry
    [[nodiscard]] std::vector<entry> slice(std::uint64_t first,
                                           std::size_t max_bytes) const;

    /// @pre the position's index is last().index + 1
    void append(entry added);

    /// @brief Drops the entry at the index and all later ones.
    void truncate_from(std::uint64_t index);

    /// @brief Records a snapshot and drops entries that it contains, except
    ///     the last `retained`: they serve followers that lag a little.
    void compact(const snapshot_info& info, std::uint64_t retained);

    /// @brief Drops everything and continues after a snapshot.
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
