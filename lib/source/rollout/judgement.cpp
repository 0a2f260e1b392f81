#include <bamboogate/rollout/judgement.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <utility>

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

void share_test::record(double bad, double total, double reference_bad,
                        double reference_total)
{
    // The reference is an estimate: one standard error above it, so that a low
    // estimate from few trials is not held against the tested side.
    const double trials = reference_total + prior_trials;
    const double estimate =
        (reference_bad + prior_share * prior_trials) / trials;
    const double reference =
        estimate + std::sqrt(estimate * (1.0 - estimate) / trials);
    if (total <= 0.0 || reference >= max_reference_share) {
        return;
    }
    const double raised = std::min(std::max(reference * settings_.least_factor,
                                            reference + settings_.least_rise),
                                   max_raised_share);
    const double gain =
        bad * std::log(raised / reference) +
        (total - bad) * std::log((1.0 - raised) / (1.0 - reference));
    sum_ = std::max(0.0, sum_ + gain);
}

void version_judge::counts::add(const version_evidence& increment)
{
    requests += static_cast<double>(increment.requests);
    failures += static_cast<double>(increment.failures);
    const auto buckets = std::min(increment.latencies.size(), latency_buckets);
    for (std::size_t i = 0; i < buckets; ++i) {
        latencies[i] += static_cast<double>(increment.latencies[i]);
    }
}

void version_judge::counts::add(const counts& other)
{
    requests += other.requests;
    failures += other.failures;
    for (std::size_t i = 0; i < latency_buckets; ++i) {
        latencies[i] += other.latencies[i];
    }
}

void version_judge::counts::scale(double factor)
{
    requests *= factor;
    failures *= factor;
    for (auto& count : latencies) {
        count *= factor;
    }
}

void version_judge::record(const std::string& reporter,
                           std::span<const version_evidence> evidence)
{
    auto& reported = reports_[reporter];
    for (const auto& each : evidence) {
        const std::pair key{each.route, each.version};
        const auto before = reported.find(key);
        auto increment = increment_of(
            each, before == reported.end() ? nullptr : &before->second);
        increment.failures = std::min(increment.failures, increment.requests);
        reported[key] = each;
        if (increment.version == target_) {
            target_requests_ += increment.requests;
            target_failures_ += increment.failures;
            routes_[increment.route].target.add(increment);
            all_routes_.target.add(increment);
        } else {
            other_requests_ += increment.requests;
            routes_[increment.route].others.add(increment);
            all_routes_.others.add(increment);
        }
    }
}

void version_judge::close_interval()
{
    for (auto& [name, route] : routes_) {
        close_interval(route, true);
    }
    // Latencies of different routes are not comparable.
    close_interval(all_routes_, false);
}

std::optional<std::size_t>
version_judge::slow_from(const counts& reference) const
{
    const auto& latencies = reference.latencies;
    const double total =
        std::accumulate(latencies.begin(), latencies.end(), 0.0);
    if (total < min_reference_latencies) {
        return std::nullopt;
    }
    double below = 0.0;
    std::size_t median = 0;
    while (median + 1 < latency_buckets &&
           below + latencies[median] < total / 2.0) {
        below += latencies[median++];
    }
    return std::min(median + settings_.slow_buckets, latency_buckets - 1);
}

void version_judge::close_interval(comparison& route, bool compare_latencies)
{
    // A trouble that begins raises the share of the last two intervals first.
    counts latest = route.previous;
    latest.add(route.others);
    route.reference.add(route.others);
    if (route.reference.requests > settings_.reference_requests) {
        route.reference.scale(settings_.reference_requests /
                              route.reference.requests);
    }
    const auto test = [&](share_test& tested, auto bad, auto total) {
        const counts& reference = bad(latest) * total(route.reference) >
                                          bad(route.reference) * total(latest)
                                      ? latest
                                      : route.reference;
        tested.record(bad(route.target), total(route.target), bad(reference),
                      total(reference));
    };
    test(
        route.failures, [](const counts& of) { return of.failures; },
        [](const counts& of) { return of.requests; });
    if (const auto limit =
            compare_latencies ? slow_from(route.reference) : std::nullopt) {
        test(
            route.slow,
            [&](const counts& of) {
                return std::accumulate(of.latencies.begin() +
                                           static_cast<std::ptrdiff_t>(*limit),
                                       of.latencies.end(), 0.0);
            },
            [](const counts& of) {
                return std::accumulate(of.latencies.begin(), of.latencies.end(),
                                       0.0);
            });
    }
    route.previous = std::exchange(route.others, {});
    route.target = {};
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
