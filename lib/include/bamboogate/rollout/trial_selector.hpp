#ifndef BAMBOOGATE_ROLLOUT_TRIAL_SELECTOR_HPP
#define BAMBOOGATE_ROLLOUT_TRIAL_SELECTOR_HPP

#include <bamboogate/core/time.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace bamboogate::rollout {

/// Chooses the requests of one gate that take part in a trial. Each gate gives
/// the target version at most its share of its own requests on each route, so
/// that the share over all gates is bounded without messages among them, also
/// while there is no leader or the gate is cut off. Performs no I/O. Not thread
/// safe.
class trial_selector
{
public:
    struct options
    {
        double share = 0.0;
        /// A gate that has heard nothing of the leader for this long ends its
        /// part in the trial: nobody would tell it of a rollback.
        duration lease = std::chrono::milliseconds(1500);
        /// Fraction of a request that each route begins with. Gates begin with
        /// different ones, so that not all send their first requests at once.
        double offset = 0.0;
    };

    /// @pre offset is in [0, 1)
    explicit trial_selector(options settings) : settings_(settings) {}

    /// @brief The leader still judges the rollout.
    void renew(time_point now) { leased_until_ = now + settings_.lease; }

    /// @brief Counts a request.
    /// @return whether it takes part in the trial
    [[nodiscard]] bool admit(std::string_view route, time_point now);

private:
    options settings_;
    time_point leased_until_{};
    /// Fraction of a request that each route has saved up.
    std::map<std::string, double, std::less<>> saved_;
};

/// @brief The fraction with which a gate begins, such that the fractions of all
///     gates and routes together use a quarter of the slack at most.
/// @param position of the gate in [0, 1), for example a hash of its id
[[nodiscard]] double trial_offset(double position, double slack,
                                  std::size_t gates, std::size_t routes);

} // namespace bamboogate::rollout

#endif
