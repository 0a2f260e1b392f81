#include <bamboogate/relay/tunnel_gates.hpp>

#include <algorithm>

namespace bamboogate::relay {

gates_found tunnel_gates::choose(const node_id& requester,
                                 const failure_domain_id& domain,
                                 std::size_t count)
{
    gates_found usable;
    for (const auto& [gate, known] : gates_) {
        if (gate != requester && known.reaches_upstreams) {
            (known.domain == domain ? usable.near : usable.far)
                .push_back(gate.value());
        }
    }
    for (auto* group : {&usable.near, &usable.far}) {
        if (!group->empty()) {
            const auto first = group->begin() + static_cast<std::ptrdiff_t>(
                                                    next_ % group->size());
            std::rotate(group->begin(), first, group->end());
            group->resize(std::min(group->size(), count));
        }
    }
    ++next_;
    return usable;
}

} // namespace bamboogate::relay
