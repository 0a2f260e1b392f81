#include <bamboogate/relay/configuration.hpp>

#include <doctest/doctest.h>

using namespace bamboogate;
using namespace bamboogate::relay;
using namespace std::chrono_literals;

namespace {

route make_route(const std::string& prefix, std::string service)
{
    return {.name = "r" + prefix,
            .host = "one.example",
            .path_prefix = prefix,
            .timeout = 1s,
            .targets = {{service_id(std::move(service)), 1}}};
}

struct configuration_fixture
{
    configuration document{
        .version = 3,
        .routes = {make_route("/a/", "s1"), make_route("/a/b/", "s2")},
        .services = {{.name = service_id("s1")}, {.name = service_id("s2")}},
        .accounts = {{.name = client_account_id("x"), .keys = {"k1", "k2"}},
                     {.name = client_account_id("y"), .keys = {"k3"}}}};
};

} // namespace

// Guards against ignoring the route's rank once an account has a rank: urgent
// requests of ordinary accounts would queue behind less urgent ones.
TEST_CASE("combined_rank_orders_accounts_first_and_routes_within_them")
{
    CHECK(combined_rank(0, 2) < combined_rank(1, 0));
    CHECK(combined_rank(1, 0) < combined_rank(1, 2));
    CHECK(combined_rank(std::nullopt, 0) < combined_rank(std::nullopt, 1));
    CHECK(combined_rank(std::nullopt, 2) == combined_rank(1, 9));
}

// Guards against a general route that hides a more specific one, and against
// hosts that differ only in case or port.
TEST_CASE_FIXTURE(configuration_fixture,
                  "route_table_of_two_prefixes_picks_the_longest")
{
    const route_table table(document);
    REQUIRE(table.find_route("one.example", "/a/b/c") != nullptr);
    CHECK(table.find_route("one.example", "/a/b/c")->path_prefix == "/a/b/");
    CHECK(table.find_route("ONE.example:80", "/a/x")->path_prefix == "/a/");
    CHECK(table.find_route("one.example", "/b/") == nullptr);
    CHECK(table.find_route("two.example", "/a/") == nullptr);
}

// Guards against requests that are charged to another account, or accepted
// with an unknown or empty key.
TEST_CASE_FIXTURE(configuration_fixture,
                  "route_table_finds_the_account_of_each_key")
{
    const route_table table(document);
    REQUIRE(table.find_account("k2") != nullptr);
    CHECK(table.find_account("k2")->name == client_account_id("x"));
    CHECK(table.find_account("k3")->name == client_account_id("y"));
    CHECK(table.find_account("k4") == nullptr);
    CHECK(table.find_account("") == nullptr);
}

// Guards against a split that sends a service more or fewer requests than
// its share.
TEST_CASE_FIXTURE(configuration_fixture, "pick_service_follows_the_weights")
{
    const route split{.targets = {{service_id("a"), 3}, {service_id("b"), 1}}};
    int first = 0;
    for (std::uint64_t i = 0; i < 400; ++i) {
        first += route_table::pick_service(split, i).value() == "a" ? 1 : 0;
    }
    CHECK(first == 300);
}

// Guards against acknowledging a configuration that cannot be applied.
TEST_CASE_FIXTURE(configuration_fixture, "validate_rejects_each_violation")
{
    CHECK(validate(document).has_value());
    const auto rejects = [&](const auto& change) {
        configuration changed = document;
        change(changed);
        return !validate(changed).has_value();
    };
    CHECK(rejects([](auto& c) { c.routes[0].targets[0].weight = 0; }));
    CHECK(rejects([](auto& c) { c.routes[0].timeout = 0s; }));
    CHECK(rejects([](auto& c) { c.routes[1].path_prefix = "/a/"; }));
    CHECK(rejects([](auto& c) { c.services.pop_back(); }));
    CHECK(rejects([](auto& c) { c.accounts[1].keys = {"k1"}; }));
    CHECK(rejects([](auto& c) { c.services[1].name = service_id("s1"); }));
}
