// Processes beside crowds of clients whose requests stay inside the limits of
// the pages one by one and exhaust a machine together. Each test checks that
// the process lives, that its peak memory and its descriptors stay within the
// limits of its settings, and that ordinary requests are answered afterwards.
#include <bamboogate/core/json.hpp>
#include <bamboogate/net/http1_client.hpp>
#include <bamboogate/net/http1_server.hpp>

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>

#include "platform/soak/fleet.hpp"
#include "platform/support/client_crowd.hpp"
#include "support/loop_runner.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t body_limit = 1u << 20;         ///< of the gate's callers
constexpr std::size_t control_body_limit = 4u << 20; ///< of the control port
constexpr program_limits gate_limits{.memory_mb = 48, .descriptors = 456};
constexpr program_limits control_limits{.memory_mb = 96, .descriptors = 456};
constexpr duration upstream_time = 300ms; ///< of a request with a large body
constexpr duration crowd_time = 6s;
constexpr duration answer_time = 20s;

struct crowd_fixture
{
    net::event_loop loop;
    net::http1_client client{loop, {}};
    violations problems;
    std::filesystem::path folder = std::filesystem::temp_directory_path() /
                                   fmt::format("client-crowd-{}", ::getpid());
    std::vector<std::unique_ptr<machine>> replicas;
    std::unique_ptr<machine> gate;
    std::unique_ptr<net::http1_server> upstream;
    std::vector<net::http1_responder_ptr> held;
    std::vector<std::unique_ptr<net::http1_client::exchange>> announcements;
    unsigned sequence = 0;
    net::timer announce_timer{loop, [this] { announce(); }};
    net::timer answer_timer{loop, [this] { answer_held(); }};
    std::size_t peak_descriptors = 0;

    static std::string ip(unsigned number)
    {
        return fmt::format("127.{}.251.{}",
                           64 + static_cast<unsigned>(::getpid()) % 128,
                           number);
    }
    std::unique_ptr<machine> start_machine(bool is_gate, unsigned number)
    {
        auto out = std::make_unique<machine>(
            machine::options{.name = fmt::format("m{}", number),
                             .gate = is_gate,
                             .failure_domain = fmt::format("d{}", number % 3),
                             .ip = ip(number),
                             .seeds = {ip(1), ip(2), ip(3)},
                             .programs =
                                 std::filesystem::path(BAMBOOGATE_BINARY_DIR) /
                                 "bin",
                             .folder = folder,
                             .limits = is_gate ? gate_limits : control_limits},
            problems);
        out->start(true);
        return out;
    }
    crowd_fixture()
    {
        std::signal(SIGPIPE, SIG_IGN);
        // As many as acknowledge a change if two machines may be lost.
        for (unsigned i = 1; i <= 5; ++i) {
            replicas.push_back(start_machine(false, i));
        }
        gate = start_machine(true, 6);
        upstream = net::http1_server::start(
                       loop, {.listen_address = {ip(9), 8729}},
                       [this](const net::http1_request& request,
                              const net::http1_responder_ptr& responder) {
                           serve(request, responder);
                       })
                       .value();
        REQUIRE(call_until_served(replicas[0]->control_address(), "POST",
                                  "/Config.Replace", configuration()));
        announce();
        announce_timer.start_periodic(1s);
        answer_timer.start_periodic(upstream_time);
        REQUIRE(ordinary_request_is_answered());
    }
    ~crowd_fixture() { std::filesystem::remove_all(folder); }

    static std::string configuration()
    {
        return fmt::format(
            R"({{"version":3,"routes":[{{"name":"r","host":"h.example",
"pathPrefix":"/w/","routeType":"non_idempotent","timeoutMs":8000,
"service":"s","maxAttempts":1}}],"services":[{{"name":"s"}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":{},
"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}})",
            body_limit);
    }
    void announce()
    {
        ++sequence;
        const auto body = fmt::format(
            R"({{"service":"s","address":"{}","zone":"d1",)"
            R"("slots":64,"state":"ready","coldLeftMs":0,"version":"",)"
            R"("seqNo":{},"born":1000}})",
            upstream->bound_address().text(), sequence);
        announcements.clear();
        for (const auto& each : replicas) {
            announcements.push_back(
                client.start(each->control_address(),
                             {.method = "POST",
                              .target = "/Instances.Heartbeat/u",
                              .headers = {{"Host", "control"}},
                              .body = body,
                              .fresh_connection = true},
                             {.on_head = [](const auto&) { return true; },
                              .on_body = [](std::string_view) {},
                              .on_complete = [] {},
                              .on_failure = [](const auto&) {}}));
        }
    }
    void serve(const net::http1_request& request,
               const net::http1_responder_ptr& responder)
    {
        if (request.path() == "/w/ordinary") {
            answer(responder);
        } else {
            held.push_back(responder);
        }
    }
    static void answer(const net::http1_responder_ptr& responder)
    {
        responder->respond(
            200, {{"X-Attempt-Id", "a"}, {"X-Response-Seal", "s"}}, "done");
    }
    void answer_held()
    {
        for (const auto& each : std::exchange(held, {})) {
            answer(each);
        }
    }
    static std::string head(std::string_view path, std::string_view fields)
    {
        return fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\n"
                           "X-Attempt-Id: a\r\nX-Deadline-Ms: 8000\r\n"
                           "{}\r\n",
                           path, fields);
    }
    static std::string request(std::string_view path, std::size_t body_bytes)
    {
        return head(path, fmt::format("Content-Length: {}\r\n", body_bytes)) +
               std::string(body_bytes, 'x');
    }

    /// Sends a request again and again, each on a new connection, like a caller
    /// that retries after refusals.
    bool call_until_served(const net::address& server, const char* method,
                           const char* path, const std::string& body)
    {
        const time_point end = loop.now() + answer_time;
        while (loop.now() < end) {
            unsigned status = 0;
            bool ended = false;
            const auto exchange =
                client.start(server,
                             {.method = method,
                              .target = path,
                              .headers = {{"Host", "h.example"},
                                          {"X-Attempt-Id", "a"},
                                          {"X-Deadline-Ms", "8000"}},
                              .body = body,
                              .fresh_connection = true},
                             {.on_head =
                                  [&](const net::http1_response_head& answer) {
                                      status = answer.status;
                                      return true;
                                  },
                              .on_body = [](std::string_view) {},
                              .on_complete = [&] { ended = true; },
                              .on_failure =
                                  [&](const net::http1_failure&) {
                                      status = 0;
                                      ended = true;
                                  }});
            run_until(
                loop, [&] { return ended; }, end - loop.now());
            if (status == 200) {
                return true;
            }
            run_until(
                loop, [] { return false; }, 50ms);
        }
        return false;
    }
    bool ordinary_request_is_answered()
    {
        return call_until_served(gate->caller_address(), "POST", "/w/ordinary",
                                 "small");
    }

    /// Plays a crowd and checks the limits of the process that it connects to.
    /// The crowd stays while the ordinary request is sent.
    void play(machine& target, const program_limits& limits,
              client_crowd::options settings)
    {
        const double before = peak_resident_mib(target.process_id());
        client_crowd crowd(loop, std::move(settings));
        const time_point begun = loop.now();
        run_until(
            loop,
            [&] {
                peak_descriptors = std::max(
                    peak_descriptors, open_descriptors(target.process_id()));
                return crowd.settled() && loop.now() - begun > 2s;
            },
            crowd_time);
        const bool answered = ordinary_request_is_answered();
        const double peak = peak_resident_mib(target.process_id());
        MESSAGE(fmt::format(
            "resident: {:.0f} MiB before, peak {:.0f} of {} MiB; descriptors: "
            "peak {} of {}; {} clients open at the end",
            before, peak, limits.memory_mb, peak_descriptors,
            limits.descriptors, crowd.open_clients()));
        target.check(loop.now());
        CHECK(target.started());
        CHECK(answered);
        CHECK(peak > 0);
        CHECK(peak <= limits.memory_mb);
        CHECK(peak_descriptors <= limits.descriptors);
    }
    void play_at_gate(client_crowd::options settings)
    {
        settings.server = gate->caller_address();
        play(*gate, gate_limits, std::move(settings));
    }
    void play_at_control(client_crowd::options settings)
    {
        settings.server = replicas[0]->control_address();
        play(*replicas[0], control_limits, std::move(settings));
    }
};

/// A body of `bytes` in chunks of 16 bytes.
std::string tiny_chunks(std::size_t bytes)
{
    std::string out;
    for (std::size_t i = 0; i < bytes; i += 16) {
        out += "10\r\nxxxxxxxxxxxxxxxx\r\n";
    }
    return out;
}

} // namespace

// Guards against bodies that are bounded one by one but not in sum.
TEST_CASE_FIXTURE(crowd_fixture, "gate_beside_whole_large_bodies_keeps_limits")
{
    play_at_gate({.clients = 40, .text = request("/w/large", body_limit)});
}

// Guards against memory that is held for bodies whose senders stop before the
// end.
TEST_CASE_FIXTURE(crowd_fixture, "gate_beside_bodies_without_end_keeps_limits")
{
    auto text = request("/w/large", body_limit);
    text.pop_back();
    play_at_gate({.clients = 60, .text = std::move(text)});
}

// Guards against the same where every body grows in small pieces.
TEST_CASE_FIXTURE(crowd_fixture, "gate_beside_bodies_in_pieces_keeps_limits")
{
    auto text = request("/w/large", body_limit);
    text.pop_back();
    play_at_gate(
        {.clients = 60, .text = std::move(text), .bytes_per_step = 1000});
}

// Guards against heads that are held without a bound in sum.
TEST_CASE_FIXTURE(crowd_fixture, "gate_beside_trickling_heads_keeps_limits")
{
    auto text = head("/w/large", "X-Filler: " + std::string(15000, 'x'));
    text.resize(text.size() - 4);
    play_at_gate({.clients = 300, .text = std::move(text), .filler = 'x'});
}

// Guards against parsed heads that take many times their size on the wire.
TEST_CASE_FIXTURE(crowd_fixture,
                  "gate_beside_heads_of_many_fields_keeps_limits")
{
    std::string fields = "Content-Length: 100\r\n";
    while (fields.size() < 16000) {
        fields += "a:b\r\n";
    }
    play_at_gate({.clients = 300, .text = head("/w/large", fields) + "x"});
}

// Guards against chunked bodies, whose length is not known before their end.
TEST_CASE_FIXTURE(crowd_fixture, "gate_beside_tiny_chunks_keeps_limits")
{
    play_at_gate({.clients = 60,
                  .text = head("/w/large", "Transfer-Encoding: chunked\r\n") +
                          tiny_chunks(body_limit)});
}

// Guards against requests that wait behind another one of their connection.
TEST_CASE_FIXTURE(crowd_fixture, "gate_beside_pipelined_requests_keeps_limits")
{
    std::string text;
    while (text.size() < 160'000) {
        text += request("/w/large", 1000);
    }
    play_at_gate({.clients = 300, .text = std::move(text)});
}

// Guards against idle connections that take all descriptors.
TEST_CASE_FIXTURE(crowd_fixture, "gate_beside_idle_connections_keeps_limits")
{
    play_at_gate({.clients = 600, .text = ""});
}

// Guards against a control replica that is exhausted through its own port.
TEST_CASE_FIXTURE(crowd_fixture,
                  "control_beside_bodies_without_end_keeps_limits")
{
    auto text = request("/Config.Replace", control_body_limit);
    text.pop_back();
    play_at_control({.clients = 40, .text = std::move(text)});
}

// Guards against idle connections that keep operators out.
TEST_CASE_FIXTURE(crowd_fixture, "control_beside_idle_connections_keeps_limits")
{
    play_at_control({.clients = 600, .text = ""});
    CHECK(call_until_served(replicas[0]->control_address(), "GET",
                            "/Config.Read", ""));
}

// Guards against limits that keep out what the pages allow: one request of the
// largest legal size, and the largest configuration document.
TEST_CASE_FIXTURE(crowd_fixture, "largest_legal_request_in_calm_is_served")
{
    CHECK(call_until_served(gate->caller_address(), "POST", "/w/large",
                            std::string(body_limit, 'x')));
    auto document = configuration();
    document.replace(document.find('3'), 1, "4");
    document.resize(control_body_limit, ' ');
    CHECK(call_until_served(replicas[0]->control_address(), "POST",
                            "/Config.Replace", document));
}
