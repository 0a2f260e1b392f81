#ifndef BAMBOOGATE_RELAY_EXCHANGE_HPP
#define BAMBOOGATE_RELAY_EXCHANGE_HPP

#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/http1_client.hpp>
#include <bamboogate/net/http1_server.hpp>
#include <bamboogate/relay/answer_room.hpp>
#include <bamboogate/relay/configuration.hpp>
#include <bamboogate/relay/gate_metrics.hpp>
#include <bamboogate/relay/gate_quarantine.hpp>
#include <bamboogate/relay/gate_rollouts.hpp>
#include <bamboogate/relay/origin_messages.hpp>
#include <bamboogate/relay/protocol.hpp>
#include <bamboogate/relay/response_times.hpp>
#include <bamboogate/relay/retry_limiter.hpp>
#include <bamboogate/relay/stream_placer.hpp>
#include <bamboogate/relay/stream_planner.hpp>
#include <bamboogate/relay/upstream_directory.hpp>
#include <bamboogate/relay/upstream_prober.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bamboogate::relay {

/// A KV cache copy from which a stream can resume.
struct held_copy
{
    upstream_id holder;
    copy_source source;
    bool on_demand = false; ///< made on demand, has to be renewed
};

/// Dependencies shared by the exchanges of one gate.
struct gate_context
{
    net::event_loop& loop;
    net::http1_client& upstream_client;
    const relay_protocol& protocol;
    upstream_directory& directory;
    retry_limiter& retries;
    stream_placer& placer;
    gate_quarantine& quarantine;
    gate_rollouts& rollouts;
    gate_metrics& metrics;
    answer_room& answers;
    response_times& times;         ///< of plain services
    const stream_origins& origins; ///< of the streams that began at this gate
    /// Reports that a connection to the upstream broke or stalled, so that
    /// other users of the upstream are informed.
    std::function<void(const upstream_id&)> report_suspicion;
    /// Checks whether the upstream accepts connections, and calls the function
    /// from the event loop.
    std::function<void(const upstream_id&, std::function<void(probe_result)>)>
        probe;
    /// Evaluates what a start of an upstream states about itself in a response.
    std::function<void(const upstream_id&, std::uint64_t started_at,
                       const response_description&)>
        on_statement;
    /// Records the origin of a stream before its first event is passed on. If
    /// the leader has not placed it there, the replicas are told.
    std::function<void(std::uint64_t stream, const stream_origin&,
                       bool known_to_leader)>
        record_origin;
    /// Asks the home replica for the origin of a stream.
    std::function<void(const find_origin&,
                       std::function<void(result<origin_reply>)>)>
        find_origin;
    /// Returns the planner of a service.
    std::function<stream_planner&(const service_id&)> planner;
    /// Returns the engine profile of a service; null for plain services.
    std::function<const engine_profile*(const service_id&)> profile;
    /// Updates the planner's view of a service's engines.
    std::function<void(const service_id&)> refresh_planner;
};

/// A request that was accepted for a route.
struct accepted_request
{
    /// Shared with the attempts, which send its body without a copy.
    std::shared_ptr<const net::http1_request> request;
    net::http1_responder_ptr responder;
    std::shared_ptr<const route_table> table; ///< keeps `matched_route` alive
    const route* matched_route = nullptr;
    service_id service;
    client_account_id account;
    time_point arrived;
    unsigned rank = 0; ///< from `combined_rank`
    request_description description;
    std::string fingerprint = {}; ///< set by `fingerprint_of`
};

/// @brief The request's `request_fingerprint`, which is computed at the first
///     call.
[[nodiscard]] const std::string& fingerprint_of(accepted_request& accepted);

/// @brief What a quarantine identifies a request by: the shared parts of its
///     prompt and, if a request of the service is quarantined or suspected, its
///     fingerprint.
[[nodiscard]] std::vector<std::string>
traits_of(accepted_request& accepted, const gate_quarantine& quarantine);

/// Processes one request of a caller until its final response. Not thread safe.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    /// @param context must outlive the exchange
    /// @param on_end called once, from the event loop after the exchange ended
    exchange(gate_context& context, accepted_request accepted,
             std::function<void()> on_end);
    virtual ~exchange() = default;
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    /// @brief Starts processing; the response goes to the request's responder.
    /// @pre owned by a `std::shared_ptr`
    void start();

    /// @brief Ends attempts at an upstream that is known to be lost.
    virtual void on_upstream_lost(const upstream_id& id) = 0;

    /// @brief Copies at the upstream can't be fetched any more: it restarted
    ///     under its id, or it leaves and refuses connections. Attempts there
    ///     detect a loss on their own connections.
    virtual void on_copies_lost(const upstream_id&) {}

    /// @brief Another process suspects the upstream. An exchange that can
    ///     resume cheaply and has received nothing itself treats the upstream
    ///     as lost.
    virtual void on_upstream_suspected(const upstream_id&) {}

    /// @brief Requests that would crash their upstreams were quarantined. An
    ///     exchange among them that has no event or response is ended.
    virtual void on_quarantine(const service_id& service) = 0;

    /// @return whether the failure of this upstream concerns the exchange: an
    ///     attempt runs there, or the copy of its stream is there
    [[nodiscard]] virtual bool uses_upstream(const upstream_id& id) const = 0;

    /// @brief Ends the exchange now: refuses the request if it has not run,
    ///     otherwise responds that its outcome is late or breaks the stream
    ///     off.
    void give_up(std::string_view cause);

    /// @brief Reports to a new leader where this stream runs.
    virtual void report_placement() {}

protected:
    /// Cause of `on_deadline` if the time of the request is over.
    static constexpr std::string_view deadline_cause = "deadline";

    virtual void begin() = 0;
    /// Cancels attempts after the caller disconnected or the deadline passed.
    virtual void cancel_attempts() = 0;
    /// The time of the request, or of this process, is over.
    virtual void on_deadline(std::string_view cause) = 0;

    [[nodiscard]] duration time_left() const;
    [[nodiscard]] net::http1_client::request
    upstream_request(const attempt_options& options) const;

    /// @brief Responds that no upstream can take the request. If all have asked
    ///     for a pause, the retry delay is its rest, spread over callers.
    void refuse_without_upstream(std::string_view cause, duration retry_after);
    /// @brief Responds that the request was not executed, with a retry delay.
    void refuse(std::string_view cause, duration retry_after);
    /// @brief Responds that the outcome is unknown (502) or late (504).
    void respond_failure(unsigned status, std::string_view cause);
    /// @return the rest of a quarantine of this request
    [[nodiscard]] std::optional<duration> quarantine_left();
    /// @return the report that the upstream of this request, which has no event
    ///     or response, may have crashed
    [[nodiscard]] crash_report
    make_crash_report(const upstream_id& upstream,
                      std::uint64_t upstream_started_at);
    /// @brief Clears this request of the suspicion that it crashes upstreams:
    ///     one has answered it.
    void clear_suspicion();
    /// @brief Counts and logs an attempt that is about to be sent.
    /// @param number of the attempt, from 1
    void log_attempt(std::string_view kind, const instance& upstream,
                     unsigned number) const;
    void log_failure(const upstream_id& id, std::string_view cause) const;
    /// @brief Consumes a retry of the limit that all gates share. A refusal is
    ///     logged.
    [[nodiscard]] bool consume_retry();
    /// @brief Logs what refused another attempt, once per attempt and cause.
    /// @param cause a string literal
    void log_retry_refused(std::string_view cause, unsigned runs);
    /// @brief Marks the exchange as ended and schedules `on_end`; only the
    ///     first call has an effect.
    /// @param status sent to the caller; 0 if the caller disconnected
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
    unsigned attempts_ = 0; ///< sent, including those that were not executed
    unsigned runs_ = 0;     ///< attempts that may have been executed
    unsigned crashes_ = 0;  ///< upstreams that crashed under it

private:
    std::function<void()> on_end_;
    net::timer deadline_timer_;
    /// Attempts and cause of the newest logged refusal of a retry.
    std::pair<unsigned, std::string_view> logged_refusal_;
};

/// @brief Creates the exchange for the route's retry policy.
[[nodiscard]] std::shared_ptr<exchange>
make_exchange(gate_context& context, accepted_request accepted,
              std::function<void()> on_end);

} // namespace bamboogate::relay

#endif
