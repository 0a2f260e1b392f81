#include <bamboogate/core/secret.hpp>
#include <bamboogate/gate/api_error.hpp>
#include <bamboogate/gate/authenticator.hpp>
#include <bamboogate/gate/caller_token.hpp>
#include <bamboogate/gate/completion_request.hpp>

#include <doctest/doctest.h>

#include <string>

using namespace bamboogate;
using namespace bamboogate::gate;

// Guards against invalid input that reaches the scheduler or an engine.
TEST_CASE("completion_request_bad_body_typed_error_names_the_field")
{
    struct fault_case
    {
        const char* body;
        errc code;
        const char* mentions;
    };
    const fault_case cases[] = {
        {"", errc::malformed_input, "line 1"},
        {"{", errc::malformed_input, "line 1"},
        {"[]", errc::malformed_input, "object"},
        {"\"text\"", errc::malformed_input, "object"},
        {R"({"prompt":"p"})", errc::invalid_argument, "model"},
        {R"({"model":"m"})", errc::invalid_argument, "prompt"},
        {R"({"model":7,"prompt":"p"})", errc::invalid_argument, "model"},
        {R"({"model":"","prompt":"p"})", errc::invalid_argument, "model"},
        {R"({"model":"m","prompt":["p"]})", errc::invalid_argument, "prompt"},
        {R"({"model":"m","prompt":"p","max_tokens":0})", errc::invalid_argument,
         "max_tokens"},
        {R"({"model":"m","prompt":"p","max_tokens":-1})",
         errc::invalid_argument, "max_tokens"},
        {R"({"model":"m","prompt":"p","max_tokens":1e9})",
         errc::invalid_argument, "max_tokens"},
        {R"({"model":"m","prompt":"p","max_tokens":"9"})",
         errc::invalid_argument, "max_tokens"},
        {R"({"model":"m","prompt":"p","stream":"yes"})", errc::invalid_argument,
         "stream"},
        {R"({"model":"m","prompt":"p","n":2})", errc::invalid_argument, "n"},
        {R"({"model":"m","prompt":"p","service_class":3})",
         errc::invalid_argument, "service_class"},
    };
    for (const auto& each : cases) {
        CAPTURE(std::string(each.body));
        const auto parsed = parse_completion_request(each.body);
        REQUIRE_FALSE(parsed);
        CHECK(parsed.error().code == each.code);
        CHECK(parsed.error().detail.find(each.mentions) != std::string::npos);
    }
    const auto deep = parse_completion_request(std::string(5000, '['));
    REQUIRE_FALSE(deep);
    CHECK(deep.error().code == errc::limit_exceeded);
}

// Guards against requests of common clients being refused for fields that have
// no effect here.
TEST_CASE("completion_request_fields_of_common_clients_are_accepted")
{
    const auto parsed = parse_completion_request(
        R"({"model":"m","prompt":"p","temperature":0.2,"top_p":1,"n":1,
            "stop":["\n"],"user":"u","stream":true,"max_tokens":null})");
    REQUIRE(parsed);
    CHECK(parsed.value().stream);
    CHECK(parsed.value().max_tokens == 256);
}

// Guards against an account that uses a service class or model not granted to
// it.
TEST_CASE("resolve_service_class_checks_account_and_model")
{
    control::declarations declared;
    declared.service_classes = {{"manifest", "urgent", {model_id("draft")}},
                                {"brief", "normal", {model_id("draft")}}};
    control::client_account account;
    account.service_classes = {"brief"};
    completion_request request;
    request.model = model_id("draft");

    const auto fallback = resolve_service_class(request, account, declared);
    REQUIRE(fallback);
    CHECK(fallback.value().id == "brief");

    request.service_class = "manifest";
    const auto forbidden = resolve_service_class(request, account, declared);
    REQUIRE_FALSE(forbidden);
    CHECK(forbidden.error().code == errc::permission_denied);

    request.service_class = "brief";
    request.model = model_id("other");
    const auto unknown = resolve_service_class(request, account, declared);
    REQUIRE_FALSE(unknown);
    CHECK(unknown.error().code == errc::not_found);
}

// Guards against one client account reading the answer of another.
TEST_CASE("caller_token_other_account_or_altered_is_refused")
{
    const secret key("0123456789abcdef");
    const client_account_id owner("north");
    const std::string token = caller_token(request_id("r1"), owner, key);
    const auto own = check_caller_token(token, owner, key);
    REQUIRE(own);
    CHECK(own.value() == request_id("r1"));

    CHECK_FALSE(check_caller_token(token, client_account_id("south"), key));
    CHECK_FALSE(check_caller_token("r2" + token.substr(2), owner, key));
    CHECK_FALSE(check_caller_token("r1", owner, key));
    CHECK_FALSE(check_caller_token("", owner, key));
    CHECK_FALSE(check_caller_token(token, owner, secret("other-secret")));
}

// Guards against access without a valid key, including with the stored digest.
TEST_CASE("authenticator_wrong_or_missing_key_is_unauthenticated")
{
    control::declarations declared;
    control::client_account account;
    account.id = client_account_id("north");
    account.key_sha256 = to_hex(sha256("north-key"));
    declared.client_accounts.push_back(account);
    authenticator keys;
    keys.apply(declared);

    const auto known = keys.client_of({{"authorization", "Bearer north-key"}});
    REQUIRE(known);
    CHECK(known.value()->id == client_account_id("north"));
    const net::http_headers refused[] = {
        {},
        {{"authorization", "Bearer "}},
        {{"authorization", "Basic north-key"}},
        {{"authorization", "Bearer north-kez"}},
        {{"authorization", "Bearer " + account.key_sha256}},
        {{"authorization", "Bearer " + std::string(5000, 'k')}},
    };
    for (const auto& headers : refused) {
        const auto unknown = keys.client_of(headers);
        REQUIRE_FALSE(unknown);
        CHECK(unknown.error().code == errc::unauthenticated);
    }
    CHECK_FALSE(keys.operator_of({{"authorization", "Bearer north-key"}}));
}

// Guards invariant I4: an error that may follow a dispatch must not be reported
// as "not run".
TEST_CASE("outcome_of_failures_after_dispatch_never_not_run")
{
    for (const errc code :
         {errc::outcome_unknown, errc::connection_lost, errc::upstream_failed,
          errc::deadline_exceeded, errc::internal, errc::superseded,
          errc::generation_not_found}) {
        CAPTURE(name_of(code));
        const auto outcome = outcome_of(code);
        CHECK(outcome != request_outcome::not_run);
        CHECK(outcome != request_outcome::refused);
    }
}
