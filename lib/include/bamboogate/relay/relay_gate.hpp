#ifndef BAMBOOGATE_RELAY_RELAY_GATE_HPP
#define BAMBOOGATE_RELAY_RELAY_GATE_HPP

#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/http1_client.hpp>
#include <bamboogate/net/http1_server.hpp>
#include <bamboogate/observability/metrics.hpp>
#include <bamboogate/relay/client_limits.hpp>
#include <bamboogate/relay/control_feed.hpp>
#include <bamboogate/relay/exchange.hpp>
#include <bamboogate/relay/gate_paths.hpp>
#include <bamboogate/relay/startup_queue.hpp>
#include <bamboogate/relay/suspicion_limiter.hpp>
#include <bamboogate/relay/upstream_prober.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bamboogate::relay {

/// The relay gate: accepts callers' requests, looks up their route and account
/// in the newest configuration and forwards them to upstreams. Not thread safe.
class relay_gate
{
public:
    struct options
    {
        net::address caller_address; ///< where callers connect
        control_feed::options control;
        retry_limiter::options retries;
        startup_queue::options queue;
        /// For this long after the start of a planned stop, short requests are
        /// still accepted, because the load balancer stops routing only after
        /// two failed checks. Streams are refused at once: most would be cut at
        /// `stop_limit`.
        duration accept_after_stop = std::chrono::seconds(3);
        /// Longest duration of a planned stop.
        duration stop_limit = std::chrono::milliseconds(7800);
        /// Of all callers together.
        client_limits callers = {};
        /// `rollout::exposure_limits::slack`, of which trials use a part.
        double trial_slack = rollout::exposure_limits().slack;
        /// Memory for answers, and the limits of callers that read slowly.
        reader_pacing::options readers;
        /// An attempt whose upstream accepts no byte of its unsent request for
        /// this long fails.
        duration send_timeout = std::chrono::seconds(15);
        /// Where this gate connects other gates to upstreams; without it, it
        /// doesn't.
        std::optional<net::address> tunnel_address = std::nullopt;
    };

    relay_gate(net::event_loop& loop, relay_protocol protocol,
               options settings);
    ~relay_gate();
    relay_gate(const relay_gate&) = delete;
    relay_gate& operator=(const relay_gate&) = delete;

    /// @brief Starts listening for callers. @return `connection_failed` on
    ///     failure
    result<void> start();

    /// @brief True while the load balancer should route new callers here.
    [[nodiscard]] bool ready() const;

    /// @brief Starts a planned stop. @param done called when no request is
    ///     active or `stop_limit` is reached; further calls are ignored
    /// @pre `start` has succeeded
    void stop(std::function<void()> done);

    /// @brief Returns the metrics in the Prometheus text format.
    [[nodiscard]] std::string metrics_text();
    [[nodiscard]] std::size_t active_requests() const
    {
        return exchanges_.size();
    }
    /// @pre `start` has succeeded
    [[nodiscard]] net::address bound_address() const
    {
        return server_->bound_address();
    }

private:
    void on_request(net::http1_request request,
                    const net::http1_responder_ptr& responder);
    void on_discarded_input(const net::discarded_input& input);
    /// @pre a configuration is loaded
    void dispatch(pending_request arrived);
    void reject(const net::http1_responder_ptr& responder,
                const request_description& description, unsigned status,
                std::string_view cause);
    void on_configuration(configuration document);
    void on_announcement(const announcement& announced);
    void on_departure(const announcement& announced);
    /// An upstream stated something about itself in a response to this gate.
    /// @param started_at of the upstream when the request was sent; its later
    ///     starts are not bound by the statement
    void on_statement(const upstream_id& id, std::uint64_t started_at,
                      const response_description& answer);
    /// An exchange of this gate lost an upstream or a connection to it.
    void on_loss_observed(const upstream_id& id);
    /// Another process suspects the upstream.
    void on_suspicion(const upstream_id& id);
    void check_upstream(const instance& upstream);
    [[nodiscard]] std::vector<std::shared_ptr<exchange>> exchanges() const;
    void on_probe_finished(const upstream_id& id, probe_result observed);
    void fail_attempts_on(const upstream_id& id);
    void probe(const upstream_id& id,
               std::function<void(probe_result)> on_result);
    void refresh_planner(const service_id& service);
    /// True if streams may begin at the version, as far as this gate knows.
    [[nodiscard]] bool is_recorded(const service_id& service,
                                   const software_version& version) const;
    [[nodiscard]] gate_paths::observers path_observers();
    void on_new_leader();
    void on_rollouts(const rollout_update& update);
    /// Sends the evidence of the rollouts in progress that has changed.
    void report_evidence();
    void tick();
    /// True for streams, for requests after `accept_after_stop`, and for those
    /// that are not expected to end before `stop_limit`.
    [[nodiscard]] bool
    refuses_while_stopping(const route& candidate, const service_id& service,
                           const request_description& description);
    void check_stopped();
    /// Ends what is still at work shortly before `stop_limit`.
    void end_open_work();

    net::event_loop& loop_;
    relay_protocol protocol_;
    options settings_;
    observability::metric_registry registry_;
    gate_metrics metrics_;
    client_limit_monitor client_limits_;
    answer_room answers_;
    response_times response_times_;
    gate_paths paths_;
    net::http1_client client_;
    upstream_directory directory_;
    std::map<service_id, stream_planner> planners_;
    retry_limiter retries_;
    control_feed feed_;
    stream_placer placer_;
    upstream_prober prober_;
    /// Called with the result of the upstream's probe in progress.
    std::map<upstream_id, std::vector<std::function<void(probe_result)>>>
        probe_observers_;
    gate_quarantine quarantine_;
    gate_rollouts rollouts_;
    stream_origins origins_;
    /// Of all replicas: one that has just started may not know the newest.
    std::map<service_id, std::set<software_version>> recorded_versions_;
    gate_context context_;
    std::shared_ptr<const route_table> table_;
    /// Observes connections of the server, so it has to outlive the server.
    startup_queue startup_queue_;
    std::unique_ptr<net::http1_server> server_;
    /// By their order of creation, so that the streams of a lost engine are
    /// placed in the same order in every run.
    std::map<std::uint64_t, std::shared_ptr<exchange>> exchanges_;
    std::uint64_t next_exchange_ = 0;
    suspicion_limiter reported_suspicions_;
    net::timer tick_timer_;
    net::timer evidence_timer_; ///< runs while a rollout is in progress
    net::timer stop_timer_;
    bool stopping_ = false;
    bool reported_ready_ = false;
    time_point stop_started_at_;
    std::function<void()> on_stopped_;
};

} // namespace bamboogate::relay

#endif
