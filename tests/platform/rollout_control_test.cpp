// Orders of rollouts and their course with real control replicas; a link hub
// plays a gate that reports evidence.
#include "platform/support/relay_fixture.hpp"
#include "rollout_api.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;
using rollout::rollout_phase;
using rollout::rollout_record;

namespace {

struct rollout_fixture : relay_fixture
{
    const service_id service_name{"book"};
    net::link_hub observer{
        loop,
        {.identity = {node_id("observer"), {1}, failure_domain_id("d1")},
         .shared_secret = secret("s")}};
    std::optional<rollout_record> seen; ///< by the observer
    std::size_t leases = 0;             ///< that name a rollout
    net::timer reports{loop, [this] { report(); }};
    std::uint64_t reported = 0;
    double failing_share = 0.0;

    rollout_fixture()
    {
        start_system();
        announce_version("s1", service.server->bound_address(), "v1");
        announce_version("s2", engine1.server->bound_address(), "v1");
        announce_version("s3", engine2.server->bound_address(), "v2");
    }
    void announce_version(const char* id, const net::address& address,
                          const char* version)
    {
        CHECK(control_call(0, "POST", std::string("/Instances.Heartbeat/") + id,
                           fmt::format(R"({{"service":"book","address":"{}",)"
                                       R"("zone":"d1","slots":8,)"
                                       R"("state":"ready","coldLeftMs":0,)"
                                       R"("seqNo":2,"born":2000,)"
                                       R"("version":"{}"}})",
                                       address.text(), version))
                  ->status() == 200);
    }
    [[nodiscard]] std::size_t leader() const
    {
        const auto found =
            std::find_if(nodes.begin(), nodes.end(), [](const auto& node) {
                return node && node->is_leader();
            });
        return static_cast<std::size_t>(found - nodes.begin());
    }
    unsigned begin(std::size_t node, const char* target, double seconds)
    {
        return control_call(
                   node, "POST", "/Rollouts.Begin",
                   fmt::format(
                       R"({{"service":"book","target":"{}","durationS":{}}})",
                       target, seconds))
            ->status();
    }
    /// Reads from a replica, without its API: that ends with its first start.
    std::optional<rollout_phase> read(std::size_t node)
    {
        std::optional<result<rollout_record>> outcome;
        nodes[node]->read_rollout(
            service_name, [&](result<rollout_record> r) { outcome = r; });
        REQUIRE(wait([&] { return outcome.has_value(); }));
        if (!*outcome) {
            return std::nullopt;
        }
        return outcome->value().current_phase();
    }
    bool reaches(std::size_t node, rollout_phase phase)
    {
        const time_point limit = loop.now() + 6s;
        while (read(node) != phase) {
            if (loop.now() >= limit) {
                return false;
            }
            run_until(
                loop, [] { return false; }, 10ms);
        }
        return true;
    }
    /// Sends evidence to all replicas, of which the leader reads it.
    void observe()
    {
        observer.on<relay::rollout_update>(
            [this](const net::peer_info&, const relay::rollout_update& update) {
                for (const auto& each : update.records) {
                    if (each.service == service_name) {
                        seen = each;
                    }
                }
            });
        observer.on<relay::rollout_lease>(
            [this](const net::peer_info&, const relay::rollout_lease& lease) {
                leases += lease.numbers.size();
            });
        for (const auto& seed : seeds) {
            observer.add_peer(node_id(seed.text()), seed);
        }
        REQUIRE(
            wait([&] { return observer.peers_up().size() == seeds.size(); }));
        for (const auto& seed : seeds) {
            observer.send(node_id(seed.text()), relay::subscribe{});
        }
        reports.start_periodic(100ms);
    }
    void report()
    {
        if (!seen || !seen->in_progress()) {
            return;
        }
        reported += 10;
        const auto counted = [&](const char* version, double failing) {
            rollout::version_evidence out{.route = "r2",
                                          .version = software_version(version),
                                          .requests = reported};
            out.failures = static_cast<std::uint64_t>(
                static_cast<double>(reported) * failing);
            out.latencies.assign(rollout::latency_buckets, 0);
            out.latencies[6] = reported;
            return out;
        };
        const relay::rollout_evidence evidence{
            .service = service_name,
            .number = seen->number,
            .evidence = {counted("v1", 0.0), counted("v2", failing_share)}};
        for (const auto& seed : seeds) {
            observer.send(node_id(seed.text()), evidence);
        }
    }
    void restart_all()
    {
        for (auto& node : nodes) {
            node.reset();
        }
        for (std::size_t i = 0; i < seeds.size(); ++i) {
            add_node(i, false);
        }
        wait_for_leader();
    }
};

} // namespace

// Guards against a rollout that is forgotten, or ends without an end that can
// be read, because the leader that accepted it is lost.
TEST_CASE_FIXTURE(rollout_fixture,
                  "acknowledged_rollout_survives_the_loss_of_the_leader")
{
    REQUIRE(begin(leader(), "v2", 60) == 200);
    const std::size_t lost = leader();
    nodes[lost].reset();
    const std::size_t other = (lost + 1) % nodes.size();
    CHECK(reaches(other, rollout_phase::trial));
    const auto reply = control_call(other, "GET", "/Rollouts.Read/book");
    CHECK(reply->status() == 200);
    CHECK(json::parse(reply->body) ==
          json{{"state", "in_progress"}, {"target", "v2"}});
}

// Guards against orders that are refused when they are sent again, and against
// wrong ones that are accepted or repeated without an end.
TEST_CASE_FIXTURE(rollout_fixture, "rollout_calls_answer_with_the_stated_codes")
{
    const std::size_t other = (leader() + 1) % nodes.size();
    CHECK(control_call(other, "GET", "/Rollouts.Read/book")->status() == 404);
    CHECK(begin(other, "v2", 0.5) == 400);
    CHECK(begin(other, "", 12) == 400);
    for (const char* body :
         {"", "[]", R"({"service":"none","target":"v2","durationS":12})",
          R"({"service":"book","target":"v2"})",
          R"({"service":"book","target":"v2","durationS":1e300})"}) {
        CAPTURE(body);
        CHECK(control_call(other, "POST", "/Rollouts.Begin", body)->status() ==
              400);
    }
    CHECK(begin(other, "v2", 60) == 200);
    CHECK(begin(leader(), "v2", 60) == 200);
    CHECK(begin(other, "v2", 60) == 200);
    CHECK(begin(other, "v3", 60) == 409);
    CHECK(begin(leader(), "v2", 61) == 409);
}

// Guards against two operators whose orders are both accepted in the same
// moment.
TEST_CASE_FIXTURE(rollout_fixture, "one_of_two_simultaneous_orders_is_accepted")
{
    std::vector<errc> refusals;
    std::vector<rollout_record> begun;
    for (const char* target : {"v2", "v3"}) {
        nodes[leader()]->begin_rollout(
            {.service = service_name,
             .target = software_version(target),
             .allowed = 60s},
            [&](const result<rollout_record>& outcome) {
                if (outcome) {
                    begun.push_back(outcome.value());
                } else {
                    refusals.push_back(outcome.error().code);
                }
            });
    }
    REQUIRE(wait([&] { return begun.size() + refusals.size() == 2; }));
    REQUIRE(begun.size() == 1);
    CHECK(begun[0].target == software_version("v2"));
    CHECK(refusals == std::vector{errc::conflict});
}

// Guards against a replica that answers from what may be outdated.
TEST_CASE_FIXTURE(rollout_fixture,
                  "rollout_calls_without_a_quorum_are_uncertain")
{
    REQUIRE(begin(0, "v2", 60) == 200);
    nodes[1].reset();
    nodes[2].reset();
    run_until(
        loop, [] { return false; }, 1s);
    CHECK(control_call(0, "GET", "/Rollouts.Read/book")->status() == 503);
    CHECK(begin(0, "v2", 60) == 503);
}

// Guards against a faulty version that stays in use, and against an end that is
// forgotten.
TEST_CASE_FIXTURE(rollout_fixture,
                  "faulty_version_is_rolled_back_and_read_after_a_restart")
{
    observe();
    failing_share = 0.5;
    const time_point start = loop.now();
    REQUIRE(begin(0, "v2", 60) == 200);
    CHECK(reaches(0, rollout_phase::rolled_back));
    CHECK(loop.now() - start < 5s); // the stated time of a roll-back
    REQUIRE(wait([&] { return seen && !seen->in_progress(); }));
    CHECK(seen->reason.starts_with("more failures"));
    CHECK(leases > 0);
    reports.stop();
    restart_all();
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        CHECK(reaches(i, rollout_phase::rolled_back));
    }
}

// Guards against a sound version that is not completed in time.
TEST_CASE_FIXTURE(rollout_fixture, "sound_version_is_completed_by_its_deadline")
{
    observe();
    // At the usual interval, the evidence alone takes 3.6 s of the 4 s.
    reports.start_periodic(50ms);
    REQUIRE(begin(0, "v2", 4) == 200);
    const time_point deadline = loop.now() + 4s;
    CHECK(reaches(0, rollout_phase::completed));
    CHECK(loop.now() < deadline);
    REQUIRE(wait([&] { return seen && !seen->in_progress(); }));
    CHECK(seen->superseded == std::vector{software_version("v1")});
}

// Guards against a version that is completed, or a rollout that never ends,
// because nobody has tried the version.
TEST_CASE_FIXTURE(rollout_fixture,
                  "rollout_without_traffic_is_rolled_back_by_its_deadline")
{
    REQUIRE(begin(0, "v2", 2) == 200);
    const time_point deadline = loop.now() + 2s;
    CHECK(reaches(1, rollout_phase::rolled_back));
    CHECK(loop.now() < deadline);
}

// Guards against a rollout that begins anew with each restart: its deadline
// would never come.
TEST_CASE_FIXTURE(rollout_fixture,
                  "rollout_that_outlasts_a_restart_keeps_its_deadline")
{
    REQUIRE(begin(0, "v2", 3) == 200);
    const time_point deadline = loop.now() + 3s;
    run_until(
        loop, [] { return false; }, 1s);
    restart_all();
    CHECK(loop.now() < deadline);
    CHECK(reaches(0, rollout_phase::rolled_back));
    // The new leader may take over late, and waits for evidence.
    CHECK(loop.now() < deadline + 1500ms);
}

// Guards against an operators' page that lacks the evidence or the reason of an
// end.
TEST_CASE_FIXTURE(rollout_fixture, "rollout_page_shows_evidence_and_reason")
{
    observe();
    failing_share = 0.5;
    REQUIRE(begin(0, "v2", 60) == 200);
    CHECK(reaches(0, rollout_phase::rolled_back));
    const auto* node = nodes[leader()].get();
    const auto page = net::http1_server::start(
        loop, {.listen_address = {"127.0.0.1", 0}},
        [node](const net::http1_request& request,
               const net::http1_responder_ptr& responder) {
            CHECK(platform::handle_rollout_request(*node, request, responder));
        });
    REQUIRE(page);
    const auto reply = call(page.value()->bound_address(), "GET", "/rollouts",
                            {{"Host", "c"}});
    REQUIRE(wait([&] { return reply->ended(); }));
    const json shown = json::parse(reply->body).at("rollouts").at(0);
    CHECK(shown.at("phase") == "rolled_back");
    CHECK(shown.at("trial_share") == doctest::Approx(0.05));
    CHECK(shown.at("reason") == "more failures on all routes");
    CHECK(shown.at("evidence").at("verdict") == "faulty");
    CHECK(shown.at("evidence").at("target_failures") > 0);
}
