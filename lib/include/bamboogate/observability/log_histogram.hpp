#ifndef BAMBOOGATE_OBSERVABILITY_LOG_HISTOGRAM_HPP
#define BAMBOOGATE_OBSERVABILITY_LOG_HISTOGRAM_HPP

#include <bamboogate/core/json.hpp>
#include <bamboogate/core/result.hpp>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <cstdint>
#include <tuple>
#include <vector>

namespace bamboogate::observability {

/// Range and resolution of a histogram. The default covers 100 µs to 1000 s,
/// measured in seconds, with four bins per factor of ten.
struct histogram_bounds
{
    double lowest = 1e-4;
    double highest = 1e3;
    unsigned bins = 28;

    bool operator==(const histogram_bounds&) const = default;

    /// @brief True if 0 < lowest < highest, both finite, and 1 to 1000 bins.
    [[nodiscard]] bool valid() const noexcept;
};

/// Counts of values in bins of equal width on a logarithmic axis, with an
/// underflow and an overflow bin. Not thread safe.
class log_histogram
{
public:
    /// @pre bounds.valid()
    explicit log_histogram(const histogram_bounds& bounds = {});

    /// @brief Counts a value; a NaN counts as overflow.
    void record(double value);

    [[nodiscard]] std::uint64_t count() const noexcept { return count_; }
    [[nodiscard]] double sum() const noexcept { return sum_; }
    [[nodiscard]] const histogram_bounds& bounds() const noexcept
    {
        return bounds_;
    }

    /// @brief Counts from the underflow to the overflow bin.
    [[nodiscard]] std::vector<std::uint64_t> counts() const;

    /// @brief Upper edge of the bin at an index of `counts`; infinite for the
    ///     last.
    [[nodiscard]] double upper_edge(std::size_t index) const;

    /// @brief Estimates a quantile, interpolating within its bin.
    /// @param share the quantile, within 0 to 1
    /// @return 0 without values; at most the highest bound
    [[nodiscard]] double quantile(double share) const;

    /// @brief Adds the counts of a histogram with the same bounds.
    /// @return `invalid_argument` for other bounds
    [[nodiscard]] result<void> merge(const log_histogram& other);

    [[nodiscard]] json to_document() const;
    [[nodiscard]] static result<log_histogram>
    from_document(const json& document);

private:
    using axis_type =
        boost::histogram::axis::regular<double,
                                        boost::histogram::axis::transform::log>;
    using storage_type = boost::histogram::dense_storage<std::uint64_t>;

    histogram_bounds bounds_;
    boost::histogram::histogram<std::tuple<axis_type>, storage_type> bins_;
    std::uint64_t count_ = 0;
    double sum_ = 0.0;
};

} // namespace bamboogate::observability

#endif
