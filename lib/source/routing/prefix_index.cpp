#include <bamboogate/routing/prefix_index.hpp>

#include <xxhash.h>

#include <algorithm>

namespace bamboogate::routing {

std::vector<std::uint64_t> prefix_hashes(std::string_view prompt,
                                         std::size_t max_blocks)
{
    const std::size_t blocks =
        std::min(prompt.size() / prefix_block_bytes, max_blocks);
    std::vector<std::uint64_t> hashes;
    hashes.reserve(blocks);
    std::uint64_t chained = 0;
    for (std::size_t i = 0; i < blocks; ++i) {
        chained = XXH64(prompt.data() + i * prefix_block_bytes,
                        prefix_block_bytes, chained);
        hashes.push_back(chained);
    }
    return hashes;
}

bool prefix_index::apply(const upstream_id& engine,
                         incarnation engine_incarnation,
                         const cache_event_batch& batch)
{
    auto [found, is_new] = engines_.try_emplace(engine);
    engine_state& state = found->second;
    if (is_new || state.engine_incarnation != engine_incarnation) {
        clear(engine, state);
        state.engine_incarnation = engine_incarnation;
        state.next_sequence = batch.first_sequence;
    }
    if (batch.events.empty()) {
        return true;
    }
    bool complete = true;
    if (batch.first_sequence > state.next_sequence) {
        clear(engine, state);
        state.next_sequence = batch.first_sequence;
        complete = false;
    }
    const std::uint64_t known = state.next_sequence - batch.first_sequence;
    for (std::size_t i = known; i < batch.events.size(); ++i) {
        const cache_event& event = batch.events[i];
        if (event.op == cache_event::operation::add) {
            add(engine, state, event.prefix_hash);
        } else {
            remove(engine, state, event.prefix_hash);
        }
        ++state.next_sequence;
    }
    return complete;
}

void prefix_index::drop(const upstream_id& engine)
{
    const auto found = engines_.find(engine);
    if (found == engines_.end()) {
        return;
    }
    clear(engine, found->second);
    engines_.erase(found);
}

std::vector<prefix_index::match>
prefix_index::find(std::span<const std::uint64_t> hashes,
                   std::size_t max_matches) const
{
    std::vector<match> matches;
    // An engine that holds a block usually holds the previous ones too, so the
    // first match of an engine, searched from the end, is its longest.
    for (std::size_t i = hashes.size(); i > 0; --i) {
        const auto found = holders_.find(hashes[i - 1]);
        if (found == holders_.end()) {
            continue;
        }
        for (const upstream_id& engine : found->second) {
            const bool listed = std::any_of(
                matches.begin(), matches.end(),
                [&](const match& known) { return known.engine == engine; });
            if (listed) {
                continue;
            }
            matches.push_back({engine, i});
            if (matches.size() == max_matches) {
                return matches;
            }
        }
    }
    return matches;
}

void prefix_index::add(const upstream_id& engine, engine_state& state,
                       std::uint64_t hash)
{
    if (!state.hashes.insert(hash).second) {
        return;
    }
    state.order.push_back(hash);
    holders_[hash].push_back(engine);
    ++total_;
    while (state.hashes.size() > settings_.max_hashes_per_engine ||
           (total_ > settings_.max_hashes && !state.order.empty())) {
        const std::uint64_t oldest = state.order.front();
        state.order.pop_front();
        remove(engine, state, oldest);
    }
    // Removed hashes stay in `order`; compact it when they are the majority.
    if (state.order.size() > 2 * state.hashes.size() + 64) {
        std::unordered_set<std::uint64_t> retained;
        std::erase_if(state.order, [&](std::uint64_t item) {
            return !state.hashes.contains(item) ||
                   !retained.insert(item).second;
        });
    }
}

void prefix_index::remove(const upstream_id& engine, engine_state& state,
                          std::uint64_t hash)
{
    if (state.hashes.erase(hash) == 0) {
        return;
    }
    --total_;
    const auto found = holders_.find(hash);
    std::erase(found->second, engine);
    if (found->second.empty()) {
        holders_.erase(found);
    }
}

void prefix_index::clear(const upstream_id& engine, engine_state& state)
{
    const std::vector<std::uint64_t> held(state.hashes.begin(),
                                          state.hashes.end());
    for (const std::uint64_t hash : held) {
        remove(engine, state, hash);
    }
    state.order.clear();
}

} // namespace bamboogate::routing
