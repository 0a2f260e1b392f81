#ifndef BAMBOOGATE_RELAY_EXCHANGE_HPP
#define BAMBOOGATE_RELAY_EXCHANGE_HPP

#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/http1_client.hpp>
#include <bamboogate/net/http1_server.hpp>
#include <bamboogate/relay/configuration.hpp>
#include <bamboogate/relay/gate_metrics.hpp>
#include <bamboogate/relay/protocol.hpp>
#include <bamboogate/relay/retry_limiter.hpp>
#include <bamboogate/relay/stream_placer.hpp>
#include <bamboogate/relay/stream_planner.hpp>
#include <bamboogate/relay/upstream_directory.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace bamboogate::relay {

/// A copy that a stream can go on from.
struct held_copy
{
    upstream_id holder;
    copy_source source;
    bool on_demand = false; ///< made on order, so it has to be renewed
};

/// What the exchanges of one gate share.
struct gate_context
{
    net::event_loop& loop;
    net::http1_client& upstreams;
    const relay_protocol& protocol;
    upstream_directory& directory;
    retry_limiter& retries;
    stream_placer& placer;
    gate_metrics& metrics;
    /// A connection to the upstream broke or fell silent: others that use it
    /// are told.
    std::function<void(const upstream_id&)> report_suspicion;
    /// The planner of a service.
    std::function<stream_planner&(const service_id&)> planner;
    /// What a service declares of its engines; null for plain services.
    std::function<const engine_profile*(const service_id&)> profile;
    /// Brings a planner's view of the engines up to date.
    std::function<void(const service_id&)> refresh_planner;
};

/// A request that was accepted for a route.
struct accepted_request
{
    net::http1_request request;
    net::http1_responder_ptr responder;
    std::shared_ptr<const route_table> table; ///< keeps `matched_route` alive
    const route* matched_route = nullptr;
    service_id service;
    client_account_id account;
    time_point arrived;
    unsigned rank = 0;
    request_description description;
};

/// Carries one request of a caller to its end. Not thread safe.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    exchange(gate_context& context, accepted_request accepted,
             std::function<void()> on_end);
    virtual ~exchange() = default;
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    /// @brief Begins; the answer goes to the request's responder.
    void start();

    /// @brief The upstream is known to be lost: its attempts end now.
    virtual void on_upstream_lost(const upstream_id& id) = 0;

    /// @brief The upstream started again under its id: copies that it held
    ///     are gone. Attempts there see the loss on their own connections.
    virtual void on_upstream_restarted(const upstream_id&) {}

    /// @brief The upstream gave another process no sign of life. An exchange
    ///     that has a cheap way to go on and has heard nothing itself takes
    ///     that as its loss.
    virtual void on_upstream_suspected(const upstream_id&) {}

    /// @brief Tells a new leader where this stream runs.
    virtual void report_placement() {}

protected:
    virtual void begin() = 0;
    /// Ends attempts; the caller has left or the time is over.
    virtual void cancel_attempts() = 0;
    virtual void on_deadline() = 0;

    [[nodiscard]] duration time_left() const;
    [[nodiscard]] net::http1_client::request
    upstream_request(const attempt_options& options) const;

    /// @brief Answers that the request was not run, with the time to return.
    void refuse(std::string_view cause, duration retry_after);
    /// @brief Answers that the outcome is not known (502) or late (504).
    void give_up(unsigned status, std::string_view cause);
    void log_attempt(std::string_view kind, const instance& where,
                     unsigned number) const;
    void log_failure(const upstream_id& id, std::string_view cause) const;
    void end(std::string_view outcome, unsigned status);

    [[nodiscard]] const std::string& id() const
    {
        return accepted_.description.attempt.value();
    }

    gate_context& context_;
    accepted_request accepted_;
    time_point started_;
    time_point deadline_;
    bool ended_ = false;
    unsigned attempts_ = 0; ///< sent, also those that were not run
    unsigned runs_ = 0;     ///< attempts that may have run

private:
    std::function<void()> on_end_;
    net::timer deadline_timer_;
};

/// @brief Makes the exchange that fits the route's kind.
[[nodiscard]] std::shared_ptr<exchange>
make_exchange(gate_context& context, accepted_request accepted,
              std::function<void()> on_end);

} // namespace bamboogate::relay

#endif
