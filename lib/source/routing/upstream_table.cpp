#include <bamboogate/routing/upstream_table.hpp>

#include <algorithm>
#include <limits>

namespace bamboogate::routing {

namespace {

announcement_position end_of_incarnation(incarnation upstream_incarnation)
{
    return {upstream_incarnation, std::numeric_limits<std::uint64_t>::max()};
}

} // namespace

upstream_table::upstream_table(options settings)
    : settings_(std::move(settings))
{}

void upstream_table::on_event(observer function)
{
    observers_.push_back(std::move(function));
}

void upstream_table::notify(table_event event,
                            const upstream_record& record) const
{
    for (const observer& function : observers_) {
        function(event, record);
    }
}

update_result upstream_table::announce(announcement received, time_point now)
{
    return apply(std::move(received), now, now);
}

update_result upstream_table::apply(announcement received,
                                    time_point received_at, time_point now)
{
    const announcement_position position{received.incarnation,
                                         received.sequence};
    if (const auto known = tombstones_.find(received.id);
        known != tombstones_.end() && position <= known->second.void_until) {
        return update_result::stale;
    }
    const auto found = records_.find(received.id);
    if (found == records_.end()) {
        if (records_.size() >= settings_.max_upstreams) {
            return update_result::table_full;
        }
        const upstream_id id = received.id;
        auto& record = records_[id];
        record = {.latest = std::move(received),
                  .last_heard = received_at,
                  .joined = now,
                  .version = ++version_};
        notify(table_event::joined, record);
        return update_result::accepted;
    }
    upstream_record& record = found->second;
    if (position <= record.position()) {
        return update_result::stale;
    }
    const bool new_incarnation =
        received.incarnation > record.latest.incarnation;
    const bool recovered = record.suspected;
    // A drain lasts until the upstream restarts: a later announcement that was
    // created before the drain must not make it accept work again.
    received.draining =
        received.draining || (!new_incarnation && record.latest.draining);
    record.latest = std::move(received);
    record.last_heard = std::max(record.last_heard, received_at);
    record.suspected = false;
    record.version = ++version_;
    if (new_incarnation) {
        record.joined = now;
        notify(table_event::joined, record);
    } else {
        notify(recovered ? table_event::recovered : table_event::updated,
               record);
    }
    return update_result::accepted;
}

update_result upstream_table::leave(const upstream_id& id,
                                    incarnation upstream_incarnation,
                                    time_point now)
{
    return add_tombstone(id, end_of_incarnation(upstream_incarnation),
                         table_event::left, now)
               ? update_result::accepted
               : update_result::stale;
}

bool upstream_table::add_tombstone(const upstream_id& id,
                                   announcement_position until,
                                   table_event reason, time_point now)
{
    auto& entry = tombstones_[id];
    const bool is_new = entry.id.empty();
    if (!is_new && until <= entry.void_until) {
        return false;
    }
    entry = {
        .id = id, .void_until = until, .version = ++version_, .since = now};
    const auto found = records_.find(id);
    if (found != records_.end() && found->second.position() <= until) {
        const upstream_record record = std::move(found->second);
        records_.erase(found);
        notify(reason, record);
    }
    evict_tombstones();
    return true;
}

void upstream_table::evict_tombstones()
{
    while (tombstones_.size() > settings_.max_tombstones) {
        const auto oldest = std::min_element(
            tombstones_.begin(), tombstones_.end(),
            [](const auto& left, const auto& right) {
                return left.second.version < right.second.version;
            });
        tombstones_.erase(oldest);
    }
}

std::size_t upstream_table::suspicion_votes(const upstream_record& record,
                                            time_point now) const
{
    std::size_t count = 0;
    for (const node_id& gate : settings_.gates) {
        if (gate == settings_.self) {
            count += record.suspected ? 1 : 0;
            continue;
        }
        const auto votes = votes_.find(gate);
        if (votes == votes_.end()) {
            continue;
        }
        const auto found = votes->second.find(record.latest.id);
        // A gate that missed a newer announcement cannot tell that the upstream
        // is silent, so its vote counts only if its last announcement is at
        // least as new as the one known here. A vote expires when its gate
        // stops sending.
        if (found != votes->second.end() &&
            found->second.last_known >= record.position() &&
            now - found->second.received < settings_.ttl) {
            ++count;
        }
    }
    return count;
}

void upstream_table::expire(time_point now)
{
    std::vector<upstream_id> removed;
    for (auto& [id, record] : records_) {
        if (now - record.last_heard < settings_.ttl) {
            continue;
        }
        if (!record.suspected) {
            record.suspected = true;
            notify(table_event::suspected, record);
        }
        if (suspicion_votes(record, now) > settings_.gates.size() / 2) {
            removed.push_back(id);
        }
    }
    for (const upstream_id& id : removed) {
        add_tombstone(id, records_.at(id).position(), table_event::removed,
                      now);
    }
    std::erase_if(tombstones_, [&](const auto& entry) {
        return now - entry.second.since > settings_.tombstone_retention;
    });
}

std::vector<suspicion> upstream_table::suspicions() const
{
    std::vector<suspicion> list;
    for (const auto& [id, record] : records_) {
        if (record.suspected) {
            list.push_back({id, record.position()});
        }
    }
    return list;
}

std::vector<upstream_id> upstream_table::receive_suspicions(
    const node_id& gate, const std::vector<suspicion>& list, time_point now)
{
    const bool known_gate =
        std::find(settings_.gates.begin(), settings_.gates.end(), gate) !=
        settings_.gates.end();
    if (known_gate) {
        auto& votes = votes_[gate];
        votes.clear();
        for (const suspicion& item : list) {
            if (votes.size() < settings_.max_upstreams) {
                votes[item.id] = {item.last_known, now};
            }
        }
    }
    return newer_than(list);
}

std::vector<suspicion> upstream_table::overdue(time_point now) const
{
    std::vector<suspicion> list;
    for (const auto& [id, record] : records_) {
        if (now - record.last_heard >= settings_.ttl / 2) {
            list.push_back({id, record.position()});
        }
    }
    return list;
}

std::vector<upstream_id>
upstream_table::newer_than(const std::vector<suspicion>& list) const
{
    std::vector<upstream_id> newer;
    for (const suspicion& item : list) {
        const auto found = records_.find(item.id);
        const auto departure = tombstones_.find(item.id);
        const bool newer_announcement =
            found != records_.end() &&
            found->second.position() > item.last_known;
        const bool departed = departure != tombstones_.end() &&
                              departure->second.void_until >= item.last_known;
        if (newer_announcement || departed) {
            newer.push_back(item.id);
        }
    }
    return newer;
}

table_delta upstream_table::changes_since(std::uint64_t version,
                                          time_point now) const
{
    table_delta delta;
    delta.sender_version = version_;
    for (const auto& [id, record] : records_) {
        if (record.version > version) {
            delta.entries.push_back({record.latest, now - record.last_heard});
        }
    }
    for (const auto& [id, entry] : tombstones_) {
        if (entry.version > version) {
            delta.departures.push_back(entry);
        }
    }
    return delta;
}

table_delta upstream_table::changes_of(const std::vector<upstream_id>& ids,
                                       time_point now) const
{
    table_delta delta;
    delta.sender_version = version_;
    for (const upstream_id& id : ids) {
        if (const auto* record = find(id)) {
            delta.entries.push_back({record->latest, now - record->last_heard});
        }
        if (const auto departure = tombstones_.find(id);
            departure != tombstones_.end()) {
            delta.departures.push_back(departure->second);
        }
    }
    return delta;
}

std::size_t upstream_table::merge(const table_delta& delta, time_point now)
{
    std::size_t changes = 0;
    for (const tombstone& departure : delta.departures) {
        const bool is_leave = departure.void_until.sequence ==
                              std::numeric_limits<std::uint64_t>::max();
        changes += add_tombstone(
                       departure.id, departure.void_until,
                       is_leave ? table_event::left : table_event::removed, now)
                       ? 1
                       : 0;
    }
    for (const table_delta::entry& entry : delta.entries) {
        // The table of a gate that was isolated can be outdated: an upstream
        // whose last announcement there is older than a TTL is not added.
        if (entry.age >= settings_.ttl && find(entry.latest.id) == nullptr) {
            continue;
        }
        const duration age = std::max(entry.age, duration::zero());
        changes +=
            apply(entry.latest, now - age, now) == update_result::accepted ? 1
                                                                           : 0;
    }
    return changes;
}

const upstream_record*
upstream_table::find(const upstream_id& id) const noexcept
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

} // namespace bamboogate::routing
