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

/// Text block over which prefix hashes are chained, in bytes.
inline constexpr std::size_t prefix_block_bytes = 256;

/// @brief Chained xxHash64 over the whole blocks of a prompt: hash i covers
///     blocks 0 to i. The seed of each block is the hash of the one before; the
///     first seed is 0. A last block that is not full is left out.
/// @param max_blocks further blocks are left out. Thread safe.
[[nodiscard]] std::vector<std::uint64_t>
prefix_hashes(std::string_view prompt, std::size_t max_blocks = 256);

/// Which engines probably hold which prompt prefixes. A hint only: cache events
/// are late and have gaps. Pure and bounded. Not thread safe.
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

    /// @brief Takes the cache events of an announcement.
    /// @return false when events are missing; the engine's index was dropped
    ///     and starts anew with this batch. Repeated events are ignored.
    bool apply(const upstream_id& engine, incarnation life,
               const cache_event_batch& batch);

    /// @brief Forgets an engine.
    void drop(const upstream_id& engine);

    /// An engine and how many leading blocks it holds.
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
        incarnation life;
        std::uint64_t next_sequence = 0;
        std::unordered_set<std::uint64_t> hashes;
        std::deque<std::uint64_t> order; ///< oldest first, with removed ones
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
