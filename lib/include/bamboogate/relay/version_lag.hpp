#ifndef BAMBOOGATE_RELAY_VERSION_LAG_HPP
#define BAMBOOGATE_RELAY_VERSION_LAG_HPP

#include <bamboogate/core/time.hpp>

#include <cstdint>

namespace bamboogate::relay {

/// Measures for how long a holder of a growing version has lacked one that was
/// reported to it. Newer reports do not restart the time. Performs no I/O. Not
/// thread safe.
class version_lag
{
public:
    /// @brief Records that a version exists; older ones than the newest are
    ///     ignored.
    void note_reported(std::uint64_t version, time_point now);

    /// @brief Records the version that the holder has.
    void note_reached(std::uint64_t version);

    /// @brief The newest version that was reported.
    [[nodiscard]] std::uint64_t newest() const { return newest_; }
    /// @brief When the newest version was first reported.
    [[nodiscard]] time_point newest_at() const { return newest_at_; }

    /// @brief Time since the report of the oldest version that is still
    /// awaited;
    ///     zero if none is. After a step forward, the remaining versions count
    ///     from the newest report, so the time may be too short by the interval
    ///     between the reports that the step covered.
    [[nodiscard]] duration lag(time_point now) const;

private:
    std::uint64_t newest_ = 0;
    time_point newest_at_{};
    std::uint64_t reached_ = 0;
    std::uint64_t awaited_ = 0; ///< 0: none
    time_point awaited_since_{};
};

} // namespace bamboogate::relay

#endif
