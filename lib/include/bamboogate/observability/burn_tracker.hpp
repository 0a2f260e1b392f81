#ifndef BAMBOOGATE_OBSERVABILITY_BURN_TRACKER_HPP
#define BAMBOOGATE_OBSERVABILITY_BURN_TRACKER_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/json.hpp>
#include <bamboogate/core/result.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bamboogate::observability {

/// Wall-clock time, so that buckets of different gates are aligned. A clock
/// error below the bucket width shifts counts by at most one bucket.
using burn_time = std::chrono::sys_seconds;

/// A sliding window and the width of its buckets.
struct burn_window
{
    std::string_view name;
    std::chrono::seconds length;
    std::chrono::seconds bucket;

    [[nodiscard]] constexpr std::size_t buckets() const noexcept
    {
        return static_cast<std::size_t>(length / bucket);
    }
};

/// The windows of the report. With 60 to 72 buckets, the error at a window's
/// edge is below 2% and a series takes about 2 KB.
inline constexpr std::array<burn_window, 4> burn_windows{{
    {"5m", std::chrono::minutes(5), std::chrono::seconds(5)},
    {"1h", std::chrono::hours(1), std::chrono::minutes(1)},
    {"6h", std::chrono::hours(6), std::chrono::minutes(5)},
    {"3d", std::chrono::hours(72), std::chrono::hours(1)},
}};

struct burn_counts
{
    std::uint64_t good = 0;
    std::uint64_t bad = 0;

    [[nodiscard]] std::uint64_t total() const noexcept { return good + bad; }
    burn_counts& operator+=(const burn_counts& other) noexcept
    {
        good += other.good;
        bad += other.bad;
        return *this;
    }
    bool operator==(const burn_counts&) const = default;
};

/// Ring buffer with the counts of one window's newest buckets. Not thread safe.
class burn_ring
{
public:
    explicit burn_ring(const burn_window& window);

    /// @brief Adds to the bucket of a time; times older than the window are
    ///     dropped.
    void add(burn_time when, const burn_counts& counts);

    /// @brief Sum over the window that ends at `now`.
    [[nodiscard]] burn_counts sum(burn_time now) const;

    /// @brief The buckets of the window that ends at `now`, oldest first.
    [[nodiscard]] std::vector<burn_counts> history(burn_time now) const;

    /// @brief Non-empty buckets as `[index, good, bad]`.
    [[nodiscard]] json to_document() const;

    /// @brief Adds the buckets of a document.
    /// @return `malformed_input` for a bucket that is malformed or lies after
    ///     `now` by more than an hour
    [[nodiscard]] result<void> merge(const json& document, burn_time now);

private:
    [[nodiscard]] std::int64_t index_of(burn_time when) const;
    void add_at(std::int64_t index, const burn_counts& counts);

    burn_window window_;
    std::int64_t newest_ = 0; ///< newest bucket, as bucket widths since 1970
    std::vector<burn_counts> buckets_;
};

/// Identifies one series of the report.
struct burn_key
{
    std::string rank;
    client_account_id account;

    auto operator<=>(const burn_key&) const = default;
};

/// Counts good and bad outcomes per rank and client account over all windows.
/// Does not read the clock. Not thread safe.
class burn_tracker
{
public:
    /// Further accounts are counted under `other` once there are this many
    /// series.
    static constexpr std::size_t max_series = 5000;

    using rings = std::array<burn_ring, burn_windows.size()>;

    /// @brief Sets the share of good outcomes promised for a rank.
    /// @pre 0 < objective < 1
    void set_objective(std::string_view rank, double objective);

    /// @brief Counts one outcome: one map look-up and one addition per window.
    void record(std::string_view rank, const client_account_id& account,
                bool good, burn_time when);

    [[nodiscard]] const std::map<std::string, double, std::less<>>&
    objectives() const noexcept
    {
        return objectives_;
    }

    /// @brief The objective of a rank, 0.99 if none was set.
    [[nodiscard]] double objective(std::string_view rank) const;

    [[nodiscard]] const std::map<burn_key, rings>& series() const noexcept
    {
        return series_;
    }

    [[nodiscard]] json to_document() const;

    /// @brief Adds the counts of another gate. Where objectives differ, the
    ///     stricter one is kept.
    /// @return `malformed_input` if the document is invalid; nothing is changed
    ///     then
    [[nodiscard]] result<void> merge(const json& document, burn_time now);

private:
    rings& find_or_add(burn_key key);

    std::map<std::string, double, std::less<>> objectives_;
    std::map<burn_key, rings> series_;
};

} // namespace bamboogate::observability

#endif
