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

/// The operators' HTTP interface of a control replica.
///
/// Every request but `GET /healthz` carries `Authorization: Bearer KEY`.
/// Bodies are JSON. A failure is `{"error": {"code", "detail"}}`, with
/// `revision` and `winner` for a conflict, `faults` for declarations that are
/// not valid, and `leader` with `not_leader` (status 421).
///
/// | route | body or answer |
/// | --- | --- |
/// | `POST /v1/apply` | `operation_id`, `based_on`, `declarations`; optional
/// `preset`, `dry_run`, `wait_ms` | | `POST /v1/preset` | `operation_id`,
/// `based_on`, `preset`; optional `wait_ms` | | `POST /v1/orders` |
/// `operation_id`, `based_on`, `upstream`, `address`, `order`; optional
/// `deadline_ms` | | `GET /v1/orders` | open and recently ended orders | | `GET
/// /v1/status` | role, term, revision, preset, leases; any replica | | `GET
/// /v1/members` | members of the replicated log; any replica | | `POST
/// /v1/members` | `action` (`add_learner`, `promote`, `remove`), `node` | |
/// `POST /v1/drain` | `node`: the leader hands over, a gate begins its stop |
/// | `GET /v1/history`, `GET /v1/declarations` | from the leader |
class operator_api
{
public:
    struct options
    {
        net::address listen_address;
        /// Accepted while no operator is declared, so that the first
        /// declarations can be applied. Empty: never accepted.
        secret bootstrap_key;
        /// How long a change waits until it is in force, unless it says.
        duration default_wait = std::chrono::seconds(5);
        duration max_wait = std::chrono::seconds(30);
    };

    /// What the interface works on; all must outlive it.
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
    start(const dependencies& target, options settings);

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
