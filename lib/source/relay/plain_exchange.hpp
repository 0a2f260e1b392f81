#ifndef BAMBOOGATE_RELAY_PLAIN_EXCHANGE_HPP
#define BAMBOOGATE_RELAY_PLAIN_EXCHANGE_HPP

#include <bamboogate/relay/exchange.hpp>

namespace bamboogate::relay {

/// A request with one whole answer. The answer is read to its end before any
/// of it goes to the caller, so that a broken one never looks whole and an
/// idempotent request can be sent again. A non-idempotent request is sent
/// again only after an upstream has stated that it did not run it, or when no
/// connection was made.
class plain_exchange : public exchange
{
public:
    using exchange::exchange;

    void on_upstream_lost(const upstream_id& id) override;

private:
    void begin() override;
    void cancel_attempts() override;
    void on_deadline() override;

    void attempt();
    bool on_head(const net::http1_response_head& head);
    void on_complete();
    void on_failure(const net::http1_failure& failure);
    void on_not_run(std::string_view cause);
    void on_unknown(std::string_view cause);
    [[nodiscard]] bool may_repeat_run() const;
    [[nodiscard]] bool may_send_again();
    void finish_without_answer(std::string_view cause);
    void forward_answer();

    std::unique_ptr<net::http1_client::exchange> attempt_;
    upstream_id upstream_;
    time_point attempt_started_;
    net::http1_response_head head_;
    answer_description answer_;
    std::string body_;
    std::set<upstream_id> excluded_;
    /// An engine's own failure, kept in case no other upstream does better.
    struct kept_answer
    {
        net::http1_response_head head;
        std::string body;
    };
    std::optional<kept_answer> kept_;
};

} // namespace bamboogate::relay

#endif
