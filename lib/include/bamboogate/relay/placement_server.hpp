#ifndef BAMBOOGATE_RELAY_PLACEMENT_SERVER_HPP
#define BAMBOOGATE_RELAY_PLACEMENT_SERVER_HPP

#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/link_hub.hpp>
#include <bamboogate/relay/instance_registry.hpp>
#include <bamboogate/relay/messages.hpp>
#include <bamboogate/relay/protocol.hpp>
#include <bamboogate/relay/rollout_records.hpp>
#include <bamboogate/relay/stream_origins.hpp>
#include <bamboogate/relay/stream_scheduler.hpp>
#include <bamboogate/relay/version_history.hpp>
#include <bamboogate/rollout/rollout.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>

namespace bamboogate::relay {

/// Assigns the streams of all gates to engines while this replica is the
/// leader. Has no durable state: the gates report running streams to a new
/// leader. Not thread safe.
class placement_server
{
public:
    /// @param hub, registry must outlive the server
    /// @param is_leader returns whether this replica may place streams
    placement_server(net::event_loop& loop, net::link_hub& hub,
                     const instance_registry& registry,
                     std::function<bool()> is_leader);

    /// @brief Updates the engine profiles from a configuration.
    void on_configuration(const configuration& current);

    /// @brief Follows the last rollout of a service.
    void on_rollout(const rollout::rollout_record& record);

    /// @brief Uses the replicated history of versions: engines of a version
    ///     that it doesn't contain get no streams, and the origin of an unknown
    ///     stream is the only version that it contains.
    /// @param history must outlive the server
    /// @param is_current returns whether no other replica can have added a
    ///     version since
    void use_version_history(const version_history& history,
                             std::function<bool()> is_current)
    {
        history_ = &history;
        history_is_current_ = std::move(is_current);
    }

    /// @brief The origins of the streams that were placed, kept while this
    ///     replica does not lead.
    [[nodiscard]] stream_origins& origins() { return origins_; }

    /// @brief What this replica knows of the origin of a stream that its caller
    ///     resumes.
    [[nodiscard]] origin_reply origin_of(const service_id& service,
                                         std::uint64_t stream) const;

    /// @brief Suspends a suspected upstream: it receives no streams for some
    ///     time.
    void on_suspicion(const upstream_id& id);

    /// @brief Stops placing streams on an engine that asked for a pause. After
    ///     the pause they are placed one at a time until one begins.
    void on_pause(const pause_statement& statement);

    /// @brief Refuses the requests of a quarantine that another process
    /// decided.
    /// @return false if it is known already
    bool add_quarantine(const quarantine_update& update);

    /// @brief The quarantines in effect, for processes that connect later.
    [[nodiscard]] std::vector<quarantine_update> quarantines() const;

    /// @param function receives each quarantine that this replica decides
    void on_quarantine(std::function<void(const quarantine_update&)> function)
    {
        on_quarantine_ = std::move(function);
    }

    /// @brief Takes over the leader's evidence against a request.
    /// @return false if it is known already
    bool add_suspicion(const suspicion_update& update);

    /// @brief The evidence that gates have to know, for processes that connect
    ///     later.
    [[nodiscard]] std::vector<suspicion_update> suspicions() const;

    /// @param function receives each change of the evidence against a request
    ///     that the gates have to know
    void
    on_suspicion_changed(std::function<void(const suspicion_update&)> function)
    {
        on_suspicion_changed_ = std::move(function);
    }

    /// @brief This replica became the leader. Placement is delayed until the
    ///     engines' caches are known, so that a retried stream goes to the
    ///     engine that caches its prompt. The delay is bounded.
    void on_leadership_gained();

    /// @brief The caches of all engines are known: ends the delay of
    ///     `on_leadership_gained`.
    void on_caches_known();

    /// @brief Records the prompts cached by an engine, so that retried streams
    ///     find them even after a leader change. Unknown engines are ignored.
    /// @param changes oldest first
    void on_cache(const upstream_id& id,
                  std::span<const cached_prompt> changes);

    /// @brief Removes the streams of a disconnected gate.
    void remove_gate(const node_id& gate);

    /// @return the gates whose streams run on the engine or have their copies
    ///     there
    [[nodiscard]] std::set<node_id> gates_using(const upstream_id& id) const;

    /// @brief Discards all streams after the loss of leadership; waiting
    ///     requests are answered with `not_leader`.
    void reset();

    [[nodiscard]] std::size_t running() const;
    /// @return streams that run on an upstream
    [[nodiscard]] std::size_t running_on(const upstream_id& id) const;
    [[nodiscard]] std::size_t waiting() const;
    /// @return how often waiting streams were decided on
    [[nodiscard]] std::uint64_t decisions() const { return decisions_; }

private:
    struct pending
    {
        service_id service;
        node_id gate;
        std::uint64_t stream = 0; ///< see `stream_key`
        std::optional<software_version> begun_at;
        std::function<void(result<place_reply>)> reply;
    };

    void on_request(const net::peer_info& peer, const place_request& request,
                    std::function<void(result<place_reply>)> reply);
    [[nodiscard]] copy_reply on_copy_request(const copy_request& request);
    void on_update(const net::peer_info& peer, const run_update& update);
    void on_crash(const crash_report& report);
    /// A request that is quarantined in another service is quarantined in this
    /// one after its next crash: its route may have moved.
    void note_quarantined_elsewhere(const crash_report& report);
    void on_suspect_answered(const suspect_answered& answered);
    void announce_suspicion(const suspicion_update& update);
    void refresh(const service_id& service, stream_scheduler& scheduler);
    /// @return streams that may be placed on the engine in addition to those
    ///     there, if a pause limits them
    [[nodiscard]] std::optional<std::size_t>
    allowed_by_pause(const upstream_id& id, const instance& engine,
                     const stream_planner& planner) const;
    /// Sets the versions that the rollout of the service allows.
    void update_versions(const service_id& service,
                         stream_scheduler& scheduler) const;
    /// True if the history shows that streams of the version may exist.
    [[nodiscard]] bool is_recorded(const service_id& service,
                                   const software_version& version) const;
    /// True while gates and upstreams may still report to a new leader.
    [[nodiscard]] bool awaits_reports() const;
    /// Records where a stream is placed and tells its gate the version.
    void note_origin(const pending& placed, place_reply& reply);
    /// Records that a stream has begun where it is placed.
    void note_begun(const run_update& update);
    /// Decides soon on the waiting streams of a service, once for all messages
    /// that arrive until then.
    void request_decision(const service_id& service);
    void decide_due();
    void decide(const service_id& service);
    void reevaluate();
    void send_reply(const request_id& id, result<place_reply> reply);

    net::event_loop& loop_;
    const instance_registry& registry_;
    std::function<bool()> is_leader_;
    std::map<service_id, engine_profile> profiles_;
    std::map<service_id, stream_scheduler> schedulers_;
    /// Kept while this replica does not lead.
    std::map<service_id, prompt_quarantine> quarantines_;
    std::function<void(const quarantine_update&)> on_quarantine_;
    std::function<void(const suspicion_update&)> on_suspicion_changed_;
    rollout_records rollouts_;
    const version_history* history_ = nullptr;
    std::function<bool()> history_is_current_;
    stream_origins origins_;
    time_point leader_since_{};
    std::map<upstream_id, time_point> suspected_at_;
    struct pause
    {
        std::uint64_t started_at = 0; ///< of the engine that asked for it
        time_point until;
    };
    /// Until a stream begins on the engine after its pause.
    std::map<upstream_id, pause> pauses_;
    std::map<request_id, pending> pending_;
    std::map<request_id, std::pair<node_id, service_id>> owners_;
    time_point caches_awaited_until_{};
    std::uint64_t decisions_ = 0;
    net::timer reevaluation_timer_;
    net::timer decision_timer_;
    std::set<service_id> undecided_;
    time_point next_decision_{};
};

} // namespace bamboogate::relay

#endif
