// A gate whose direct paths to all upstreams are lost. Each upstream is
// announced at an address that refuses connections and is served at another
// one, which only the tunnel server of another gate knows.
#include <bamboogate/net/tunnel_server.hpp>

#include "platform/support/relay_fixture.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;

namespace {

struct partitioned_gate_fixture : relay_fixture
{
    /// Where upstreams are served, by the announced address.
    std::map<std::string, net::address> moved;
    net::address other_gate = free_address();
    std::unique_ptr<net::tunnel_server> tunnels =
        net::tunnel_server::start(
            loop, {.listen_address = other_gate,
                   .shared_secret = secret("s"),
                   .resolve = [this](const net::address& requested)
                       -> std::optional<net::address> {
                       const auto found = moved.find(requested.text());
                       return found == moved.end() ? requested : found->second;
                   }})
            .value();
    /// The links of the other gate.
    net::link_hub hub{
        loop,
        {.identity = {node_id(other_gate.text()), {1}, failure_domain_id("d2")},
         .shared_secret = secret("s")}};

    partitioned_gate_fixture()
    {
        hub.on_peer_state([this](const net::peer_info& peer, bool up) {
            if (up) {
                hub.send(peer.node, relay::gate_reachability{true});
            }
        });
        for (const auto& seed : seeds) {
            hub.add_peer(node_id(seed.text()), seed);
        }
        start_system();
        // The gate requests other gates when it starts and 5 s after it.
        run_until(
            loop, [] { return false; }, 600ms);
    }
    void cut(fake_upstream& upstream)
    {
        const net::address announced = upstream.server->bound_address();
        upstream.crash();
        upstream.listen({"127.0.0.1", 0});
        moved[announced.text()] = upstream.server->bound_address();
        upstream.address = announced;
    }
    void cut_all()
    {
        for (auto* each : {&engine1, &engine2, &service}) {
            cut(*each);
        }
    }
    /// Answers a request of the service to its caller.
    /// @return the caller's status
    unsigned serve(const char* target, const char* attempt)
    {
        const std::size_t before = service.received.size();
        const auto request = send_request(target, attempt);
        if (!wait([&] {
                return request->ended() || service.received.size() > before;
            }) ||
            request->ended()) {
            return request->status();
        }
        service.answer(before, "ok");
        wait([&] { return request->ended(); });
        return request->status();
    }
};

} // namespace

// Guards against callers that are refused at a gate that has lost its links to
// all upstreams while other gates reach them.
TEST_CASE_FIXTURE(partitioned_gate_fixture,
                  "callers_of_a_partitioned_gate_are_served_over_another_gate")
{
    cut_all();
    CHECK(serve("/stock/x", "a1") == 200);
    CHECK(serve("/book/x", "a2") == 200);
    const auto stream = send_request("/gen/x", "a3");
    fake_upstream* engine = nullptr;
    REQUIRE(wait([&] {
        for (auto* each : {&engine1, &engine2}) {
            engine = each->received.empty() ? engine : each;
        }
        return engine != nullptr;
    }));
    engine->begin_stream(0);
    engine->event(0, 1);
    REQUIRE(wait([&] { return stream->body.find("e1") != std::string::npos; }));
    engine->received[0].responder->finish();
    CHECK(wait([&] { return stream->complete; }));
    CHECK(tunnels->counts().opened >= 2);
}

// Guards against work that goes on after its caller has left a partitioned
// gate.
TEST_CASE_FIXTURE(partitioned_gate_fixture,
                  "caller_that_leaves_a_partitioned_gate_frees_the_upstream")
{
    cut_all();
    auto request = send_request("/book/x", "a1");
    REQUIRE(wait([&] { return service.received.size() == 1; }));
    request.reset();
    CHECK(run_until(
        loop, [&] { return service.disconnected_callers == 1; }, 500ms));
}

// Guards against traffic over other gates long after the end of a partition.
TEST_CASE_FIXTURE(partitioned_gate_fixture,
                  "partitioned_gate_uses_the_direct_path_when_it_is_back")
{
    cut_all();
    REQUIRE(serve("/stock/x", "a1") == 200);
    for (auto* each : {&engine1, &engine2, &service}) {
        each->listen(each->address);
    }
    run_until(
        loop, [] { return false; }, 2s);
    const auto opened = tunnels->counts().opened;
    CHECK(serve("/stock/x", "a2") == 200);
    CHECK(tunnels->counts().opened == opened);
}

// Guards against a request that is run twice because its path was lost after it
// had been sent.
TEST_CASE_FIXTURE(partitioned_gate_fixture,
                  "non_idempotent_request_in_a_lost_tunnel_is_not_repeated")
{
    cut_all();
    const auto request = send_request("/book/x", "a1");
    REQUIRE(wait([&] { return service.received.size() == 1; }));
    tunnels.reset();
    REQUIRE(wait([&] { return request->ended(); }));
    CHECK(request->status() == 502);
    CHECK(service.received.size() == 1);
}
