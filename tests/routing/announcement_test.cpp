#include <doctest/doctest.h>

#include "routing/support/announcements.hpp"

using namespace bamboogate;
using namespace bamboogate::routing;
using bamboogate::routing::testing::engine_announcement;

TEST_CASE("announcement_json_round_trip_preserves_the_value")
{
    announcement announced = engine_announcement("engine-1", 3, 17);
    announced.running = 2;
    announced.outstanding_tokens = 900;
    announced.draining = true;
    announced.cache_events = {5,
                              {{cache_event::operation::add, 11},
                               {cache_event::operation::remove, 12}}};
    const auto parsed = parse_announcement(to_document(announced).dump());
    REQUIRE(parsed);
    CHECK(parsed.value() == announced);
}

// Guards against unvalidated upstream input reaching typed code.
TEST_CASE("announcement_invalid_field_reports_error_code")
{
    struct invalid_field
    {
        const char* name;
        const char* patch; ///< merged into a valid announcement
        errc expected;
    };
    const invalid_field fields[] = {
        {"missing id", R"({"id":null})", errc::malformed_input},
        {"empty id", R"({"id":""})", errc::invalid_argument},
        {"unknown kind", R"({"kind":"router"})", errc::invalid_argument},
        {"negative sequence", R"({"sequence":-1})", errc::malformed_input},
        {"sequence as text", R"({"sequence":"7"})", errc::malformed_input},
        {"negative load", R"({"outstanding_tokens":-5})",
         errc::malformed_input},
        {"host name", R"({"address":"engine.example:80"})",
         errc::invalid_argument},
        {"port zero", R"({"address":"127.0.0.1:0"})", errc::invalid_argument},
        {"no slots", R"({"slots":0})", errc::invalid_argument},
        {"too many slots", R"({"slots":1000000})", errc::limit_exceeded},
        {"service without name", R"({"kind":"service"})",
         errc::invalid_argument},
        {"unknown cache operation",
         R"({"cache_events":{"first_sequence":1,"events":[{"op":"x","prefix_hash":1}]}})",
         errc::invalid_argument},
        {"cache events as object",
         R"({"cache_events":{"first_sequence":1,"events":{}}})",
         errc::malformed_input},
    };
    for (const invalid_field& item : fields) {
        CAPTURE(item.name);
        json document = to_document(engine_announcement("engine-1", 1, 1));
        document.merge_patch(json::parse(item.patch));
        const auto parsed = announcement_from(document);
        REQUIRE_FALSE(parsed);
        CHECK(parsed.error().code == item.expected);
    }
}

TEST_CASE("announcement_above_limits_reports_limit_exceeded")
{
    announcement announced = engine_announcement("engine-1", 1, 1);
    announced.cache_events.events.resize(10);
    const json document = to_document(announced);
    const auto events = announcement_from(document, {.max_cache_events = 9});
    REQUIRE_FALSE(events);
    CHECK(events.error().code == errc::limit_exceeded);
    const auto bytes = parse_announcement(document.dump(), {.max_bytes = 64});
    REQUIRE_FALSE(bytes);
    CHECK(bytes.error().code == errc::limit_exceeded);
}
