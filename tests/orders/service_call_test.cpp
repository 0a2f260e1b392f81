#include <bamboogate/net/http_server.hpp>
#include <bamboogate/orders/at_most_once_call.hpp>
#include <bamboogate/orders/idempotent_call.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "support/loop_runner.hpp"
#include "support/raw_server.hpp"

using namespace bamboogate;
using namespace bamboogate::orders;
using namespace std::chrono_literals;

namespace {

/// An in-memory journal with a prepared reply for each step.
struct scripted_journal
{
    net::event_loop& loop;
    result<control::call_decision> decision =
        control::call_decision{control::decision_kind::run, {}, {}};
    result<void> recorded = outcome::success();
    std::vector<std::string> steps;
    control::stored_answer stored;

    void begin_call(const control::call_begin&, duration,
                    std::function<void(result<control::call_decision>)> done)
    {
        steps.emplace_back("begin");
        loop.post([this, done] { done(decision); });
    }
    void complete_call(const control::call_complete& message, duration,
                       std::function<void(result<void>)> done)
    {
        stored = message.answer;
        record("complete", done);
    }
    void mark_unknown(const control::call_unknown&, duration,
                      std::function<void(result<void>)> done)
    {
        record("unknown", done);
    }
    void abort_call(const control::call_abort&, duration,
                    std::function<void(result<void>)> done)
    {
        record("abort", done);
    }

private:
    void record(const char* step, std::function<void(result<void>)> done)
    {
        steps.emplace_back(step);
        loop.post([this, done] { done(recorded); });
    }
};

enum class behaviour
{
    answer,
    close_unanswered, ///< runs the call, then closes the connection
    refuse,           ///< no server listens
    silent,           ///< runs the call and never answers
    invalid_status,   ///< runs the call and answers with status 600
    invalid_field,    ///< runs the call and answers with a blank in a name
};

class service_fixture
{
public:
    net::event_loop loop;
    net::http_client client{loop};
    scripted_journal journal{.loop = loop};
    int runs = 0;
    std::vector<std::unique_ptr<net::http_server>> servers;
    std::vector<std::unique_ptr<tests::raw_server>> broken_servers;
    std::vector<std::shared_ptr<net::responder>> held;
    std::map<std::string, std::string> addresses;

    /// Adds an upstream that runs the call and sends the head of the test.
    void add_broken_upstream(const std::string& name, const std::string& head)
    {
        broken_servers.push_back(std::make_unique<tests::raw_server>(
            loop, [this, head](tests::raw_server::connection& from) {
                if (tests::holds_request(from.received, request().body)) {
                    from.received.clear();
                    ++runs;
                    from.send(head + "Content-Length: 6\r\n\r\nbooked");
                }
            }));
        addresses[name] = broken_servers.back()->bound_address().text();
    }

    void add_upstream(const std::string& name, behaviour mode)
    {
        if (mode == behaviour::invalid_status) {
            add_broken_upstream(name, "HTTP/1.1 600 Odd\r\n");
            return;
        }
        if (mode == behaviour::invalid_field) {
            add_broken_upstream(name, "HTTP/1.1 201 Created\r\nX Odd: a\r\n");
            return;
        }
        auto started = net::http_server::start(
            loop, {.listen_address = {"127.0.0.1", 0}, .daemons = 1},
            [this, mode](const net::http_request&,
                         const std::shared_ptr<net::responder>& out) {
                ++runs;
                if (mode == behaviour::answer) {
                    out->respond(201, {{"content-type", "text/plain"}},
                                 "booked");
                } else if (mode == behaviour::close_unanswered) {
                    out->abort();
                } else {
                    held.push_back(out);
                }
            });
        REQUIRE(started);
        addresses[name] = started.value()->bound_address().text();
        if (mode == behaviour::refuse) {
            started.value().reset();
            return;
        }
        servers.push_back(std::move(started).value());
    }

    [[nodiscard]] service_directory directory() const
    {
        return [this](const service_id&, std::span<const upstream_id> excluded)
                   -> std::optional<service_target> {
            for (const auto& [name, address] : addresses) {
                const upstream_id id(name);
                if (std::find(excluded.begin(), excluded.end(), id) ==
                    excluded.end()) {
                    return service_target{id, address};
                }
            }
            return std::nullopt;
        };
    }

    static service_request request()
    {
        return {.account = client_account_id("north"),
                .idempotency_key = "k1",
                .service = service_id("bookings"),
                .method = "POST",
                .path = "/book",
                .headers = {{"authorization", "Bearer caller"}},
                .body = "mule string 4",
                .timeout = 300ms};
    }

    result<service_answer> run_once()
    {
        std::optional<result<service_answer>> response;
        at_most_once_call<scripted_journal>::run(
            journal, client, directory(), request(), {},
            [&](result<service_answer> answer) {
                response.emplace(std::move(answer));
            });
        REQUIRE(tests::run_until(loop, [&] { return response.has_value(); }));
        return *response;
    }

    result<service_answer> run_idempotent(int budget)
    {
        std::optional<result<service_answer>> response;
        run_idempotent_call(
            client, directory(), request(), [&] { return budget-- > 0; }, 3,
            [&](result<service_answer> answer) {
                response.emplace(std::move(answer));
            });
        REQUIRE(tests::run_until(loop, [&] { return response.has_value(); }));
        return *response;
    }
};

} // namespace

// Guards invariants I4 and I5: the service runs a call at most once under any
// connection fault, and "not run" is reported only when it did not run.
TEST_CASE_FIXTURE(service_fixture, "at_most_once_call_service_faults_one_run")
{
    struct fault_case
    {
        const char* name;
        std::vector<behaviour> upstreams;
        std::optional<errc> failure;
        int runs;
        std::vector<std::string> steps;
    };
    const fault_case cases[] = {
        {"answers",
         {behaviour::answer},
         std::nullopt,
         1,
         {"begin", "complete"}},
        {"no upstream", {}, errc::not_run, 0, {"begin", "abort"}},
        {"refused, then another answers",
         {behaviour::refuse, behaviour::answer},
         std::nullopt,
         1,
         {"begin", "complete"}},
        {"all refuse",
         {behaviour::refuse, behaviour::refuse},
         errc::not_run,
         0,
         {"begin", "abort"}},
        {"closes after running it",
         {behaviour::close_unanswered, behaviour::answer},
         errc::outcome_unknown,
         1,
         {"begin", "unknown"}},
        {"never answers",
         {behaviour::silent, behaviour::answer},
         errc::outcome_unknown,
         1,
         {"begin", "unknown"}},
        {"answers with an invalid status",
         {behaviour::invalid_status, behaviour::answer},
         errc::outcome_unknown,
         1,
         {"begin", "unknown"}},
        {"answers with an invalid field",
         {behaviour::invalid_field, behaviour::answer},
         errc::outcome_unknown,
         1,
         {"begin", "unknown"}},
    };
    for (const auto& each : cases) {
        CAPTURE(std::string(each.name));
        addresses.clear();
        runs = 0;
        journal.steps.clear();
        int number = 0;
        for (const auto mode : each.upstreams) {
            add_upstream("u" + std::to_string(number++), mode);
        }
        const auto response = run_once();
        CHECK(response.has_value() == !each.failure.has_value());
        if (each.failure && !response) {
            CHECK(response.error().code == *each.failure);
        }
        CHECK(runs == each.runs);
        CHECK(journal.steps == each.steps);
    }
}

// Guards against a dispatch that the journal did not allow.
TEST_CASE_FIXTURE(service_fixture,
                  "at_most_once_call_without_run_decision_is_not_run")
{
    add_upstream("u0", behaviour::answer);
    using control::decision_kind;
    const std::pair<decision_kind, errc> decisions[] = {
        {decision_kind::in_progress, errc::in_progress},
        {decision_kind::unknown, errc::outcome_unknown},
        {decision_kind::key_reused, errc::key_reused},
    };
    for (const auto& [kind, code] : decisions) {
        journal.decision = control::call_decision{kind, {}, {}};
        const auto response = run_once();
        REQUIRE_FALSE(response);
        CHECK(response.error().code == code);
    }
    journal.decision = fail(errc::deadline_exceeded);
    const auto undecided = run_once();
    REQUIRE_FALSE(undecided);
    CHECK(undecided.error().code == errc::outcome_unknown);

    journal.decision = control::call_decision{
        decision_kind::answered, {}, {200, {}, "first answer"}};
    const auto replay = run_once();
    REQUIRE(replay);
    CHECK(replay.value().replayed);
    CHECK(replay.value().answer.body == "first answer");
    CHECK(runs == 0);
}

// Guards against a resend that gets a different answer from the first call.
TEST_CASE_FIXTURE(service_fixture, "at_most_once_call_answered_stores_answer")
{
    add_upstream("u0", behaviour::answer);
    const auto response = run_once();
    REQUIRE(response);
    CHECK(journal.stored == response.value().answer);
    CHECK(journal.stored.body == "booked");
}

// Guards against the loss of an answer whose commit was not confirmed.
TEST_CASE_FIXTURE(service_fixture,
                  "at_most_once_call_unrecorded_answer_is_sent")
{
    add_upstream("u0", behaviour::answer);
    journal.recorded = fail(errc::deadline_exceeded);
    const auto response = run_once();
    REQUIRE(response);
    CHECK(response.value().answer.body == "booked");
}

// Guards against a failure of one upstream that reaches the caller although
// another upstream is available.
TEST_CASE_FIXTURE(service_fixture, "idempotent_call_failed_upstream_retried")
{
    add_upstream("u0", behaviour::close_unanswered);
    add_upstream("u1", behaviour::answer);
    const auto response = run_idempotent(1);
    REQUIRE(response);
    CHECK(response.value().answer.status == 201);
    CHECK(runs == 2);
}

// Guards against retry storms after a failure.
TEST_CASE_FIXTURE(service_fixture, "idempotent_call_empty_budget_no_retry")
{
    add_upstream("u0", behaviour::close_unanswered);
    add_upstream("u1", behaviour::answer);
    const auto response = run_idempotent(0);
    REQUIRE_FALSE(response);
    CHECK(response.error().code == errc::upstream_failed);
    CHECK(runs == 1);
}

// Guards against a digest in which bytes can move between path and body.
TEST_CASE("request_digest_shifted_bytes_differ")
{
    service_request a = service_fixture::request();
    service_request b = a;
    a.path = "/bookx";
    b.body = "x" + b.body;
    CHECK(request_digest(a) != request_digest(b));
}
