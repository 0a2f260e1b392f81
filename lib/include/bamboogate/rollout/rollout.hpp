#ifndef BAMBOOGATE_ROLLOUT_ROLLOUT_HPP
#define BAMBOOGATE_ROLLOUT_ROLLOUT_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/json.hpp>

#include <algorithm>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bamboogate::rollout {

/// The course of a rollout. `completed` and `rolled_back` are final.
enum class rollout_phase : std::uint8_t
{
    trial = 0,    ///< the target version gets a bounded share of the requests
    shifting = 1, ///< judged sound: all new work goes to the target version
    completed = 2,
    rolled_back = 3, ///< the target version gets no requests any more
};

[[nodiscard]] constexpr std::string_view name_of(rollout_phase phase)
{
    switch (phase) {
    case rollout_phase::trial:
        return "trial";
    case rollout_phase::shifting:
        return "shifting";
    case rollout_phase::completed:
        return "completed";
    case rollout_phase::rolled_back:
        return "rolled_back";
    }
    return "unknown";
}

/// Which versions of a service new work may be sent to.
struct version_filter
{
    enum class rule : std::uint8_t
    {
        any,
        only,     ///< the listed versions
        excluding ///< all but the listed versions
    };

    rule kind = rule::any;
    std::vector<software_version> versions = {};

    [[nodiscard]] bool admits(const software_version& version) const
    {
        const bool listed = std::find(versions.begin(), versions.end(),
                                      version) != versions.end();
        return kind == rule::any || listed == (kind == rule::only);
    }
    bool operator==(const version_filter&) const = default;
};

/// The last rollout of a service. Part of the replicated state, so that both
/// its course and its end survive what a configuration survives.
struct rollout_record
{
    /// Distinguishes the rollouts of one service; larger is newer.
    std::uint64_t number = 0;
    service_id service;
    software_version target;
    std::int64_t duration_ms = 0;
    std::int64_t began_unix_ms = 0; ///< by the clock of the leader
    std::uint8_t phase = 0;         ///< value of `rollout_phase`
    /// Share of each gate's requests that the target version gets in its trial.
    double trial_share = 0.0;
    /// Versions that `completed` replaces: those of the other ready upstreams.
    std::vector<software_version> superseded;
    std::string reason; ///< of the last change of the phase
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(rollout_record, number, service,
                                                target, duration_ms,
                                                began_unix_ms, phase,
                                                trial_share, superseded, reason)

    [[nodiscard]] rollout_phase current_phase() const
    {
        return static_cast<rollout_phase>(phase);
    }
    [[nodiscard]] bool in_progress() const
    {
        return current_phase() == rollout_phase::trial ||
               current_phase() == rollout_phase::shifting;
    }

    /// @brief The versions for work that takes no part in a trial.
    [[nodiscard]] version_filter general_filter() const
    {
        using rule = version_filter::rule;
        switch (current_phase()) {
        case rollout_phase::trial:
        case rollout_phase::rolled_back:
            return {rule::excluding, {target}};
        case rollout_phase::shifting:
            return {rule::only, {target}};
        case rollout_phase::completed:
            return {rule::excluding, superseded};
        }
        return {};
    }

    /// @brief Whether a stream that the version has begun may go on there: not
    ///     at versions that the rollout has ended.
    [[nodiscard]] bool may_continue(const software_version& version) const
    {
        return in_progress() || general_filter().admits(version);
    }

    /// @brief The versions for work that was chosen for the trial.
    [[nodiscard]] version_filter trial_filter() const
    {
        return {version_filter::rule::only, {target}};
    }

    bool operator==(const rollout_record&) const = default;
};

/// What one version answered on one route since the rollout began. Counts only
/// grow, so that the latest report of a gate replaces its earlier ones.
struct version_evidence
{
    std::string route;
    software_version version;
    std::uint64_t requests = 0; ///< sent, whether answered or not
    std::uint64_t failures = 0; ///< answered with a failure, or not at all
    /// Answers by their latency: bucket i counts those below
    /// `latency_bucket_limit_ms(i)` and not below the previous limit; the last
    /// one counts the rest.
    std::vector<std::uint64_t> latencies;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(version_evidence, route,
                                                version, requests, failures,
                                                latencies)
};

/// Buckets of `version_evidence::latencies`. Each is 1.5 times as wide as the
/// one before, which separates answers that are several times slower.
inline constexpr std::size_t latency_buckets = 28;

/// @return upper limit of a bucket in milliseconds
/// @pre bucket < latency_buckets
[[nodiscard]] constexpr double latency_bucket_limit_ms(std::size_t bucket)
{
    double limit = 1.0;
    for (std::size_t i = 0; i < bucket; ++i) {
        limit *= 1.5;
    }
    return limit;
}

} // namespace bamboogate::rollout

#endif
