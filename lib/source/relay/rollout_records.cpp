#include <bamboogate/relay/rollout_records.hpp>

#include <tuple>

namespace bamboogate::relay {

version_preference general_preference(const rollout::rollout_record& record)
{
    const bool judged_sound =
        record.current_phase() == rollout::rollout_phase::shifting ||
        record.current_phase() == rollout::rollout_phase::completed;
    const auto general = record.general_filter();
    return {.preferred = general,
            .fallback = judged_sound ? rollout::version_filter() : general};
}

bool rollout_records::apply(const rollout::rollout_record& record)
{
    const auto found = records_.find(record.service);
    if (found != records_.end() &&
        std::tie(record.number, record.phase) <=
            std::tie(found->second.number, found->second.phase)) {
        return false;
    }
    records_.insert_or_assign(record.service, record);
    return true;
}

const rollout::rollout_record*
rollout_records::find(const service_id& service) const
{
    if (records_.empty()) {
        return nullptr;
    }
    const auto found = records_.find(service);
    return found == records_.end() ? nullptr : &found->second;
}

} // namespace bamboogate::relay
