#include <bamboogate/control/operator_api.hpp>
#include <bamboogate/control/upstream_orders.hpp>
#include <bamboogate/net/http_client.hpp>
#include <bamboogate/net/http_server.hpp>

#include <doctest/doctest.h>

#include "support/loopback.hpp"

using namespace bamboogate;
using namespace bamboogate::control;
using namespace std::chrono_literals;
using bamboogate::tests::loopback_fixture;
using bamboogate::tests::sample_declarations;

namespace {

struct reply
{
    unsigned status = 0;
    json body;
};

class api_fixture : public loopback_fixture
{
public:
    net::http_client http{loop};
    std::unique_ptr<upstream_orders> orders;
    std::unique_ptr<operator_api> api;
    /// Orders that the stand-in upstream received.
    std::vector<json> received;
    std::unique_ptr<net::http_server> upstream;
    std::vector<std::shared_ptr<net::responder>> held;
    bool hold = false;

    api_fixture()
    {
        start_nodes(1);
        orders = std::make_unique<upstream_orders>(
            loop, http, *nodes[0].server, state,
            upstream_orders::options{.previous_leader_grace = 100ms,
                                     .sweep_interval = 5ms});
        auto started =
            operator_api::start({.loop = loop,
                                 .hub = *nodes[0].hub,
                                 .log = *nodes[0].log,
                                 .state = state,
                                 .server = *nodes[0].server,
                                 .orders = *orders},
                                {.listen_address = {"127.0.0.1", 0},
                                 .bootstrap_key = secret("first-key")});
        REQUIRE(started);
        api = std::move(started).value();
        start_upstream();
    }

    void start_upstream()
    {
        auto started = net::http_server::start(
            loop, {.listen_address = {"127.0.0.1", 0}, .daemons = 1},
            [this](const net::http_request& request,
                   const std::shared_ptr<net::responder>& out) {
                CHECK(request.path == "/v1/orders");
                received.push_back(parse_json(request.body).value());
                if (hold) {
                    held.push_back(out);
                    return;
                }
                out->respond(200, {}, "{}");
            });
        REQUIRE(started);
        upstream = std::move(started).value();
    }

    void start_request(const std::string& method, const std::string& path,
                       const json& body, const std::string& key,
                       std::function<void(reply)> done)
    {
        http.start_detached(
            {.method = method,
             .url = "http://" + api->bound_address().text() + path,
             .headers = {{"authorization", "Bearer " + key}},
             .body = body.is_null() ? std::string() : body.dump()},
            [done](const net::http_client::outcome_type& end) {
                REQUIRE(end);
                const auto parsed = parse_json(end.value().body);
                done({end.value().status, parsed ? parsed.value() : json()});
            });
    }

    reply request(const std::string& method, const std::string& path,
                  const json& body = nullptr,
                  const std::string& key = "operator-key")
    {
        std::optional<reply> end;
        start_request(method, path, body, key,
                      [&end](reply r) { end = std::move(r); });
        REQUIRE(until([&] { return end.has_value(); }));
        return *end;
    }

    static json apply_body(const std::string& operation, std::uint64_t based_on)
    {
        return {{"operation_id", operation},
                {"based_on", based_on},
                {"declarations", to_document(sample_declarations())}};
    }

    void bootstrap()
    {
        REQUIRE(
            request("POST", "/v1/apply", apply_body("first", 0), "first-key")
                .status == 200);
    }

    json order_body(const std::string& operation, std::uint64_t deadline_ms)
    {
        return {{"operation_id", operation},
                {"based_on", 1},
                {"upstream", "e1"},
                {"address", upstream->bound_address().text()},
                {"deadline_ms", deadline_ms},
                {"order", {{"load", "draft"}}}};
    }
};

} // namespace

// Guards against a bootstrap key that stays valid, and against any route
// without a key.
TEST_CASE_FIXTURE(api_fixture, "operator_api_bootstrap_key_only_until_declared")
{
    CHECK(request("GET", "/v1/status", nullptr, "wrong").status == 401);
    CHECK(request("GET", "/v1/status", nullptr, "").status == 401);
    CHECK(request("GET", "/v1/status", nullptr, "operator-key").status == 401);
    bootstrap();
    CHECK(request("GET", "/v1/status", nullptr, "first-key").status == 401);
    const auto status = request("GET", "/v1/status");
    CHECK(status.status == 200);
    CHECK(status.body["revision"] == 1);
    CHECK(status.body["preset"] == "ordinary");
    CHECK(request("GET", "/v1/nothing").status == 404);
    CHECK(request("GET", "/healthz", nullptr, "").status == 200);
}

TEST_CASE_FIXTURE(api_fixture, "operator_api_apply_dry_run_changes_nothing")
{
    bootstrap();
    auto body = apply_body("second", 1);
    body["declarations"]["presets"][0]["retry_budget"] = 0.3;
    body["dry_run"] = true;
    const auto dry = request("POST", "/v1/apply", body);
    CHECK(dry.status == 200);
    REQUIRE(dry.body["difference"].size() == 1);
    CHECK(dry.body["difference"][0] ==
          "~ /presets/ordinary/retry_budget 0.1 -> 0.3");
    CHECK(state.current().revision.value == 1);
    body.erase("dry_run");
    const auto applied = request("POST", "/v1/apply", body);
    CHECK(applied.status == 200);
    CHECK(applied.body["revision"] == 2);
    CHECK(applied.body["in_force"] == true);
    CHECK(applied.body["difference"] == dry.body["difference"]);
    CHECK(request("GET", "/v1/declarations").body["declarations"] ==
          body["declarations"]);
    CHECK(request("GET", "/v1/history").body["history"].size() == 2);
}

TEST_CASE_FIXTURE(api_fixture, "operator_api_conflict_names_winner")
{
    bootstrap();
    const json first = {
        {"operation_id", "a"}, {"based_on", 1}, {"preset", "peak"}};
    const json second = {
        {"operation_id", "b"}, {"based_on", 1}, {"preset", "maintenance"}};
    const auto won = request("POST", "/v1/preset", first);
    CHECK(won.status == 200);
    const auto lost = request("POST", "/v1/preset", second);
    CHECK(lost.status == 409);
    CHECK(lost.body["error"]["code"] == "conflict");
    CHECK(lost.body["winner"]["operation"] == "a");
    CHECK(lost.body["winner"]["operator_id"] == "ana");
    CHECK(lost.body["revision"] == 2);
    CHECK(request("POST", "/v1/preset", first).body == won.body);
}

// Guards against an answer "accepted" that reads as "in force" while a gate
// still serves under the old preset.
TEST_CASE_FIXTURE(api_fixture, "operator_api_reports_whether_in_force")
{
    bootstrap();
    auto& gate = start_gate("g1");
    REQUIRE(until([&] { return gate.client->lease_valid(); }));
    gate.hub->remove_peer(node_id("c1"));
    const auto early = request("POST", "/v1/preset",
                               {{"operation_id", "a"},
                                {"based_on", 1},
                                {"preset", "peak"},
                                {"wait_ms", 20}});
    CHECK(early.status == 200);
    CHECK(early.body["in_force"] == false);
    CHECK(gate.client->lease_valid());
    const auto waited = request(
        "POST", "/v1/preset",
        {{"operation_id", "b"}, {"based_on", 2}, {"preset", "ordinary"}});
    CHECK(waited.body["in_force"] == true);
    CHECK_FALSE(gate.client->lease_valid());
}

TEST_CASE_FIXTURE(api_fixture, "operator_api_bad_requests_are_typed_errors")
{
    bootstrap();
    struct bad_case
    {
        const char* path;
        json body;
        unsigned status;
        const char* code;
    };
    auto faulty = apply_body("x", 1);
    faulty["declarations"]["presets"][0]["speed"] = 1;
    faulty["declarations"]["service_classes"][0]["rank"] = "none";
    const bad_case cases[] = {
        {"/v1/apply", json::array(), 400, "malformed_input"},
        {"/v1/apply", faulty, 422, "invalid_argument"},
        {"/v1/apply",
         {{"operation_id", "x"}, {"based_on", 1}},
         422,
         "invalid_argument"},
        {"/v1/apply", {{"operation_id", "x"}}, 400, "invalid_argument"},
        {"/v1/preset",
         {{"operation_id", "x"}, {"based_on", 1}},
         400,
         "invalid_argument"},
        {"/v1/preset",
         {{"based_on", 1}, {"preset", "peak"}},
         400,
         "invalid_argument"},
        {"/v1/preset",
         {{"operation_id", "x"}, {"based_on", -1}, {"preset", "peak"}},
         400,
         "invalid_argument"},
        {"/v1/preset",
         {{"operation_id", "y"}, {"based_on", 1}, {"preset", "night"}},
         404,
         "not_found"},
        {"/v1/orders",
         {{"operation_id", "x"}, {"based_on", 1}},
         400,
         "invalid_argument"},
        {"/v1/members",
         {{"action", "grow"}, {"node", "c2"}},
         400,
         "invalid_argument"},
        {"/v1/drain", {{"node", "nobody"}}, 404, "not_found"},
    };
    for (const auto& each : cases) {
        CAPTURE(each.path);
        CAPTURE(each.body.dump());
        const auto refused = request("POST", each.path, each.body);
        CHECK(refused.status == each.status);
        CHECK(refused.body["error"]["code"] == each.code);
    }
    CHECK(request("POST", "/v1/apply", faulty).body["faults"].size() == 4);
    CHECK(state.current().revision.value == 1);
}

TEST_CASE_FIXTURE(api_fixture, "operator_api_not_leader_names_leader")
{
    bootstrap();
    nodes[0].log->known_leader = node_id("c2");
    nodes[0].log->set_leader(false);
    const auto refused =
        request("POST", "/v1/preset",
                {{"operation_id", "a"}, {"based_on", 1}, {"preset", "peak"}});
    CHECK(refused.status == 421);
    CHECK(refused.body["error"]["code"] == "not_leader");
    CHECK(refused.body["leader"] == "c2");
    CHECK(request("GET", "/v1/status").body["leads"] == false);
    CHECK(request("GET", "/v1/history").status == 421);
}

TEST_CASE_FIXTURE(api_fixture, "operator_api_members_and_drain")
{
    bootstrap();
    for (const char* action : {"add_learner", "promote", "remove"}) {
        CHECK(
            request("POST", "/v1/members", {{"action", action}, {"node", "c4"}})
                .status == 200);
    }
    CHECK(nodes[0].log->member_changes.size() == 3);
    auto& gate = start_gate("g1");
    std::string drained_by;
    gate.hub->on<drain_request>(
        [&](const net::peer_info&, const drain_request& message) {
            drained_by = message.operator_id;
        });
    REQUIRE(until([&] { return gate.client->lease_valid(); }));
    CHECK(request("POST", "/v1/drain", {{"node", "g1"}}).status == 202);
    CHECK(until([&] { return drained_by == "ana"; }));
    CHECK(request("POST", "/v1/drain", {{"node", "c1"}}).status == 200);
    CHECK_FALSE(nodes[0].server->leads());
}

TEST_CASE_FIXTURE(api_fixture, "operator_api_order_is_sent_once_with_token")
{
    bootstrap();
    const auto first = request("POST", "/v1/orders", order_body("o1", 1000));
    CHECK(first.status == 200);
    CHECK(first.body["outcome"] == "accepted");
    REQUIRE(received.size() == 1);
    CHECK(received[0]["fencing_token"] == first.body["token"]);
    CHECK(received[0]["order"]["load"] == "draft");
    CHECK(request("POST", "/v1/orders", order_body("o1", 1000)).body ==
          first.body);
    CHECK(received.size() == 1);
    const auto second = request("POST", "/v1/orders", order_body("o2", 1000));
    CHECK(second.body["token"] > first.body["token"]);
    CHECK(request("GET", "/v1/orders").body["ended"].size() == 2);
}

// Guards against an order that two leaders send, which an upstream that
// ignores tokens would run twice or in the wrong order.
TEST_CASE_FIXTURE(api_fixture,
                  "upstream_orders_new_leader_waits_and_never_sends")
{
    bootstrap();
    // The earlier leader committed the order and was lost.
    record_order inherited{.origin = tests::log_driver::origin("old", 1),
                           .upstream = upstream_id("e1"),
                           .address = upstream->bound_address().text(),
                           .order = json::object(),
                           .deadline_ms = 200};
    driver.index = 1000;
    const auto token = driver.run(inherited).body["token"];
    const time_point begin = loop.now();
    run_for(20ms);
    CHECK(request("POST", "/v1/orders", order_body("new", 500)).status == 409);
    REQUIRE(until([&] { return state.open_orders().empty(); }));
    CHECK(loop.now() - begin >= 300ms);
    CHECK(received.empty());
    REQUIRE(state.ended_orders().size() == 1);
    CHECK(state.ended_orders().back().outcome == "unknown");
    CHECK(state.ended_orders().back().token == token);
}

TEST_CASE_FIXTURE(api_fixture, "upstream_orders_silent_upstream_ends_unknown")
{
    bootstrap();
    hold = true;
    const auto silent = request("POST", "/v1/orders", order_body("o1", 100));
    CHECK(silent.body["outcome"] == "unknown");
    auto nowhere = order_body("o2", 1000);
    upstream.reset();
    const auto refused = request("POST", "/v1/orders", nowhere);
    CHECK(refused.body["outcome"] == "not_sent");
    CHECK(state.open_orders().empty());
}
