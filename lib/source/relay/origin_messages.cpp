#include <bamboogate/net/link_hub.hpp>
#include <bamboogate/relay/origin_messages.hpp>

#include <algorithm>

namespace bamboogate::relay {

namespace {

/// Keeps a message far below the frame limit of links.
constexpr std::size_t max_streams_per_message = 8192;

} // namespace

void send_origins(net::link_hub& hub, const node_id& peer,
                  std::span<const origin_batch> batches, bool current)
{
    for (const auto& [origin, keys, begun] : batches) {
        std::span<const std::uint64_t> rest = keys;
        while (!rest.empty()) {
            const auto part =
                rest.first(std::min(rest.size(), max_streams_per_message));
            rest = rest.subspan(part.size());
            hub.send(peer, origin_update{.service = origin.service,
                                         .version = origin.version,
                                         .streams = {part.begin(), part.end()},
                                         .current = current,
                                         .begun = begun});
        }
    }
}

} // namespace bamboogate::relay
