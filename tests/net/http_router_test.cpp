#include <bamboogate/net/http_router.hpp>

#include <doctest/doctest.h>

#include <string>

using namespace bamboogate::net;

namespace {

class router_fixture
{
public:
    router_fixture()
        : router([this](const http_request&, bool known,
                        const std::shared_ptr<responder>&) {
              matched = known ? "wrong method" : "nothing";
          })
    {
        add("GET", "/v1/items/{id}", "item");
        add("*", "/v1/services/{service}/{path...}", "service");
        add("GET", "/healthz", "health");
    }

    void add(const char* method, const char* pattern, const char* name)
    {
        router.add(method, pattern,
                   [this, name](const http_request&, const path_values& v,
                                const std::shared_ptr<responder>&) {
                       matched = name;
                       values = v;
                   });
    }

    std::string route(const char* method, const char* path)
    {
        values.clear();
        router.route({.method = method, .path = path}, nullptr);
        return matched;
    }

    std::string matched;
    path_values values;
    http_router router;
};

} // namespace

// Guards against a request that reaches the handler of another route.
TEST_CASE_FIXTURE(router_fixture, "http_router_paths_reach_their_routes")
{
    CHECK(route("GET", "/v1/items/7") == "item");
    CHECK(values["id"] == "7");
    CHECK(route("POST", "/v1/items/7") == "wrong method");
    CHECK(route("GET", "/v1/items") == "nothing");
    CHECK(route("GET", "/v1/items/7/8") == "nothing");
    CHECK(route("PUT", "/v1/services/bookings/a/b") == "service");
    CHECK(values["service"] == "bookings");
    CHECK(values["path"] == "/a/b");
    CHECK(route("GET", "/v1/services/bookings") == "service");
    CHECK(values["path"] == "/");
    CHECK(route("GET", "/") == "nothing");
    CHECK(route("GET", "") == "nothing");
    CHECK(route("GET", "/healthz") == "health");
}

// Guards against a parameter whose name only ends in the name searched for.
TEST_CASE("query_value_finds_whole_names_only")
{
    CHECK(query_value("a=1&incarnation=7", "incarnation") == "7");
    CHECK(query_value("xincarnation=7", "incarnation").empty());
    CHECK(query_value("incarnation", "incarnation").empty());
}
