#include <bamboogate/relay/departure_history.hpp>

namespace bamboogate::relay {

namespace {

// Commands of the other parts of the state have other fields, so that builds
// without the history ignore these.
constexpr const char* add_field = "departure_add";
constexpr const char* remove_field = "departure_remove";

} // namespace

std::string departure_history::encode_add(const upstream_id& id,
                                          std::uint64_t started_at)
{
    return encode_cbor(json{{add_field, departed_starts{{id, started_at}}}});
}

std::string departure_history::encode_remove(const departed_starts& departed)
{
    return encode_cbor(json{{remove_field, departed}});
}

bool departure_history::is_command(const json& command)
{
    return command.is_object() &&
           (command.contains(add_field) || command.contains(remove_field));
}

void departure_history::apply(const json& command)
{
    const bool adds = command.contains(add_field);
    const auto change = from_document<departed_starts>(
        command[adds ? add_field : remove_field]);
    if (!change) {
        return;
    }
    if (adds) {
        add(change.value());
        return;
    }
    for (const auto& [id, started_at] : change.value()) {
        const auto found = entries_.find(id);
        if (found != entries_.end() && found->second <= started_at) {
            entries_.erase(found);
        }
    }
}

void departure_history::add(const departed_starts& departed)
{
    departed_starts added;
    for (const auto& [id, started_at] : departed) {
        if (contains(id, started_at)) {
            continue;
        }
        entries_[id] = started_at;
        added[id] = started_at;
    }
    if (observer_ && !added.empty()) {
        observer_(added);
    }
}

json departure_history::snapshot() const
{
    return json(entries_);
}

result<void> departure_history::restore(const json& snapshot)
{
    BOOST_OUTCOME_TRY(restored, from_document<departed_starts>(snapshot));
    add(restored);
    return outcome::success();
}

bool departure_history::contains(const upstream_id& id,
                                 std::uint64_t started_at) const
{
    const auto found = entries_.find(id);
    return found != entries_.end() && found->second >= started_at;
}

} // namespace bamboogate::relay
