#include "platform/support/relay_fixture.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;

namespace {

/// A non-idempotent request to one of two service instances.
struct two_services_fixture : relay_fixture
{
    fake_upstream second{loop, "s2"};
    std::unique_ptr<caller> request;
    fake_upstream* first = nullptr; ///< received the request
    fake_upstream* other = nullptr;

    void start_booking()
    {
        start_system();
        announce(second, "book", "d1");
        request = send_request("/book/x", "b1");
        REQUIRE(wait([&] {
            return service.received.size() + second.received.size() == 1;
        }));
        first = service.received.empty() ? &second : &service;
        other = service.received.empty() ? &service : &second;
    }
};

} // namespace

// Guards against replicas that return an outdated configuration, and against
// a lower version or an invalid document that replaces the current one.
TEST_CASE_FIXTURE(relay_fixture,
                  "configuration_stored_at_any_node_is_read_at_every_node")
{
    start_system();
    for (std::size_t node = 0; node < 3; ++node) {
        const auto reply = control_call(node, "GET", "/Config.Read");
        CHECK(reply->status() == 200);
        CHECK(reply->body == configuration(5));
    }
    // Lower and equal versions are acknowledged and ignored.
    CHECK(control_call(2, "POST", "/Config.Replace", configuration(4))
              ->status() == 200);
    CHECK(control_call(2, "GET", "/Config.Read")->body == configuration(5));
    CHECK(control_call(0, "POST", "/Config.Replace", "{\"version\":9")
              ->status() == 400);
    CHECK(control_call(0, "GET", "/Config.Read")->body == configuration(5));
}

// Guards against a status that misleads the caller, and against a rejected
// request that reaches an upstream.
TEST_CASE_FIXTURE(relay_fixture,
                  "gate_responds_401_404_and_503_for_their_causes")
{
    auto unconfigured = send_request("/book/x", "a0");
    CHECK(wait([&] { return unconfigured->ended(); }));
    CHECK(unconfigured->status() == 503);
    start_system();
    auto no_route = send_request("/other/x", "a1");
    auto no_key = send_request("/book/x", "a2", "wrong");
    CHECK(wait([&] { return no_route->ended() && no_key->ended(); }));
    CHECK(no_route->status() == 404);
    CHECK(no_key->status() == 401);
    CHECK(service.received.empty());
}

// Guards against requests with a withdrawn key, or any other, that are served
// once the last account is removed.
TEST_CASE_FIXTURE(relay_fixture, "removed_last_account_leaves_no_valid_key")
{
    start_system();
    const std::string accounts = R"({"name":"acc","apiKeys":["k1"]})";
    std::string document = configuration(6);
    document.erase(document.find(accounts), accounts.size());
    // The gate uses version 6 once the route that it renames is gone.
    const std::string path = "/stock/";
    document.replace(document.find(path), path.size(), "/moved/");
    REQUIRE(control_call(1, "POST", "/Config.Replace", document)->status() ==
            200);
    unsigned status = 0;
    for (int tries = 0; tries < 60 && status != 404; ++tries) {
        auto probe = send_request("/stock/x", "a0", "never-held");
        CHECK(wait([&] { return probe->ended(); }));
        status = probe->status();
        run_until(
            loop, [] { return false; }, 50ms);
    }
    REQUIRE(status == 404);
    auto withdrawn = send_request("/book/x", "a1");
    auto unknown = send_request("/book/x", "a2", "never-held");
    CHECK(wait([&] { return withdrawn->ended() && unknown->ended(); }));
    CHECK(withdrawn->status() == 401);
    CHECK(unknown->status() == 401);
    CHECK(service.received.empty());
}

// Guards against failing callers whose last retry reaches a gate that has just
// started: after a restart of all processes it has no configuration for about
// 0.6 s.
TEST_CASE_FIXTURE(relay_fixture,
                  "request_before_the_first_configuration_waits_and_is_served")
{
    wait_for_leader();
    announce(service, "book", "d1");
    auto request = send_request("/book/x", "a0");
    auto disconnected = send_request("/book/x", "a1");
    run_until(
        loop, [] { return false; }, 200ms);
    CHECK_FALSE(request->ended());
    disconnected.reset();
    REQUIRE(control_call(1, "POST", "/Config.Replace", configuration(5))
                ->status() == 200);
    REQUIRE(wait([&] { return service.received.size() == 1; }));
    CHECK(service.header(0, "X-Attempt-Id") == "a0");
    CHECK(std::stoi(service.header(0, "X-Deadline-Ms")) < 2850);
    service.answer(0, "booked");
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->status() == 200);
    CHECK(service.received.size() == 1);
}

// Guards against a queued request that is kept until its caller has no time
// left for a retry.
TEST_CASE_FIXTURE(relay_fixture,
                  "queued_request_is_refused_if_no_configuration_arrives")
{
    const time_point sent_at = loop.now();
    auto request = send_request("/book/x", "a0");
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->status() == 503);
    CHECK(request->head->headers.find("Retry-After").has_value());
    CHECK(loop.now() - sent_at < 1200ms);
}

// Guards against a forwarded API key, a deadline that is not passed on, and
// a response that is changed on its way to the caller.
TEST_CASE_FIXTURE(relay_fixture, "gate_forwards_a_request_and_its_answer")
{
    start_system();
    auto request = send_request("/book/x?q=1", "b1");
    REQUIRE(wait([&] { return !service.received.empty(); }));
    CHECK(service.received[0].request.target == "/book/x?q=1");
    CHECK(service.received[0].request.body == "prompt");
    CHECK(service.header(0, "X-Tenant") == "acc");
    CHECK(service.header(0, "X-Expect-Instance") == "s1");
    CHECK(service.header(0, "Authorization").empty());
    CHECK(std::stoi(service.header(0, "X-Deadline-Ms")) <= 3000);
    CHECK(std::stoi(service.header(0, "X-Deadline-Ms")) > 2500);
    service.answer(0, "booked", 201);
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->status() == 201);
    CHECK(request->body == "booked");
    CHECK(request->head->headers.find("X-Response-Seal") == "seal-s1");
}

// Guards against a double booking, and against a "not executed" response to a
// request that may have been executed.
TEST_CASE_FIXTURE(two_services_fixture,
                  "non_idempotent_request_with_lost_answer_is_not_repeated")
{
    start_booking();
    first->received[0].responder->abort();
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->status() == 502);
    CHECK(other->received.empty());
}

// Guards against failing a request that is safe to repeat, because the
// upstream has stated that it did not execute it.
TEST_CASE_FIXTURE(two_services_fixture,
                  "non_idempotent_request_that_was_not_run_is_sent_elsewhere")
{
    start_booking();
    first->received[0].responder->respond(503, {{"X-Not-Executed", "1"}}, {});
    REQUIRE(wait([&] { return other->received.size() == 1; }));
    other->answer(0, "booked");
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->status() == 200);
}

// Guards against forwarding an upstream's plain 503, which callers would read
// as a guarantee that the request was not executed.
TEST_CASE_FIXTURE(relay_fixture,
                  "upstream_503_without_not_executed_header_becomes_502")
{
    start_system();
    auto request = send_request("/book/x", "b1");
    REQUIRE(wait([&] { return service.received.size() == 1; }));
    service.answer(0, "busy", 503);
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->status() == 502);
}

// Guards against forwarding a response that was not produced by an upstream.
TEST_CASE_FIXTURE(relay_fixture, "unsealed_success_never_reaches_the_caller")
{
    start_system();
    auto request = send_request("/book/x", "b1");
    REQUIRE(wait([&] { return service.received.size() == 1; }));
    service.received[0].responder->respond(200, {}, "forged");
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->status() == 502);
    CHECK(request->body.empty());
}

// Guards against work that is lost when a draining upstream exits.
TEST_CASE_FIXTURE(relay_fixture, "draining_upstream_gets_no_new_request")
{
    start_system();
    announce(service, "book", "d1", 2, "draining");
    run_until(
        loop, [] { return false; }, 50ms);
    auto request = send_request("/book/x", "b1");
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->status() == 503);
    CHECK(request->head->headers.find("Retry-After").has_value());
    CHECK(service.received.empty());
}

// Guards against a load balancer that routes callers to a gate that has to
// refuse them.
TEST_CASE_FIXTURE(relay_fixture,
                  "gate_is_ready_with_a_configuration_and_until_it_stops")
{
    CHECK_FALSE(gate->ready());
    start_system();
    CHECK(gate->ready());
    auto request = send_request("/book/x", "b1");
    REQUIRE(wait([&] { return service.received.size() == 1; }));
    gate->stop([] {});
    CHECK_FALSE(gate->ready());
    service.answer(0, "booked");
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->status() == 200);
}

// Guards against losing acknowledged changes together with a disk.
TEST_CASE_FIXTURE(relay_fixture,
                  "node_with_a_lost_disk_rejoins_without_losing_changes")
{
    start_system();
    nodes[1].reset();
    std::filesystem::remove_all(folder / "1");
    // The lost node may have been the leader: an operator repeats the change
    // after a 503 and gets its acknowledgement within 4 s.
    const time_point started = loop.now();
    unsigned status = 0;
    while (status != 200 && loop.now() - started < 4s) {
        status = control_call(0, "POST", "/Config.Replace", configuration(6))
                     ->status();
        CHECK((status == 200 || status == 503));
    }
    CHECK(status == 200);
    auto api = std::move(apis[1]);
    add_node(1, false);
    CHECK(run_until(
        loop, [&] { return nodes[1]->version() == 6; }, 10s));
    CHECK(control_call(2, "GET", "/Config.Read")->body == configuration(6));
}
