#ifndef BAMBOOGATE_CONTROL_OPERATOR_API_HPP
#define BAMBOOGATE_CONTROL_OPERATOR_API_HPP

#include <bamboogate/control/command_log.hpp>
#include <bamboogate/control/control_server.hpp>
#include <bamboogate/control/state_machine.hpp>
#include <bamboogate/control/upstream_orders.hpp>
#include <bamboogate/core/secret.hpp>
#include <bamboogate/net/http_server.hpp>

#include <memory>

namespace bamboogate::control {

/// HTTP interface of a control replica for operators.
///
/// All requests except `GET /healthz` require `Authorization: Bearer KEY`.
/// Bodies are JSON. A failure is `{"error": {"code", "detail"}}`, with
/// `revision` and `winner` for a conflict, `faults` for invalid declarations,
/// and `leader` with `not_leader` (status 421).
///
/// Routes, with the fields of the body or the answer:
/// - `POST /v1/apply`: `operation_id`, `based_on`, `declarations`; optional
///   `preset`, `dry_run`, `wait_ms`
/// - `POST /v1/preset`: `operation_id`, `based_on`, `preset`; optional
///   `wait_ms`
/// - `POST /v1/orders`: `operation_id`, `based_on`, `upstream`, `address`,
///   `order`; optional `deadline_ms`
/// - `GET /v1/orders`: open and recently ended orders
/// - `GET /v1/status`: role, term, revision, preset, leases; any replica
/// - `GET /v1/members`: members of the replicated log; any replica
/// - `POST /v1/members`: `action` (`add_learner`, `promote`, `remove`), `node`
/// - `POST /v1/drain`: `node`; the leader transfers its leadership, a gate
///   begins a planned stop
/// - `GET /v1/history`, `GET /v1/declarations`: answered by the leader
class operator_api
{
public:
    struct options
    {
        net::address listen_address;
        /// Accepted only while no operator is declared, so that the first
        /// declarations can be applied. Empty: never accepted.
        secret bootstrap_key;
        /// How long a change waits to be in force if the request has no
        /// `wait_ms`.
        duration default_wait = std::chrono::seconds(5);
        duration max_wait = std::chrono::seconds(30);
    };

    /// Components that the interface uses; all must outlive it.
    struct dependencies
    {
        net::event_loop& loop;
        net::link_hub& hub;
        command_log& log;
        state_machine& state;
        control_server& server;
        upstream_orders& orders;
    };

    [[nodiscard]] static result<std::unique_ptr<operator_api>>
    start(const dependencies& components, options settings);

    ~operator_api();
    operator_api(const operator_api&) = delete;
    operator_api& operator=(const operator_api&) = delete;

    [[nodiscard]] const net::address& bound_address() const;

private:
    struct impl;
    explicit operator_api(std::unique_ptr<impl> state);
    std::unique_ptr<impl> impl_;
};

} // namespace bamboogate::control

#endif
