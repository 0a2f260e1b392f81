#include <bamboogate/core/text_table.hpp>
#include <bamboogate/observability/burn_report.hpp>
#include <bamboogate/observability/log_events.hpp>

#include <fmt/format.h>

namespace bamboogate::observability {

namespace {

using window_counts = std::array<burn_counts, burn_windows.size()>;

burn_row make_row(const burn_key& key, double objective,
                  const window_counts& windows)
{
    burn_row row{.rank = key.rank,
                 .account = key.account.value(),
                 .objective = objective,
                 .counts = windows.back()};
    if (row.counts.total() > 0) {
        row.attainment = static_cast<double>(row.counts.good) /
                         static_cast<double>(row.counts.total());
    }
    row.budget_left = budget_left(row.counts, objective);
    for (std::size_t at = 0; at < windows.size(); ++at) {
        row.burn[at] = burn_rate(windows[at], objective);
    }
    for (std::size_t at = 0; at < burn_alert_pairs.size(); ++at) {
        const auto& pair = burn_alert_pairs[at];
        row.firing[at] = row.burn[pair.short_window] >= pair.threshold &&
                         row.burn[pair.long_window] >= pair.threshold &&
                         windows[pair.long_window].bad >= min_bad_for_alert;
    }
    return row;
}

std::string alerts_text(const burn_row& row)
{
    std::string text;
    for (std::size_t at = 0; at < burn_alert_pairs.size(); ++at) {
        if (row.firing[at]) {
            text += fmt::format("{}{}", text.empty() ? "" : ",",
                                burn_alert_pairs[at].name);
        }
    }
    return text.empty() ? "-" : text;
}

} // namespace

double burn_rate(const burn_counts& counts, double objective)
{
    if (counts.total() == 0) {
        return 0.0;
    }
    const auto share =
        static_cast<double>(counts.bad) / static_cast<double>(counts.total());
    return share / (1.0 - objective);
}

double budget_left(const burn_counts& counts, double objective)
{
    return 1.0 - burn_rate(counts, objective);
}

std::vector<burn_row> burn_rows(const burn_tracker& tracker, burn_time now)
{
    std::vector<burn_row> rows;
    std::map<std::string, std::pair<window_counts, std::vector<burn_row>>>
        ranks;
    for (const auto& [key, rings] : tracker.series()) {
        auto& [total, accounts] = ranks[key.rank];
        window_counts windows;
        for (std::size_t at = 0; at < windows.size(); ++at) {
            windows[at] = rings[at].sum(now);
            total[at] += windows[at];
        }
        accounts.push_back(make_row(key, tracker.objective(key.rank), windows));
    }
    for (auto& [rank, parts] : ranks) {
        auto& [total, accounts] = parts;
        rows.push_back(make_row({rank, client_account_id("*")},
                                tracker.objective(rank), total));
        std::move(accounts.begin(), accounts.end(), std::back_inserter(rows));
    }
    return rows;
}

std::string burn_table(const std::vector<burn_row>& rows)
{
    std::vector<std::string> header = {"RANK", "ACCOUNT",  "OBJECTIVE",  "GOOD",
                                       "BAD",  "ATTAINED", "BUDGET LEFT"};
    for (const auto& window : burn_windows) {
        header.push_back(fmt::format("BURN {}", window.name));
    }
    header.emplace_back("ALERTS");
    text_table table(std::move(header));
    for (const auto& row : rows) {
        std::vector<std::string> cells = {
            row.rank,
            row.account,
            fmt::format("{:.2f}%", row.objective * 100),
            fmt::format("{}", row.counts.good),
            fmt::format("{}", row.counts.bad),
            fmt::format("{:.2f}%", row.attainment * 100),
            fmt::format("{:.0f}%", row.budget_left * 100)};
        for (const double burn : row.burn) {
            cells.push_back(fmt::format("{:.2f}", burn));
        }
        cells.push_back(alerts_text(row));
        table.add(std::move(cells));
    }
    return table.text();
}

json burn_document(const std::vector<burn_row>& rows, burn_time now)
{
    json list = json::array();
    for (const auto& row : rows) {
        json entry = {{"rank", row.rank},
                      {"account", row.account},
                      {"objective", row.objective},
                      {"good", row.counts.good},
                      {"bad", row.counts.bad},
                      {"attainment", row.attainment},
                      {"budget_left", row.budget_left}};
        for (std::size_t at = 0; at < burn_windows.size(); ++at) {
            entry["burn"][std::string(burn_windows[at].name)] = row.burn[at];
        }
        for (std::size_t at = 0; at < burn_alert_pairs.size(); ++at) {
            entry["alerts"][std::string(burn_alert_pairs[at].name)] =
                row.firing[at];
        }
        list.push_back(std::move(entry));
    }
    return {{"time", now.time_since_epoch().count()},
            {"rows", std::move(list)}};
}

std::vector<burn_alert_change>
burn_alerts::update(const std::vector<burn_row>& rows)
{
    std::vector<burn_alert_change> changes;
    std::map<std::pair<std::string, std::string>, burn_row> present;
    for (const auto& row : rows) {
        const std::pair key(row.rank, row.account);
        const auto before = last_.find(key);
        for (std::size_t at = 0; at < row.firing.size(); ++at) {
            const bool fired =
                before != last_.end() && before->second.firing[at];
            if (fired != row.firing[at]) {
                changes.push_back({row, at, row.firing[at]});
            }
        }
        present.emplace(key, row);
    }
    for (const auto& [key, row] : last_) {
        for (std::size_t at = 0; at < row.firing.size(); ++at) {
            if (row.firing[at] && !present.contains(key)) {
                changes.push_back({row, at, false});
            }
        }
    }
    last_ = std::move(present);
    return changes;
}

void log_alert(const burn_alert_change& change)
{
    const auto& pair = burn_alert_pairs[change.pair];
    const auto& row = change.row;
    log(change.firing ? log_events::burn_alert_fired
                      : log_events::burn_alert_ceased,
        {{"rank", row.rank},
         {"account", row.account},
         {"pair", pair.name},
         {"threshold", pair.threshold},
         {"burn_short", fmt::format("{:.2f}", row.burn[pair.short_window])},
         {"burn_long", fmt::format("{:.2f}", row.burn[pair.long_window])},
         {"budget_left", fmt::format("{:.3f}", row.budget_left)}});
}

} // namespace bamboogate::observability
