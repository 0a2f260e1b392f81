#include <bamboogate/orders/idempotent_call.hpp>

#include <memory>
#include <utility>
#include <vector>

namespace bamboogate::orders {

namespace {

class idempotent_call : public std::enable_shared_from_this<idempotent_call>
{
public:
    idempotent_call(net::http_client& client, service_directory directory,
                    service_request request, retry_permission may_retry,
                    unsigned max_attempts, answer_callback callback)
        : client_(client), directory_(std::move(directory)),
          request_(std::move(request)), may_retry_(std::move(may_retry)),
          attempts_left_(max_attempts), callback_(std::move(callback))
    {}

    void attempt()
    {
        const auto target = directory_(request_.service, excluded_);
        if (!target || attempts_left_ == 0) {
            give_up();
            return;
        }
        --attempts_left_;
        excluded_.push_back(target->upstream);
        client_.start_detached(
            to_upstream_request(request_, *target),
            [self = shared_from_this()](net::http_client::outcome_type end) {
                self->on_end(std::move(end));
            });
    }

private:
    void on_end(net::http_client::outcome_type end)
    {
        if (end) {
            callback_(service_answer{to_stored_answer(std::move(end).value()),
                                     false});
            return;
        }
        may_have_run_ = may_have_run_ || end.error().request_may_have_been_sent;
        last_reason_ = end.error().reason.detail;
        if (!may_retry_()) {
            give_up();
            return;
        }
        attempt();
    }

    void give_up()
    {
        if (!may_have_run_) {
            callback_(fail(errc::not_run,
                           "no upstream of the service could be reached"));
            return;
        }
        callback_(fail(errc::upstream_failed, last_reason_));
    }

    net::http_client& client_;
    service_directory directory_;
    service_request request_;
    retry_permission may_retry_;
    unsigned attempts_left_;
    answer_callback callback_;
    std::vector<upstream_id> excluded_;
    bool may_have_run_ = false;
    std::string last_reason_;
};

} // namespace

void run_idempotent_call(net::http_client& client, service_directory directory,
                         service_request request, retry_permission may_retry,
                         unsigned max_attempts, answer_callback callback)
{
    std::make_shared<idempotent_call>(client, std::move(directory),
                                      std::move(request), std::move(may_retry),
                                      max_attempts, std::move(callback))
        ->attempt();
}

} // namespace bamboogate::orders
