#include <bamboogate/control/log_events.hpp>
#include <bamboogate/control/upstream_orders.hpp>

#include <algorithm>
#include <map>
#include <vector>

namespace bamboogate::control {

using observability::log;

struct upstream_orders::impl
{
    using callback_type = std::function<void(result<ended_order>)>;

    /// An order that this process is sending.
    struct delivery
    {
        std::unique_ptr<net::http_transfer> transfer;
        std::vector<callback_type> waiters;
    };

    net::event_loop& loop;
    net::http_client& http;
    control_server& server;
    state_machine& state;
    options settings;
    std::map<std::uint64_t, delivery> deliveries;
    /// End times of orders opened by a previous leader, by token.
    std::map<std::uint64_t, time_point> inherited;
    net::timer sweep_timer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    impl(net::event_loop& l, net::http_client& h, control_server& s,
         state_machine& m, const options& o)
        : loop(l), http(h), server(s), state(m), settings(o),
          sweep_timer(l, [this] { sweep(); })
    {
        sweep_timer.start_periodic(settings.sweep_interval);
    }

    void submit(const record_order& order, callback_type callback)
    {
        server.submit(
            order, [this, callback = std::move(callback),
                    guard = alive](result<command_response> response) {
                if (!*guard) {
                    return;
                }
                if (!response) {
                    callback(std::move(response).error());
                    return;
                }
                if (!response.value().ok) {
                    callback(response.value().to_error());
                    return;
                }
                auto opened = from_document<open_order>(response.value().body);
                if (!opened) {
                    callback(std::move(opened).error());
                    return;
                }
                deliver(opened.value(), callback);
            });
    }

    void deliver(const open_order& order, const callback_type& callback)
    {
        const auto& ended = state.ended_orders();
        const auto done =
            std::find_if(ended.begin(), ended.end(), [&](const auto& each) {
                return each.token == order.token;
            });
        if (done != ended.end()) {
            callback(*done);
            return;
        }
        const auto open = state.open_orders().find(order.upstream);
        if (open == state.open_orders().end() ||
            open->second.token != order.token) {
            callback(fail(
                errc::not_found,
                "the order has ended and its outcome is no longer stored"));
            return;
        }
        if (inherited.contains(order.token)) {
            callback(fail(errc::outcome_unknown,
                          "a previous leader may have sent the order"));
            return;
        }
        auto [entry, added] = deliveries.try_emplace(order.token);
        entry->second.waiters.push_back(callback);
        if (added) {
            send(order, entry->second);
        }
    }

    void send(const open_order& order, delivery& target)
    {
        const json body = {{"upstream", order.upstream},
                           {"fencing_token", order.token},
                           {"fencing_term", order.term},
                           {"operation_id", order.operation},
                           {"order", order.order}};
        net::http_client::request request{
            .method = "POST",
            .url = "http://" + order.address + "/v1/orders",
            .headers = {{"content-type", "application/json"}},
            .body = body.dump(-1, ' ', false, json::error_handler_t::replace),
            .total_timeout = std::chrono::milliseconds(order.deadline_ms),
            .fresh_connection = true,
            .max_body_bytes = 64u << 10};
        // Last check before sending: a leader that was suspended until now must
        // not send under an expired lease.
        if (!server.leads()) {
            finish(order, "not_sent", 0);
            return;
        }
        target.transfer = http.start(
            std::move(request),
            {.on_headers = {},
             .on_data = {},
             .on_done = [this,
                         order](const net::http_client::outcome_type& answer) {
                 on_answer(order, answer);
             }});
    }

    void on_answer(const open_order& order,
                   const net::http_client::outcome_type& answer)
    {
        if (answer) {
            const unsigned status = answer.value().status;
            finish(order, status / 100 == 2 ? "accepted" : "refused", status);
            return;
        }
        finish(order,
               answer.error().request_may_have_been_sent ? "unknown"
                                                         : "not_sent",
               0);
    }

    void finish(const open_order& order, const std::string& outcome,
                unsigned status)
    {
        const ended_order ended{.upstream = order.upstream,
                                .operation = order.operation,
                                .token = order.token,
                                .outcome = outcome,
                                .status = status};
        server.submit(finish_order{.upstream = order.upstream,
                                   .token = order.token,
                                   .outcome = outcome,
                                   .status = status},
                      [this, ended, guard = alive](
                          const result<command_response>& response) {
                          if (*guard) {
                              on_finished(ended, response);
                          }
                      });
    }

    void on_finished(const ended_order& ended,
                     const result<command_response>& response)
    {
        log(log_events::order_ended, {{"upstream", ended.upstream.value()},
                                      {"token", ended.token},
                                      {"outcome", ended.outcome},
                                      {"status", ended.status},
                                      {"recorded", bool(response)}});
        inherited.erase(ended.token);
        const auto found = deliveries.find(ended.token);
        if (found == deliveries.end()) {
            return;
        }
        auto waiters = std::move(found->second.waiters);
        deliveries.erase(found);
        for (const auto& waiter : waiters) {
            // The outcome is known here even if it could not be recorded.
            waiter(ended);
        }
    }

    /// Ends the open orders that this process is not sending itself.
    void sweep()
    {
        if (!server.leads()) {
            inherited.clear();
            return;
        }
        const time_point now = loop.now();
        for (const auto& [upstream, order] : state.open_orders()) {
            if (deliveries.contains(order.token)) {
                continue;
            }
            const auto [entry, added] = inherited.try_emplace(
                order.token, now + settings.previous_leader_grace +
                                 std::chrono::milliseconds(order.deadline_ms));
            if (!added && entry->second <= now) {
                // Retried after the grace period if the commit fails.
                entry->second = now + settings.previous_leader_grace;
                finish(order, "unknown", 0);
            }
        }
    }
};

upstream_orders::upstream_orders(net::event_loop& loop, net::http_client& http,
                                 control_server& server, state_machine& state,
                                 const options& settings)
    : impl_(std::make_unique<impl>(loop, http, server, state, settings))
{}

upstream_orders::~upstream_orders()
{
    *impl_->alive = false;
}

void upstream_orders::submit(const record_order& order,
                             std::function<void(result<ended_order>)> callback)
{
    impl_->submit(order, std::move(callback));
}

} // namespace bamboogate::control
