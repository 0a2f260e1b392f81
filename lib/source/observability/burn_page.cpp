#include <bamboogate/observability/burn_report.hpp>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace bamboogate::observability {

namespace {

constexpr std::string_view page_head = R"(<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Service-level burn</title>
<style>
:root { color-scheme: light dark; --ink: #1c2733; --soft: #5b6875;
  --line: #d8dee4; --page: #fbfcfd; --bar: #2f6f9f; --bad: #b4452c; }
@media (prefers-color-scheme: dark) { :root { --ink: #e4e9ee; --soft: #9aa7b3;
  --line: #36414c; --page: #14191f; --bar: #6ba7d1; --bad: #e0795f; } }
body { font: 15px/1.5 system-ui, sans-serif; color: var(--ink);
  background: var(--page); max-width: 1180px; margin: 2rem auto;
  padding: 0 1rem; }
h1 { font-size: 1.5rem; margin: 0; }
h2 { font-size: 1.15rem; margin: 2.2rem 0 .4rem; }
p, figcaption { color: var(--soft); margin: .2rem 0; }
.plots { display: flex; flex-wrap: wrap; gap: 1rem; }
figure { margin: .6rem 0; flex: 1 1 520px; min-width: 0; }
svg { width: 100%; height: auto; display: block; }
svg text { font: 11px system-ui, sans-serif; fill: var(--soft); }
.grid { stroke: var(--line); }
.limit { stroke: var(--ink); stroke-dasharray: 4 3; }
.ok { fill: var(--bar); } .over { fill: var(--bad); }
.wide { overflow-x: auto; }
table { border-collapse: collapse; width: 100%;
  font-variant-numeric: tabular-nums; }
th, td { text-align: right; padding: .25rem .7rem;
  border-bottom: 1px solid var(--line); white-space: nowrap; }
th { color: var(--soft); font-weight: 600; }
th:first-child, td:first-child { text-align: left; }
tr.all td { font-weight: 600; }
.alert { color: var(--bad); font-weight: 600; }
.budget { width: 130px; }
</style>
</head>
<body>
)";

std::string html_text(std::string_view text)
{
    std::string out;
    for (const char c : text) {
        switch (c) {
        case '&':
            out += "&amp;";
            break;
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out.push_back(static_cast<unsigned char>(c) < ' ' ? ' ' : c);
        }
    }
    return out;
}

/// The smallest of 2, 5, 10, 20, 50... that is not below the value.
double axis_top(double value)
{
    double top = 2.0;
    for (int step = 0; top < value; ++step) {
        top *= step % 3 == 0 ? 2.5 : 2.0;
    }
    return top;
}

struct plot_frame
{
    static constexpr double width = 560;
    static constexpr double height = 190;
    static constexpr double left = 44;
    static constexpr double right = 8;
    static constexpr double top = 12;
    static constexpr double bottom = 26;

    double highest = 1.0;

    [[nodiscard]] double y(double value) const
    {
        return height - bottom - value / highest * (height - top - bottom);
    }
};

std::string grid_lines(const plot_frame& frame)
{
    std::string out;
    for (const double part : {0.0, 0.5, 1.0}) {
        const double value = frame.highest * part;
        out += fmt::format(
            "<line class=\"grid\" x1=\"{0}\" x2=\"{1}\" y1=\"{2:.1f}\" "
            "y2=\"{2:.1f}\"/><text x=\"{3}\" y=\"{4:.1f}\" "
            "text-anchor=\"end\">{5:g}</text>",
            plot_frame::left, plot_frame::width - plot_frame::right,
            frame.y(value), plot_frame::left - 6, frame.y(value) + 4, value);
    }
    return out;
}

/// Bar chart of the burn rate by bucket, with a line at the rate that spends
/// exactly the budget. A bucket without outcomes has no bar.
std::string burn_plot(const std::vector<burn_counts>& history,
                      const burn_window& window, double objective,
                      burn_time now)
{
    std::vector<double> rates;
    rates.reserve(history.size());
    for (const auto& counts : history) {
        rates.push_back(burn_rate(counts, objective));
    }
    const plot_frame frame{
        .highest = axis_top(*std::max_element(rates.begin(), rates.end()))};
    const double step =
        (plot_frame::width - plot_frame::left - plot_frame::right) /
        static_cast<double>(rates.size());
    std::string out = fmt::format(
        "<svg viewBox=\"0 0 {} {}\" role=\"img\" aria-label=\"Burn rate over "
        "the last {}\">",
        plot_frame::width, plot_frame::height, window.name);
    out += grid_lines(frame);
    for (std::size_t at = 0; at < rates.size(); ++at) {
        if (history[at].total() == 0) {
            continue;
        }
        const auto begin =
            now - window.bucket * static_cast<int>(rates.size() - 1 - at);
        // At least one pixel, so that a bucket with traffic and no failure is
        // visible.
        const double height = std::max(1.0, frame.y(0) - frame.y(rates[at]));
        out += fmt::format(
            "<rect class=\"{}\" x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" "
            "height=\"{:.1f}\"><title>{:%d %b %H:%M} UTC: {} bad of {}, burn "
            "{:.2f}</title></rect>",
            rates[at] > 1.0 ? "over" : "ok",
            plot_frame::left + step * static_cast<double>(at) + step * 0.1,
            frame.y(0) - height, step * 0.8, height,
            std::chrono::floor<std::chrono::seconds>(begin), history[at].bad,
            history[at].total(), rates[at]);
    }
    out += fmt::format(
        "<line class=\"limit\" x1=\"{0}\" x2=\"{1}\" y1=\"{2:.1f}\" "
        "y2=\"{2:.1f}\"/>",
        plot_frame::left, plot_frame::width - plot_frame::right, frame.y(1.0));
    out += fmt::format(
        "<text x=\"{}\" y=\"{}\">{} ago</text><text x=\"{}\" y=\"{}\" "
        "text-anchor=\"end\">now</text></svg>",
        plot_frame::left, plot_frame::height - 8, window.name,
        plot_frame::width - plot_frame::right, plot_frame::height - 8);
    return out;
}

std::string budget_bar(double left)
{
    const double share = std::clamp(left, 0.0, 1.0);
    return fmt::format(
        "<svg class=\"budget\" viewBox=\"0 0 130 10\"><rect x=\"0\" y=\"0\" "
        "width=\"130\" height=\"10\" fill=\"var(--line)\"/><rect class=\"{}\" "
        "x=\"0\" y=\"0\" width=\"{:.0f}\" height=\"10\"/></svg>",
        left < 0.25 ? "over" : "ok", share * 130);
}

std::string alert_cell(const burn_row& row)
{
    std::string out;
    for (std::size_t at = 0; at < burn_alert_pairs.size(); ++at) {
        if (row.firing[at]) {
            out += fmt::format("{}{}", out.empty() ? "" : ", ",
                               burn_alert_pairs[at].name);
        }
    }
    return out.empty() ? "none" : "<span class=\"alert\">" + out + "</span>";
}

std::string rows_table(const std::vector<burn_row>& rows, std::string_view rank)
{
    std::string out =
        "<div class=\"wide\"><table><tr><th>Client account</th><th>Good</th>"
        "<th>Bad</th><th>Attained</th><th colspan=\"2\">Budget left</th>";
    for (const auto& window : burn_windows) {
        out += fmt::format("<th>Burn {}</th>", window.name);
    }
    out += "<th>Alerts</th></tr>\n";
    for (const auto& row : rows) {
        if (row.rank != rank) {
            continue;
        }
        const bool all = row.account == "*";
        out += fmt::format(
            "<tr{}><td>{}</td><td>{}</td><td>{}</td><td>{:.2f}%</td><td>{}"
            "</td><td>{:.0f}%</td>",
            all ? " class=\"all\"" : "",
            all ? "all accounts" : html_text(row.account), row.counts.good,
            row.counts.bad, row.attainment * 100, budget_bar(row.budget_left),
            row.budget_left * 100);
        for (const double burn : row.burn) {
            out += fmt::format("<td>{:.2f}</td>", burn);
        }
        out += fmt::format("<td>{}</td></tr>\n", alert_cell(row));
    }
    return out + "</table></div>\n";
}

/// The history of a rank over all its accounts.
std::vector<burn_counts> rank_history(const burn_tracker& tracker,
                                      std::string_view rank, std::size_t window,
                                      burn_time now)
{
    std::vector<burn_counts> total(burn_windows[window].buckets());
    for (const auto& [key, rings] : tracker.series()) {
        if (key.rank != rank) {
            continue;
        }
        const auto history = rings[window].history(now);
        for (std::size_t at = 0; at < total.size(); ++at) {
            total[at] += history[at];
        }
    }
    return total;
}

} // namespace

std::string burn_page(const burn_tracker& tracker, burn_time now)
{
    const auto rows = burn_rows(tracker, now);
    std::string out(page_head);
    out += fmt::format(
        "<h1>Service-level burn</h1>\n<p>{:%Y-%m-%d %H:%M:%S} UTC. Burn rate 1 "
        "spends exactly the allowed share of bad outcomes; counts, attainment "
        "and budget cover the last {}.</p>\n",
        now, burn_windows.back().name);
    if (rows.empty()) {
        out += "<p>No outcome was counted.</p>\n";
    }
    for (const auto& row : rows) {
        if (row.account != "*") {
            continue;
        }
        out += fmt::format("<section>\n<h2>{}</h2>\n<p>Objective {:.2f}%, "
                           "attained {:.2f}%, budget left {:.0f}%, alerts: "
                           "{}.</p>\n<div class=\"plots\">\n",
                           html_text(row.rank), row.objective * 100,
                           row.attainment * 100, row.budget_left * 100,
                           alert_cell(row));
        for (const std::size_t window : {std::size_t{3}, std::size_t{1}}) {
            out += fmt::format(
                "<figure>{}<figcaption>Burn rate, last {}; dashed: the rate "
                "that spends exactly the budget</figcaption></figure>\n",
                burn_plot(rank_history(tracker, row.rank, window, now),
                          burn_windows[window], row.objective, now),
                burn_windows[window].name);
        }
        out += "</div>\n" + rows_table(rows, row.rank) + "</section>\n";
    }
    return out + "</body>\n</html>\n";
}

} // namespace bamboogate::observability
