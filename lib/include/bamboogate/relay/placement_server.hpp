#ifndef BAMBOOGATE_RELAY_PLACEMENT_SERVER_HPP
#define BAMBOOGATE_RELAY_PLACEMENT_SERVER_HPP

#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/link_hub.hpp>
#include <bamboogate/relay/instance_registry.hpp>
#include <bamboogate/relay/messages.hpp>
#include <bamboogate/relay/protocol.hpp>
#include <bamboogate/relay/stream_scheduler.hpp>

#include <functional>
#include <map>
#include <memory>
#include <span>

namespace bamboogate::relay {

/// Places the streams of all gates while this replica leads. It keeps no
/// durable state: a new leader learns the running streams from the gates.
/// Not thread safe.
class placement_server
{
public:
    /// @param hub, registry must outlive the server
    /// @param is_leader tells whether this replica may place streams now
    placement_server(net::event_loop& loop, net::link_hub& hub,
                     const instance_registry& registry,
                     std::function<bool()> is_leader);

    /// @brief Takes the engines' profiles from a configuration.
    void on_configuration(const configuration& current);

    /// @brief The upstream failed: it gets no stream for a while.
    void on_suspicion(const upstream_id& id);

    /// @brief This replica leads from now on. Streams wait a moment for the
    ///     engines' caches, which tell where a returning one belongs.
    void on_leadership_gained();

    /// @brief Every engine has told what it keeps: waiting ends.
    void on_caches_known();

    /// @brief Takes the prompts that an engine keeps, so that streams of
    ///     callers who return find them also after a change of the leader.
    void on_cache(const upstream_id& id,
                  std::span<const cached_prompt> changes);

    /// @brief Forgets the streams of a gate that is gone.
    void remove_gate(const node_id& gate);

    /// @brief Forgets everything; another replica leads.
    void reset();

    [[nodiscard]] std::size_t running() const;
    [[nodiscard]] std::size_t waiting() const;

private:
    struct pending
    {
        service_id service;
        node_id gate;
        std::function<void(result<place_reply>)> reply;
    };

    void on_request(const net::peer_info& peer, const place_request& request,
                    std::function<void(result<place_reply>)> reply);
    [[nodiscard]] copy_reply on_copy_request(const copy_request& request);
    void on_update(const net::peer_info& peer, const run_update& update);
    void refresh(const service_id& service, stream_scheduler& scheduler);
    void decide(const service_id& service);
    void decide_all();
    void answer(const request_id& id, result<place_reply> reply);

    net::event_loop& loop_;
    const instance_registry& registry_;
    std::function<bool()> is_leader_;
    std::map<service_id, engine_profile> profiles_;
    std::map<service_id, stream_scheduler> schedulers_;
    std::map<upstream_id, time_point> suspected_at_;
    std::map<request_id, pending> pending_;
    std::map<request_id, std::pair<node_id, service_id>> owners_;
    time_point caches_awaited_until_{};
    net::timer decide_timer_;
};

} // namespace bamboogate::relay

#endif
