#include <bamboogate/observability/metrics.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>

namespace bamboogate::observability {

namespace {

constexpr std::string_view kind_names[] = {"counter", "gauge", "histogram"};

bool valid_name(std::string_view name)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') || c == '_';
    };
    return !name.empty() && (name[0] < '0' || name[0] > '9') &&
           std::all_of(name.begin(), name.end(), allowed);
}

bool valid_labels(const label_set& labels)
{
    return std::all_of(labels.begin(), labels.end(), [](const auto& label) {
        return valid_name(label.first) && label.first != "le";
    });
}

/// Metric names are constants of the code, so an invalid one cannot be handled
/// at run time; the first test that reaches it fails.
[[noreturn]] void abort_with(std::string_view name, std::string_view problem)
{
    fmt::print(stderr, "metric {}: {}\n", name, problem);
    std::abort();
}

std::string number_text(double value)
{
    if (std::isnan(value)) {
        return "NaN";
    }
    if (std::isinf(value)) {
        return value > 0 ? "+Inf" : "-Inf";
    }
    return fmt::format("{}", value);
}

std::string escape(std::string_view text, bool quotes)
{
    std::string out;
    out.reserve(text.size());
    for (const char c : text) {
        if (c == '\\') {
            out += "\\\\";
        } else if (c == '\n') {
            out += "\\n";
        } else if (c == '"' && quotes) {
            out += "\\\"";
        } else {
            out.push_back(c);
        }
    }
    return out;
}

/// @param extra a last label, already in text form; empty for none
std::string label_text(const label_set& labels, std::string_view extra = {})
{
    std::string out;
    for (const auto& [name, value] : labels) {
        out += fmt::format("{}{}=\"{}\"", out.empty() ? "" : ",", name,
                           escape_label_value(value));
    }
    if (!extra.empty()) {
        out += fmt::format("{}{}", out.empty() ? "" : ",", extra);
    }
    return out.empty() ? out : "{" + out + "}";
}

void write_series(std::string& out, std::string_view name,
                  const label_set& labels, const counter& metric)
{
    out += fmt::format("{}{} {}\n", name, label_text(labels), metric.value());
}

void write_series(std::string& out, std::string_view name,
                  const label_set& labels, const gauge& metric)
{
    out += fmt::format("{}{} {}\n", name, label_text(labels),
                       number_text(metric.value()));
}

/// A bin excludes its upper edge, a Prometheus bucket includes it; this matters
/// only for a value that equals an edge exactly.
void write_series(std::string& out, std::string_view name,
                  const label_set& labels, const log_histogram& metric)
{
    std::uint64_t total = 0;
    const auto counts = metric.counts();
    for (std::size_t index = 0; index < counts.size(); ++index) {
        total += counts[index];
        const auto edge =
            fmt::format("le=\"{}\"", number_text(metric.upper_edge(index)));
        out += fmt::format("{}_bucket{} {}\n", name, label_text(labels, edge),
                           total);
    }
    out += fmt::format("{}_sum{} {}\n", name, label_text(labels),
                       number_text(metric.sum()));
    out += fmt::format("{}_count{} {}\n", name, label_text(labels), total);
}

json value_document(const counter& metric)
{
    return metric.value();
}

json value_document(const gauge& metric)
{
    return {{"value", metric.value()},
            {"maximum", metric.rule() == gauge_merge::maximum}};
}

json value_document(const log_histogram& metric)
{
    return metric.to_document();
}

result<std::variant<counter, gauge, log_histogram>>
read_metric(std::string_view kind, const json& value)
{
    if (kind == kind_names[0]) {
        BOOST_OUTCOME_TRY(total, from_document<std::uint64_t>(value));
        counter parsed;
        parsed.add(total);
        return parsed;
    }
    if (kind == kind_names[1]) {
        if (!value.is_object() || !value.contains("value") ||
            !value["value"].is_number() || !value.contains("maximum") ||
            !value["maximum"].is_boolean()) {
            return fail(errc::malformed_input, "gauge");
        }
        gauge parsed(value["maximum"].get<bool>() ? gauge_merge::maximum
                                                  : gauge_merge::sum);
        parsed.set(value["value"].get<double>());
        return parsed;
    }
    if (kind == kind_names[2]) {
        BOOST_OUTCOME_TRY(parsed, log_histogram::from_document(value));
        return std::move(parsed);
    }
    return fail(errc::malformed_input, "unknown kind of metric");
}

result<void> add_to(counter& target, const counter& other)
{
    target.add(other.value());
    return outcome::success();
}

result<void> add_to(gauge& target, const gauge& other)
{
    target.set(target.rule() == gauge_merge::maximum
                   ? std::max(target.value(), other.value())
                   : target.value() + other.value());
    return outcome::success();
}

result<void> add_to(log_histogram& target, const log_histogram& other)
{
    return target.merge(other);
}

} // namespace

std::string escape_label_value(std::string_view value)
{
    return escape(value, true);
}

std::string escape_help(std::string_view text)
{
    return escape(text, false);
}

template <typename Metric, typename... Arguments>
Metric& metric_registry::find_or_add(std::string_view name,
                                     std::string_view help, label_set labels,
                                     const histogram_bounds& bounds,
                                     Arguments&&... arguments)
{
    if (!valid_name(name) || !valid_labels(labels)) {
        abort_with(name, "invalid Prometheus metric or label name");
    }
    const auto kind = metric(std::in_place_type<Metric>).index();
    auto found = families_.find(name);
    if (found == families_.end()) {
        found = families_
                    .emplace(std::string(name),
                             family{std::string(help), kind, bounds, {}})
                    .first;
    }
    auto& entry = found->second;
    if (entry.kind != kind) {
        abort_with(name, "already used by another kind of metric");
    }
    std::sort(labels.begin(), labels.end());
    auto series = entry.series.find(labels);
    if (series == entry.series.end() &&
        entry.series.size() >= max_series_per_name) {
        for (auto& label : labels) {
            label.second = "other";
        }
        series = entry.series.find(labels);
    }
    if (series == entry.series.end()) {
        series = entry.series
                     .emplace(std::move(labels),
                              std::make_unique<metric>(
                                  std::in_place_type<Metric>,
                                  std::forward<Arguments>(arguments)...))
                     .first;
    }
    return std::get<Metric>(*series->second);
}

counter& metric_registry::add_counter(std::string_view name,
                                      std::string_view help,
                                      const label_set& labels)
{
    return find_or_add<counter>(name, help, labels, {});
}

gauge& metric_registry::add_gauge(std::string_view name, std::string_view help,
                                  const label_set& labels, gauge_merge rule)
{
    return find_or_add<gauge>(name, help, labels, {}, rule);
}

log_histogram& metric_registry::add_histogram(std::string_view name,
                                              std::string_view help,
                                              const label_set& labels,
                                              const histogram_bounds& bounds)
{
    const auto found = families_.find(name);
    const auto& used = found == families_.end() ? bounds : found->second.bounds;
    if (!used.valid()) {
        abort_with(name, "invalid histogram bounds");
    }
    return find_or_add<log_histogram>(name, help, labels, used, used);
}

std::string metric_registry::prometheus_text() const
{
    std::string out;
    for (const auto& [name, entry] : families_) {
        out +=
            fmt::format("# HELP {} {}\n# TYPE {} {}\n", name,
                        escape_help(entry.help), name, kind_names[entry.kind]);
        for (const auto& [labels, value] : entry.series) {
            std::visit(
                [&, &family_name = name,
                 &series_labels = labels](const auto& metric) {
                    write_series(out, family_name, series_labels, metric);
                },
                *value);
        }
    }
    return out;
}

json metric_registry::to_document() const
{
    json document = json::object();
    for (const auto& [name, entry] : families_) {
        json series = json::array();
        for (const auto& [labels, value] : entry.series) {
            series.push_back({{"labels", labels},
                              {"value", std::visit(
                                            [](const auto& metric) {
                                                return value_document(metric);
                                            },
                                            *value)}});
        }
        document[name] = {{"help", entry.help},
                          {"kind", kind_names[entry.kind]},
                          {"series", std::move(series)}};
    }
    return document;
}

result<void> metric_registry::merge(const json& document)
{
    if (!document.is_object()) {
        return fail(errc::malformed_input, "metrics: not an object");
    }
    // Works on a copy, so that an invalid document changes nothing.
    metric_registry merged;
    for (const auto& [name, entry] : families_) {
        auto& copy = merged.families_[name];
        copy.help = entry.help;
        copy.kind = entry.kind;
        copy.bounds = entry.bounds;
        for (const auto& [labels, value] : entry.series) {
            copy.series.emplace(labels, std::make_unique<metric>(*value));
        }
    }
    for (const auto& [name, family_document] : document.items()) {
        BOOST_OUTCOME_TRYV(merged.merge_family(name, family_document));
    }
    // Existing series are updated in place, because callers hold references to
    // them.
    for (auto& [name, entry] : merged.families_) {
        auto& target = families_[name];
        target.help = entry.help;
        target.kind = entry.kind;
        target.bounds = entry.bounds;
        for (auto& [labels, value] : entry.series) {
            auto& existing = target.series[labels];
            if (existing) {
                *existing = std::move(*value);
            } else {
                existing = std::move(value);
            }
        }
    }
    return outcome::success();
}

result<void> metric_registry::merge_family(const std::string& name,
                                           const json& document)
{
    std::string kind;
    std::string help;
    std::vector<std::pair<label_set, json>> series;
    try {
        document.at("kind").get_to(kind);
        document.at("help").get_to(help);
        for (const auto& entry : document.at("series")) {
            series.emplace_back(entry.at("labels").get<label_set>(),
                                entry.at("value"));
        }
    } catch (const json::exception& problem) {
        return fail(errc::malformed_input, name + ": " + problem.what());
    }
    if (!valid_name(name)) {
        return fail(errc::malformed_input, name + ": not a metric name");
    }
    for (auto& [labels, value] : series) {
        BOOST_OUTCOME_TRY(parsed, read_metric(kind, value));
        if (!valid_labels(labels)) {
            return fail(errc::malformed_input, name + ": not a label name");
        }
        std::sort(labels.begin(), labels.end());
        auto [found, added] = families_.try_emplace(name);
        auto& target = found->second;
        if (added) {
            target.help = help;
            target.kind = parsed.index();
            if (const auto* entry = std::get_if<log_histogram>(&parsed)) {
                target.bounds = entry->bounds();
            }
        }
        if (target.kind != parsed.index()) {
            return fail(errc::malformed_input, name + ": another kind");
        }
        auto& existing = target.series[labels];
        if (!existing) {
            existing = std::make_unique<metric>(std::move(parsed));
            continue;
        }
        BOOST_OUTCOME_TRYV(std::visit(
            [&](auto& metric) -> result<void> {
                return add_to(
                    metric, std::get<std::remove_reference_t<decltype(metric)>>(
                                parsed));
            },
            *existing));
    }
    return outcome::success();
}

} // namespace bamboogate::observability
