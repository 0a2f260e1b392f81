#include <bamboogate/relay/version_lag.hpp>

#include <algorithm>

namespace bamboogate::relay {

void version_lag::note_reported(std::uint64_t version, time_point now)
{
    if (version <= newest_) {
        return;
    }
    newest_ = version;
    newest_at_ = now;
    if (awaited_ == 0 && version > reached_) {
        awaited_ = version;
        awaited_since_ = now;
    }
}

void version_lag::note_reached(std::uint64_t version)
{
    reached_ = std::max(reached_, version);
    if (awaited_ == 0 || reached_ < awaited_) {
        return;
    }
    awaited_ = newest_ > reached_ ? newest_ : 0;
    awaited_since_ = newest_at_;
}

duration version_lag::lag(time_point now) const
{
    return awaited_ == 0 ? duration::zero() : now - awaited_since_;
}

} // namespace bamboogate::relay
