#ifndef BAMBOOGATE_RELAY_RELAY_GATE_HPP
#define BAMBOOGATE_RELAY_RELAY_GATE_HPP

#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/http1_client.hpp>
#include <bamboogate/net/http1_server.hpp>
#include <bamboogate/observability/metrics.hpp>
#include <bamboogate/relay/control_feed.hpp>
#include <bamboogate/relay/exchange.hpp>
#include <bamboogate/relay/startup_queue.hpp>
#include <bamboogate/relay/upstream_prober.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace bamboogate::relay {

/// The relay gate: accepts callers' requests, finds their route and account
/// in the newest configuration, and carries them to upstreams. Not thread
/// safe.
class relay_gate
{
public:
    struct options
    {
        net::address caller_address; ///< where callers connect
        control_feed::options control;
        retry_limiter::options retries;
        startup_queue::options queue;
        /// After a planned stop began, short requests are still taken for
        /// this long, because the balancer turns away only after two checks.
        /// Streams are refused at once: most would be cut at the limit.
        duration accept_after_stop = std::chrono::seconds(3);
        /// The process ends at the latest this long after the stop began.
        duration stop_limit = std::chrono::milliseconds(7800);
    };

    relay_gate(net::event_loop& loop, relay_protocol protocol,
               options settings);
    ~relay_gate();
    relay_gate(const relay_gate&) = delete;
    relay_gate& operator=(const relay_gate&) = delete;

    /// @brief Listens for callers. @return `connection_failed`
    result<void> start();

    /// @brief True when new callers should come here.
    [[nodiscard]] bool ready() const;

    /// @brief Begins a planned stop. @param done called when no request is
    ///     left, or at the limit
    void stop(std::function<void()> done);

    [[nodiscard]] std::string metrics_text();
    [[nodiscard]] std::size_t active_requests() const
    {
        return exchanges_.size();
    }
    [[nodiscard]] net::address bound_address() const
    {
        return server_->bound_address();
    }

private:
    void on_request(net::http1_request request,
                    const net::http1_responder_ptr& responder);
    /// @pre there is a configuration
    void carry(pending_request arrived);
    void answer_own(const net::http1_responder_ptr& responder,
                    const request_description& description, unsigned status,
                    std::string_view cause);
    void on_configuration(configuration document);
    void on_announcement(const announcement& said);
    void on_leave(const announcement& said);
    void on_suspicion(const upstream_id& id, bool own);
    void on_probe_failed(const upstream_id& id);
    void fail_attempts_at(const upstream_id& id);
    void refresh_planner(const service_id& service);
    void on_new_leader();
    void tick();
    [[nodiscard]] bool refuses_while_stopping(const route& where) const;
    void check_stopped();

    net::event_loop& loop_;
    relay_protocol protocol_;
    options settings_;
    observability::metric_registry registry_;
    gate_metrics metrics_;
    net::http1_client client_;
    upstream_directory directory_;
    std::map<service_id, stream_planner> planners_;
    retry_limiter retries_;
    control_feed feed_;
    stream_placer placer_;
    upstream_prober prober_;
    gate_context context_;
    std::shared_ptr<const route_table> table_;
    /// Observes connections of the server, so it outlives them.
    startup_queue hold_;
    std::unique_ptr<net::http1_server> server_;
    std::set<std::shared_ptr<exchange>> exchanges_;
    net::timer tick_timer_;
    bool stopping_ = false;
    bool reported_ready_ = false;
    time_point stop_began_;
    std::function<void()> stopped_;
};

} // namespace bamboogate::relay

#endif
