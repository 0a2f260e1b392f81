#include <bamboogate/streaming/rendezvous.hpp>

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace bamboogate::streaming {

std::vector<net::peer_info>
rendezvous_order(const request_id& id, std::vector<net::peer_info> peers,
                 const failure_domain_id& own_domain)
{
    const std::string& text = id.value();
    const auto separator = text.rfind('~');
    const std::string_view key = std::string_view(text).substr(
        separator == std::string::npos ? 0 : separator + 1);
    const std::uint64_t seed = XXH64(key.data(), key.size(), 0);
    const auto weight = [seed](const net::peer_info& peer) {
        return XXH64(peer.node.value().data(), peer.node.value().size(), seed);
    };
    std::sort(peers.begin(), peers.end(),
              [&](const net::peer_info& a, const net::peer_info& b) {
                  return std::tuple(a.failure_domain == own_domain, weight(b),
                                    b.node) <
                         std::tuple(b.failure_domain == own_domain, weight(a),
                                    a.node);
              });
    return peers;
}

request_id make_request_id(const request_id_hints& hints, std::uint64_t random)
{
    return request_id(fmt::format("{}~{}~{:016x}", hints.owner.value(),
                                  hints.buddy.value(), random));
}

request_id_hints hints_of(const request_id& id)
{
    const std::string& text = id.value();
    const auto last = text.rfind('~');
    if (last == std::string::npos || last == 0) {
        return {};
    }
    const auto middle = text.rfind('~', last - 1);
    if (middle == std::string::npos) {
        return {};
    }
    return {node_id(text.substr(0, middle)),
            node_id(text.substr(middle + 1, last - middle - 1))};
}

} // namespace bamboogate::streaming
