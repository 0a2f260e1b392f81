#ifndef BAMBOOGATE_ROLLOUT_TRIAL_SELECTOR_HPP
#define BAMBOOGATE_ROLLOUT_TRIAL_SELECTOR_HPP

#include <bamboogate/core/time.hpp>
#include <bamboogate/rollout/rollout.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace bamboogate::rollout {

/// Chooses the requests of one gate that take part in a trial. Each gate gives
/// the target version at most its share of its own requests on each route, so
/// that the share of all gates together is bounded without messages among them,
/// also while there is no leader. Performs no I/O. Not thread safe.
class trial_selector
{
public:
    struct options
    {
        double share = 0.0;
        /// A gate that has no word of the leader for this long ends its part in
        /// the trial: nobody would tell it of a rollback.
        duration lease = std::chrono::milliseconds(1500);
        /// Position of this gate in [0, 1): gates begin with different
        /// fractions of a request, so that small gates take part as well.
        double offset = 0.0;
    };

    explicit trial_selector(options settings);

    /// @brief The leader still judges the rollout.
    void renew(time_point now);

    /// @brief Counts a request. @return whether it takes part in the trial
    [[nodiscard]] bool admit(std::string_view route, time_point now);

private:
    options settings_;
    time_point renewed_at_{};
};

} // namespace bamboogate::rollout

#endif
