#ifndef BAMBOOGATE_RELAY_ORIGIN_MESSAGES_HPP
#define BAMBOOGATE_RELAY_ORIGIN_MESSAGES_HPP

#include <bamboogate/core/json.hpp>
#include <bamboogate/relay/stream_origins.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace bamboogate::net {

class link_hub;

} // namespace bamboogate::net

namespace bamboogate::relay {

/// What a control replica knows of the origin of a resumed stream.
enum class origin_state : std::uint8_t
{
    not_asked = 0, ///< the stream is new, or the replica is of an earlier build
    known = 1,
    pending = 2, ///< unknown, but the gates may still report it
    unknown = 3,
    abandoned = 4, ///< no upstream of its version is left
};

/// Gate to replica and replica to replica: the origins of streams, see
/// `stream_origins`.
struct origin_update
{
    static constexpr std::string_view type = "relay_origin_update";
    service_id service;
    software_version version;
    std::vector<std::uint64_t> streams; ///< see `stream_key`
    /// False for all that a replica remembers, which may be outdated: a stream
    /// without events may have been placed again at another version since.
    bool current = true;
    /// The streams have begun, see `origin_record`. Earlier builds don't send
    /// the field.
    bool begun = false;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE_WITH_DEFAULT(origin_update, service, version,
                                                streams, current, begun)
};

/// Replica to gates, on each change and to new subscribers: the versions at
/// which streams may begin, see `version_history`.
struct recorded_versions
{
    static constexpr std::string_view type = "relay_recorded_versions";
    std::map<service_id, std::set<software_version>> versions;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(recorded_versions, versions)
};

/// Gate to replica, if there is no leader: asks for the origin of a stream.
struct find_origin
{
    static constexpr std::string_view type = "relay_find_origin";
    service_id service;
    std::uint64_t stream = 0; ///< see `stream_key`
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(find_origin, service, stream)
};

struct origin_reply
{
    static constexpr std::string_view type = "relay_origin_reply";
    std::uint8_t state = 0; ///< value of `origin_state`
    software_version version;
    NLOHMANN_DEFINE_TYPE_INTRUSIVE(origin_reply, state, version)
};

/// @brief Sends the origins of streams to a peer, in messages of bounded size.
/// @param current see `origin_update`
void send_origins(net::link_hub& hub, const node_id& peer,
                  std::span<const origin_batch> batches, bool current = true);

} // namespace bamboogate::relay

#endif
