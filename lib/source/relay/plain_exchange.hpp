#ifndef BAMBOOGATE_RELAY_PLAIN_EXCHANGE_HPP
#define BAMBOOGATE_RELAY_PLAIN_EXCHANGE_HPP

#include <bamboogate/relay/exchange.hpp>

#include "attempt_evidence.hpp"

namespace bamboogate::relay {

/// A request with a single complete response. The response is buffered before
/// any of it goes to the caller, so that a truncated one never looks complete
/// and an idempotent request can be retried. A non-idempotent request is
/// retried only after an upstream has stated that it did not execute it, or if
/// no connection was made.
class plain_exchange : public exchange
{
public:
    plain_exchange(gate_context& context, accepted_request accepted,
                   std::function<void()> on_end);

    void on_upstream_lost(const upstream_id& id) override;
    void on_quarantine(const service_id& service) override;
    [[nodiscard]] bool uses_upstream(const upstream_id& id) const override
    {
        return attempt_ != nullptr && upstream_ == id;
    }

private:
    void begin() override;
    void cancel_attempts() override;
    void on_deadline(std::string_view cause) override;

    void attempt();
    /// Chooses an upstream by the versions that the service's rollout allows.
    [[nodiscard]] const instance* choose_upstream(time_point now);
    bool on_head(const net::http1_response_head& head);
    void on_body(std::string_view part);
    void on_complete();
    void on_failure(const net::http1_failure& failure);
    /// The connection broke before a response: the upstream is checked before
    /// the request is sent again, because the request may have crashed it.
    void check_crash(std::string_view cause);
    void on_not_run(std::string_view cause);
    void on_outcome_unknown(std::string_view cause);
    [[nodiscard]] bool may_run_again() const;
    [[nodiscard]] bool may_send_again();
    void finish_without_response(std::string_view cause);
    void forward_response();

    attempt_evidence evidence_;
    std::unique_ptr<net::http1_client::exchange> attempt_;
    upstream_id upstream_;
    std::uint64_t upstream_started_at_ = 0;
    time_point attempt_started_;
    net::http1_response_head head_;
    response_description answer_;
    std::string body_;
    buffer_reservation buffered_; ///< for `body_`
    std::set<upstream_id> excluded_;
    bool checking_upstream_ = false; ///< of a lost attempt
    /// A 5xx response of an upstream, forwarded if no other upstream gives a
    /// better one.
    struct fallback_response
    {
        net::http1_response_head head;
        std::string body;
    };
    std::optional<fallback_response> fallback_;
    buffer_reservation fallback_buffered_; ///< for the body of `fallback_`
};

} // namespace bamboogate::relay

#endif
