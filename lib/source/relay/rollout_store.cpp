#include <bamboogate/relay/rollout_store.hpp>

#include <fmt/format.h>

#include <tuple>
#include <utility>

namespace bamboogate::relay {

namespace {

using rollout::rollout_phase;
using rollout::rollout_record;

// Commands of configurations have other fields, so that builds without
// rollouts ignore these.
constexpr const char* begin_field = "rollout_begin";
constexpr const char* change_field = "rollout_change";

bool is_legal(rollout_phase from, rollout_phase to)
{
    switch (from) {
    case rollout_phase::trial:
        return to == rollout_phase::shifting ||
               to == rollout_phase::rolled_back;
    case rollout_phase::shifting:
        return to == rollout_phase::completed ||
               to == rollout_phase::rolled_back;
    case rollout_phase::completed:
    case rollout_phase::rolled_back:
        return false;
    }
    return false;
}

bool is_newer(const rollout_record& record, const rollout_record& than)
{
    return std::tie(record.number, record.phase) >
           std::tie(than.number, than.phase);
}

bool is_valid(const rollout_record& record)
{
    return !record.service.empty() &&
           record.phase <=
               static_cast<std::uint8_t>(rollout_phase::rolled_back);
}

} // namespace

std::string rollout_store::encode_begin(const rollout_record& record)
{
    return encode_cbor(json{{begin_field, record}});
}

std::string rollout_store::encode_change(const rollout_phase_change& change)
{
    return encode_cbor(json{{change_field, change}});
}

bool rollout_store::is_command(const json& command)
{
    return command.is_object() &&
           (command.contains(begin_field) || command.contains(change_field));
}

std::string rollout_store::apply(const consensus::log_position& position,
                                 const json& command)
{
    service_id service;
    if (command.contains(begin_field)) {
        auto record = from_document<rollout_record>(command[begin_field]);
        if (record && is_valid(record.value())) {
            service = record.value().service;
            begin(position.index, std::move(record).value());
        }
    } else if (command.contains(change_field)) {
        const auto decided =
            from_document<rollout_phase_change>(command[change_field]);
        if (decided) {
            service = decided.value().service;
            change(decided.value());
        }
    }
    const rollout_record* last = find(service);
    return fmt::format("{}", last == nullptr ? 0 : last->number);
}

void rollout_store::begin(std::uint64_t index, rollout_record record)
{
    const rollout_record* last = find(record.service);
    if (last != nullptr && (last->in_progress() || last->number >= index)) {
        return;
    }
    record.number = index;
    record.phase = static_cast<std::uint8_t>(rollout_phase::trial);
    record.superseded.clear();
    record.reason.clear();
    replace(std::move(record));
}

void rollout_store::change(const rollout_phase_change& decided)
{
    const rollout_record* last = find(decided.service);
    const auto phase = static_cast<rollout_phase>(decided.phase);
    if (last == nullptr || last->number != decided.number ||
        !is_legal(last->current_phase(), phase)) {
        return;
    }
    rollout_record record = *last;
    record.phase = decided.phase;
    record.reason = decided.reason;
    if (phase == rollout_phase::shifting) {
        record.superseded = decided.superseded;
    }
    replace(std::move(record));
}

void rollout_store::replace(rollout_record record)
{
    const auto& stored = records_[record.service] = std::move(record);
    if (observer_) {
        observer_(stored);
    }
}

json rollout_store::snapshot() const
{
    json out = json::array();
    for (const auto& [service, record] : records_) {
        out.push_back(record);
    }
    return out;
}

result<void> rollout_store::restore(const json& snapshot)
{
    BOOST_OUTCOME_TRY(restored,
                      from_document<std::vector<rollout_record>>(snapshot));
    for (auto& record : restored) {
        if (!is_valid(record)) {
            return fail(errc::malformed_input, "rollout record");
        }
    }
    for (auto& record : restored) {
        const rollout_record* last = find(record.service);
        if (last == nullptr || is_newer(record, *last)) {
            replace(std::move(record));
        }
    }
    return outcome::success();
}

const rollout_record* rollout_store::find(const service_id& service) const
{
    const auto found = records_.find(service);
    return found == records_.end() ? nullptr : &found->second;
}

} // namespace bamboogate::relay
