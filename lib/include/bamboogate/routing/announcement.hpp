#ifndef BAMBOOGATE_ROUTING_ANNOUNCEMENT_HPP
#define BAMBOOGATE_ROUTING_ANNOUNCEMENT_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/json.hpp>
#include <bamboogate/net/address.hpp>

#include <cstdint>
#include <string_view>
#include <vector>

namespace bamboogate::routing {

enum class upstream_kind : std::uint8_t
{
    engine,
    service,
};

/// A change of an engine's prefix cache.
struct cache_event
{
    enum class operation : std::uint8_t
    {
        add,
        remove,
    };
    operation op = operation::add;
    std::uint64_t prefix_hash = 0;

    bool operator==(const cache_event&) const = default;
};

/// Consecutive cache events, numbered from `first_sequence`.
struct cache_event_batch
{
    std::uint64_t first_sequence = 0;
    std::vector<cache_event> events;

    bool operator==(const cache_event_batch&) const = default;
};

/// State that an upstream reports to the gates.
struct announcement
{
    upstream_id id;
    upstream_kind kind = upstream_kind::engine;
    service_id service; ///< for plain services only
    bamboogate::incarnation incarnation;
    std::uint64_t sequence = 0; ///< increases within one incarnation
    net::address address;
    failure_domain_id failure_domain;
    std::vector<model_id> models;
    unsigned slots = 0;
    unsigned running = 0;
    unsigned queued = 0;
    std::uint64_t outstanding_tokens = 0; ///< of all gates, at report time
    bool draining = false;
    bool checks_fencing = false;
    cache_event_batch cache_events;

    bool operator==(const announcement&) const = default;
};

/// Limits on a single announcement.
struct announcement_limits
{
    std::size_t max_bytes = 256u << 10;
    std::size_t max_id_bytes = 128;
    std::size_t max_models = 64;
    std::size_t max_cache_events = 4096;
    unsigned max_slots = 4096;
};

/// @brief Parses an announcement from JSON text.
/// @return the announcement, `malformed_input`, `invalid_argument` (a value
///     out of its range, an engine without models or slots, a service without
///     a name) or `limit_exceeded`. Thread safe.
[[nodiscard]] result<announcement>
parse_announcement(std::string_view text,
                   const announcement_limits& limits = {});

/// @brief Converts a parsed JSON document; errors as above. Thread safe.
[[nodiscard]] result<announcement>
announcement_from(const json& document, const announcement_limits& limits = {});

/// @brief Converts to JSON; the inverse of `announcement_from`.
[[nodiscard]] json to_document(const announcement& value);

} // namespace bamboogate::routing

#endif
