#ifndef BAMBOOGATE_CONTROL_LEASES_HPP
#define BAMBOOGATE_CONTROL_LEASES_HPP

#include <bamboogate/control/journal.hpp>
#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bamboogate::control {

/// The leader's table of gate leases. Reads no clock; time is an argument. Not
/// thread safe.
///
/// On the gate a lease starts when the renewal is sent, on the leader when it
/// is received, which is later. The leader therefore never considers a lease
/// expired that the gate still uses.
class gate_leases
{
public:
    using owner = journal::owner;

    struct lease
    {
        time_point expires;
        time_point last_renewal;
        bamboogate::revision applied;
    };

    explicit gate_leases(duration length) : length_(length) {}

    /// @brief Clears the table when this replica becomes leader. Leases granted
    ///     by the previous leader are unknown, but expire within one lease
    ///     duration from `now`.
    void start_leadership(time_point now);

    /// @brief Grants or renews a lease. A lease of another incarnation of the
    ///     gate remains until it expires, because a paused process may still
    ///     hold it.
    void renew(const owner& gate, bamboogate::revision applied, time_point now);

    /// @brief Records the revision that a gate has applied.
    void record_applied(const owner& gate, bamboogate::revision applied);

    /// @brief True if no gate can admit work under an older revision: one full
    ///     lease has passed since this replica became leader, and every gate
    ///     has applied the revision or its lease has expired.
    [[nodiscard]] bool in_force(bamboogate::revision wanted,
                                time_point now) const;

    /// @brief True if the gate process counts as lost: a newer incarnation of
    ///     the gate has renewed, or this one has not renewed for `timeout`.
    [[nodiscard]] bool is_lost(const owner& gate, time_point now,
                               duration timeout) const;

    /// @brief Removes gates that have not renewed for `timeout` and whose lease
    ///     has expired.
    void remove_lost(time_point now, duration timeout);

    [[nodiscard]] const std::map<owner, lease>& all() const noexcept
    {
        return leases_;
    }

private:
    duration length_;
    time_point leader_since_{};
    std::map<owner, lease> leases_;
};

} // namespace bamboogate::control

#endif
