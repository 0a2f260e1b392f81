#ifndef BAMBOOGATE_RELAY_TUNNEL_GATES_HPP
#define BAMBOOGATE_RELAY_TUNNEL_GATES_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/relay/messages.hpp>

#include <cstddef>
#include <map>

namespace bamboogate::relay {

/// The gates with a link to a control replica that open tunnels to upstreams,
/// and whether they reach the upstreams themselves. Performs no I/O. Not thread
/// safe.
class tunnel_gates
{
public:
    /// @brief Records what a gate reports.
    void record(const node_id& gate, const failure_domain_id& domain,
                bool reaches_upstreams)
    {
        gates_.insert_or_assign(gate, state{domain, reaches_upstreams});
    }
    void remove(const node_id& gate) { gates_.erase(gate); }

    /// @brief Chooses gates that reach the upstreams. Successive calls take
    ///     turns, so that the load is spread.
    /// @return the link addresses of at most `count` other gates of the failure
    ///     domain, and as many of other domains
    [[nodiscard]] gates_found choose(const node_id& requester,
                                     const failure_domain_id& domain,
                                     std::size_t count);

private:
    struct state
    {
        failure_domain_id domain;
        bool reaches_upstreams = true;
    };

    std::map<node_id, state> gates_;
    std::size_t next_ = 0;
};

} // namespace bamboogate::relay

#endif
