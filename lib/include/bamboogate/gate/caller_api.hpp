#ifndef BAMBOOGATE_GATE_CALLER_API_HPP
#define BAMBOOGATE_GATE_CALLER_API_HPP

#include <bamboogate/control/control_client.hpp>
#include <bamboogate/core/secret.hpp>
#include <bamboogate/gate/authenticator.hpp>
#include <bamboogate/gate/completion_request.hpp>
#include <bamboogate/gate/completion_scheduler.hpp>
#include <bamboogate/gate/completion_sinks.hpp>
#include <bamboogate/gate/routing_directory.hpp>
#include <bamboogate/gate/telemetry.hpp>
#include <bamboogate/net/http_client.hpp>
#include <bamboogate/net/http_router.hpp>
#include <bamboogate/orders/at_most_once_call.hpp>
#include <bamboogate/routing/retry_budget.hpp>
#include <bamboogate/streaming/generation_service.hpp>

#include <memory>
#include <vector>

namespace bamboogate::gate {

/// The routes of callers: completions and calls to plain services.
/// Not thread safe.
class caller_api
{
public:
    /// Everything here must outlive the object.
    struct dependencies
    {
        net::event_loop& loop;
        net::http_client& client;
        streaming::generation_service& generations;
        completion_scheduler& scheduler;
        control::control_client& control;
        const authenticator& auth;
        routing_directory& directory;
        routing::retry_budget& retry_budget;
        telemetry& metrics;
        secret shared_secret;
        failure_domain_id failure_domain;
        bool serve_without_lease = false;
    };

    explicit caller_api(dependencies use);

    /// @brief Adds the routes; this object must outlive the router.
    void add_routes(net::http_router& router);

    /// @brief Refuses new work from now on; open answers go on.
    void stop_new_work() noexcept { draining_ = true; }

    /// @brief Whether a new request would be taken: a valid lease, and not
    ///     draining.
    [[nodiscard]] result<void> accepts_new_work() const;

    /// @brief Calls to plain services that are not answered yet.
    [[nodiscard]] std::size_t open_calls() const noexcept
    {
        return open_calls_;
    }

    /// @brief Keeps idle streams alive. Call about once a second.
    void send_keepalives();

private:
    using exchange = std::shared_ptr<net::responder>;
    using account = std::shared_ptr<const control::client_account>;

    void complete(const net::http_request& request, const exchange& out);
    void start(completion_request request, const account& caller,
               const control::service_class& service_class,
               const exchange& out);
    void start_stream(const completion_request& request, const account& caller,
                      streaming::generation_request generation,
                      const completion_grant& grant, const std::string& rank,
                      const exchange& out);
    void continue_completion(const net::http_request& request,
                             const std::string& token, const exchange& out);
    void follow(const request_id& id,
                const std::shared_ptr<streaming::token_sink>& known_as,
                const std::shared_ptr<sse_sink>& events);
    void call_service(const net::http_request& request,
                      const net::path_values& values, const exchange& out);
    void run_service_call(orders::service_request call, bool idempotent,
                          const exchange& out);
    [[nodiscard]] result<account>
    authenticate(const net::http_request& request) const;

    dependencies use_;
    bool draining_ = false;
    std::size_t open_calls_ = 0;
    std::vector<std::weak_ptr<sse_sink>> streams_;
};

} // namespace bamboogate::gate

#endif
