#include <bamboogate/observability/log_histogram.hpp>

#include <boost/histogram/make_histogram.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace bamboogate::observability {

bool histogram_bounds::valid() const noexcept
{
    return std::isfinite(lowest) && std::isfinite(highest) && lowest > 0.0 &&
           lowest < highest && bins >= 1 && bins <= 1000;
}

log_histogram::log_histogram(const histogram_bounds& bounds)
    : bounds_(bounds), bins_(boost::histogram::make_histogram_with(
                           storage_type(), axis_type(bounds.bins, bounds.lowest,
                                                     bounds.highest)))
{}

void log_histogram::record(double value)
{
    bins_(value);
    ++count_;
    if (std::isfinite(value)) {
        sum_ += value;
    }
}

std::vector<std::uint64_t> log_histogram::counts() const
{
    std::vector<std::uint64_t> counts;
    counts.reserve(bounds_.bins + 2);
    for (int index = -1; index <= static_cast<int>(bounds_.bins); ++index) {
        counts.push_back(bins_.at(index));
    }
    return counts;
}

double log_histogram::upper_edge(std::size_t index) const
{
    if (index > bounds_.bins) {
        return std::numeric_limits<double>::infinity();
    }
    return bins_.axis().value(static_cast<double>(index));
}

double log_histogram::quantile(double share) const
{
    const auto target_count = share * static_cast<double>(count_);
    double cumulative = 0.0;
    const auto bins = counts();
    for (std::size_t index = 0; index < bins.size(); ++index) {
        const auto bin_count = static_cast<double>(bins[index]);
        if (bin_count == 0.0 || cumulative + bin_count < target_count) {
            cumulative += bin_count;
            continue;
        }
        if (index == 0) {
            return bounds_.lowest;
        }
        if (index > bounds_.bins) {
            return bounds_.highest;
        }
        const auto position = static_cast<double>(index - 1) +
                              (target_count - cumulative) / bin_count;
        return bins_.axis().value(position);
    }
    return 0.0;
}

result<void> log_histogram::merge(const log_histogram& other)
{
    if (bounds_ != other.bounds_) {
        return fail(errc::invalid_argument, "histogram bounds differ");
    }
    bins_ += other.bins_;
    count_ += other.count_;
    sum_ += other.sum_;
    return outcome::success();
}

json log_histogram::to_document() const
{
    return {{"lowest", bounds_.lowest},
            {"highest", bounds_.highest},
            {"bins", bounds_.bins},
            {"sum", sum_},
            {"counts", counts()}};
}

result<log_histogram> log_histogram::from_document(const json& document)
{
    histogram_bounds bounds;
    std::vector<std::uint64_t> counts;
    double sum = 0.0;
    try {
        document.at("lowest").get_to(bounds.lowest);
        document.at("highest").get_to(bounds.highest);
        document.at("bins").get_to(bounds.bins);
        document.at("sum").get_to(sum);
        document.at("counts").get_to(counts);
    } catch (const json::exception& problem) {
        return fail(errc::malformed_input, problem.what());
    }
    if (!bounds.valid() || counts.size() != bounds.bins + 2) {
        return fail(errc::malformed_input,
                    "histogram with invalid bounds or bin count");
    }
    log_histogram histogram(bounds);
    for (std::size_t index = 0; index < counts.size(); ++index) {
        histogram.bins_.at(static_cast<int>(index) - 1) = counts[index];
        histogram.count_ += counts[index];
    }
    histogram.sum_ = sum;
    return histogram;
}

} // namespace bamboogate::observability
