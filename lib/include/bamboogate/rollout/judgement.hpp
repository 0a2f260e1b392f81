#ifndef BAMBOOGATE_ROLLOUT_JUDGEMENT_HPP
#define BAMBOOGATE_ROLLOUT_JUDGEMENT_HPP

#include <bamboogate/rollout/rollout.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>

namespace bamboogate::rollout {

/// What the evidence says of the target version.
enum class verdict : std::uint8_t
{
    undecided, ///< too few requests to tell
    sound,     ///< enough requests, no sign of a fault
    faulty,
};

struct judgement
{
    verdict result = verdict::undecided;
    std::string reason;                ///< of `faulty`, for operators
    std::uint64_t target_requests = 0; ///< since the rollout began
    std::uint64_t other_requests = 0;
    std::uint64_t target_failures = 0;
};

/// A one-sided cumulative sum test (Page) on Bernoulli trials: it raises an
/// alarm when the share of bad trials rises clearly above a reference, whether
/// from the first trial on or after many good ones. Performs no I/O. Not thread
/// safe.
class share_test
{
public:
    struct options
    {
        /// The least rise of the share that matters to callers.
        double least_rise = 0.12;
        /// A rise by this factor matters where it is the larger one.
        double least_factor = 3.0;
        /// Log-likelihood ratio of the alarm. A sound version reaches it in
        /// about one of e^8 = 3,000 independent stretches of evidence.
        double alarm = 8.0;
    };

    share_test() : share_test(options{}) {}
    explicit share_test(options settings) : settings_(settings) {}

    /// @brief Takes in trials of the tested side.
    /// @param reference_bad, reference_total of the other side, at about the
    ///     same time
    /// @pre bad <= total, reference_bad <= reference_total
    void record(double bad, double total, double reference_bad,
                double reference_total);

    [[nodiscard]] bool alarmed() const { return sum_ >= settings_.alarm; }
    /// @brief The log-likelihood ratio since the last trial at which a rise was
    ///     least likely.
    [[nodiscard]] double sum() const { return sum_; }

private:
    options settings_;
    double sum_ = 0.0;
};

/// Compares the target version of a rollout with the versions that it replaces,
/// on the same routes and over the same time, by sequential tests on the shares
/// of failures and of slow answers. What troubles both sides alike raises the
/// reference and is no evidence against the target. Answers the load of a new
/// version that is bad at once, later, under load or on one route only.
/// Performs no I/O. Not thread safe.
class version_judge
{
public:
    struct options
    {
        share_test::options test;
        /// Requests to the target version before it can count as sound.
        std::uint64_t sound_requests = 20;
        /// The reference of a route keeps about this many recent requests, so
        /// that it follows troubles that begin or end.
        double reference_requests = 400.0;
        /// Buckets above the median of the other versions from which an answer
        /// counts as slow: 1.5^3, more than three times the median.
        std::size_t slow_buckets = 3;
    };

    explicit version_judge(software_version target)
        : version_judge(std::move(target), options{})
    {}
    version_judge(software_version target, options settings)
        : target_(std::move(target)), settings_(settings)
    {}

    /// @brief Takes in a gate's evidence since the rollout began; it replaces
    ///     the gate's earlier report. Counts that are lower than before mean
    ///     that the gate has restarted.
    /// @param reporter identifies the gate
    void record(const std::string& reporter,
                std::span<const version_evidence> evidence);

    /// @brief Tests the evidence since the last call. Called at an interval in
    ///     which all gates report, so that a trouble of both sides is seen on
    ///     both.
    void close_interval();

    /// @brief The verdict on the intervals closed so far.
    [[nodiscard]] judgement judge() const;

private:
    struct counts
    {
        double requests = 0.0;
        double failures = 0.0;
        std::array<double, latency_buckets> latencies{};

        void add(const version_evidence& increment);
        void add(const counts& other);
        void scale(double factor);
    };
    /// What is known of one route, or of all routes together.
    struct comparison
    {
        counts reference; ///< of the other versions, recent requests
        counts previous;  ///< of the other versions, in the last interval
        counts others;    ///< in this interval
        counts target;    ///< in this interval
        share_test failures;
        share_test slow;
    };

    void close_interval(comparison& route, bool compare_latencies);
    /// @return the first bucket of slow answers, if there are enough answers of
    ///     the other versions to tell
    [[nodiscard]] std::optional<std::size_t>
    slow_from(const counts& reference) const;

    software_version target_;
    options settings_;
    std::map<std::string, comparison> routes_;
    comparison all_routes_;
    /// The latest report of each gate, by route and version.
    std::map<std::string, std::map<std::pair<std::string, software_version>,
                                   version_evidence>>
        reports_;
    std::uint64_t target_requests_ = 0;
    std::uint64_t target_failures_ = 0;
    std::uint64_t other_requests_ = 0;
};

} // namespace bamboogate::rollout

#endif
