// A gate as a process, whose callers ask for long streams and never read.
#include <csignal>
#include <regex>

#include "platform/soak/fleet.hpp"
#include "platform/support/relay_fixture.hpp"
#include "support/slow_client.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;

namespace {

constexpr unsigned gate_memory_mb = 64;
constexpr std::size_t crowd = 48;
constexpr int events_per_stream = 2000;
constexpr std::size_t event_bytes = 4000;

/// Five control replicas and a gate as processes; the test plays the engine,
/// the service and the callers.
struct gate_process_fixture
{
    net::event_loop loop;
    net::http1_client client{loop, {}};
    violations problems;
    std::filesystem::path folder = std::filesystem::temp_directory_path() /
                                   fmt::format("unread-{}", ::getpid());
    std::vector<std::unique_ptr<machine>> replicas;
    std::unique_ptr<machine> gate;
    fake_upstream engine{loop, "e1"};
    fake_upstream service{loop, "s1"};
    net::timer announce_timer{loop, [this] { announce_all(); }};
    net::timer engine_timer{loop, [this] { send_events(); }};
    std::vector<std::unique_ptr<net::http1_client::exchange>> announcements;
    unsigned sequence = 0;
    std::vector<int> next_event;
    double peak_kib = 0;

    gate_process_fixture()
    {
        std::signal(SIGPIPE, SIG_IGN);
        for (unsigned i = 0; i < 5; ++i) {
            replicas.push_back(start(fmt::format("replica-{}", i), i + 1, {}));
        }
        gate = start("gate", 9, gate_memory_mb);
        announce_timer.start_periodic(300ms);
    }
    ~gate_process_fixture() { std::filesystem::remove_all(folder); }

    std::unique_ptr<machine> start(const std::string& name, unsigned number,
                                   std::optional<unsigned> memory_mb)
    {
        const auto ip = [](unsigned last) {
            return fmt::format("127.{}.251.{}",
                               64 + static_cast<unsigned>(::getpid()) % 128,
                               last);
        };
        auto out = std::make_unique<machine>(
            machine::options{
                .name = name,
                .gate = memory_mb.has_value(),
                .failure_domain = "d1",
                .ip = ip(number),
                .seeds = {ip(1), ip(2), ip(3)},
                .programs =
                    std::filesystem::path(BAMBOOGATE_BINARY_DIR) / "bin",
                .folder = folder,
                .limits = program_limits{.memory_mb = memory_mb.value_or(0)}},
            problems);
        out->start(true);
        return out;
    }
    /// @return the status and the body; 0 without an answer
    std::pair<unsigned, std::string>
    call(const net::address& address, const char* method, const char* target,
         net::header_list headers, const std::string& body)
    {
        std::pair<unsigned, std::string> out;
        bool ended = false;
        const auto exchange = client.start(
            address,
            {.method = method,
             .target = target,
             .headers = std::move(headers),
             .body = body,
             .fresh_connection = true},
            {.on_head =
                 [&](const net::http1_response_head& head) {
                     out.first = head.status;
                     return true;
                 },
             .on_body = [&](std::string_view part) { out.second += part; },
             .on_complete = [&] { ended = true; },
             .on_failure = [&](const net::http1_failure&) { ended = true; }});
        run_until(
            loop, [&] { return ended; }, 3s);
        return out;
    }
    void announce_all()
    {
        announcements.clear();
        ++sequence;
        for (const auto& [upstream, name] :
             {std::pair(&engine, "gen"), std::pair(&service, "book")}) {
            const std::string body = fmt::format(
                R"({{"service":"{}","address":"{}","zone":"d1",)"
                R"("slots":64,"state":"ready","coldLeftMs":0,"version":"",)"
                R"("seqNo":{},"born":1000}})",
                name, upstream->server->bound_address().text(), sequence);
            announcements.push_back(client.start(
                replicas[0]->control_address(),
                {.method = "POST",
                 .target = "/Instances.Heartbeat/" + upstream->id,
                 .headers = {{"Host", "c"}},
                 .body = body},
                {.on_head =
                     [](const net::http1_response_head&) { return true; },
                 .on_body = [](std::string_view) {},
                 .on_complete = [] {},
                 .on_failure = [](const net::http1_failure&) {}}));
        }
    }
    /// Sends what the gate reads, and keeps a bounded amount for it.
    void send_events()
    {
        const std::string text(event_bytes, 'x');
        for (std::size_t i = 0; i < engine.received.size(); ++i) {
            if (i >= next_event.size()) {
                next_event.push_back(1);
                engine.begin_stream(i);
            }
            const auto& responder = engine.received[i].responder;
            while (!responder->ended() && responder->queued_bytes() < 65536 &&
                   next_event[i] <= events_per_stream) {
                responder->write(
                    fmt::format("id: {}\ndata: {}\n\n", next_event[i]++, text));
            }
        }
        for (const auto& each : service.received) {
            if (!each.responder->ended()) {
                service.answer(
                    static_cast<std::size_t>(&each - service.received.data()),
                    "booked");
            }
        }
        peak_kib = std::max(peak_kib, gate->resident_kib());
    }
    void start_system()
    {
        // Streams that are longer than the test.
        const std::string document = std::regex_replace(
            relay_fixture::configuration(5), std::regex("\"timeoutMs\":3000"),
            "\"timeoutMs\":20000");
        REQUIRE(run_until(
            loop,
            [&] {
                return call(replicas[1]->control_address(), "POST",
                            "/Config.Replace", {{"Host", "c"}}, document)
                           .first == 200;
            },
            30s));
        REQUIRE(run_until(
            loop,
            [&] {
                return call(gate->readiness_address(), "GET", "/readyz",
                            {{"Host", "g"}}, {})
                           .first == 200;
            },
            30s));
        run_until(
            loop, [] { return false; }, 1s);
        engine_timer.start_periodic(1ms);
    }
    static std::string stream_request(std::size_t number)
    {
        return fmt::format("POST /gen/x HTTP/1.1\r\nHost: h.example\r\n"
                           "X-Attempt-Id: u{}\r\nX-Deadline-Ms: 20000\r\n"
                           "X-Token-Count: 20,10\r\n"
                           "Authorization: Bearer k1\r\n"
                           "Content-Length: 6\r\n\r\nprompt",
                           number);
    }
};

} // namespace

// Guards against a gate that ends because callers don't read: what it held for
// each of them had a bound, but their sum had none.
TEST_CASE_FIXTURE(gate_process_fixture,
                  "gate_whose_callers_never_read_stays_within_its_memory")
{
    start_system();
    std::vector<std::unique_ptr<slow_client>> callers;
    for (std::size_t i = 0; i < crowd; ++i) {
        callers.push_back(std::make_unique<slow_client>(
            loop, gate->caller_address(), stream_request(i), 4096));
    }
    CHECK(run_until(
        loop, [&] { return engine.received.size() >= crowd / 2; }, 10s));
    run_until(
        loop, [] { return false; }, 5s);
    MESSAGE("peak KiB: ", peak_kib, ", streams: ", engine.received.size());
    CHECK(gate->running());
    CHECK(peak_kib < gate_memory_mb * 1024.0);
    const auto ordinary = call(gate->caller_address(), "POST", "/book/x",
                               {{"Host", "h.example"},
                                {"X-Attempt-Id", "ordinary"},
                                {"X-Deadline-Ms", "3000"},
                                {"Authorization", "Bearer k1"}},
                               "prompt");
    CHECK(ordinary.first == 200);
    CHECK(ordinary.second == "booked");
}
