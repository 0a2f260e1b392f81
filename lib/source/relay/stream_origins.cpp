#include <bamboogate/relay/stream_origins.hpp>

#include <xxhash.h>

#include <string>

namespace bamboogate::relay {

namespace {

template <typename Entries, typename Records>
std::vector<origin_batch> group(const Entries& from, const Records& records)
{
    std::map<std::size_t, origin_batch> batches;
    for (const auto& [key, number] : from) {
        auto& batch = batches[number];
        batch.origin = records[number].origin;
        batch.begun = records[number].begun;
        batch.keys.push_back(key);
    }
    std::vector<origin_batch> out;
    out.reserve(batches.size());
    for (auto& [number, batch] : batches) {
        out.push_back(std::move(batch));
    }
    return out;
}

} // namespace

std::uint64_t stream_key(const client_account_id& account,
                         const request_id& attempt)
{
    // The length keeps the account apart from the attempt.
    std::string text = std::to_string(account.value().size());
    text.append(" ").append(account.value()).append(attempt.value());
    return XXH3_64bits(text.data(), text.size());
}

stream_origins::origin_number
stream_origins::number_of(const origin_record& record)
{
    const auto [found, added] = numbers_.try_emplace(
        record, static_cast<origin_number>(records_.size()));
    if (added) {
        records_.push_back(record);
    }
    return found->second;
}

void stream_origins::store(std::uint64_t key, const origin_record& record,
                           time_point now)
{
    if (now - rotated_at_ >= settings_.retention ||
        recent_.size() >= settings_.max_entries / 2) {
        const bool outdated = now - rotated_at_ >= 2 * settings_.retention;
        older_ = outdated ? entries() : std::move(recent_);
        recent_ = {};
        rotated_at_ = now;
    }
    recent_.insert_or_assign(key, number_of(record));
}

void stream_origins::add(std::uint64_t key, const origin_record& record,
                         time_point now)
{
    store(key, record, now);
    unsent_.insert_or_assign(key, number_of(record));
}

void stream_origins::note(std::uint64_t key, const stream_origin& origin,
                          time_point now)
{
    const auto known = find(key);
    add(key, known && known->begun ? *known : origin_record{origin}, now);
}

void stream_origins::note_begun(std::uint64_t key, const stream_origin& origin,
                                time_point now)
{
    const auto known = find(key);
    if (!known || !known->begun) {
        add(key, {.origin = origin, .begun = true}, now);
    }
}

void stream_origins::merge(const origin_batch& batch, conflict rule,
                           time_point now)
{
    for (const auto key : batch.keys) {
        const auto known = find(key);
        const bool settled = known && known->begun;
        if (!known ||
            (!settled && (batch.begun || rule == conflict::replace))) {
            store(key, {.origin = batch.origin, .begun = batch.begun}, now);
        } else if (rule == conflict::replace) {
            store(key, *known, now); // renews the retention
        }
    }
}

std::optional<origin_record> stream_origins::find(std::uint64_t key) const
{
    for (const auto* each : {&recent_, &older_}) {
        if (const auto found = each->find(key); found != each->end()) {
            return records_[found->second];
        }
    }
    return std::nullopt;
}

std::vector<origin_batch> stream_origins::take_unsent()
{
    return group(std::exchange(unsent_, {}), records_);
}

std::vector<origin_batch> stream_origins::all() const
{
    entries merged = recent_;
    merged.insert(older_.begin(), older_.end());
    return group(merged, records_);
}

} // namespace bamboogate::relay
