#ifndef BAMBOOGATE_ROUTING_PREFIX_INDEX_HPP
#define BAMBOOGATE_ROUTING_PREFIX_INDEX_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/routing/announcement.hpp>

#include <cstdint>
#include <deque>
#include <span>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace bamboogate::routing {

/// Size of the text blocks that prefix hashes are chained over.
inline constexpr std::size_t prefix_block_bytes = 256;

/// @brief Chained xxHash64 over the full blocks of a prompt: hash i covers
///     blocks 0 to i. The seed of each block is the hash of the previous one;
///     the first seed is 0. A partial last block is ignored. Thread safe.
/// @param max_blocks further blocks are ignored
[[nodiscard]] std::vector<std::uint64_t>
prefix_hashes(std::string_view prompt, std::size_t max_blocks = 256);

/// Index of the prompt prefixes that engines probably have cached. A hint only:
/// cache events arrive late and with gaps. Pure. Bounded in size. Not thread
/// safe.
class prefix_index
{
public:
    struct options
    {
        std::size_t max_hashes_per_engine = 8192;
        std::size_t max_hashes = 1u << 20;
    };

    prefix_index() : prefix_index(options{}) {}
    explicit prefix_index(options settings) : settings_(settings) {}

    /// @brief Applies the cache events of an announcement. Repeated events are
    ///     ignored.
    /// @return false when events are missing; the engine's entries were
    ///     discarded and are rebuilt from this batch
    bool apply(const upstream_id& engine, incarnation engine_incarnation,
               const cache_event_batch& batch);

    /// @brief Removes an engine and its hashes.
    void drop(const upstream_id& engine);

    /// An engine and the number of leading blocks that it holds.
    struct match
    {
        upstream_id engine;
        std::size_t blocks = 0;
    };

    /// @brief Engines with the longest cached prefixes, longest first.
    /// @param hashes from `prefix_hashes`
    [[nodiscard]] std::vector<match> find(std::span<const std::uint64_t> hashes,
                                          std::size_t max_matches = 8) const;

    [[nodiscard]] std::size_t size() const noexcept { return total_; }

private:
    struct engine_state
    {
        incarnation engine_incarnation;
        std::uint64_t next_sequence = 0;
        std::unordered_set<std::uint64_t> hashes;
        /// Oldest first. Also contains hashes that were removed.
        std::deque<std::uint64_t> order;
    };

    void add(const upstream_id& engine, engine_state& state,
             std::uint64_t hash);
    void remove(const upstream_id& engine, engine_state& state,
                std::uint64_t hash);
    void clear(const upstream_id& engine, engine_state& state);

    options settings_;
    std::unordered_map<upstream_id, engine_state> engines_;
    std::unordered_map<std::uint64_t, std::vector<upstream_id>> holders_;
    std::size_t total_ = 0;
};

} // namespace bamboogate::routing

#endif
