#include <bamboogate/rollout/judgement.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace bamboogate::rollout {

namespace {

/// Share of bad trials that is assumed of the reference before it has any.
constexpr double prior_share = 0.02;
/// Trials that the prior counts as.
constexpr double prior_trials = 20.0;
/// Above this share the reference leaves no room for a clear rise.
constexpr double max_reference_share = 0.6;
constexpr double max_raised_share = 0.95;
/// Answers of the other versions before their median is used.
constexpr double min_reference_latencies = 10.0;

/// @return what `now` counts in addition to `before`
version_evidence increment_of(const version_evidence& now,
                              const version_evidence* before)
{
    const bool restarted =
        before != nullptr &&
        (now.requests < before->requests || now.failures < before->failures);
    if (before == nullptr || restarted) {
        return now;
    }
    version_evidence out = now;
    out.requests -= before->requests;
    out.failures -= before->failures;
    const auto common =
        std::min(out.latencies.size(), before->latencies.size());
    for (std::size_t i = 0; i < common; ++i) {
        out.latencies[i] -= std::min(out.latencies[i], before->latencies[i]);
    }
    return out;
}

} // namespace

void share_test::record(std::uint64_t bad, std::uint64_t total,
                        double reference_bad, double reference_total)
{
    // The reference is an estimate: one standard error above it, so that a low
    // estimate from few trials is not held against the tested side.
    const double trials = reference_total + prior_trials;
    const double estimate =
        (reference_bad + prior_share * prior_trials) / trials;
    const double reference =
        estimate + std::sqrt(estimate * (1.0 - estimate) / trials);
    if (total == 0 || reference >= max_reference_share) {
        return;
    }
    const double raised = std::min(std::max(reference * settings_.least_factor,
                                            reference + settings_.least_rise),
                                   max_raised_share);
    const auto bad_trials = static_cast<double>(bad);
    const auto good_trials = static_cast<double>(total - bad);
    const double gain =
        bad_trials * std::log(raised / reference) +
        good_trials * std::log((1.0 - raised) / (1.0 - reference));
    sum_ = std::max(0.0, sum_ + gain);
}

void version_judge::record(const std::string& reporter,
                           std::span<const version_evidence> evidence)
{
    auto& reported = reports_[reporter];
    // The reference first, so that a trouble that begins on both sides within
    // one report counts for both.
    std::vector<version_evidence> of_target;
    for (const auto& each : evidence) {
        const std::pair key{each.route, each.version};
        const auto before = reported.find(key);
        auto increment = increment_of(
            each, before == reported.end() ? nullptr : &before->second);
        increment.failures = std::min(increment.failures, increment.requests);
        reported[key] = each;
        if (increment.version == target_) {
            of_target.push_back(std::move(increment));
            continue;
        }
        other_requests_ += increment.requests;
        record_reference(routes_[each.route], increment);
        record_reference(all_routes_, increment);
    }
    for (const auto& increment : of_target) {
        target_requests_ += increment.requests;
        target_failures_ += increment.failures;
        record_target(routes_[increment.route], increment, true);
        // Latencies of different routes are not comparable.
        record_target(all_routes_, increment, false);
    }
}

void version_judge::record_reference(comparison& route,
                                     const version_evidence& increment)
{
    route.reference_total += static_cast<double>(increment.requests);
    route.reference_failures += static_cast<double>(increment.failures);
    const auto buckets = std::min(increment.latencies.size(), latency_buckets);
    for (std::size_t i = 0; i < buckets; ++i) {
        route.reference_latencies[i] +=
            static_cast<double>(increment.latencies[i]);
    }
    if (route.reference_total <= settings_.reference_requests) {
        return;
    }
    const double keep = settings_.reference_requests / route.reference_total;
    route.reference_total *= keep;
    route.reference_failures *= keep;
    for (auto& count : route.reference_latencies) {
        count *= keep;
    }
}

std::optional<std::size_t>
version_judge::slow_from(const comparison& route) const
{
    const auto& counts = route.reference_latencies;
    const double total = std::accumulate(counts.begin(), counts.end(), 0.0);
    if (total < min_reference_latencies) {
        return std::nullopt;
    }
    double below = 0.0;
    std::size_t median = 0;
    while (median + 1 < latency_buckets &&
           below + counts[median] < total / 2.0) {
        below += counts[median++];
    }
    return std::min(median + settings_.slow_buckets, latency_buckets - 1);
}

void version_judge::record_target(comparison& route,
                                  const version_evidence& increment,
                                  bool compare_latencies)
{
    route.failures.record(increment.failures, increment.requests,
                          route.reference_failures, route.reference_total);
    const auto limit = compare_latencies ? slow_from(route) : std::nullopt;
    if (!limit) {
        return;
    }
    std::uint64_t slow = 0;
    std::uint64_t total = 0;
    double reference_slow = 0.0;
    double reference_total = 0.0;
    for (std::size_t i = 0; i < latency_buckets; ++i) {
        const std::uint64_t count =
            i < increment.latencies.size() ? increment.latencies[i] : 0;
        total += count;
        slow += i >= *limit ? count : 0;
        reference_total += route.reference_latencies[i];
        reference_slow += i >= *limit ? route.reference_latencies[i] : 0.0;
    }
    route.slow.record(slow, total, reference_slow, reference_total);
}

judgement version_judge::judge() const
{
    judgement out{.target_requests = target_requests_,
                  .other_requests = other_requests_,
                  .target_failures = target_failures_};
    const auto find_fault = [&](const std::string& where,
                                const comparison& route) {
        if (route.failures.alarmed()) {
            out.reason = fmt::format("more failures on {}", where);
        } else if (route.slow.alarmed()) {
            out.reason = fmt::format("slower answers on {}", where);
        }
    };
    find_fault("all routes", all_routes_);
    for (const auto& [name, route] : routes_) {
        if (out.reason.empty()) {
            find_fault("route " + name, route);
        }
    }
    if (!out.reason.empty()) {
        out.result = verdict::faulty;
    } else if (target_requests_ >= settings_.sound_requests) {
        out.result = verdict::sound;
    }
    return out;
}

} // namespace bamboogate::rollout
