#include <bamboogate/routing/announcement.hpp>
#include <bamboogate/routing/prefix_index.hpp>

#include <doctest/doctest.h>

#include <string>

#include "fakes/fake_engine.hpp"
#include "support/loop_runner.hpp"

using namespace bamboogate;

// Guards against a stand-in whose cache events name prefixes in another way
// than the gates, so that a choice by cached prefix is never tried in tests.
TEST_CASE("engine_stand_in_cache_events_name_the_prefixes_of_routing")
{
    net::event_loop loop;
    net::http_client client(loop);
    fakes::fake_engine engine(loop, {.models = {"draft"}});
    REQUIRE(engine.start({"127.0.0.1", 0}));
    const std::string base = "http://" + engine.address().text();
    std::string answer;
    bool done = false;
    const auto fetch = [&](net::http_client::request what) {
        done = false;
        client.start_detached(std::move(what),
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
    const auto news = routing::announcement_from(document);
    INFO((news ? std::string() : news.error().detail));
    REQUIRE(news);
    routing::prefix_index index;
    index.apply(upstream_id("e"), incarnation{1}, news.value().cache_events);
    const auto found = index.find(routing::prefix_hashes(prompt));
    REQUIRE(found.size() == 1);
    CHECK(found[0].blocks == 2);
}
