#include <bamboogate/observability/metrics.hpp>

#include <doctest/doctest.h>

#include <cmath>
#include <limits>
#include <string>

using namespace bamboogate;
using namespace bamboogate::observability;

namespace {

bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against output that Prometheus cannot parse.
TEST_CASE("prometheus_text_counter_and_gauge_have_help_and_type")
{
    metric_registry metrics;
    metrics.add_counter("requests_total", "Requests.", {{"rank", "urgent"}})
        .add(3);
    metrics.add_gauge("open_streams", "Streams.").set(2.5);
    CHECK(metrics.prometheus_text() == "# HELP open_streams Streams.\n"
                                       "# TYPE open_streams gauge\n"
                                       "open_streams 2.5\n"
                                       "# HELP requests_total Requests.\n"
                                       "# TYPE requests_total counter\n"
                                       "requests_total{rank=\"urgent\"} 3\n");
}

// Guards against label values that break the text format.
TEST_CASE("prometheus_text_label_values_are_escaped")
{
    const std::pair<const char*, const char*> cases[] = {
        {"plain", "a=\"plain\""},
        {"back\\slash", "a=\"back\\\\slash\""},
        {"quo\"te", "a=\"quo\\\"te\""},
        {"line\nend", "a=\"line\\nend\""},
        {"} 1\nfake 2", "a=\"} 1\\nfake 2\""},
        {"", "a=\"\""},
        {"Tataou\xc3\xafne", "a=\"Tataou\xc3\xafne\""},
    };
    for (const auto& one : cases) {
        const auto& value = one.first;
        const auto& expected = one.second;
        CAPTURE(value);
        metric_registry metrics;
        metrics.add_counter("c", "x", {{"a", value}}).add();
        CHECK(contains(metrics.prometheus_text(),
                       std::string("c{") + expected + "} 1\n"));
    }
}

// Guards against help texts that break the text format.
TEST_CASE("prometheus_text_help_is_escaped")
{
    metric_registry metrics;
    metrics.add_counter("c", "one\ntwo \\ \"three\"");
    CHECK(contains(metrics.prometheus_text(),
                   "# HELP c one\\ntwo \\\\ \"three\"\n"));
}

// Guards against infinite values and NaN in a form that Prometheus rejects.
TEST_CASE("prometheus_text_special_numbers_have_their_names")
{
    metric_registry metrics;
    auto& gauge = metrics.add_gauge("g", "x");
    gauge.set(std::numeric_limits<double>::infinity());
    CHECK(contains(metrics.prometheus_text(), "g +Inf\n"));
    gauge.set(-std::numeric_limits<double>::infinity());
    CHECK(contains(metrics.prometheus_text(), "g -Inf\n"));
    gauge.set(std::nan(""));
    CHECK(contains(metrics.prometheus_text(), "g NaN\n"));
}

// Guards against buckets that hold the counts of single bins.
TEST_CASE("prometheus_text_histogram_buckets_are_cumulative")
{
    metric_registry metrics;
    auto& histogram =
        metrics.add_histogram("wait_seconds", "Wait.", {{"rank", "urgent"}},
                              {.lowest = 0.01, .highest = 1.0, .bins = 2});
    for (const double value : {0.001, 0.05, 0.05, 0.5, 7.0}) {
        histogram.record(value);
    }
    const auto text = metrics.prometheus_text();
    CHECK(contains(text, "wait_seconds_count{rank=\"urgent\"} 5\n"));
    CHECK(contains(text, "wait_seconds_sum{rank=\"urgent\"} 7.601"));
    CHECK(contains(text, "le=\"+Inf\"} 5\n"));
    CHECK(contains(text, "# TYPE wait_seconds histogram\n"));
    CHECK(histogram.counts() == std::vector<std::uint64_t>{1, 2, 1, 1});
    CHECK(histogram.upper_edge(0) == doctest::Approx(0.01));
    CHECK(histogram.upper_edge(1) == doctest::Approx(0.1));
    CHECK(histogram.upper_edge(2) == doctest::Approx(1.0));
    CHECK(std::isinf(histogram.upper_edge(3)));
}

// Guards against values outside the range that are lost or spoil the sum.
TEST_CASE("log_histogram_odd_values_go_to_the_outer_bins")
{
    log_histogram histogram({.lowest = 1.0, .highest = 10.0, .bins = 1});
    histogram.record(0.0);
    histogram.record(-1.0);
    histogram.record(std::nan(""));
    histogram.record(std::numeric_limits<double>::infinity());
    CHECK(histogram.count() == 4);
    CHECK(histogram.counts()[1] == 0);
    CHECK(std::isfinite(histogram.sum()));
}

// Guards against quantiles that are off by more than the width of a bin.
TEST_CASE("log_histogram_quantile_is_within_one_bin")
{
    log_histogram histogram({.lowest = 0.001, .highest = 10, .bins = 400});
    CHECK(histogram.quantile(0.5) == 0.0);
    for (int value = 1; value <= 1000; ++value) {
        histogram.record(value / 1000.0);
    }
    CHECK(histogram.quantile(0.5) == doctest::Approx(0.5).epsilon(0.03));
    CHECK(histogram.quantile(0.95) == doctest::Approx(0.95).epsilon(0.03));
    CHECK(histogram.quantile(1.0) == doctest::Approx(1.0).epsilon(0.03));
}

// Guards against bounds from another process for which no axis can be built.
TEST_CASE("histogram_bounds_faulty_values_are_not_valid")
{
    CHECK(histogram_bounds{}.valid());
    CHECK_FALSE(histogram_bounds{.lowest = 0.0}.valid());
    CHECK_FALSE(histogram_bounds{.lowest = 2.0, .highest = 1.0}.valid());
    CHECK_FALSE(histogram_bounds{.bins = 0}.valid());
    CHECK_FALSE(histogram_bounds{.bins = 1001}.valid());
    CHECK_FALSE(histogram_bounds{.highest = std::nan("")}.valid());
}

// Guards against the same series counted twice under two label orders.
TEST_CASE("metric_registry_label_order_does_not_matter")
{
    metric_registry metrics;
    metrics.add_counter("c", "x", {{"a", "1"}, {"b", "2"}}).add();
    metrics.add_counter("c", "x", {{"b", "2"}, {"a", "1"}}).add();
    CHECK(contains(metrics.prometheus_text(), "c{a=\"1\",b=\"2\"} 2\n"));
}

// Guards against unbounded memory through names chosen by callers.
TEST_CASE("metric_registry_too_many_series_share_one")
{
    metric_registry metrics;
    const auto limit = metric_registry::max_series_per_name;
    for (std::size_t at = 0; at < limit + 10; ++at) {
        metrics.add_counter("c", "x", {{"a", std::to_string(at)}}).add();
    }
    CHECK(metrics.to_document()["c"]["series"].size() == limit + 1);
    CHECK(contains(metrics.prometheus_text(), "c{a=\"other\"} 10\n"));
}

// Guards against a merge that loses or doubles a gate's values.
TEST_CASE("metric_registry_merge_adds_up_and_keeps_references")
{
    metric_registry first;
    auto& total = first.add_counter("c", "x", {{"a", "1"}});
    total.add(2);
    first.add_gauge("sum", "x").set(1.5);
    first.add_gauge("max", "x", {}, gauge_merge::maximum).set(4);
    first.add_histogram("h", "x").record(0.5);
    metric_registry second;
    second.add_counter("c", "x", {{"a", "1"}}).add(5);
    second.add_counter("c", "x", {{"a", "2"}}).add(7);
    second.add_gauge("sum", "x").set(2);
    second.add_gauge("max", "x", {}, gauge_merge::maximum).set(3);
    second.add_histogram("h", "x").record(0.25);
    second.add_counter("only_second", "x").add(9);
    REQUIRE(first.merge(second.to_document()));
    CHECK(total.value() == 7);
    const auto text = first.prometheus_text();
    CHECK(contains(text, "c{a=\"2\"} 7\n"));
    CHECK(contains(text, "sum 3.5\n"));
    CHECK(contains(text, "max 4\n"));
    CHECK(contains(text, "h_count 2\n"));
    CHECK(contains(text, "h_sum 0.75\n"));
    CHECK(contains(text, "only_second 9\n"));
    total.add();
    CHECK(contains(first.prometheus_text(), "c{a=\"1\"} 8\n"));
}

// Guards against a merge that applies part of an invalid document.
TEST_CASE("metric_registry_merge_faulty_document_changes_nothing")
{
    const char* const cases[] = {
        "[]",
        R"({"c": 1})",
        R"({"c": {"kind": "counter", "help": "", "series": [
            {"labels": [], "value": -1.5}, {"labels": 3, "value": 1}]}})",
        R"({"a": {"kind": "counter", "help": "", "series": [
             {"labels": [], "value": 1}]},
            "c": {"kind": "gauge", "help": "", "series": [
             {"labels": [], "value": {"value": 1, "maximum": false}}]}})",
        R"({"c": {"kind": "summary", "help": "", "series": [
            {"labels": [], "value": 1}]}})",
        R"({"bad name": {"kind": "counter", "help": "", "series": [
            {"labels": [], "value": 1}]}})",
        R"({"c": {"kind": "counter", "help": "", "series": [
            {"labels": [["bad label", "x"]], "value": 1}]}})",
        R"({"h": {"kind": "histogram", "help": "", "series": [{"labels": [],
            "value": {"lowest": 0, "highest": 1, "bins": 1, "sum": 0,
                      "counts": [0, 0, 0]}}]}})",
        R"({"h": {"kind": "histogram", "help": "", "series": [{"labels": [],
            "value": {"lowest": 1, "highest": 2, "bins": 4000000000, "sum": 0,
                      "counts": [0, 0, 0]}}]}})",
    };
    for (const auto* text : cases) {
        CAPTURE(text);
        metric_registry metrics;
        metrics.add_counter("c", "x").add(1);
        const auto before = metrics.prometheus_text();
        const auto merged = metrics.merge(json::parse(text));
        REQUIRE_FALSE(merged);
        CHECK(merged.error().code == errc::malformed_input);
        CHECK(metrics.prometheus_text() == before);
    }
}
