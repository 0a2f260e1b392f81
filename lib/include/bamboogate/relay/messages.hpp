#ifndef BAMBOOGATE_RELAY_MESSAGES_HPP
#define BAMBOOGATE_RELAY_MESSAGES_HPP

#include <bamboogate/core/json.hpp>
#include <bamboogate/relay/protocol.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bamboogate::relay {

void to_json(json& document, const announcement& value);
void from_json(const json& document, announcement& value);

// Messages between gates and control replicas, and among replicas. Replicas
// are named by the address of their link listener, so that a name is enough
// to dial them.

/// Gate to replica, when their link comes up: asks for news.
struct subscribe
{
    static constexpr std::string_view type = "relay_subscribe";
    std::uint64_t version = 0; ///< configuration that the gate uses
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(subscribe, version)
};

/// Replica to all peers: the control plane as it knows it.
struct control_view
{
    static constexpr std::string_view type = "relay_control_view";
    std::vector<std::string> replicas;
    std::string leader;        ///< empty: unknown
    std::uint64_t version = 0; ///< newest committed configuration
    std::uint64_t gates = 0;   ///< gates that are subscribed to this replica
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(control_view, replicas, leader, version,
                                   gates)
};

/// Asks for the newest configuration that a replica has applied.
struct fetch_configuration
{
    static constexpr std::string_view type = "relay_fetch_configuration";
    std::uint64_t above = 0; ///< nothing is sent unless it is newer
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(fetch_configuration, above)
};

/// A configuration as its operator wrote it; version 0: none.
struct configuration_document
{
    static constexpr std::string_view type = "relay_configuration_document";
    std::uint64_t version = 0;
    std::string text;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(configuration_document, version, text)
};

/// Replica to leader: stores a configuration that was checked.
struct store_configuration
{
    static constexpr std::string_view type = "relay_store_configuration";
    std::uint64_t version = 0;
    std::string text;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(store_configuration, version, text)
};

/// The version that is in force after a `store_configuration`.
struct configuration_stored_reply
{
    static constexpr std::string_view type = "relay_configuration_stored";
    std::uint64_t version = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(configuration_stored_reply, version)
};

/// Replica to leader: the newest configuration, proved to be it.
struct read_configuration
{
    static constexpr std::string_view type = "relay_read_configuration";
    std::uint64_t held = 0; ///< version that the asker has
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(read_configuration, held)
};

/// A replica that is no member asks to become one.
struct join_request
{
    static constexpr std::string_view type = "relay_join_request";
    std::string node;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(join_request, node)
};

/// Announcements that a replica has received from upstreams, or the word
/// that an upstream leaves.
struct announcement_update
{
    static constexpr std::string_view type = "relay_announcement_news";
    std::vector<announcement> heard;
    std::vector<announcement> leaving;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(announcement_update, heard, leaving)
};

/// Gate to replicas, and replicas to gates: an upstream's connections broke
/// or fell silent.
struct upstream_suspicion
{
    static constexpr std::string_view type = "relay_upstream_suspicion";
    std::string upstream;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(upstream_suspicion, upstream)
};

/// Gate to leader: asks for a place for a stream. The reply comes when there
/// is one, or when the stream is refused.
struct place_request
{
    static constexpr std::string_view type = "relay_place_request";
    service_id service;
    request_id id;
    client_account_id account;
    unsigned rank = 0;
    bool urgent = false; ///< of the most urgent kind of request
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0;
    std::string prompt; ///< names what the stream's engine has to read
    std::vector<upstream_id> excluded;
    bool resuming = false;
    std::int64_t start_within_ms = 0; ///< later is too late for its objective
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(place_request, service, id, account, rank,
                                   urgent, prompt_tokens, output_tokens, prompt,
                                   excluded, resuming, start_within_ms)
};

/// @brief The holder of a copy that a message names; empty means none.
[[nodiscard]] inline std::optional<upstream_id>
named_holder(const upstream_id& id)
{
    return id.empty() ? std::nullopt : std::optional(id);
}

/// The leader's decision.
struct place_reply
{
    static constexpr std::string_view type = "relay_place_reply";
    upstream_id engine;      ///< empty: refused
    upstream_id copy_holder; ///< empty: no copy
    std::int64_t retry_after_ms = 0;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(place_reply, engine, copy_holder,
                                   retry_after_ms)
};

/// Gate to leader: a running stream needs another engine for its copy.
struct copy_request
{
    static constexpr std::string_view type = "relay_copy_request";
    service_id service;
    request_id id;
    std::vector<upstream_id> excluded; ///< those that had no room
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(copy_request, service, id, excluded)
};

/// The engine that is to hold the copy.
struct copy_reply
{
    static constexpr std::string_view type = "relay_copy_reply";
    upstream_id holder; ///< empty: none has room
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(copy_reply, holder)
};

/// Gate to leader: what became of a run. A new leader gets one for each
/// stream that runs.
struct run_update
{
    static constexpr std::string_view type = "relay_run_update";
    enum class change : std::uint8_t
    {
        placed = 0,  ///< runs on `engine`, by the gate's own choice
        started = 1, ///< its first event was seen
        ended = 2,
    };

    service_id service;
    request_id id;
    std::uint8_t what = 0; ///< a `change`
    client_account_id account;
    unsigned rank = 0;
    bool urgent = false;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0;
    std::string prompt;
    std::uint64_t unread_tokens = 0;
    upstream_id engine;
    upstream_id copy_holder;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(run_update, service, id, what, account, rank,
                                   urgent, prompt_tokens, output_tokens, prompt,
                                   unread_tokens, engine, copy_holder)
};

} // namespace bamboogate::relay

#endif
