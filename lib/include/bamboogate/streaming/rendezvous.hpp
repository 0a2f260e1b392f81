#ifndef BAMBOOGATE_STREAMING_RENDEZVOUS_HPP
#define BAMBOOGATE_STREAMING_RENDEZVOUS_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/net/link_hub.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace bamboogate::streaming {

/// @brief Peers in the order in which they are chosen as buddies of a
///     generation, by highest random weight. The order between two peers does
///     not depend on the others. Thread safe.
/// @param own_domain peers in other failure domains come first
[[nodiscard]] std::vector<net::peer_info>
rendezvous_order(const request_id& id, std::vector<net::peer_info> peers,
                 const failure_domain_id& own_domain);

/// What the text of a request id says about the generation's first gates.
struct request_id_hints
{
    node_id owner;
    node_id buddy; ///< empty when there was none
};

/// @brief A request id, `<owner>~<buddy>~<random>`. The rendezvous order
///     depends on the random part only, so that the buddy can be chosen first.
[[nodiscard]] request_id make_request_id(const request_id_hints& hints,
                                         std::uint64_t random);

/// @brief The hints of an id; empty ones where the text has another form.
[[nodiscard]] request_id_hints hints_of(const request_id& id);

} // namespace bamboogate::streaming

#endif
