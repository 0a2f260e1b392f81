#ifndef BAMBOOGATE_RELAY_ROLLOUT_RECORDS_HPP
#define BAMBOOGATE_RELAY_ROLLOUT_RECORDS_HPP

#include <bamboogate/rollout/rollout.hpp>

#include <map>

namespace bamboogate::relay {

/// Which versions of a service new work goes to. The default is any version.
struct version_preference
{
    rollout::version_filter preferred = {};
    /// Used if no upstream that `preferred` admits can take the work.
    rollout::version_filter fallback = {};
};

/// @brief The versions for work that takes no part in a trial. While a version
///     is unproved or after it was rolled back, it gets nothing; once it was
///     judged sound, the versions that it replaces may still serve rather than
///     refusing the work.
[[nodiscard]] version_preference
general_preference(const rollout::rollout_record& record);

/// The newest rollout record of each service that a process has received.
/// Records may be delayed, duplicated and reordered. Performs no I/O. Not
/// thread safe.
class rollout_records
{
public:
    /// @return false if the record is not newer than the known one: a higher
    ///     number, or a higher phase of the same rollout
    bool apply(const rollout::rollout_record& record);

    /// @return null if the service never had a rollout
    [[nodiscard]] const rollout::rollout_record*
    find(const service_id& service) const;

    [[nodiscard]] bool empty() const { return records_.empty(); }

private:
    std::map<service_id, rollout::rollout_record> records_;
};

} // namespace bamboogate::relay

#endif
