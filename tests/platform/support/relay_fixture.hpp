#ifndef BAMBOOGATE_TESTS_PLATFORM_SUPPORT_RELAY_FIXTURE_HPP
#define BAMBOOGATE_TESTS_PLATFORM_SUPPORT_RELAY_FIXTURE_HPP

#include <bamboogate/core/json.hpp>
#include <bamboogate/net/http1_client.hpp>
#include <bamboogate/relay/control_node.hpp>
#include <bamboogate/relay/relay_gate.hpp>

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <optional>

#include "control_api.hpp"
#include "support/loop_runner.hpp"
#include "wire.hpp"

namespace bamboogate::tests {

using namespace std::chrono_literals;

/// Returns an address that nothing listens on. Its port is below the ephemeral
/// port range, so that no outgoing connection and no listener on port 0 takes
/// it before the test does.
inline net::address free_address()
{
    constexpr int first_port = 10000;
    constexpr int ports = 20000;
    static int next = ::getpid() * 64;
    for (int tries = 0; tries < ports; ++tries) {
        const auto port =
            static_cast<std::uint16_t>(first_port + next++ % ports);
        const auto fd = net::listen_on({"127.0.0.1", port});
        if (fd) {
            ::close(fd.value());
            return {"127.0.0.1", port};
        }
    }
    FAIL("no free port");
    return {};
}

/// A fake engine or service whose responses are controlled by the test.
struct fake_upstream
{
    struct received_request
    {
        net::http1_request request;
        net::http1_responder_ptr responder;
    };

    net::event_loop& loop;
    std::string id;
    std::vector<received_request> received;
    std::vector<std::string> copy_targets; ///< of copy calls
    std::string cache_events;              ///< that the engine has recorded
    int cache_calls = 0;                   ///< that requested all events
    bool drops_copy_calls = false;
    int dropped_copy_calls = 0;
    int disconnected_callers = 0;
    std::string version; ///< of its software, as announced
    std::unique_ptr<net::http1_server> server;
    net::address address; ///< while it refuses connections

    fake_upstream(net::event_loop& l, std::string name)
        : loop(l), id(std::move(name))
    {
        listen({"127.0.0.1", 0});
    }
    /// Breaks all connections and refuses new ones until `restart`.
    void crash()
    {
        address = server->bound_address();
        server.reset();
    }
    /// Ends idle connections and refuses new ones; requests in progress go on.
    /// @return the address
    net::address refuse_connections()
    {
        address = server->bound_address();
        server->begin_drain();
        server->stop_listening();
        return address;
    }
    /// @pre `crash` was called
    void restart() { listen(address); }
    void listen(const net::address& listen_address)
    {
        server =
            net::http1_server::start(
                loop, {.listen_address = listen_address},
                [this](net::http1_request request,
                       const net::http1_responder_ptr& responder) {
                    if (request.path() == "/kv-events") {
                        const bool from_the_start =
                            request.target.ends_with("since=0");
                        cache_calls += from_the_start ? 1 : 0;
                        responder->respond(
                            200, {},
                            fmt::format(R"({{"events":[{}]}})",
                                        from_the_start ? cache_events : ""));
                        return;
                    }
                    if (request.path() == "/kv-move" && drops_copy_calls) {
                        ++dropped_copy_calls;
                        responder->abort();
                        return;
                    }
                    if (request.path() == "/kv-move") {
                        copy_targets.push_back(json::parse(request.body)
                                                   .at("target")
                                                   .get<std::string>());
                        responder->respond(200, {},
                                           R"({"kvHandle":"h1","made":2})");
                        return;
                    }
                    responder->on_client_disconnect(
                        [this] { ++disconnected_callers; });
                    received.push_back({std::move(request), responder});
                })
                .value();
    }
    void begin_stream(std::size_t index)
    {
        received[index].responder->begin_stream(
            200, "OK",
            {{"X-Response-Seal", "seal-" + id},
             {"X-Attempt-Id", header(index, "X-Attempt-Id")}});
    }
    void event(std::size_t index, int number)
    {
        received[index].responder->write(
            fmt::format("id: {}\ndata: e{}\n\n", number, number));
    }
    void answer(std::size_t index, std::string_view body, unsigned status = 200)
    {
        received[index].responder->respond(
            status,
            {{"X-Response-Seal", "seal-" + id},
             {"X-Attempt-Id", header(index, "X-Attempt-Id")}},
            body);
    }
    [[nodiscard]] std::string header(std::size_t index, const char* name) const
    {
        return std::string(
            received[index].request.headers.find(name).value_or(""));
    }
};

/// A caller's request and its response.
struct caller
{
    std::unique_ptr<net::http1_client::exchange> exchange;
    std::optional<net::http1_response_head> head;
    std::string body;
    bool complete = false;
    bool failed = false;

    [[nodiscard]] bool ended() const { return complete || failed; }
    [[nodiscard]] unsigned status() const { return head ? head->status : 0; }
};

/// A system on one event loop: three control nodes with their APIs, a gate, two
/// fake engines and a fake service.
struct relay_fixture
{
    net::event_loop loop;
    std::filesystem::path folder =
        std::filesystem::temp_directory_path() /
        fmt::format("relay-{}-{}", ::getpid(), ++count);
    std::vector<net::address> seeds{free_address(), free_address(),
                                    free_address()};
    std::vector<std::unique_ptr<relay::control_node>> nodes;
    std::vector<std::unique_ptr<net::http1_server>> apis;
    std::unique_ptr<relay::relay_gate> gate;
    net::http1_client client{loop, {}};
    fake_upstream engine1{loop, "e1"};
    fake_upstream engine2{loop, "e2"};
    fake_upstream service{loop, "s1"};
    relay::reader_pacing::options readers; ///< of the next gate
    duration hand_over_limit = 20s; ///< of a stop; longer than any wait here
    static inline int count = 0;

    /// @param retries of the gate
    /// @param reserve of the control nodes
    explicit relay_fixture(relay::retry_limiter::options retries = {},
                           relay::retry_reserve::options reserve = {})
        : retries_(retries), reserve_(reserve)
    {
        for (std::size_t i = 0; i < seeds.size(); ++i) {
            add_node(i, true);
        }
        start_gate();
    }
    ~relay_fixture() { std::filesystem::remove_all(folder); }

    void start_gate()
    {
        gate = std::make_unique<relay::relay_gate>(
            loop, relay::make_relay_protocol<platform::wire>(),
            relay::relay_gate::options{
                .caller_address = {"127.0.0.1", 0},
                .control = {.self = node_id("gate"),
                            .failure_domain = failure_domain_id("d1"),
                            .incarnation = {++incarnation_},
                            .shared_secret = secret("s"),
                            .seeds = seeds},
                .retries = retries_,
                .accept_after_stop = 100ms,
                .stop_limit = 2s,
                .readers = readers});
        REQUIRE(gate->start());
    }
    void add_node(std::size_t i, bool first_start)
    {
        auto node = std::make_unique<relay::control_node>(
            loop, relay::make_relay_protocol<platform::wire>(),
            relay::control_node::options{
                .link_address = seeds[i],
                .failure_domain = failure_domain_id("d1"),
                .incarnation = {++incarnation_},
                .shared_secret = secret("s"),
                .data_folder = folder / fmt::format("{}", i),
                .seeds = seeds,
                .first_start = first_start,
                .tolerated_losses = 1,
                .hand_over_limit = hand_over_limit,
                .retries = reserve_});
        REQUIRE(node->start());
        auto* raw = node.get();
        if (i < nodes.size()) {
            nodes[i] = std::move(node);
            return;
        }
        nodes.push_back(std::move(node));
        apis.push_back(net::http1_server::start(
                           loop, {.listen_address = {"127.0.0.1", 0}},
                           [raw](const net::http1_request& request,
                                 const net::http1_responder_ptr& responder) {
                               platform::handle_control_request(*raw, request,
                                                                responder);
                           })
                           .value());
    }

    std::unique_ptr<caller> call(const net::address& address,
                                 std::string method, std::string target,
                                 net::header_list headers,
                                 const std::string& body = {})
    {
        auto out = std::make_unique<caller>();
        auto* raw = out.get();
        out->exchange = client.start(
            address,
            {.method = std::move(method),
             .target = std::move(target),
             .headers = std::move(headers),
             .body = body,
             .fresh_connection = true},
            {.on_head =
                 [raw](const net::http1_response_head& head) {
                     raw->head = head;
                     return true;
                 },
             .on_body = [raw](std::string_view part) { raw->body += part; },
             .on_complete = [raw] { raw->complete = true; },
             .on_failure =
                 [raw](const net::http1_failure&) { raw->failed = true; }});
        return out;
    }
    std::unique_ptr<caller> control_call(std::size_t node, std::string method,
                                         std::string target,
                                         const std::string& body = {})
    {
        auto out = call(apis[node]->bound_address(), std::move(method),
                        std::move(target), {{"Host", "c"}}, body);
        CHECK(run_until(
            loop, [&] { return out->ended(); }, 3s));
        return out;
    }
    std::unique_ptr<caller> send_request(std::string target,
                                         const char* attempt,
                                         const char* key = "k1")
    {
        return call(gate->bound_address(), "POST", std::move(target),
                    {{"Host", "h.example"},
                     {"X-Attempt-Id", attempt},
                     {"X-Deadline-Ms", "3000"},
                     {"X-Token-Count", "800,100"},
                     {"Authorization", std::string("Bearer ") + key}},
                    "prompt");
    }

    static std::string configuration(int version)
    {
        return fmt::format(
            R"({{"version":{},"routes":[
{{"name":"r1","host":"h.example","pathPrefix":"/gen/",
"routeType":"streaming","timeoutMs":3000,"goalMs":2000,"priority":1,
"service":"gen","maxAttempts":3,"resumable":true,"gapGoalMs":700}},
{{"name":"r2","host":"h.example","pathPrefix":"/book/",
"routeType":"non_idempotent","timeoutMs":3000,"goalMs":500,
"service":"book","maxAttempts":1}},
{{"name":"r3","host":"h.example","pathPrefix":"/stock/",
"routeType":"idempotent","timeoutMs":3000,"goalMs":500,
"service":"book","maxAttempts":3}}],
"services":[{{"name":"gen","engine":{{"slots":8,"kvCapacity":88000,
"stride":6,"backups":true,"moves":true,"handleTtlS":0.9}}}},{{"name":"book"}}],
"tenants":[{{"name":"acc","apiKeys":["k1"]}}]}})",
            version);
    }
    void announce(const fake_upstream& upstream, const char* service,
                  const char* zone, int sequence = 1,
                  const char* state = "ready", int started_at = 1000)
    {
        const auto reply = control_call(
            0, "POST", "/Instances.Heartbeat/" + upstream.id,
            fmt::format(R"({{"service":"{}","address":"{}","zone":"{}",)"
                        R"("slots":8,"state":"{}","coldLeftMs":0,)"
                        R"("seqNo":{},"born":{},"version":"{}"}})",
                        service, upstream.server->bound_address().text(), zone,
                        state, sequence, started_at, upstream.version));
        CHECK(reply->status() == 200);
    }
    void wait_for_leader()
    {
        REQUIRE(run_until(
            loop,
            [&] {
                return std::any_of(
                    nodes.begin(), nodes.end(),
                    [](const auto& node) { return node->is_leader(); });
            },
            10s));
    }
    /// Stores a configuration, announces the fake upstreams and waits for the
    /// gate.
    void start_system()
    {
        wait_for_leader();
        REQUIRE(control_call(1, "POST", "/Config.Replace", configuration(5))
                    ->status() == 200);
        REQUIRE(run_until(loop, [&] { return gate->ready(); }));
        announce(engine1, "gen", "d1");
        announce(engine2, "gen", "d2");
        announce(service, "book", "d1");
        run_until(
            loop, [] { return false; }, 50ms);
    }
    /// @return false if the condition is not met within 3 s
    bool wait(const std::function<bool()>& condition)
    {
        return run_until(loop, condition, 3s);
    }

private:
    std::uint64_t incarnation_ = 0;
    relay::retry_limiter::options retries_;
    relay::retry_reserve::options reserve_;
};

} // namespace bamboogate::tests

#endif
