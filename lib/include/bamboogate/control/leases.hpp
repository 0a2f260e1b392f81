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

/// The leader's table of gate leases: a pure value, time is an argument.
///
/// A gate counts its lease from the time it sent the renewal, the leader from
/// the later time it received it, so the leader never believes a lease to be
/// over that the gate still uses.
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

    /// @brief Starts with an empty table. Leases that the earlier leader
    ///     granted are not known, but end within one lease from now.
    void start_leadership(time_point now);

    /// @brief Grants a lease. A lease of another incarnation of the gate
    ///     stays until it ends, because a paused process may still hold it.
    void renew(const owner& gate, bamboogate::revision applied, time_point now);

    /// @brief Notes what a gate has applied.
    void record_applied(const owner& gate, bamboogate::revision applied);

    /// @brief True when no gate can admit work under an older revision: one
    ///     full lease has passed since this replica began to lead, and every
    ///     gate has applied the revision or its lease is over.
    [[nodiscard]] bool in_force(bamboogate::revision wanted,
                                time_point now) const;

    /// @brief True when the process is gone: a newer incarnation of the gate
    ///     was heard, or nothing for `silence`.
    [[nodiscard]] bool is_lost(const owner& gate, time_point now,
                               duration silence) const;

    /// @brief Forgets gates that were not heard for `silence`.
    void remove_lost(time_point now, duration silence);

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
