#include <bamboogate/relay/stream_origins.hpp>

#include <xxhash.h>

#include <string>

namespace bamboogate::relay {

namespace {

template <typename Entries, typename Origins>
std::vector<origin_batch> group(const Entries& from, const Origins& origins)
{
    std::map<std::size_t, origin_batch> batches;
    for (const auto& [key, number] : from) {
        auto& batch = batches[number];
        batch.origin = origins[number];
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
stream_origins::number_of(const stream_origin& origin)
{
    const auto [found, added] = numbers_.try_emplace(
        origin, static_cast<origin_number>(origins_.size()));
    if (added) {
        origins_.push_back(origin);
    }
    return found->second;
}

void stream_origins::store(std::uint64_t key, const stream_origin& origin,
                           time_point now)
{
    if (now - rotated_at_ >= settings_.retention ||
        recent_.size() >= settings_.max_entries / 2) {
        const bool outdated = now - rotated_at_ >= 2 * settings_.retention;
        older_ = outdated ? entries() : std::move(recent_);
        recent_ = {};
        rotated_at_ = now;
    }
    recent_.insert_or_assign(key, number_of(origin));
}

void stream_origins::note(std::uint64_t key, const stream_origin& origin,
                          time_point now)
{
    store(key, origin, now);
    unsent_.insert_or_assign(key, number_of(origin));
}

void stream_origins::merge(const origin_batch& batch, conflict rule,
                           time_point now)
{
    for (const auto key : batch.keys) {
        if (rule == conflict::replace || !find(key)) {
            store(key, batch.origin, now);
        }
    }
}

std::optional<stream_origin> stream_origins::find(std::uint64_t key) const
{
    for (const auto* each : {&recent_, &older_}) {
        if (const auto found = each->find(key); found != each->end()) {
            return origins_[found->second];
        }
    }
    return std::nullopt;
}

std::vector<origin_batch> stream_origins::take_unsent()
{
    return group(std::exchange(unsent_, {}), origins_);
}

std::vector<origin_batch> stream_origins::all() const
{
    entries merged = recent_;
    merged.insert(older_.begin(), older_.end());
    return group(merged, origins_);
}

} // namespace bamboogate::relay
