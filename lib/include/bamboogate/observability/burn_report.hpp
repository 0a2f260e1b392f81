#ifndef BAMBOOGATE_OBSERVABILITY_BURN_REPORT_HPP
#define BAMBOOGATE_OBSERVABILITY_BURN_REPORT_HPP

#include <bamboogate/core/json.hpp>
#include <bamboogate/observability/burn_tracker.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bamboogate::observability {

/// Two windows whose burn rates must both reach the threshold: the long window
/// shows that the loss is significant, the short one that it continues.
struct burn_alert_pair
{
    std::string_view name;
    std::size_t short_window; ///< index into `burn_windows`
    std::size_t long_window;
    double threshold; ///< burn rate
};

/// Thresholds as in common practice of site reliability engineering for a
/// budget of 30 days: a burn rate of 14.4 spends 2% of it in an hour, a rate of
/// 1 spends 10% of it in three days.
inline constexpr std::array<burn_alert_pair, 2> burn_alert_pairs{{
    {"fast", 0, 1, 14.4},
    {"slow", 2, 3, 1.0},
}};

/// Fewer bad outcomes in the long window raise no alert: with little traffic a
/// single failure would be a burn rate of 100.
inline constexpr std::uint64_t min_bad_for_alert = 5;

/// One row of the report.
struct burn_row
{
    std::string rank;
    std::string account; ///< `*` for all accounts of the rank
    double objective = 0.0;
    /// Counts, attainment and budget are those of the longest window.
    burn_counts counts;
    double attainment = 1.0; ///< share of good outcomes; 1 without any
    /// Remaining share of the error budget; negative if it is exceeded.
    double budget_left = 1.0;
    /// Burn rate by window: share of bad outcomes divided by the allowed share.
    std::array<double, burn_windows.size()> burn{};
    /// By pair of `burn_alert_pairs`.
    std::array<bool, burn_alert_pairs.size()> firing{};
};

/// @brief Share of bad outcomes divided by the share that the objective allows.
/// @return 0 without outcomes
[[nodiscard]] double burn_rate(const burn_counts& counts, double objective);

/// @brief The remaining share of the error budget.
[[nodiscard]] double budget_left(const burn_counts& counts, double objective);

/// @brief All rows: for each rank its total as `*`, then its accounts by name.
///     Has no side effects.
[[nodiscard]] std::vector<burn_row> burn_rows(const burn_tracker& tracker,
                                              burn_time now);

[[nodiscard]] std::string burn_table(const std::vector<burn_row>& rows);
[[nodiscard]] json burn_document(const std::vector<burn_row>& rows,
                                 burn_time now);

/// @brief The report as a self-contained HTML page with SVG plots.
[[nodiscard]] std::string burn_page(const burn_tracker& tracker, burn_time now);

/// An alert pair that started or stopped firing.
struct burn_alert_change
{
    burn_row row;
    std::size_t pair = 0; ///< index into `burn_alert_pairs`
    bool firing = false;
};

/// Stores which alerts fire, so that each change is reported once. Not thread
/// safe.
class burn_alerts
{
public:
    /// @brief Compares the rows with the previous ones and returns the changes.
    ///     An alert whose row no longer exists stops firing.
    [[nodiscard]] std::vector<burn_alert_change>
    update(const std::vector<burn_row>& rows);

private:
    std::map<std::pair<std::string, std::string>, burn_row> last_;
};

/// @brief Writes the log event of an alert change.
void log_alert(const burn_alert_change& change);

} // namespace bamboogate::observability

#endif
