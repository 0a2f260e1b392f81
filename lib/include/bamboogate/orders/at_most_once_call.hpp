#ifndef BAMBOOGATE_ORDERS_AT_MOST_ONCE_CALL_HPP
#define BAMBOOGATE_ORDERS_AT_MOST_ONCE_CALL_HPP

#include <bamboogate/control/messages.hpp>
#include <bamboogate/net/http_client.hpp>
#include <bamboogate/orders/log_events.hpp>
#include <bamboogate/orders/service_request.hpp>

#include <concepts>
#include <memory>
#include <vector>

namespace bamboogate::orders {

/// What the gate needs of the replicated journal.
template <typename T>
concept CallJournal =
    requires(T& journal, duration deadline,
             std::function<void(result<control::call_decision>)> decided,
             std::function<void(result<void>)> recorded)
{
    journal.begin_call(control::call_begin{}, deadline, decided);
    journal.complete_call(control::call_complete{}, deadline, recorded);
    journal.mark_unknown(control::call_unknown{}, deadline, recorded);
    journal.abort_call(control::call_abort{}, deadline, recorded);
};

/// One non-idempotent call: intent, one dispatch, answer.
///
/// The upstream gets the call at most once, because only the decision `run`
/// leads to a dispatch and another upstream is tried only while it is certain
/// that no byte has left. Keeps itself alive until the caller was answered.
/// Not thread safe; the journal, client and directory must outlive it.
template <CallJournal Journal>
class at_most_once_call
    : public std::enable_shared_from_this<at_most_once_call<Journal>>
{
public:
    struct options
    {
        duration journal_deadline = std::chrono::seconds(3);
        unsigned max_connect_attempts = 3;
    };

    /// @brief Runs a call.
    /// @pre the request has an idempotency key
    /// @param callback called exactly once: an answer, or `not_run` (true in
    ///     any case), `outcome_unknown`, `in_progress`, `key_reused`, or an
    ///     error of the journal
    static void run(Journal& journal, net::http_client& client,
                    service_directory directory, service_request request,
                    const options& settings, answer_callback callback)
    {
        auto call = std::shared_ptr<at_most_once_call>(new at_most_once_call(
            journal, client, std::move(directory), std::move(request), settings,
            std::move(callback)));
        call->begin();
    }

private:
    at_most_once_call(Journal& journal, net::http_client& client,
                      service_directory directory, service_request request,
                      const options& settings, answer_callback callback)
        : journal_(journal), client_(client), directory_(std::move(directory)),
          request_(std::move(request)), settings_(settings),
          callback_(std::move(callback))
    {}

    void begin()
    {
        control::call_begin message;
        message.ticket.account = request_.account;
        message.ticket.idempotency_key = request_.idempotency_key;
        message.service = request_.service;
        message.body_digest = request_digest(request_);
        journal_.begin_call(message, settings_.journal_deadline,
                            [self = this->shared_from_this()](
                                result<control::call_decision> decision) {
                                self->on_decision(std::move(decision));
                            });
    }

    void on_decision(result<control::call_decision> decision)
    {
        if (!decision) {
            on_undecided(decision.error());
            return;
        }
        switch (decision.value().kind) {
        case control::decision_kind::run:
            ticket_ = decision.value().ticket;
            dispatch();
            return;
        case control::decision_kind::answered:
            callback_(service_answer{std::move(decision.value().answer), true});
            return;
        case control::decision_kind::in_progress:
            callback_(fail(errc::in_progress,
                           "the first call with this key has not ended"));
            return;
        case control::decision_kind::key_reused:
            callback_(fail(errc::key_reused,
                           "the key was used with another request"));
            return;
        case control::decision_kind::unknown:
            callback_(fail(errc::outcome_unknown,
                           "an earlier dispatch may have run the call"));
            return;
        }
    }

    void on_undecided(const error& problem)
    {
        // An earlier request with this key may have run, so a missing
        // decision says nothing about the call.
        if (problem.code == errc::deadline_exceeded) {
            callback_(fail(errc::outcome_unknown,
                           "the journal did not decide in time; ask again "
                           "with the same key"));
            return;
        }
        callback_(problem);
    }

    void dispatch()
    {
        ++attempts_;
        const auto target = directory_(request_.service, excluded_);
        if (!target || attempts_ > settings_.max_connect_attempts) {
            abandon();
            return;
        }
        excluded_.push_back(target->upstream);
        auto message = to_upstream_request(request_, *target);
        // A pooled connection may have been forgotten by a middle box, and
        // then nobody knows whether the request arrived.
        message.fresh_connection = true;
        client_.start_detached(std::move(message),
                               [self = this->shared_from_this()](
                                   net::http_client::outcome_type end) {
                                   self->on_response(std::move(end));
                               });
    }

    void on_response(net::http_client::outcome_type end)
    {
        if (end) {
            record_answer(to_stored_answer(std::move(end).value()));
            return;
        }
        if (!end.error().request_may_have_been_sent) {
            dispatch();
            return;
        }
        record_unknown(end.error().reason);
    }

    void record_answer(control::stored_answer answer)
    {
        const control::call_complete message{ticket_, answer};
        journal_.complete_call(
            message, settings_.journal_deadline,
            [self = this->shared_from_this(),
             answer = std::move(answer)](result<void> recorded) mutable {
                // The answer is true even if its commit is not confirmed; a
                // resend then may get "unknown" instead.
                if (!recorded) {
                    self->log_end(log_events::answer_not_recorded,
                                  recorded.error().detail);
                }
                self->callback_(service_answer{std::move(answer), false});
            });
    }

    void record_unknown(const error& reason)
    {
        log_end(log_events::outcome_unknown, reason.detail);
        journal_.mark_unknown(
            control::call_unknown{ticket_}, settings_.journal_deadline,
            [self = this->shared_from_this()](result<void>) {
                self->callback_(
                    fail(errc::outcome_unknown,
                         "the service may have run the call; it did not "
                         "answer"));
            });
    }

    void abandon()
    {
        log_end(log_events::call_not_run, "no upstream could be reached");
        journal_.abort_call(
            control::call_abort{ticket_}, settings_.journal_deadline,
            [self = this->shared_from_this()](result<void>) {
                // True even without the commit: only this ticket could
                // dispatch, and it did not.
                self->callback_(fail(errc::not_run,
                                     "no upstream of the service could be "
                                     "reached"));
            });
    }

    void log_end(const observability::log_event& event,
                 std::string_view reason) const
    {
        observability::log(event, {{"account", request_.account.value()},
                                   {"service", request_.service.value()},
                                   {"reason", reason}});
    }

    Journal& journal_;
    net::http_client& client_;
    service_directory directory_;
    service_request request_;
    options settings_;
    answer_callback callback_;
    control::call_ticket ticket_;
    std::vector<upstream_id> excluded_;
    unsigned attempts_ = 0;
};

} // namespace bamboogate::orders

#endif
