#include <bamboogate/core/json_lines.hpp>
#include <bamboogate/relay/configuration_check.hpp>

#include <doctest/doctest.h>

#include <algorithm>

using namespace bamboogate;
using namespace bamboogate::relay;
using namespace std::chrono_literals;

namespace {

struct check_fixture
{
    configuration candidate{
        .version = 3,
        .routes = {{.name = "r",
                    .host = "h.example",
                    .path_prefix = "/a/",
                    .timeout = 3s,
                    .latency_objective = 1s,
                    .targets = {{service_id("s"), 1}}}},
        .services = {{.name = service_id("s")}},
        .accounts = {{.name = client_account_id("a"), .keys = {"k"}}}};

    [[nodiscard]] static bool
    contains(const std::vector<configuration_finding>& found, finding_kind kind,
             std::string_view detail)
    {
        return std::any_of(found.begin(), found.end(), [&](const auto& each) {
            return each.kind == kind &&
                   each.detail.find(detail) != std::string::npos;
        });
    }
};

} // namespace

TEST_CASE_FIXTURE(check_fixture, "check_sound_configuration_finds_nothing")
{
    CHECK(find_errors(candidate).empty());
    CHECK(find_doubts(candidate).empty());
    CHECK(find_changes(configuration{}, candidate).size() == 3);
    CHECK(validate(candidate));
}

// Guards against a check that stops at the first error, and against one that
// disagrees with what the replicas accept.
TEST_CASE_FIXTURE(check_fixture, "check_lists_every_error")
{
    candidate.routes[0].timeout = 0s;
    candidate.routes[0].targets[0].service = service_id("other");
    candidate.routes.push_back(candidate.routes[0]);
    candidate.routes[1].host = "H.example:80";
    CHECK(find_errors(candidate).size() == 5);
    CHECK(validate(candidate).error().detail ==
          find_errors(candidate).front().detail);
}

TEST_CASE_FIXTURE(check_fixture, "check_finds_entries_that_never_match")
{
    candidate.routes[0].path_prefix = "a/";
    candidate.services.push_back({.name = service_id("unused")});
    candidate.accounts.push_back({.name = client_account_id("b")});
    const auto found = find_doubts(candidate);
    CHECK(found.size() == 3);
    CHECK(contains(found, finding_kind::unreachable, "no request matches"));
    CHECK(contains(found, finding_kind::unreachable, "unused"));
    CHECK(contains(found, finding_kind::unreachable, "account b"));
}

TEST_CASE_FIXTURE(check_fixture, "check_finds_limits_that_contradict")
{
    candidate.routes[0].latency_objective = 5s;
    candidate.routes[0].max_attempts = 3;
    candidate.limits.header_timeout = 20s;
    const auto found = find_doubts(candidate);
    CHECK(found.size() == 3);
    CHECK(contains(found, finding_kind::contradiction, "latency objective"));
    CHECK(contains(found, finding_kind::contradiction, "not repeated"));
    CHECK(contains(found, finding_kind::contradiction, "idle"));
}

// Guards against keys in the operator's terminal or in a log of the check.
TEST_CASE_FIXTURE(check_fixture,
                  "check_changes_count_keys_without_showing_them")
{
    const configuration in_force = candidate;
    candidate.accounts[0].keys = {"secret-1", "secret-2"};
    const auto changes = find_changes(in_force, candidate);
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].detail.find("not higher") != std::string::npos);
    CHECK(changes[1].detail == "account a changes: 2 keys added, 1 removed");
}

// Guards against removing the last account, or the list of accounts, without a
// word of what callers get.
TEST_CASE_FIXTURE(check_fixture,
                  "check_without_accounts_tells_whether_requests_need_a_key")
{
    const configuration in_force = candidate;
    candidate.version = 4;
    candidate.accounts.clear();
    candidate.declares_accounts = true;
    CHECK(contains(find_doubts(candidate), finding_kind::unreachable,
                   "there is no account"));
    CHECK(find_changes(in_force, candidate).size() == 1);
    candidate.declares_accounts = false;
    CHECK(find_doubts(candidate).empty());
    const auto changes = find_changes(in_force, candidate);
    REQUIRE(changes.size() == 2);
    CHECK(changes[1].detail == "requests need no API key any more");
}

TEST_CASE("member_lines_of_an_array_are_those_of_its_elements")
{
    constexpr std::string_view text = R"({"version": 1, "other": [
 1, 2],
 "routes": [
  {"name": "a, \"routes\": [", "targets": [1, 2]},

  {"name": "b"}, {"name": "c"}
 ], "limits": {"x": 1}
})";
    const auto routes = find_member_lines(text, "routes");
    CHECK(routes.line == 3);
    CHECK(routes.elements == std::vector<std::size_t>{4, 6, 6});
    CHECK(find_member_lines(text, "limits").line == 7);
    CHECK(find_member_lines(text, "limits").elements.empty());
    CHECK(find_member_lines(text, "absent").line == 0);
}
