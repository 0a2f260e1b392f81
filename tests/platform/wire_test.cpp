#include <bamboogate/core/json.hpp>

#include <doctest/doctest.h>

#include "wire.hpp"

using namespace bamboogate;
using namespace bamboogate::platform;
using namespace std::chrono_literals;

namespace {

constexpr const char* sample_configuration = R"({
  "version": 7, "unknown": {"x": 1},
  "routes": [
    {"name": "r1", "host": "h.example", "pathPrefix": "/a/",
     "routeType": "streaming", "timeoutMs": 25000, "goalMs": 4000,
     "service": "s1", "resumable": true, "gapGoalMs": 700,
     "anonymous": false, "maxAttempts": 5, "priority": 2, "sticky": true},
    {"name": "r2", "host": "h.example", "pathPrefix": "/b/",
     "routeType": "idempotent", "timeoutMs": 1000,
     "split": [{"service": "s1", "weight": 90},
               {"service": "s2", "weight": 10}], "maxAttempts": 2}],
  "services": [
    {"name": "s1", "healthPath": "/healthz", "maxConns": 150,
     "engine": {"slots": 12, "kvCapacity": 88000, "stride": 9,
                "backups": true}},
    {"name": "s2", "healthPath": "/healthz", "maxConns": 96}],
  "limits": {"maxHeaderBytes": 1000, "maxBodyBytes": 2000,
             "headerTimeoutMs": 3000, "idleTimeoutMs": 4000},
  "tenants": [{"name": "t", "apiKeys": ["k1", "k2"], "priority": 1}]})";

net::http1_request sample_request()
{
    return {.method = "POST",
            .target = "/a/x",
            .headers = {{"Host", "h.example"},
                        {"X-Attempt-Id", "abc"},
                        {"X-Deadline-Ms", "25000"},
                        {"Last-Event-Id", "12"},
                        {"X-Token-Count", "1460,80"},
                        {"Authorization", "Bearer key1"}}};
}

} // namespace

// Guards against a poison request that is not recognised by its parts.
TEST_CASE("wire_prompt_parts_before_the_last_are_shared")
{
    auto request = sample_request();
    request.headers.set("X-Prefix-Hash", "aa01:300,bb02:20,cc03:7");
    const auto described = platform::wire::describe_request(request);
    REQUIRE(described);
    CHECK(described.value().shared_parts ==
          std::vector<std::string>{"aa01", "bb02"});
    CHECK(described.value().prompt == "cc03");
    request.headers.set("X-Prefix-Hash", "cc03:7");
    CHECK(
        platform::wire::describe_request(request).value().shared_parts.empty());
    std::string many;
    for (int i = 0; i < 1000; ++i) {
        many += "a:1,";
    }
    request.headers.set("X-Prefix-Hash", many);
    CHECK(
        platform::wire::describe_request(request).value().shared_parts.size() ==
        128);
}

// Guards against a new leader that treats an evicted prompt as cached, or that
// fails on an unreadable response.
TEST_CASE("wire_cache_events_name_cached_and_evicted_prompts")
{
    const auto changes = platform::wire::read_cache(
        R"({"epoch":3,"next":9,"lost":false,"events":[
[7,"+","","91bd",410,"m"],[8,"-","","5c1e",0,"m"]]})");
    REQUIRE(changes);
    REQUIRE(changes.value().size() == 2);
    CHECK(changes.value()[0].prompt == "91bd");
    CHECK(changes.value()[0].cached);
    CHECK(changes.value()[1].prompt == "5c1e");
    CHECK_FALSE(changes.value()[1].cached);
    CHECK_FALSE(platform::wire::read_cache("{}"));
    CHECK_FALSE(platform::wire::read_cache("no JSON"));
}

// Guards against metadata of the caller that is dropped or read from the
// wrong field.
TEST_CASE("wire_request_headers_are_parsed_into_a_description")
{
    const auto described = wire::describe_request(sample_request());
    REQUIRE(described);
    const auto& request = described.value();
    CHECK(request.attempt == request_id("abc"));
    CHECK(request.time_left == 25s);
    CHECK(request.resume_after == 12);
    CHECK(request.prompt_tokens == 1460);
    CHECK(request.max_output_tokens == 80);
    CHECK(request.key == "key1");
}

// Guards against a stream that changes its identity with each attempt of its
// caller, and against a name of any length that a gate would remember.
TEST_CASE("wire_resumed_stream_is_identified_by_its_first_attempt")
{
    auto request = sample_request();
    const auto stream = [&] {
        return wire::describe_request(request).value().stream();
    };
    CHECK(stream() == request_id("abc"));
    request.headers.set("Resumes", "first");
    CHECK(stream() == request_id("first"));
    request.headers.remove("Last-Event-Id");
    CHECK(stream() == request_id("abc"));
    request.headers.set("Last-Event-Id", "12");
    request.headers.set("Resumes", std::string(300, 'x'));
    CHECK(stream() == request_id("abc"));
}

// Guards against a deadline in the past that results from an overflow.
TEST_CASE("wire_deadline_too_large_is_limited")
{
    for (const std::string text :
         {"1e15", "1e300", "inf", "9223372036854775808"}) {
        CAPTURE(text);
        auto request = sample_request();
        request.headers.set("X-Deadline-Ms", text);
        const auto described = wire::describe_request(request);
        REQUIRE(described);
        CHECK(described.value().time_left > 1h);
        CHECK(described.value().time_left < 10000h);
    }
    for (const std::string text : {"-1e300", "-inf", "nan"}) {
        CAPTURE(text);
        auto request = sample_request();
        request.headers.set("X-Deadline-Ms", text);
        CHECK(wire::describe_request(request).value().time_left == 0s);
    }
}

TEST_CASE("wire_request_without_attempt_id_is_refused")
{
    auto request = sample_request();
    request.headers.remove("X-Attempt-Id");
    CHECK_FALSE(wire::describe_request(request).has_value());
}

// Guards against callers that set fields reserved for the gate, and against API
// keys that reach an engine.
TEST_CASE("wire_attempt_replaces_every_field_of_the_gate")
{
    net::header_list fields{
        {"X-Attempt-Id", "abc"},     {"Authorization", "Bearer key1"},
        {"X-Tenant", "forged"},      {"X-Kv-Hold", "1"},
        {"X-Pin-Ms", "1"},           {"X-Kv-Backup", "10.0.0.9:1"},
        {"Kv-From", "10.0.0.9:1/x"}, {"X-Model", "m"},
        {"X-Prefix-Hash", "aa:1"}};
    wire::write_attempt(fields, {.time_left = 1500ms,
                                 .expected_upstream = upstream_id("i-1"),
                                 .account = client_account_id("t")});
    CHECK(fields.find("X-Tenant") == "t");
    CHECK(fields.find("X-Deadline-Ms") == "1500");
    CHECK(fields.find("X-Expect-Instance") == "i-1");
    CHECK(fields.find("X-Attempt-Id") == "abc");
    CHECK(fields.find("X-Model") == "m");
    CHECK(fields.find("X-Prefix-Hash") == "aa:1");
    for (const char* name :
         {"Kv-From", "X-Kv-Backup", "X-Pin-Ms", "X-Kv-Hold", "Authorization"}) {
        CAPTURE(name);
        CHECK_FALSE(fields.find(name).has_value());
    }
}

// Guards against an engine that cannot resume, and against an urgency beyond
// the range of the platform.
TEST_CASE("wire_attempt_names_copy_holder_and_resume_point")
{
    net::header_list fields;
    wire::write_attempt(
        fields, {.time_left = 1s,
                 .expected_upstream = upstream_id("i-2"),
                 .urgency = 12,
                 .copy_to = net::address{"10.0.0.1", 80},
                 .continue_from = relay::copy_source{{"10.0.0.2", 81}, "abc"},
                 .resume_after = 40});
    CHECK(fields.find("X-Kv-Backup") == "10.0.0.1:80");
    CHECK(fields.find("Kv-From") == "10.0.0.2:81/abc");
    CHECK(fields.find("Last-Event-Id") == "40");
    CHECK(fields.find("X-Request-Urgency") == "9");
}

TEST_CASE("wire_request_prompt_is_the_last_prefix_part")
{
    net::http1_request request;
    request.headers.set("X-Attempt-Id", "a");
    request.headers.set("X-Prefix-Hash", "5c1e:800,91bd:410,e440:250");
    CHECK(wire::describe_request(request).value().prompt == "e440");
    request.headers.remove("X-Prefix-Hash");
    CHECK(wire::describe_request(request).value().prompt.empty());
}

TEST_CASE("wire_copy_call_names_run_and_holder_and_returns_the_handle")
{
    const auto call = wire::copy_call(request_id("abc"), {"10.0.0.1", 80});
    CHECK(call.method == "POST");
    CHECK(call.target == "/kv-move");
    CHECK(json::parse(call.body) ==
          json{{"id", "abc"}, {"target", "10.0.0.1:80"}});
    const auto made =
        wire::read_copy_handle(200, R"({"kvHandle":"h","made":3})");
    REQUIRE(made);
    CHECK(made.value() == "h");
    CHECK_FALSE(wire::read_copy_handle(503, R"({"kvHandle":"h"})"));
    CHECK_FALSE(wire::read_copy_handle(200, "{}"));
}

// Guards against an exception for the id of a caller's request.
TEST_CASE("wire_copy_call_of_an_id_that_is_not_utf8_is_encoded")
{
    const auto call = wire::copy_call(request_id("a\xff"
                                                 "b"),
                                      {"10.0.0.1", 80});
    CHECK(json::parse(call.body).at("id") == "a\xef\xbf\xbd"
                                             "b");
}

// Guards against an upstream that receives requests after it stated that it
// leaves.
TEST_CASE("wire_response_states_whether_the_upstream_leaves")
{
    const auto describe = [](unsigned status, net::header_list headers) {
        return wire::describe_response(
            {.status = status, .headers = std::move(headers)});
    };
    CHECK(describe(200, {{"server-leaving", "1"}}).leaving);
    CHECK(describe(503, {{"Server-Leaving", "1"}}).leaving);
    CHECK_FALSE(describe(200, {}).leaving);
    CHECK_FALSE(describe(200, {{"Server-Leaving", "0"}}).leaving);
    CHECK(describe(200, {}).expected_upstream);
    CHECK_FALSE(describe(421, {{"Server-Leaving", "1"}}).expected_upstream);
}

// Guards against a pause that is not recognised, or that is taken from a
// response that is no refusal.
TEST_CASE("wire_refusal_states_how_long_the_upstream_wants_no_requests")
{
    const auto pause = [](unsigned status, const char* text) {
        return wire::describe_response(
                   {.status = status, .headers = {{"Retry-After", text}}})
            .pause;
    };
    CHECK(pause(503, "2.5") == 2500ms);
    CHECK(pause(503, "7") == 7s);
    CHECK(pause(503, "-3") == 0s);
    CHECK(pause(503, "soon") == 0s);
    CHECK(pause(503, "nan") == 0s);
    CHECK(pause(503, "1e300") > 1h);
    CHECK_FALSE(pause(200, "2.5"));
    CHECK_FALSE(wire::describe_response({.status = 503}).pause);
}

// Guards against repeating a request that may have been executed.
TEST_CASE("wire_response_states_whether_the_request_was_executed")
{
    const auto describe = [](unsigned status, net::header_list headers) {
        return wire::describe_response(
            {.status = status, .headers = std::move(headers)});
    };
    CHECK(describe(503, {{"X-Not-Executed", "1"}}).not_run);
    CHECK(describe(421, {}).not_run);
    CHECK_FALSE(describe(503, {}).not_run);
    CHECK(describe(200, {{"x-response-seal", "s"}}).sealed);
    CHECK(describe(200, {{"X-Attempt-Id", "abc"}}).attempt ==
          request_id("abc"));
}

// Guards against fields of the configuration that are silently replaced by
// defaults.
TEST_CASE("wire_configuration_is_parsed_completely")
{
    const auto read = wire::read_configuration(sample_configuration);
    REQUIRE(read);
    const auto& document = read.value();
    CHECK(document.version == 7);
    REQUIRE(document.routes.size() == 2);
    CHECK(document.routes[0].policy == relay::retry_policy::streaming);
    CHECK(document.routes[0].resumable);
    CHECK(document.routes[0].latency_objective == 4s);
    CHECK(document.routes[0].event_gap_objective == 700ms);
    REQUIRE(document.routes[1].targets.size() == 2);
    CHECK(document.routes[1].targets[0].weight == 90);
    REQUIRE(document.services[0].engine);
    CHECK(document.services[0].engine->kv_capacity_tokens == 88000);
    CHECK(document.services[0].engine->stores_copies);
    CHECK_FALSE(document.services[1].engine);
    CHECK(document.limits.header_bytes == 1000);
    CHECK(document.limits.idle_timeout == 4s);
    CHECK(document.accounts[0].keys.size() == 2);
    CHECK(document.accounts[0].rank == 1);
    CHECK(validate(document).has_value());
}

// Guards against taking the removal of the last account for a configuration
// without accounts.
TEST_CASE("wire_configuration_with_an_empty_list_of_accounts_requires_a_key")
{
    const std::string complete = sample_configuration;
    const auto accounts = complete.find('[', complete.find("\"tenants\""));
    const auto empty =
        wire::read_configuration(complete.substr(0, accounts) + "[]" +
                                 complete.substr(complete.rfind('}')));
    REQUIRE(empty);
    CHECK(empty.value().accounts.empty());
    CHECK(empty.value().requires_key());
    const auto without = wire::read_configuration(
        complete.substr(0, complete.rfind(',', accounts)) + "}");
    REQUIRE(without);
    CHECK_FALSE(without.value().requires_key());
}

// Guards against a time limit that results from an overflow.
TEST_CASE("wire_configuration_with_a_time_out_of_range_is_malformed")
{
    for (const std::string field : {"timeoutMs", "goalMs", "gapGoalMs",
                                    "headerTimeoutMs", "idleTimeoutMs"}) {
        for (const std::string value :
             {"1e300", "1e18", "-1", "-1e300", "1e400"}) {
            CAPTURE(field);
            CAPTURE(value);
            std::string text = sample_configuration;
            const std::string name = "\"" + field + "\": ";
            const auto at = text.find(name) + name.size();
            text.replace(at, text.find_first_of(",}", at) - at, value);
            CHECK_FALSE(wire::read_configuration(text));
        }
    }
}

// Guards against a version below zero that is taken for the highest one, after
// which no change takes effect.
TEST_CASE("wire_configuration_with_an_odd_number_is_malformed")
{
    for (const json& value :
         {json(-1), json(-7), json(1.5), json("3"), json(nullptr)}) {
        CAPTURE(value.dump());
        json document = json::parse(sample_configuration);
        document["version"] = value;
        CHECK_FALSE(wire::read_configuration(document.dump()));
        document = json::parse(sample_configuration);
        document["routes"][0]["split"] = {
            {{"service", "s"}, {"weight", value}}};
        CHECK_FALSE(wire::read_configuration(document.dump()));
    }
}

// Guards against objects that are read as lists of their values.
TEST_CASE("wire_configuration_with_an_object_for_a_list_is_malformed")
{
    for (const char* field : {"routes", "services", "tenants"}) {
        CAPTURE(field);
        json document = json::parse(sample_configuration);
        document[field] = json::object();
        CHECK_FALSE(wire::read_configuration(document.dump()));
    }
}

// Guards against an overflow of the silence limit of streams.
TEST_CASE("wire_configuration_tokens_per_event_are_limited")
{
    for (const char* value : {"18446744073709551615", "4611686018427387904"}) {
        std::string text = sample_configuration;
        const std::string name = "\"stride\": ";
        const auto at = text.find(name) + name.size();
        text.replace(at, 1, value);
        const auto read = wire::read_configuration(text);
        REQUIRE(read);
        CHECK(read.value().services[0].engine->tokens_per_event <= 1u << 20);
    }
}

// Guards against accepting a document that was cut off during its transfer.
TEST_CASE("wire_truncated_configuration_is_malformed")
{
    const std::string complete = sample_configuration;
    for (const std::size_t size :
         {std::size_t{0}, complete.size() / 2, complete.size() - 1}) {
        CAPTURE(size);
        CHECK_FALSE(
            wire::read_configuration(complete.substr(0, size)).has_value());
    }
    CHECK_FALSE(wire::read_configuration("[]").has_value());
    CHECK_FALSE(wire::read_configuration("{\"version\":\"7\"}").has_value());
}

// Guards against registering upstreams from malformed heartbeats, and against a
// process that crashes on unexpected input.
TEST_CASE("wire_malformed_heartbeat_is_rejected")
{
    const std::string valid =
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,)"
        R"("state":"ready","coldLeftMs":0,"version":"v1","seqNo":4,)"
        R"("born":1700000000000})";
    const auto read = read_heartbeat("i-1", valid);
    REQUIRE(read);
    CHECK(read.value().id == upstream_id("i-1"));
    CHECK(read.value().address == net::address{"10.0.0.1", 80});
    CHECK(read.value().started_at == 1700000000000);
    CHECK(read.value().sequence == 4);
    const char* const malformed[] = {
        "",
        "null",
        "[1]",
        "\xff\xfe",
        R"({"service":"s"})",
        R"({"service":"s","address":"nowhere","zone":"z","slots":4,)"
        R"("state":"ready","coldLeftMs":0,"version":"v1","seqNo":4})",
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,)"
        R"("state":"resting","coldLeftMs":0,"version":"v1","seqNo":4})",
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,)"
        R"("state":"ready","coldLeftMs":0,"version":"v1","seqNo":4.5})",
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,)"
        R"("state":"ready","coldLeftMs":0,"version":"v1","seqNo":4,)"
        R"("born":"soon"})",
        R"({"service":7,"address":"10.0.0.1:80","zone":"z","slots":4,)"
        R"("state":"ready","coldLeftMs":0,"version":"v1","seqNo":4})",
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,)"
        R"("state":"ready","coldLeftMs":0,"version":7,"seqNo":4})"};
    for (const char* text : malformed) {
        CAPTURE(text);
        CHECK_FALSE(read_heartbeat("i-1", text).has_value());
    }
}

TEST_CASE("wire_deregistration_may_have_an_empty_body")
{
    REQUIRE(read_deregistration("i-1", ""));
    CHECK(read_deregistration("i-1", "").value().started_at == 0);
    CHECK(read_deregistration("i-1", R"({"born":5})").value().started_at == 5);
    CHECK_FALSE(read_deregistration("i-1", "[]").has_value());
}
