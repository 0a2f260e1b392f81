#include <bamboogate/relay/request_fingerprint.hpp>

#include <doctest/doctest.h>

using namespace bamboogate;
using relay::request_fingerprint;

namespace {

struct request_fingerprint_fixture
{
    net::http1_request request{.method = "POST",
                               .target = "/book/a?n=1",
                               .headers = {{"X-Id", "1"}},
                               .body = "body"};
    relay::request_description description{.prompt = "p3",
                                           .shared_parts = {"p1", "p2"}};
    client_account_id account{"acc"};
    std::string first = request_fingerprint(request, description, account);

    [[nodiscard]] bool same() const
    {
        return request_fingerprint(request, description, account) == first;
    }
};

} // namespace

// Guards against repeats of a caller that are taken for different requests.
TEST_CASE_FIXTURE(request_fingerprint_fixture,
                  "fingerprint_of_a_repeat_with_other_header_fields_is_equal")
{
    request.headers = {{"X-Id", "2"}, {"X-Other", "1"}};
    CHECK(same());
}

// Guards against sound requests that are refused for a similar one.
TEST_CASE_FIXTURE(request_fingerprint_fixture,
                  "fingerprint_depends_on_all_that_an_upstream_runs")
{
    SUBCASE("method")
    {
        request.method = "PUT";
    }
    SUBCASE("target")
    {
        request.target = "/book/a?n=2";
    }
    SUBCASE("account")
    {
        account = client_account_id("other");
    }
    SUBCASE("prompt")
    {
        description.prompt = "p4";
    }
    SUBCASE("shared parts")
    {
        description.shared_parts = {"p1p2"};
    }
    SUBCASE("body")
    {
        request.body = "bodz";
    }
    SUBCASE("absent body")
    {
        request.body.clear();
    }
    SUBCASE("bytes that move between fields")
    {
        request.target += "b";
        request.body = "ody";
    }
    CHECK_FALSE(same());
}
