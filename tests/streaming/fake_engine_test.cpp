#include <bamboogate/routing/announcement.hpp>
#include <bamboogate/routing/prefix_index.hpp>

#include <doctest/doctest.h>

#include <string>

#include "fakes/fake_engine.hpp"
#include "support/loop_runner.hpp"

using namespace bamboogate;

// Guards against a fake engine whose cache events hash prefixes in another way
// than the gates do. Routing by cached prefix would then never be tested.
TEST_CASE("fake_engine_cache_events_match_prefix_hashes_of_routing")
{
    net::event_loop loop;
    net::http_client client(loop);
    fakes::fake_engine engine(loop, {.models = {"draft"}});
    REQUIRE(engine.start({"127.0.0.1", 0}));
    const std::string base = "http://" + engine.address().text();
    std::string answer;
    bool done = false;
    const auto fetch = [&](net::http_client::request request) {
        done = false;
        client.start_detached(std::move(request),
                              [&](const net::http_client::outcome_type& end) {
                                  answer = end ? end.value().body : "";
                                  done = true;
                              });
        REQUIRE(tests::run_until(loop, [&] { return done; }));
    };
    const std::string prompt(600, 'p');
    fetch({.method = "POST",
           .url = base + "/v1/completions",
           .body = json{{"request_id", "r"},
                        {"attempt", 1},
                        {"model", "draft"},
                        {"prompt", prompt},
                        {"max_tokens", 1}}
                       .dump()});
    fetch({.url = base + "/healthz"});

    json document = json::parse(answer);
    document["id"] = "e";
    document["incarnation"] = 1u;
    document["sequence"] = 1u;
    const auto announcement = routing::announcement_from(document);
    INFO((announcement ? std::string() : announcement.error().detail));
    REQUIRE(announcement);
    routing::prefix_index index;
    index.apply(upstream_id("e"), incarnation{1},
                announcement.value().cache_events);
    const auto found = index.find(routing::prefix_hashes(prompt));
    REQUIRE(found.size() == 1);
    CHECK(found[0].blocks == 2);
}
