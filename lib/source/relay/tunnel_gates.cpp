#include <bamboogate/relay/tunnel_gates.hpp>

#include <algorithm>

namespace bamboogate::relay {

std::vector<std::string> tunnel_gates::choose(const node_id& requester,
                                              const failure_domain_id& domain,
                                              std::size_t count)
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const auto& [gate, known] : gates_) {
        if (gate != requester && known.reaches_upstreams) {
            (known.domain == domain ? near : far).push_back(gate.value());
        }
    }
    // A partition often takes a whole domain, so one gate of another is named.
    const std::size_t reserved = count > 1 && !far.empty() ? 1 : 0;
    std::vector<std::string> out;
    const auto append = [&](const std::vector<std::string>& group,
                            std::size_t limit) {
        const std::size_t taken = std::min(group.size(), limit);
        for (std::size_t i = 0; i < taken; ++i) {
            out.push_back(group[(next_ + i) % group.size()]);
        }
    };
    append(near, count - reserved);
    append(far, count - out.size());
    ++next_;
    return out;
}

} // namespace bamboogate::relay
