// Streams while engines of two software versions serve side by side.
#include "platform/support/relay_fixture.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;

namespace {

struct stream_origin_fixture : relay_fixture
{
    fake_upstream engine3{loop, "e3"};
    std::vector<fake_upstream*> engines{&engine1, &engine2, &engine3};
    std::unique_ptr<caller> request;
    fake_upstream* first = nullptr; ///< began the stream

    /// @param versions of the three engines
    void start_versions(std::array<const char*, 3> versions)
    {
        for (std::size_t i = 0; i < engines.size(); ++i) {
            engines[i]->version = versions[i];
        }
        start_system();
        announce(engine3, "gen", "d3");
        pass(150ms);
    }
    void pass(duration time)
    {
        run_until(
            loop, [] { return false; }, time);
    }
    [[nodiscard]] std::size_t received() const
    {
        std::size_t total = 0;
        for (const auto* each : engines) {
            total += each->received.size();
        }
        return total;
    }
    /// Starts a stream and waits until its first two events are forwarded.
    void start_stream(const char* attempt)
    {
        request = send_request("/gen/x", attempt);
        REQUIRE(wait([&] { return received() == 1; }));
        for (auto* each : engines) {
            first = each->received.empty() ? first : each;
        }
        first->begin_stream(0);
        first->event(0, 1);
        first->event(0, 2);
        REQUIRE(wait(
            [&] { return request->body.find("e2") != std::string::npos; }));
    }
    std::unique_ptr<caller> resume(const char* attempt, const char* resumes)
    {
        return call(gate->bound_address(), "POST", "/gen/x",
                    {{"Host", "h.example"},
                     {"X-Attempt-Id", attempt},
                     {"X-Deadline-Ms", "3000"},
                     {"X-Token-Count", "800,100"},
                     {"Last-Event-Id", "2"},
                     {"Resumes", resumes},
                     {"Authorization", "Bearer k1"}},
                    "prompt");
    }
    void restart_gate()
    {
        gate.reset();
        start_gate();
        REQUIRE(wait([&] { return gate->ready(); }));
        pass(150ms);
    }
    void restart_nodes()
    {
        for (auto& each : apis) {
            each.reset();
        }
        apis.clear();
        nodes.clear();
        for (std::size_t i = 0; i < seeds.size(); ++i) {
            add_node(i, false);
        }
        wait_for_leader();
        pass(2s); // gates and replicas link to one another again
        for (auto* each : engines) {
            announce(*each, "gen", "d1", 2);
        }
        pass(150ms);
    }
    /// Checks that the resumed stream runs on an engine of the same version.
    void check_goes_on(caller& resumed)
    {
        REQUIRE(wait([&] { return received() == 2; }));
        for (auto* each : engines) {
            const bool is_other = each != first || each->received.size() == 2;
            if (each->received.empty() || !is_other) {
                continue;
            }
            CHECK(each->version == first->version);
            const std::size_t last = each->received.size() - 1;
            CHECK(each->header(last, "Last-Event-Id") == "2");
            each->begin_stream(last);
            each->event(last, 3);
            each->received[last].responder->finish();
        }
        REQUIRE(wait([&] { return resumed.ended(); }));
        CHECK(resumed.complete);
        CHECK(resumed.body.find("e3") != std::string::npos);
    }
    void check_refused(caller& resumed)
    {
        REQUIRE(wait([&] { return resumed.ended(); }));
        CHECK(resumed.status() == 503);
        CHECK(resumed.head->headers.find("Retry-After"));
        CHECK(received() == 1);
    }
};

} // namespace

// Guards against an answer that is joined from two versions after a loss.
TEST_CASE_FIXTURE(stream_origin_fixture,
                  "stream_of_a_lost_engine_goes_on_at_its_version")
{
    start_versions({"v1", "v2", "v1"});
    start_stream("g1");
    if (first->version == "v2") {
        // No other engine of its version is left.
        first->crash();
        // It may come back until the caller's deadline, after 3 s.
        REQUIRE(run_until(
            loop, [&] { return request->ended(); }, 4s));
        CHECK(request->failed);
        CHECK(received() == 1);
        return;
    }
    first->received[0].responder->abort();
    check_goes_on(*request);
}

// Guards against a stream that is resumed at another version because all gates
// were lost, or because its caller meets a gate that does not know it.
TEST_CASE_FIXTURE(stream_origin_fixture,
                  "stream_resumed_after_all_gates_were_lost_keeps_its_version")
{
    start_versions({"v1", "v2", "v1"});
    start_stream("g1");
    restart_gate();
    SUBCASE("its engines serve")
    {
        const auto resumed = resume("g2", "g1");
        check_goes_on(*resumed);
    }
    SUBCASE("all engines of its version left")
    {
        for (auto* each : engines) {
            if (each->version == first->version) {
                CHECK(control_call(0, "POST",
                                   "/Instances.Deregister/" + each->id, "{}")
                          ->status() == 200);
            }
        }
        pass(100ms);
        const auto resumed = resume("g2", "g1");
        check_refused(*resumed);
    }
}

// Guards against a stream that nobody knows and that goes on at some version.
TEST_CASE_FIXTURE(stream_origin_fixture,
                  "stream_of_unknown_origin_refused_while_two_versions_serve")
{
    start_versions({"v1", "v2", "v1"});
    start_stream("g1");
    pass(1600ms); // after this time, no gate is expected to report it any more
    SUBCASE("never seen")
    {
        check_refused(*resume("g2", "g0"));
    }
    SUBCASE("none named")
    {
        check_refused(*resume("g2", ""));
    }
}

// Guards against refusing every resumed stream after a loss of power.
TEST_CASE_FIXTURE(stream_origin_fixture,
                  "stream_resumed_after_all_processes_restarted_with_one_"
                  "version_goes_on")
{
    start_versions({"v1", "v1", "v1"});
    start_stream("g1");
    gate.reset();
    restart_nodes();
    start_gate();
    REQUIRE(wait([&] { return gate->ready(); }));
    pass(150ms);
    const auto resumed = resume("g2", "g1");
    check_goes_on(*resumed);
}

// Guards against a replica that was cut off while a stream was placed again at
// another version, and that sends its caller on at the earlier version.
TEST_CASE_FIXTURE(stream_origin_fixture,
                  "stream_resumed_without_a_leader_needs_a_begun_origin")
{
    start_versions({"v1", "v2", "v1"});
    const net::address address = free_address();
    net::link_hub replica(
        loop,
        {.identity = {node_id(address.text()), {1}, failure_domain_id("d2")},
         .shared_secret = secret("s")});
    REQUIRE(replica.listen(address));
    for (const auto& seed : seeds) {
        replica.add_peer(node_id(seed.text()), seed);
    }
    REQUIRE(wait([&] { return replica.peers_up().size() == seeds.size(); }));
    bool begun = false;
    SUBCASE("placed") {}
    SUBCASE("begun")
    {
        begun = true;
    }
    for (const auto& seed : seeds) {
        replica.send(node_id(seed.text()), relay::join_request{address.text()});
        replica.send(node_id(seed.text()),
                     relay::origin_update{
                         .service = service_id("gen"),
                         .version = software_version("v1"),
                         .streams = {relay::stream_key(client_account_id("acc"),
                                                       request_id("g1"))},
                         .begun = begun});
    }
    pass(100ms);
    nodes[1].reset();
    nodes[2].reset();
    pass(1500ms); // the gate subscribes to the replica that is left
    const auto resumed = resume("g2", "g1");
    if (!begun) {
        REQUIRE(wait([&] { return resumed->ended(); }));
        CHECK(resumed->status() == 503);
        CHECK(received() == 0);
        return;
    }
    REQUIRE(wait([&] { return received() == 1; }));
    CHECK(engine2.received.empty());
}

// Guards against an origin that only its gate knows once the stream has begun:
// the leader that placed the stream is lost before the first event.
TEST_CASE_FIXTURE(stream_origin_fixture,
                  "stream_that_begins_after_a_change_of_leader_is_resumed")
{
    start_versions({"v1", "v2", "v1"});
    // The stream outlasts the restart of the replicas.
    std::string document = configuration(6);
    const std::string limit = "\"timeoutMs\":3000";
    document.replace(document.find(limit), limit.size(), "\"timeoutMs\":20000");
    REQUIRE(control_call(1, "POST", "/Config.Replace", document)->status() ==
            200);
    pass(300ms);
    request = call(gate->bound_address(), "POST", "/gen/x",
                   {{"Host", "h.example"},
                    {"X-Attempt-Id", "g1"},
                    {"X-Deadline-Ms", "20000"},
                    {"X-Token-Count", "800,100"},
                    {"Authorization", "Bearer k1"}},
                   "prompt");
    REQUIRE(wait([&] { return received() == 1; }));
    for (auto* each : engines) {
        first = each->received.empty() ? first : each;
    }
    // No replica knows the placement after its restart.
    restart_nodes();
    REQUIRE(wait([&] { return gate->ready(); }));
    first->begin_stream(0);
    first->event(0, 1);
    first->event(0, 2);
    REQUIRE(
        wait([&] { return request->body.find("e2") != std::string::npos; }));
    pass(150ms);
    restart_gate();
    if (first->version == "v2") {
        REQUIRE(wait([&] { return first->disconnected_callers == 1; }));
    }
    const auto resumed = resume("g2", "g1");
    check_goes_on(*resumed);
}
