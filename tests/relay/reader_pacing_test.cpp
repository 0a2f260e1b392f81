#include <bamboogate/relay/reader_pacing.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <numeric>

using namespace bamboogate;
using namespace bamboogate::relay;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kibibyte = 1u << 10;

struct pacing_fixture
{
    reader_pacing::options options{.budget_bytes = 1024 * kibibyte,
                                   .stream_bytes = 64 * kibibyte,
                                   .short_stream_bytes = 8 * kibibyte,
                                   .unread_limit = 10s,
                                   .recent_read = 1s};
    reader_pacing pacing{options};

    [[nodiscard]] std::vector<std::uint64_t>
    given_up(const std::vector<slow_reader>& readers, std::size_t used,
             std::size_t needed = 0) const
    {
        std::vector<std::uint64_t> out;
        for (const auto& each : pacing.choose_given_up(readers, used, needed)) {
            out.push_back(each.reader.connection);
        }
        return out;
    }
};

/// Streams of callers, of which only some read.
struct load
{
    struct stream
    {
        std::size_t held = 0;
        bool reads = false;
        bool paused = false;
        bool given_up = false;
        duration unread_for{};
        std::size_t read_bytes = 0;
    };
    std::vector<stream> streams;

    [[nodiscard]] std::size_t held() const
    {
        return std::accumulate(streams.begin(), streams.end(), std::size_t{0},
                               [](std::size_t sum, const stream& each) {
                                   return sum + each.held;
                               });
    }
    /// Engines send an event, callers read, the gate decides.
    void step(const reader_pacing& pacing, duration time)
    {
        constexpr std::size_t event_bytes = 2 * kibibyte;
        for (auto& each : streams) {
            if (each.given_up) {
                continue;
            }
            each.held += each.paused ? 0 : event_bytes;
            each.unread_for += time;
            if (each.reads) {
                each.read_bytes += each.held;
                each.held = 0;
                each.unread_for = {};
            }
            each.paused = each.paused ? each.held > pacing.resume_mark(held())
                                      : pacing.pauses(each.held, held());
        }
        std::vector<slow_reader> readers;
        for (std::size_t i = 0; i < streams.size(); ++i) {
            if (streams[i].held > 0) {
                readers.push_back({i, streams[i].held, streams[i].unread_for});
            }
        }
        for (const auto& each : pacing.choose_given_up(readers, held(), 0)) {
            streams[each.reader.connection].given_up = true;
            streams[each.reader.connection].held = 0;
        }
    }
};

} // namespace

// Guards against memory without a limit, and against callers that read paying
// for those that don't: 300 callers never read, 100 do.
TEST_CASE_FIXTURE(pacing_fixture,
                  "reader_pacing_under_unread_streams_keeps_reading_callers")
{
    load played;
    played.streams.resize(400);
    for (std::size_t i = 0; i < played.streams.size(); i += 4) {
        played.streams[i].reads = true;
    }
    std::size_t most_held = 0;
    for (int step = 0; step < 150; ++step) {
        played.step(pacing, 100ms);
        most_held = std::max(most_held, played.held());
    }
    CHECK(most_held <= options.budget_bytes);
    for (const auto& each : played.streams) {
        CHECK(each.given_up != each.reads);
        // Not paused: it got every event.
        CHECK((!each.reads || each.read_bytes == std::size_t{300} * kibibyte));
    }
}

// Guards against streams that are paused, and cut off by their engines,
// although there is room to hold them.
TEST_CASE_FIXTURE(
    pacing_fixture,
    "reader_pacing_in_calm_holds_more_of_a_stream_than_when_short")
{
    CHECK_FALSE(pacing.pauses(64 * kibibyte, 512 * kibibyte));
    CHECK(pacing.pauses(64 * kibibyte + 1, 512 * kibibyte));
    CHECK(pacing.resume_mark(512 * kibibyte) == 32 * kibibyte);
    CHECK(pacing.pauses(8 * kibibyte + 1, 512 * kibibyte + 1));
    CHECK(pacing.resume_mark(512 * kibibyte + 1) == 4 * kibibyte);
}

// Guards against a connection that is held for a caller that never reads.
TEST_CASE_FIXTURE(pacing_fixture,
                  "reader_beyond_the_time_limit_is_given_up_in_calm")
{
    CHECK(given_up({{1, kibibyte, 9999ms}, {2, kibibyte, 10s}}, 2 * kibibyte) ==
          std::vector<std::uint64_t>{2});
}

// Guards against the loss of a caller that has just read, or holds little.
TEST_CASE_FIXTURE(pacing_fixture,
                  "exhausted_budget_gives_up_most_held_for_longest_first")
{
    const std::vector<slow_reader> readers{{1, 400 * kibibyte, 100ms},
                                           {2, 400 * kibibyte, 5s},
                                           {3, 10 * kibibyte, 6s},
                                           {4, 300 * kibibyte, 4s}};
    CHECK(given_up(readers, 1110 * kibibyte) == std::vector<std::uint64_t>{2});
    CHECK(given_up(readers, 1610 * kibibyte) ==
          std::vector<std::uint64_t>{2, 4});
}

// Guards against callers that are disconnected in vain for an answer that has
// no room anyway, or although they read.
TEST_CASE_FIXTURE(pacing_fixture,
                  "arriving_answer_displaces_only_unread_output_that_suffices")
{
    const std::vector<slow_reader> readers{{1, 300 * kibibyte, 100ms},
                                           {2, 200 * kibibyte, 2s}};
    CHECK(given_up(readers, 1000 * kibibyte, 100 * kibibyte) ==
          std::vector<std::uint64_t>{2});
    CHECK(given_up(readers, 1000 * kibibyte, 300 * kibibyte).empty());
}
