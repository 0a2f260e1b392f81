#ifndef BAMBOOGATE_RELAY_GATE_ROLLOUTS_HPP
#define BAMBOOGATE_RELAY_GATE_ROLLOUTS_HPP

#include <bamboogate/core/time.hpp>
#include <bamboogate/relay/rollout_messages.hpp>
#include <bamboogate/relay/rollout_records.hpp>
#include <bamboogate/rollout/progress.hpp>
#include <bamboogate/rollout/trial_selector.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bamboogate::relay {

/// One gate's part in the rollouts: which versions its requests may go to, and
/// what it has observed of them. Answers the load of a service that moves to a
/// version that may be faulty: the version gets a bounded share of the gate's
/// requests, and none once the gate has lost the leader that judges it. For a
/// service without a rollout every version is allowed and nothing is counted.
/// Performs no I/O. Not thread safe.
class gate_rollouts
{
public:
    struct options
    {
        /// Of this gate among all gates, in [0, 1), see
        /// `rollout::trial_offset`.
        double position = 0.0;
        /// Requests of an unproved version in addition to its share, over all
        /// gates together.
        double slack = rollout::exposure_limits().slack;
        /// See `rollout::trial_selector`.
        duration lease = rollout::trial_selector::options().lease;
    };

    /// Among how many counters the slack of a trial is divided.
    struct deployment
    {
        std::size_t gates = 1;
        std::size_t routes = 1; ///< of the service
    };

    explicit gate_rollouts(options settings) : settings_(settings) {}

    /// @brief Applies a record if it is newer than the known one. The evidence
    ///     of a new rollout begins empty.
    /// @return whether it was newer
    bool apply(const rollout::rollout_record& record, deployment known);

    /// @brief The leader still judges these rollouts.
    void renew(std::span<const std::uint64_t> numbers, time_point now);

    /// @brief Counts a request that is about to be sent for the first time.
    /// @return whether it takes part in the trial of the service's target
    [[nodiscard]] bool admit_to_trial(const service_id& service,
                                      std::string_view route, time_point now);

    /// @brief The versions that a request may be sent to.
    /// @param on_trial result of `admit_to_trial`; without effect if the trial
    ///     has ended since. Repeats of a request pass false.
    [[nodiscard]] version_preference preference(const service_id& service,
                                                bool on_trial) const;

    /// @return null if the service never had a rollout
    [[nodiscard]] const rollout::rollout_record*
    find(const service_id& service) const
    {
        return records_.find(service);
    }

    /// @brief True if the version is on trial, so that each request to it
    ///     counts as exposure.
    [[nodiscard]] bool on_trial(const service_id& service,
                                const software_version& version) const;

    /// @brief True if the version was rolled back. This is final, so a gate
    ///     that knows it must not follow the placement of a leader that
    ///     doesn't yet.
    [[nodiscard]] bool rolled_back(const service_id& service,
                                   const software_version& version) const;

    /// @brief Whether a stream may resume from a copy of its KV cache.
    /// @param engine version that made the copy
    /// @param holder version of the engine that holds it
    /// @param on_trial whether the stream was placed as part of the trial
    [[nodiscard]] bool may_resume(const service_id& service,
                                  const software_version& engine,
                                  const software_version& holder,
                                  bool on_trial) const;

    /// @brief Counts an answer that is no failure.
    /// @param latency nothing if it says nothing of the version
    void note_answer(const service_id& service, std::string_view route,
                     const software_version& version,
                     std::optional<duration> latency);

    /// @brief Counts a request that was sent and got a failure or no answer.
    void note_failure(const service_id& service, std::string_view route,
                      const software_version& version);

    /// @brief True while a rollout of any service is in progress.
    [[nodiscard]] bool in_progress() const;

    /// @return the evidence of the rollouts in progress that has changed since
    ///     `mark_reported`
    [[nodiscard]] std::vector<rollout_evidence> unreported() const;

    /// @brief The evidence of the service was sent to the leader.
    void mark_reported(const service_id& service);

    /// @brief There is a new leader, which has no evidence.
    void report_again();

private:
    /// A rollout in progress.
    struct course
    {
        rollout::trial_selector selector;
        std::map<std::pair<std::string, software_version>,
                 rollout::version_evidence>
            evidence = {};
        bool changed = false;
    };

    [[nodiscard]] rollout::version_evidence*
    evidence_of(const service_id& service, std::string_view route,
                const software_version& version);

    options settings_;
    rollout_records records_;
    std::map<service_id, course> courses_;
    /// The last lease, which may arrive before the record that it is for.
    std::vector<std::uint64_t> leased_;
    time_point leased_at_{};
};

} // namespace bamboogate::relay

#endif
