// Placement of streams while engines of two versions of a service run.
#include <bamboogate/relay/stream_scheduler.hpp>
#include <bamboogate/relay/upstream_directory.hpp>

#include <doctest/doctest.h>

using namespace bamboogate;
using namespace bamboogate::relay;
using namespace std::chrono_literals;
using rollout::version_filter;

namespace {

struct rollout_placement_fixture
{
    stream_scheduler scheduler;
    time_point now{1h};

    rollout_placement_fixture()
    {
        add_engine("old1", "d1", "v1");
        add_engine("old2", "d1", "v1");
        add_engine("new1", "d2", "v2", 1);
        scheduler.set_versions(
            {version_filter::rule::excluding, {software_version("v2")}},
            software_version("v2"));
    }
    void add_engine(const char* id, const char* domain, const char* version,
                    unsigned slots = 12)
    {
        scheduler.planner().update_engine(
            {.id = upstream_id(id),
             .domain = failure_domain_id(domain),
             .kv_capacity_tokens = 88000,
             .slots = slots,
             .version = software_version(version)});
    }
    static planned_run make_run(const char* id, const char* prompt = "")
    {
        return {.id = request_id(id),
                .rank = 1,
                .prompt_tokens = 1000,
                .output_tokens = 100,
                .prompt = prompt};
    }
    placement place(const char* id, bool trial, const char* prompt = "")
    {
        scheduler.submit({.run = make_run(id, prompt),
                          .account = client_account_id("a"),
                          .arrived = now,
                          .latest_start = now + 5s,
                          .trial = trial});
        const auto decided = scheduler.decide(now);
        REQUIRE(decided.size() == 1);
        REQUIRE(decided[0].target);
        return *decided[0].target;
    }
};

bool is_new(const upstream_id& engine)
{
    return engine.value().starts_with("new");
}

} // namespace

// Guards against an unproved version that gets more than the streams on trial,
// and against a stream on trial that waits for it.
TEST_CASE_FIXTURE(rollout_placement_fixture,
                  "placement_unproved_version_gets_only_streams_on_trial")
{
    CHECK_FALSE(is_new(place("a", false).engine));
    CHECK(is_new(place("b", true).engine));
    CHECK_FALSE(is_new(place("c", true).engine)); // its only slot is taken
    scheduler.end(request_id("b"));
    CHECK_FALSE(is_new(place("d", false).engine));
    scheduler.set_versions(
        {version_filter::rule::excluding, {software_version("v2")}},
        std::nullopt);
    CHECK_FALSE(is_new(place("e", true).engine));
}

// Guards against a copy that the stream could not continue from: the engine of
// the other failure domain would be preferred.
TEST_CASE_FIXTURE(rollout_placement_fixture,
                  "placement_copy_stays_within_the_version_of_the_engine")
{
    const auto general = place("a", false);
    REQUIRE(general.copy_holder);
    CHECK_FALSE(is_new(*general.copy_holder));
    CHECK_FALSE(place("b", true).copy_holder);
}

// Guards against a kept prompt that draws a general stream to the version on
// trial.
TEST_CASE_FIXTURE(rollout_placement_fixture,
                  "placement_prompt_kept_by_other_version_has_no_effect")
{
    scheduler.planner().note_cached_prompt("p", upstream_id("new1"), now);
    CHECK_FALSE(is_new(place("a", false, "p").engine));
    CHECK(is_new(place("b", true, "p").engine));
}

// Guards against plain requests to an upstream of a version that is not
// allowed when no other is left.
TEST_CASE("directory_chooses_only_upstreams_of_the_allowed_versions")
{
    upstream_directory directory(
        {.own_domain = failure_domain_id("d1"), .registry = {}});
    const time_point now{1h};
    const service_id service("book");
    const version_filter only_new{version_filter::rule::only,
                                  {software_version("v2")}};
    directory.record_announcement({.id = upstream_id("s1"),
                                   .service = service,
                                   .address = {"127.0.0.1", 1},
                                   .started_at = 1,
                                   .version = software_version("v1")},
                                  now);
    CHECK(directory.choose(service, {}, now) != nullptr);
    CHECK(directory.choose(service, {}, now, only_new) == nullptr);
    CHECK_FALSE(directory.any_ready(service, only_new));
    directory.record_announcement({.id = upstream_id("s2"),
                                   .service = service,
                                   .address = {"127.0.0.1", 2},
                                   .started_at = 1,
                                   .version = software_version("v2")},
                                  now);
    CHECK(directory.choose(service, {}, now, only_new)->announced.id ==
          upstream_id("s2"));
    CHECK(directory.any_ready(service, only_new));
}
