#ifndef BAMBOOGATE_OBSERVABILITY_METRICS_HPP
#define BAMBOOGATE_OBSERVABILITY_METRICS_HPP

#include <bamboogate/core/json.hpp>
#include <bamboogate/core/result.hpp>
#include <bamboogate/observability/log_histogram.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace bamboogate::observability {

/// A monotonically increasing total.
class counter
{
public:
    void add(std::uint64_t amount = 1) noexcept { value_ += amount; }
    [[nodiscard]] std::uint64_t value() const noexcept { return value_; }

private:
    std::uint64_t value_ = 0;
};

/// How gauges of several processes are merged.
enum class gauge_merge : std::uint8_t
{
    sum,
    maximum,
};

/// A value that can go up and down.
class gauge
{
public:
    explicit gauge(gauge_merge rule = gauge_merge::sum) : rule_(rule) {}

    void set(double value) noexcept { value_ = value; }
    void add(double amount) noexcept { value_ += amount; }
    [[nodiscard]] double value() const noexcept { return value_; }
    [[nodiscard]] gauge_merge rule() const noexcept { return rule_; }

private:
    double value_ = 0.0;
    gauge_merge rule_;
};

/// Label names with values; the order does not matter.
using label_set = std::vector<std::pair<std::string, std::string>>;

/// The metrics of one process. Returned references stay valid for the lifetime
/// of the registry. Not thread safe: each process has one event loop.
///
/// An invalid Prometheus name, or a name that is already used by another kind
/// of metric, is a programming error and aborts the process.
class metric_registry
{
public:
    /// Further series of a name share one series with the label values `other`
    /// once there are this many, so that names chosen by callers cannot exhaust
    /// memory.
    static constexpr std::size_t max_series_per_name = 5000;

    counter& add_counter(std::string_view name, std::string_view help,
                         const label_set& labels = {});
    gauge& add_gauge(std::string_view name, std::string_view help,
                     const label_set& labels = {},
                     gauge_merge rule = gauge_merge::sum);
    /// @param bounds used by the first series of a name, ignored afterwards
    log_histogram& add_histogram(std::string_view name, std::string_view help,
                                 const label_set& labels = {},
                                 const histogram_bounds& bounds = {});

    /// @brief The metrics in Prometheus text format, version 0.0.4, sorted by
    ///     name.
    [[nodiscard]] std::string prometheus_text() const;

    /// @brief All values as a document for `merge` of another process.
    [[nodiscard]] json to_document() const;

    /// @brief Adds the values of another process: counters and histograms are
    ///     summed, gauges follow their rule.
    /// @return `malformed_input` if the document is invalid; nothing is changed
    ///     then
    [[nodiscard]] result<void> merge(const json& document);

private:
    using metric = std::variant<counter, gauge, log_histogram>;

    struct family
    {
        std::string help;
        std::size_t kind = 0; ///< index of the alternative of `metric`
        histogram_bounds bounds;
        std::map<label_set, std::unique_ptr<metric>> series;
    };

    template <typename Metric, typename... Arguments>
    Metric& find_or_add(std::string_view name, std::string_view help,
                        label_set labels, const histogram_bounds& bounds,
                        Arguments&&... arguments);
    [[nodiscard]] result<void> merge_family(const std::string& name,
                                            const json& document);

    std::map<std::string, family, std::less<>> families_;
};

/// @brief A label value with backslash, quote and line end escaped.
[[nodiscard]] std::string escape_label_value(std::string_view value);

/// @brief A help text with backslash and line end escaped.
[[nodiscard]] std::string escape_help(std::string_view text);

} // namespace bamboogate::observability

#endif
