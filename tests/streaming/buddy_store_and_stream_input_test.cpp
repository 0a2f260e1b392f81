#include <bamboogate/streaming/buddy_store.hpp>
#include <bamboogate/streaming/rendezvous.hpp>
#include <bamboogate/streaming/silence_detector.hpp>
#include <bamboogate/streaming/sse_parser.hpp>

#include <doctest/doctest.h>

#include <map>

using namespace bamboogate;
using namespace bamboogate::streaming;
using namespace std::chrono_literals;

namespace {

const node_id owner("gate-1");
const node_id holder("gate-2");
const request_id id("gate-1~gate-2~0123456789abcdef");

class store_fixture
{
public:
    buddy_store store{{.max_bytes = 4096, .orphan_limit = 10s}};
    time_point now{};
    std::uint64_t epoch = first_epoch(owner);

    generation_copy copy(std::size_t tokens)
    {
        generation_copy out;
        out.id = id;
        out.history = {{epoch, 0}};
        out.tokens.assign(tokens, "t");
        return out;
    }

    token_batch batch(std::uint64_t first, std::size_t count)
    {
        token_batch out;
        out.id = id;
        out.epoch = epoch;
        out.first_index = first;
        out.tokens.assign(count, "t");
        return out;
    }

    std::optional<std::uint64_t> acked(const buddy_store::reply& reply)
    {
        const auto* ack = std::get_if<token_ack>(&reply);
        return ack == nullptr ? std::nullopt : std::optional(ack->next_index);
    }
};

std::vector<net::peer_info> peers(std::size_t count)
{
    std::vector<net::peer_info> out;
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back({node_id("gate-" + std::to_string(i)), incarnation{1},
                       failure_domain_id(i % 2 == 0 ? "south" : "east")});
    }
    return out;
}

} // namespace

// Guards against a copy with repeated or missing tokens after resent batches.
TEST_CASE_FIXTURE(store_fixture, "buddy_store_batches_extend_the_copy")
{
    CHECK(acked(store.put(copy(2), owner, true, now)) == 2);
    CHECK(acked(store.append(batch(2, 3), owner, now)) == 5);
    // A resent batch is stored once.
    CHECK(acked(store.append(batch(2, 3), owner, now)) == 5);
    // A gap is answered with the number of tokens held.
    CHECK(acked(store.append(batch(9, 1), owner, now)) == 5);
    CHECK(acked(store.append(batch(4, 3), owner, now)) == 7);
    CHECK(store.find(id)->tokens.size() == 7);
}

// Guards against a buddy that acknowledges tokens without the start of the
// copy.
TEST_CASE_FIXTURE(store_fixture, "buddy_store_unknown_copy_is_reported_missing")
{
    const auto reply = store.append(batch(2, 3), owner, now);
    REQUIRE(std::holds_alternative<copy_missing>(reply));
    CHECK_FALSE(std::get<copy_missing>(reply).full);
}

// Guards against an owner that continues after a takeover.
TEST_CASE_FIXTURE(store_fixture, "buddy_store_taken_copy_supersedes_owner")
{
    store.put(copy(2), owner, true, now);
    const auto newer = next_epoch(epoch, holder);
    CHECK(store.extract_for_takeover(id, newer, now).tokens.size() == 2);
    CHECK(store.bytes() == 0);
    for (const auto& reply : {store.append(batch(2, 1), owner, now),
                              store.put(copy(3), owner, true, now)}) {
        REQUIRE(std::holds_alternative<superseded>(reply));
        CHECK(std::get<superseded>(reply).epoch == newer);
    }
    CHECK(store.release_copy(id, epoch) == newer);
}

// Guards against an acknowledgement while a previous buddy may still take over.
TEST_CASE_FIXTURE(store_fixture, "buddy_store_unconfirmed_copy_is_not_acked")
{
    CHECK_FALSE(acked(store.put(copy(2), owner, false, now)));
    CHECK_FALSE(acked(store.append(batch(2, 1), owner, now)));
    CHECK(acked(store.confirm(id, epoch)) == 3);
    CHECK(acked(store.put(copy(4), owner, false, now)) == 4);
}

// Guards against copies that exceed the memory limit.
TEST_CASE_FIXTURE(store_fixture, "buddy_store_memory_is_bounded")
{
    store.put(copy(2), owner, true, now);
    auto large = batch(2, 1);
    large.tokens[0].assign(8000, 'x');
    const auto reply = store.append(large, owner, now);
    REQUIRE(std::holds_alternative<copy_missing>(reply));
    CHECK(std::get<copy_missing>(reply).full);
    CHECK(store.bytes() == 0);
    auto other = copy(1);
    other.request.prompt.assign(8000, 'x');
    CHECK(std::holds_alternative<copy_missing>(
        store.put(other, owner, true, now)));
    CHECK(store.size() == 0);
}

// Guards against copies that stay in memory after their owner is lost.
TEST_CASE_FIXTURE(store_fixture, "buddy_store_orphans_expire")
{
    store.put(copy(2), owner, true, now);
    store.expire(now + 60s, [](const node_id&) { return true; });
    CHECK(store.size() == 1);
    store.expire(now + 65s, [](const node_id&) { return false; });
    CHECK(store.size() == 1);
    store.expire(now + 75s, [](const node_id&) { return false; });
    CHECK(store.size() == 0);
    CHECK(store.bytes() == 0);
}

// Guards against a takeover from a copy that another buddy has replaced.
TEST_CASE_FIXTURE(store_fixture, "buddy_store_handed_off_copy_is_dropped")
{
    store.put(copy(2), owner, true, now);
    CHECK(store.release_copy(id, epoch) == epoch);
    CHECK(store.size() == 0);
}

// Guards against an owner and a buddy in one failure domain, and against the
// loss of one gate changing the buddies of all generations.
TEST_CASE("rendezvous_prefers_other_domain_and_is_stable_when_gate_leaves")
{
    const auto all = peers(8);
    std::map<std::string, int> firsts;
    int moved = 0;
    for (std::uint64_t i = 0; i < 1000; ++i) {
        const auto key = make_request_id({owner, {}}, i * 7919);
        const auto order =
            rendezvous_order(key, all, failure_domain_id("south"));
        CHECK(order.front().failure_domain == failure_domain_id("east"));
        ++firsts[order.front().node.value()];
        auto fewer = all;
        fewer.erase(fewer.begin() + 1);
        const auto next =
            rendezvous_order(key, fewer, failure_domain_id("south"));
        moved += next.front().node == order.front().node ? 0 : 1;
    }
    CHECK(firsts.size() == 4);
    for (const auto& [node, count] : firsts) {
        CHECK(count > 150);
    }
    // Only generations of the removed gate move.
    CHECK(moved == firsts["gate-1"]);
}

// Guards against invalid node ids from a malformed request id.
TEST_CASE("request_id_hints_of_malformed_ids_are_empty")
{
    const auto made = make_request_id({owner, holder}, 7);
    CHECK(hints_of(made).owner == owner);
    CHECK(hints_of(made).buddy == holder);
    CHECK(hints_of(make_request_id({owner, {}}, 7)).buddy.empty());
    for (const char* text : {"", "~", "a~b", "~~", "plain"}) {
        CHECK(hints_of(request_id(text)).owner.empty());
    }
}

// Guards against slow streams that count as silent, and against fast streams
// whose silence is detected late.
TEST_CASE("silence_detector_follows_the_streams_own_interval")
{
    for (const auto& bounds :
         {std::tuple{10ms, 250ms, 250ms}, std::tuple{100ms, 600ms, 900ms},
          std::tuple{2000ms, 3000ms, 3000ms}}) {
        const auto interval = std::get<0>(bounds);
        const auto low = std::get<1>(bounds);
        const auto high = std::get<2>(bounds);
        CAPTURE(interval.count());
        silence_detector detector({});
        time_point now{};
        detector.start(now, 0ms);
        detector.on_headers(now);
        for (int i = 0; i < 40; ++i) {
            now += interval;
            detector.on_token(now);
        }
        CHECK(detector.limit() >= low);
        CHECK(detector.limit() <= high);
        CHECK_FALSE(detector.is_silent(now + detector.limit() - 1ms));
        CHECK(detector.is_silent(now + detector.limit()));
    }
}

// Guards against a prefill that counts as silence, and against an engine that
// never answers.
TEST_CASE("silence_detector_bounds_before_the_first_token")
{
    silence_detector detector({});
    const time_point now{};
    detector.start(now, 700ms);
    CHECK(detector.is_silent(now + 500ms));
    detector.on_headers(now + 100ms);
    CHECK_FALSE(detector.is_silent(now + 2700ms));
    CHECK(detector.is_silent(now + 2800ms));
}

// Guards against treating back-pressure or a suspension of the gate as silence
// of the engine.
TEST_CASE("silence_detector_pause_does_not_count_as_silence")
{
    silence_detector detector({});
    time_point now{};
    detector.start(now, 0ms);
    detector.on_headers(now);
    for (int i = 0; i < 10; ++i) {
        detector.on_token(now += 10ms);
    }
    const auto limit = detector.limit();
    detector.pause();
    now += 60s;
    CHECK_FALSE(detector.is_silent(now));
    detector.resume(now);
    CHECK_FALSE(detector.is_silent(now));
    detector.on_token(now += 10ms);
    detector.on_token(now += 10ms);
    CHECK(detector.limit() == limit);
}

// Guards against events that are lost or altered at chunk boundaries.
TEST_CASE("sse_parser_accepts_chunks_of_any_size")
{
    const std::string text = ": ping\n\nid: 1\r\ndata: {\"a\":1}\r\n\r\n"
                             "data: two\ndata:lines\n\nevent: x\n\n";
    for (std::size_t step = 1; step < text.size(); ++step) {
        std::vector<std::string> events;
        sse_parser parser(
            {}, [&](std::string_view data) { events.emplace_back(data); });
        for (std::size_t i = 0; i < text.size(); i += step) {
            REQUIRE(parser.feed(std::string_view(text).substr(i, step)));
        }
        CHECK(events == std::vector<std::string>{"{\"a\":1}", "two\nlines"});
    }
}

// Guards against unbounded memory use when an engine sends no line end.
TEST_CASE("sse_parser_bounds_lines_and_events")
{
    const std::string long_line(200, 'x');
    sse_parser lines({.max_line_bytes = 100}, [](std::string_view) {});
    const auto result = lines.feed("data: " + long_line);
    REQUIRE_FALSE(result);
    CHECK(result.error().code == errc::limit_exceeded);

    sse_parser events({.max_line_bytes = 100, .max_event_bytes = 150},
                      [](std::string_view) {});
    const std::string line = "data: " + std::string(80, 'x') + "\n";
    REQUIRE(events.feed(line));
    CHECK_FALSE(events.feed(line));
}
