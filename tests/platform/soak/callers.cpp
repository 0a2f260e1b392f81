#include "callers.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <numeric>

#include "backend.hpp"

namespace bamboogate::tests {

using namespace std::chrono_literals;

namespace {

constexpr duration stream_deadline = 25s; ///< as specified
constexpr duration plain_deadline = 1500ms;
/// A caller abandons a stream after this silence (PROTOCOL: two seconds, or
/// more if the objective is longer).
constexpr duration silence_limit = 16s;
/// Retries after a failure. The specified callers retry once; the soak also
/// covers later retries.
constexpr unsigned max_retries = 3;
constexpr duration retry_delay = 50ms;
/// Retries of a stream without a new event after its connection broke; each
/// waits twice as long as the one before it, which covers a killed gate's
/// start.
constexpr unsigned max_take_ups = 5;
constexpr duration first_take_up_delay = 100ms;
constexpr unsigned min_events = 30;

/// Statuses that guarantee that the request was not and will not be executed.
bool guarantees_not_run(unsigned status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

} // namespace

std::string_view name_of(request_kind kind)
{
    switch (kind) {
    case request_kind::stream:
        return "stream";
    case request_kind::booking:
        return "booking";
    case request_kind::lookup:
        return "lookup";
    }
    return "";
}

/// One request with all its attempts.
class caller_pool::call : public std::enable_shared_from_this<call>
{
public:
    call(caller_pool& pool, request_kind kind, bool must_succeed,
         std::size_t padding = 0)
        : pool_(pool), kind_(kind), must_succeed_(must_succeed),
          padding_(padding),
          prompt_(fmt::format("{}-{:08x}", name_of(kind), pool.random_())),
          events_(min_events + static_cast<unsigned>(
                                   pool.random_() %
                                   (pool.settings_.max_events - min_events))),
          end_(pool.loop_.now() + (kind == request_kind::stream
                                       ? stream_deadline
                                       : plain_deadline)),
          retry_timer_(pool.loop_, [this] { send(); }),
          stream_(pool.take_ups_,
                  pool.take_ups_.draw_account(pool.settings_.keys.size()))
    {}

    void send()
    {
        attempts_.push_back(
            fmt::format("{}-a{}", prompt_, attempts_.size() + 1));
        head_ = {};
        body_.clear();
        last_input_ = pool_.loop_.now();
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            end_ - pool_.loop_.now());
        net::header_list fields{
            {"Host", pool_.settings_.host},
            {"X-Attempt-Id", attempts_.back()},
            {"X-Deadline-Ms", fmt::format("{}", left.count())},
            {"Authorization",
             "Bearer " + pool_.settings_.keys.at(stream_.account())}};
        const net::address avoided = gate_;
        gate_ =
            pool_.settings_.choose_gate(stream_.begun() ? &avoided : nullptr);
        if (kind_ == request_kind::stream) {
            fields.set("X-Model", "m");
            fields.set("X-Token-Count",
                       fmt::format("800,{}", events_ * tokens_per_event));
            fields.set("X-Prefix-Hash", fmt::format("aa:200,{}:600", prompt_));
            if (received_events_ > 0) {
                fields.set("Last-Event-Id",
                           fmt::format("{}", received_events_));
            }
            if (const auto resumed =
                    stream_.sent(attempts_.back(), gate_.text(),
                                 pool_.loop_.now(), !must_succeed_)) {
                fields.set("Resumes", *resumed);
            }
        }
        pool_.statements_.sent(attempts_.back(), gate_.text(),
                               pool_.loop_.now());
        exchange_ = pool_.client_.start(
            gate_,
            {.method = "POST",
             .target = pool_.settings_.paths.at(kind_) + "x",
             .headers = std::move(fields),
             .body = prompt_ + std::string(padding_, 'u'),
             .fresh_connection = attempts_.size() > 1},
            {.on_head =
                 [this](const net::http1_response_head& head) {
                     head_ = head;
                     check_head();
                     return true;
                 },
             .on_body = [this](std::string_view part) { read(part); },
             .on_complete = [this] { defer(&call::on_complete); },
             .on_failure =
                 [this](const net::http1_failure& failure) {
                     failure_ = failure;
                     defer(&call::on_failure);
                 }});
    }

    void step(time_point now)
    {
        if (ended_) {
            return;
        }
        if (now >= end_ || (kind_ == request_kind::stream &&
                            now - last_input_ > silence_limit)) {
            exchange_.reset();
            pool_.statements_.caller_left(attempts_.back());
            stream_.ended(client_stream::outcome::unanswered);
            end(&caller_counts::failed, "no response before the deadline");
        }
    }

    [[nodiscard]] request_kind kind() const { return kind_; }
    [[nodiscard]] const std::vector<std::string>& attempts() const
    {
        return attempts_;
    }

private:
    /// Defers `function`, because an exchange must not be destroyed inside its
    /// own callback.
    void defer(void (call::*function)())
    {
        pool_.loop_.post([weak = weak_from_this(), function] {
            const auto self = weak.lock();
            if (self && !self->ended_) {
                (self.get()->*function)();
            }
        });
    }

    void violate(std::string_view guarantee, std::string_view detail)
    {
        pool_.violations_.add(guarantee,
                              fmt::format("{} {}", attempts_.back(), detail));
    }

    void check_head()
    {
        constexpr std::string_view seal_prefix = "seal-";
        const auto seal = head_.headers.find("X-Response-Seal").value_or("");
        if (head_.headers.find("Server-Leaving") &&
            seal.starts_with(seal_prefix)) {
            pool_.statements_.leave_passed_on(
                gate_.text(), std::string(seal.substr(seal_prefix.size())),
                pool_.loop_.now());
        }
        if (head_.status / 100 != 2) {
            return;
        }
        if (!head_.headers.find("X-Response-Seal")) {
            violate("complete responses", "response has no seal");
        }
        if (head_.headers.find("X-Attempt-Id") != attempts_.back()) {
            violate("complete responses", "response of another attempt");
        }
    }

    void read(std::string_view part)
    {
        last_input_ = pool_.loop_.now();
        body_ += part;
        if (kind_ != request_kind::stream || head_.status != 200) {
            return;
        }
        for (auto end = body_.find("\n\n"); end != std::string::npos;
             end = body_.find("\n\n")) {
            const auto event = body_.substr(0, end + 2);
            body_.erase(0, end + 2);
            const auto version = event_version(event);
            if (event != event_text(prompt_, received_events_ + 1, version)) {
                violate("no event missing or repeated",
                        fmt::format("expected event {}, got {}",
                                    received_events_ + 1,
                                    event.substr(0, event.size() - 2)));
            }
            stream_.received(version);
            ++received_events_;
            tries_ = 0;
        }
    }

    void on_complete()
    {
        exchange_.reset();
        if (head_.status == 200) {
            check_complete();
            stream_.ended(client_stream::outcome::complete);
            end(&caller_counts::served, "");
            return;
        }
        if (guarantees_not_run(head_.status)) {
            pool_.reported_not_run_.push_back(attempts_.back());
            stream_.ended(client_stream::outcome::refused);
            retry_or(&caller_counts::refused,
                     fmt::format("status {}", head_.status));
            return;
        }
        const bool refuses_name =
            stream_.named_falsely() && head_.status / 100 == 4;
        if (head_.status != 502 && head_.status != 504 && head_.status != 500 &&
            !refuses_name) {
            violate("expected status", fmt::format("status {}", head_.status));
        }
        stream_.ended(refuses_name ? client_stream::outcome::refused
                                   : client_stream::outcome::unanswered);
        finish_or_retry(fmt::format("status {}", head_.status));
    }

    void check_complete()
    {
        if (kind_ == request_kind::stream) {
            if (received_events_ != events_ || !body_.empty()) {
                violate("complete responses",
                        fmt::format("stream ended after {} of {} events",
                                    received_events_, events_));
            }
        } else if (body_ != plain_answer(attempts_.back())) {
            violate("complete responses", body_);
        }
    }

    void on_failure()
    {
        exchange_.reset();
        if (failure_.code == errc::malformed_input) {
            violate("well-formed responses", "response cannot be parsed");
        }
        stream_.ended(client_stream::outcome::unanswered);
        if (!failure_.request_sent) {
            retry_or(&caller_counts::failed, "no connection");
            return;
        }
        // A gate may close an idle connection while a request is on its way.
        const bool crossed_close = failure_.on_reused_connection &&
                                   pool_.ledger_.runs(attempts_.back()) == 0;
        if (must_succeed_ && !crossed_close) {
            violate("every request gets an answer", "connection lost");
        }
        finish_or_retry("connection lost");
    }

    /// Handles a failure that leaves the outcome unknown.
    void finish_or_retry(const std::string& reason)
    {
        if (kind_ == request_kind::booking) {
            end(&caller_counts::failed, reason);
            return;
        }
        retry_or(&caller_counts::failed, reason);
    }

    void retry_or(unsigned caller_counts::*count, const std::string& reason)
    {
        duration delay = retry_delay;
        if (const auto retry_after = head_.headers.find("Retry-After")) {
            delay = std::max(
                delay, std::chrono::duration_cast<duration>(
                           std::chrono::duration<double>(std::strtod(
                               std::string(*retry_after).c_str(), nullptr))));
        }
        bool may_retry = attempts_.size() <= max_retries;
        if (stream_.begun() && !must_succeed_) {
            // As specified, a client waits for a third of its time at most.
            delay = std::max(first_take_up_delay * (1 << tries_),
                             std::min(delay, (end_ - pool_.loop_.now()) / 3));
            may_retry = tries_++ < max_take_ups && !stream_.named_falsely();
        }
        if (!may_retry || pool_.loop_.now() + delay >= end_) {
            end(count, reason);
            return;
        }
        retry_timer_.start_once(delay);
    }

    void end(unsigned caller_counts::*count, const std::string& reason)
    {
        ended_ = true;
        retry_timer_.stop();
        stream_.given_up();
        ++(pool_.counts_[kind_].*count);
        if (count == &caller_counts::failed) {
            pool_.violations_.print("not served",
                                    fmt::format("{} {}, {} of {} events",
                                                attempts_.back(), reason,
                                                received_events_, events_));
        }
        if (must_succeed_ && count != &caller_counts::served) {
            violate("recovery", fmt::format("{}, {} of {} events", reason,
                                            received_events_, events_));
        }
        pool_.on_ended(*this);
    }

    caller_pool& pool_;
    request_kind kind_;
    bool must_succeed_;
    std::size_t padding_; ///< of the body, in bytes
    std::string prompt_;
    unsigned events_;
    time_point end_;
    net::timer retry_timer_;
    std::vector<std::string> attempts_;
    net::address gate_; ///< of the newest attempt
    std::unique_ptr<net::http1_client::exchange> exchange_;
    net::http1_response_head head_;
    net::http1_failure failure_;
    std::string body_;
    unsigned received_events_ = 0;
    unsigned tries_ = 0; ///< retries since the last event
    client_stream stream_;
    time_point last_input_;
    bool ended_ = false;
};

caller_pool::caller_pool(net::event_loop& loop, const run_ledger& ledger,
                         statement_checks& statements, take_up_checks& take_ups,
                         violations& problems, unsigned seed, options settings)
    : loop_(loop), ledger_(ledger), statements_(statements),
      take_ups_(take_ups), violations_(problems), random_(seed),
      settings_(std::move(settings)), client_(loop, {})
{}

caller_pool::~caller_pool() = default;

void caller_pool::start(request_kind kind, bool must_succeed)
{
    ++counts_[kind].started;
    calls_.push_back(std::make_shared<call>(*this, kind, must_succeed));
    calls_.back()->send();
}

void caller_pool::start_upload(request_kind kind)
{
    ++counts_[kind].started;
    calls_.push_back(std::make_shared<call>(*this, kind, false, upload_bytes));
    calls_.back()->send();
}

void caller_pool::step()
{
    const time_point now = loop_.now();
    const auto calls = calls_;
    for (const auto& each : calls) {
        each->step(now);
    }
}

void caller_pool::on_ended(call& ended)
{
    if (ended.kind() == request_kind::booking) {
        bookings_.push_back(ended.attempts());
    }
    loop_.post([this, &ended] {
        std::erase_if(calls_,
                      [&](const auto& each) { return each.get() == &ended; });
    });
}

void caller_pool::check_runs() const
{
    for (const auto& attempt : reported_not_run_) {
        if (const auto runs = ledger_.runs(attempt); runs > 0) {
            violations_.add(
                "refused requests are not executed",
                fmt::format("{} was executed {} times", attempt, runs));
        }
    }
    for (const auto& attempts : bookings_) {
        const auto runs =
            std::accumulate(attempts.begin(), attempts.end(), 0U,
                            [this](unsigned sum, const auto& attempt) {
                                return sum + ledger_.runs(attempt);
                            });
        if (runs > 1) {
            violations_.add("bookings are executed at most once",
                            fmt::format("{} was executed {} times",
                                        attempts.front(), runs));
        }
    }
}

} // namespace bamboogate::tests
