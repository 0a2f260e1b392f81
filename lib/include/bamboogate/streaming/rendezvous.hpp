#ifndef BAMBOOGATE_STREAMING_RENDEZVOUS_HPP
#define BAMBOOGATE_STREAMING_RENDEZVOUS_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/net/link_hub.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace bamboogate::streaming {

/// @brief Sorts peers by preference as buddies of a generation, with rendezvous
///     hashing (highest random weight). The relative order of two peers does
///     not depend on the others. Thread safe.
/// @param own_domain peers in other failure domains come first
[[nodiscard]] std::vector<net::peer_info>
rendezvous_order(const request_id& id, std::vector<net::peer_info> peers,
                 const failure_domain_id& own_domain);

/// The first gates of a generation, as encoded in its request id.
struct request_id_hints
{
    node_id owner;
    node_id buddy; ///< empty when there was none
};

/// @brief Builds a request id, `<owner>~<buddy>~<random>`. The rendezvous order
///     depends on the random part only, so that the buddy can be chosen before
///     the id is complete.
[[nodiscard]] request_id make_request_id(const request_id_hints& hints,
                                         std::uint64_t random);

/// @brief Parses the hints of an id; empty when the id has another format.
[[nodiscard]] request_id_hints hints_of(const request_id& id);

} // namespace bamboogate::streaming

#endif
