#ifndef BAMBOOGATE_ROLLOUT_JUDGEMENT_HPP
#define BAMBOOGATE_ROLLOUT_JUDGEMENT_HPP

#include <bamboogate/core/time.hpp>
#include <bamboogate/rollout/rollout.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <string>

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
    std::string reason;                ///< for operators
    std::uint64_t target_requests = 0; ///< since the rollout began
    std::uint64_t other_requests = 0;
    std::uint64_t target_failures = 0;
};

/// Compares the target version of a rollout with the versions that it replaces,
/// on the same routes and over the same time, by a sequential test. Performs no
/// I/O. Not thread safe.
class version_judge
{
public:
    explicit version_judge(software_version target);

    /// @brief Takes in a gate's evidence since the rollout began; it replaces
    ///     the gate's earlier report. Counts that are lower than before mean
    ///     that the gate has restarted.
    /// @param reporter identifies the gate
    void record(const std::string& reporter,
                std::span<const version_evidence> evidence, time_point now);

    [[nodiscard]] judgement judge(time_point now) const;

private:
    software_version target_;
};

} // namespace bamboogate::rollout

#endif
