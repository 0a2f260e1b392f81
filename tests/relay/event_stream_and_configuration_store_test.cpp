#include <bamboogate/relay/configuration_store.hpp>
#include <bamboogate/relay/event_stream.hpp>
#include <bamboogate/relay/messages.hpp>
#include <bamboogate/relay/retry_limiter.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

using namespace bamboogate;
using namespace bamboogate::relay;
using namespace std::chrono_literals;

// Guards against a member that is not serialized.
TEST_CASE("place_request_round_trip_keeps_every_member")
{
    const place_request sent{.service = service_id("s"),
                             .id = request_id("r"),
                             .account = client_account_id("a"),
                             .rank = 4,
                             .urgent = true,
                             .prompt_tokens = 8000,
                             .output_tokens = 900,
                             .prompt = "p",
                             .excluded = {upstream_id("e")},
                             .resuming = true,
                             .start_within_ms = 70,
                             .shared_parts = {"f", "g"},
                             .trial = true,
                             .stream = request_id("q"),
                             .version_known = true,
                             .version = software_version("v")};
    const json document = sent;
    const auto parsed = document.get<place_request>();
    CHECK(document.size() == 16);
    CHECK(parsed.trial);
    CHECK(parsed.stream == request_id("q"));
    CHECK(parsed.version_known);
    CHECK(parsed.version == software_version("v"));
    CHECK(parsed.prompt == "p");
    CHECK(parsed.shared_parts == sent.shared_parts);
    CHECK(parsed.urgent);
    CHECK(json(parsed) == document);
}

// Guards against a stream that resumes after a partial event, whose first part
// the caller would then receive twice.
TEST_CASE("event_splitter_buffers_an_incomplete_event")
{
    event_splitter splitter;
    const auto first = splitter.read("id: 1\ndata: a\n\nid: 2\nda");
    REQUIRE(first.size() == 1);
    CHECK(first[0].id == 1);
    CHECK(first[0].text == "id: 1\ndata: a\n\n");
    CHECK(splitter.inside_event());
    const auto second =
        splitter.read("ta: b\n\n:ping\n\nid: 3\r\ndata\r\n\r\n");
    REQUIRE(second.size() == 3);
    CHECK(second[0].id == 2);
    CHECK_FALSE(second[1].id);
    CHECK(second[2].id == 3);
    CHECK_FALSE(splitter.inside_event());
}

// Guards against event boundaries that depend on how the network splits the
// body.
TEST_CASE("event_splitter_bytewise_input_gives_the_same_events")
{
    const std::string text = "id: 7\ndata: x\n\nid: 8\ndata: y\n\n";
    event_splitter splitter;
    std::string joined;
    for (const char byte : text) {
        for (const auto& event : splitter.read({&byte, 1})) {
            joined += event.text;
        }
    }
    CHECK(joined == text);
}

// Guards against a search that starts anew with each part of an event, whose
// cost grows with the square of its lines.
TEST_CASE("event_splitter_long_event_in_small_parts_is_searched_once")
{
    constexpr std::size_t lines = 60000;
    const auto begin = std::chrono::steady_clock::now();
    event_splitter splitter;
    for (std::size_t i = 0; i < lines; ++i) {
        REQUIRE(splitter.read("a\n").empty());
    }
    CHECK(std::chrono::steady_clock::now() - begin < 1s);
    const auto events = splitter.read("\n");
    REQUIRE(events.size() == 1);
    CHECK(events[0].text.size() == 2 * lines + 1);
}

// Guards against a blank line that is missed because its bytes arrive in
// several parts.
TEST_CASE("event_splitter_blank_line_in_parts_ends_the_event")
{
    const std::string text = "id: 1\r\ndata: x\r\n\r\nid: 2\ndata: y\n\n"
                             "id: 3\ndata: z\n\r\nid: 4\n\n";
    for (std::size_t first = 0; first < text.size(); ++first) {
        for (std::size_t second = first; second < text.size(); ++second) {
            CAPTURE(first);
            CAPTURE(second);
            event_splitter splitter;
            std::vector<stream_event> events;
            std::size_t at = 0;
            for (const std::size_t end : {first, second, text.size()}) {
                for (auto& each : splitter.read(
                         std::string_view(text).substr(at, end - at))) {
                    events.push_back(std::move(each));
                }
                at = end;
            }
            REQUIRE(events.size() == 4);
            CHECK(events[0].text == "id: 1\r\ndata: x\r\n\r\n");
            CHECK(events[2].id == 3);
            CHECK_FALSE(splitter.inside_event());
        }
    }
}

// Guards against gates whose retries add up to an overload.
TEST_CASE("retry_limiter_shares_the_slack_and_slides_its_window")
{
    retry_limiter limiter(
        {.ratio = 0.8, .window = 10s, .slack = 20, .safety_factor = 1.0});
    limiter.set_gates(2);
    const service_id service("s");
    time_point now{1h};
    for (int i = 0; i < 10; ++i) {
        limiter.record_request(service, now);
    }
    int allowed = 0;
    while (limiter.try_consume(service, now)) {
        ++allowed;
    }
    CHECK(allowed == 18); // 0.8 x 10 + 20 / 2
    CHECK_FALSE(limiter.try_consume(service, now + 9s));
    CHECK(limiter.try_consume(service, now + 11s));
    CHECK(limiter.try_consume(service_id("other"), now));
}

// Guards against a concurrent change with a lower version that reverts an
// acknowledged one.
TEST_CASE("configuration_store_keeps_the_highest_version")
{
    configuration_store store;
    std::vector<std::uint64_t> observed;
    store.on_change(
        [&](const auto& document) { observed.push_back(document->version); });
    const auto apply = [&](std::uint64_t version, std::string text) {
        return store.apply({}, configuration_store::encode_command(
                                   {.version = version, .text = text}));
    };
    CHECK(apply(5, "five") == "5");
    CHECK(apply(3, "three") == "5");
    CHECK(apply(5, "other five") == "5");
    CHECK(store.current()->text == "five");
    CHECK(apply(9, "nine") == "9");
    CHECK(observed == std::vector<std::uint64_t>{5, 9});

    configuration_store copy;
    REQUIRE(copy.restore(store.snapshot()));
    CHECK(copy.current()->version == 9);
    CHECK(copy.current()->text == "nine");
}

// Guards against a follower that reverts to an older version when an older
// snapshot arrives.
TEST_CASE("configuration_store_older_snapshot_changes_nothing")
{
    configuration_store older;
    (void)older.apply(
        {}, configuration_store::encode_command({.version = 1, .text = "one"}));
    configuration_store store;
    (void)store.apply(
        {}, configuration_store::encode_command({.version = 2, .text = "two"}));
    REQUIRE(store.restore(older.snapshot()));
    CHECK(store.current()->version == 2);
}
