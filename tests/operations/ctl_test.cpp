#include <bamboogate/net/http_server.hpp>
#include <bamboogate/observability/burn_report.hpp>
#include <bamboogate/operations/ctl.hpp>
#include <bamboogate/operations/ctl_command.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <string>
#include <utility>
#include <vector>

using namespace bamboogate;
using namespace bamboogate::operations;
using config::exit_code;

namespace {

constexpr const char* operator_key = "operator-key-0123456789";

/// A stand-in for a control replica or gate that notes what it was asked.
class fake_server
{
public:
    using answer = std::pair<unsigned, json>;

    fake_server(net::event_loop& loop,
                std::function<answer(const net::http_request&)> function)
    {
        auto started = net::http_server::start(
            loop, {.listen_address = {"127.0.0.1", 0}, .daemons = 1},
            [this, function = std::move(function)](
                const net::http_request& request,
                const std::shared_ptr<net::responder>& out) {
                requests.push_back(request);
                const auto [status, body] = function(request);
                if (status == 0) {
                    out->abort();
                    return;
                }
                out->respond(status, {}, body.dump());
            });
        REQUIRE(started);
        server_ = std::move(started).value();
    }

    [[nodiscard]] std::string address() const
    {
        return server_->bound_address().text();
    }

    std::vector<net::http_request> requests;

private:
    std::unique_ptr<net::http_server> server_;
};

struct ctl_fixture
{
    net::event_loop loop;
    std::string output;
    std::string diagnostics;

    exit_code run(std::vector<std::string> arguments,
                  config::environment variables = {
                      {"BAMBOOGATE_OPERATOR_KEY", operator_key}})
    {
        output.clear();
        diagnostics.clear();
        return run_ctl(
            loop, arguments, variables,
            {.output = [this](std::string_view text) { output += text; },
             .diagnostics =
                 [this](std::string_view text) { diagnostics += text; }});
    }
};

fake_server::answer not_leader(const std::string& leader)
{
    return {421,
            {{"leader", leader},
             {"error", {{"code", "not_leader"}, {"detail", ""}}}}};
}

} // namespace

// Guards against a mistyped command that does something else.
TEST_CASE_FIXTURE(ctl_fixture, "run_ctl_bad_arguments_give_usage_error")
{
    const std::vector<std::vector<std::string>> cases = {
        {},
        {"aply", "folder"},
        {"apply"},
        {"apply", "a", "b"},
        {"preset"},
        {"preset", "use"},
        {"preset", "drop", "x"},
        {"members"},
        {"members", "add"},
        {"members", "list", "x"},
        {"drain"},
        {"status", "x"},
        {"order", "u1", "127.0.0.1:1"},
        {"status", "--wait"},
        {"status", "--html", "f"},
        {"burn", "--dry-run"},
        {"preset", "use", "x", "--dry-run"},
        {"drain", "x", "--operation-id", "y"},
        {"completion", "zsh"},
        {"status", "--no-such-flag"},
        {"status", "--operator-key", operator_key},
        {"--operator-key", operator_key, "status"},
        {"status", std::string("--operator-key=") + operator_key},
    };
    for (const auto& arguments : cases) {
        std::string shown;
        for (const auto& word : arguments) {
            shown += word + " ";
        }
        CAPTURE(shown);
        CHECK(run(arguments) == exit_code::usage);
        CHECK_FALSE(diagnostics.empty());
        CHECK(diagnostics.find(operator_key) == std::string::npos);
    }
}

TEST_CASE_FIXTURE(ctl_fixture, "run_ctl_missing_settings_give_config_error")
{
    CHECK(run({"status"}) == exit_code::config);
    CHECK(diagnostics.find("setting control") != std::string::npos);
    CHECK(run({"burn", "--control", "127.0.0.1:1"}) == exit_code::config);
    CHECK(diagnostics.find("gate-addresses") != std::string::npos);
    CHECK(run({"status", "--control", "127.0.0.1:1"}, {}) == exit_code::config);
    CHECK(diagnostics.find("BAMBOOGATE_OPERATOR_KEY") != std::string::npos);
    CHECK(run({"status", "--control", "localhost"}) == exit_code::config);
    CHECK(run({"status", "--control", "127.0.0.1:1", "--output", "xml"}) ==
          exit_code::config);
}

// Guards against a command that stops at the first replica that fails.
TEST_CASE_FIXTURE(ctl_fixture, "run_ctl_status_tries_the_next_address")
{
    fake_server replica(loop, [](const net::http_request&) {
        return fake_server::answer{200, {{"node", "c2"}, {"revision", 7}}};
    });
    // Port 1 refuses connections.
    CHECK(run({"status", "--control", "127.0.0.1:1," + replica.address()}) ==
          exit_code::ok);
    CHECK(output.find("c2") != std::string::npos);
    REQUIRE(replica.requests.size() == 1);
    CHECK(replica.requests[0].headers.find("authorization") ==
          std::string("Bearer ") + operator_key);
}

TEST_CASE_FIXTURE(ctl_fixture, "run_ctl_no_replica_gives_unavailable")
{
    CHECK(run({"status", "--control", "127.0.0.1:1", "--timeout", "300ms"}) ==
          exit_code::unavailable);
    CHECK(diagnostics.find("127.0.0.1:1") != std::string::npos);
}

// Guards against a change that is lost between replicas, is sent under two
// operation ids, or goes to a replica that does not lead.
TEST_CASE_FIXTURE(ctl_fixture, "run_ctl_preset_use_follows_hint_and_resends")
{
    fake_server follower(
        loop, [](const net::http_request&) { return not_leader("c3"); });
    fake_server other(loop,
                      [](const net::http_request&) { return not_leader(""); });
    unsigned posts = 0;
    fake_server leader(loop, [&](const net::http_request& request) {
        if (request.method == "GET") {
            return fake_server::answer{200, {{"revision", 12}}};
        }
        // The first answer is lost.
        return ++posts == 1 ? fake_server::answer{0, {}}
                            : fake_server::answer{200, {{"revision", 13}}};
    });
    CHECK(run({"preset", "use", "peak", "--control",
               "c1=" + follower.address() + ",c2=" + other.address() +
                   ",c3=" + leader.address()}) == exit_code::ok);
    CHECK(other.requests.size() <= 1);
    REQUIRE(leader.requests.size() == 3);
    const auto first = json::parse(leader.requests[1].body);
    CHECK(first == json::parse(leader.requests[2].body));
    CHECK(first["based_on"] == 12);
    CHECK(first["preset"] == "peak");
    CHECK(diagnostics.find(first["operation_id"].get<std::string>()) !=
          std::string::npos);
}

TEST_CASE_FIXTURE(ctl_fixture, "run_ctl_given_operation_id_is_sent_as_given")
{
    fake_server leader(loop, [](const net::http_request&) {
        return fake_server::answer{200, {{"revision", 4}, {"in_force", false}}};
    });
    CHECK(run({"preset", "use", "peak", "--wait", "--operation-id", "op-7",
               "--based-on", "3", "--control", leader.address()}) ==
          exit_code::temporary);
    REQUIRE(leader.requests.size() == 1);
    const auto body = json::parse(leader.requests[0].body);
    CHECK(body["operation_id"] == "op-7");
    CHECK(body["based_on"] == 3);
    CHECK(body["wait_ms"] > 0);
}

TEST_CASE_FIXTURE(ctl_fixture, "run_ctl_refusals_map_to_exit_codes")
{
    const std::pair<const char*, exit_code> cases[] = {
        {"conflict", exit_code::data},
        {"unauthenticated", exit_code::no_permission},
        {"invalid_argument", exit_code::usage},
        {"not_found", exit_code::failure},
        {"outcome_unknown", exit_code::temporary},
        {"a kind of a newer version", exit_code::software},
    };
    for (const auto& one : cases) {
        const auto* const kind = one.first;
        const auto expected = one.second;
        CAPTURE(kind);
        fake_server leader(loop, [&](const net::http_request&) {
            return fake_server::answer{
                400,
                {{"winner", "op-9"},
                 {"error", {{"code", kind}, {"detail", "told why"}}}}};
        });
        CHECK(run({"preset", "use", "x", "--based-on", "1", "--control",
                   leader.address()}) == expected);
        CHECK(diagnostics.find("told why") != std::string::npos);
        CHECK(diagnostics.find("op-9") != std::string::npos);
    }
}

// Guards against a member change that is sent twice after a lost answer.
TEST_CASE_FIXTURE(ctl_fixture, "run_ctl_members_lost_answer_is_not_resent")
{
    fake_server leader(loop, [](const net::http_request&) {
        return fake_server::answer{0, {}};
    });
    CHECK(run({"members", "remove", "c9", "--control", leader.address()}) ==
          exit_code::temporary);
    CHECK(leader.requests.size() == 1);
    CHECK(diagnostics.find("outcome_unknown") != std::string::npos);
}

// Guards against a burn report that lacks a gate and passes for whole.
TEST_CASE_FIXTURE(ctl_fixture, "run_ctl_burn_merges_gates_and_reports_missing")
{
    const auto now = std::chrono::floor<std::chrono::seconds>(
        std::chrono::system_clock::now());
    const auto serve = [&](const net::http_request& request) {
        observability::burn_tracker tracker;
        tracker.record("urgent", client_account_id("a"), true, now);
        return request.path == "/v1/burn"
                   ? fake_server::answer{200, tracker.to_document()}
                   : fake_server::answer{404, {}};
    };
    fake_server first(loop, serve);
    fake_server second(loop, serve);
    const auto both = first.address() + "," + second.address();
    CHECK(run({"burn", "--output", "json", "--gate-addresses", both}) ==
          exit_code::ok);
    const auto report = json::parse(output);
    CHECK(report["rows"][0]["good"] == 2);
    CHECK(run({"burn", "--gate-addresses", both + ",127.0.0.1:1"}) ==
          exit_code::temporary);
    CHECK(output.find("urgent") != std::string::npos);
    CHECK(run({"burn", "--gate-addresses", "127.0.0.1:1"}) ==
          exit_code::unavailable);
    CHECK(run({"burn", "--gate-addresses", both, "--html",
               "/nonexistent/page.html"}) == exit_code::cannot_create);
}

TEST_CASE_FIXTURE(ctl_fixture, "run_ctl_apply_faulty_folder_sends_nothing")
{
    fake_server leader(loop, [](const net::http_request&) {
        return fake_server::answer{200, {{"revision", 1}}};
    });
    CHECK(run({"apply", "/nonexistent", "--control", leader.address()}) ==
          exit_code::data);
    CHECK(leader.requests.empty());
}

TEST_CASE_FIXTURE(ctl_fixture, "run_ctl_completion_names_every_command")
{
    CHECK(run({"completion", "bash"}, {}) == exit_code::ok);
    for (const auto& command : ctl_commands()) {
        const std::string word(command.name.substr(0, command.name.find(' ')));
        CAPTURE(word);
        CHECK(output.find(word) != std::string::npos);
    }
    CHECK(run({"--help"}, {}) == exit_code::ok);
    CHECK(output.find("preset use ID") != std::string::npos);
}
