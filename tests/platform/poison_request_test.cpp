// Requests that crash every upstream that begins to run them.
#include "platform/support/relay_fixture.hpp"
#include "quarantine_api.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;

namespace {

struct poison_request_fixture : relay_fixture
{
    int announced = 1;
    std::vector<std::unique_ptr<caller>> callers;

    caller& send_with_parts(const char* attempt, const char* parts)
    {
        callers.push_back(call(gate->bound_address(), "POST", "/gen/x",
                               {{"Host", "h.example"},
                                {"X-Attempt-Id", attempt},
                                {"X-Deadline-Ms", "20000"},
                                {"X-Token-Count", "800,100"},
                                {"X-Prefix-Hash", parts},
                                {"Authorization", "Bearer k1"}},
                               "prompt"));
        return *callers.back();
    }
    [[nodiscard]] std::size_t received() const
    {
        return engine1.received.size() + engine2.received.size();
    }
    /// Waits until one of the engines has received the next request.
    fake_upstream& next_engine(std::size_t already_received)
    {
        REQUIRE(wait([&] { return received() == already_received + 1; }));
        run_until(
            loop, [] { return false; }, 600ms);
        fake_upstream& engine =
            engine1.received.size() > seen1_ ? engine1 : engine2;
        seen1_ = engine1.received.size();
        return engine;
    }
    /// Waits until one of the engines has the request and crashes it: its
    /// connections break, and it starts again.
    void crash_next(std::size_t already_received)
    {
        fake_upstream& engine = next_engine(already_received);
        engine.crash();
        run_until(
            loop, [] { return false; }, 20ms);
        engine.restart();
        announce_engines();
    }
    void announce_engines()
    {
        ++announced;
        announce(engine1, "gen", "d1", announced, "ready", announced * 1000);
        announce(engine2, "gen", "d2", announced, "ready", announced * 1000);
    }
    /// Three engines crash under a request with the given parts.
    void crash_three_times(const char* attempt, const char* parts)
    {
        const caller& request = send_with_parts(attempt, parts);
        for (std::size_t crashes = 0; crashes < 3; ++crashes) {
            crash_next(crashes);
        }
        REQUIRE(wait([&] { return request.ended(); }));
        // Engines have begun to work on it.
        CHECK(request.status() == 502);
    }
    void check_refused(const char* attempt, const char* parts,
                       double least_delay_s = 500.0)
    {
        const std::size_t before = received();
        const caller& request = send_with_parts(attempt, parts);
        REQUIRE(wait([&] { return request.ended(); }));
        CHECK(request.status() == 503);
        const auto delay = request.head->headers.find("Retry-After");
        REQUIRE(delay);
        CHECK(std::stod(std::string(*delay)) > least_delay_s);
        CHECK(received() == before);
    }

private:
    std::size_t seen1_ = 0; ///< requests received by the first engine
};

} // namespace

// Guards against a part of a prompt that crashes one engine after the other.
TEST_CASE_FIXTURE(poison_request_fixture,
                  "poison_request_is_refused_after_three_crashes")
{
    start_system();
    crash_three_times("g1", "f1:200,bad:100,o1:500");
    check_refused("g2", "f1:200,bad:100,o2:500");
    // Another request with the part shows that it is the cause.
    const caller& other = send_with_parts("g3", "f2:200,bad:100,o3:500");
    crash_next(3);
    REQUIRE(wait([&] { return other.ended(); }));
    CHECK(other.status() == 502);
    check_refused("g4", "f3:200,bad:100,o4:500");
    // Sound requests share the other parts.
    send_with_parts("g5", "f1:200,good:100,o5:500");
    send_with_parts("g6", "f2:200,o6:500");
    CHECK(wait([&] { return received() == 6; }));
}

// Guards against another series of crashes after a change of the leader or at a
// gate that has just started.
TEST_CASE_FIXTURE(poison_request_fixture,
                  "quarantine_outlives_the_leader_and_the_gate")
{
    start_system();
    crash_three_times("g1", "f1:200,bad:100,o1:500");
    gate.reset();
    const auto leader =
        std::find_if(nodes.begin(), nodes.end(),
                     [](const auto& node) { return node->is_leader(); });
    leader->reset();
    nodes.erase(leader);
    wait_for_leader();
    start_gate();
    REQUIRE(run_until(loop, [&] { return gate->ready(); }));
    run_until(
        loop, [] { return false; }, 200ms);
    check_refused("g2", "f1:200,bad:100,o2:500");
}

// Guards against engines lost to each request while no leader counts them.
TEST_CASE_FIXTURE(poison_request_fixture,
                  "request_that_crashed_two_engines_ends_without_a_leader")
{
    start_system();
    nodes.clear();
    run_until(
        loop, [] { return false; }, 100ms);
    const caller& request = send_with_parts("g1", "f1:200,bad:100,o1:500");
    next_engine(0).crash();
    next_engine(1).crash();
    REQUIRE(wait([&] { return request.ended(); }));
    CHECK(request.status() == 502);
    CHECK(received() == 2);
}

// Guards against a quarantine of sound requests whose connections engines
// reset, for example because they have too many.
TEST_CASE_FIXTURE(poison_request_fixture,
                  "connections_that_live_engines_reset_are_no_crashes")
{
    start_system();
    const caller& request = send_with_parts("g1", "f1:200,p1:100,o1:500");
    for (std::size_t sent = 0; sent < 3; ++sent) {
        next_engine(sent).received.back().responder->abort();
        run_until(
            loop, [] { return false; }, 20ms);
        announce_engines();
    }
    REQUIRE(wait([&] { return request.ended(); }));
    CHECK(request.status() == 502);
    send_with_parts("g2", "f1:200,p1:100,o2:500");
    CHECK(wait([&] { return received() == 4; }));
}

// Guards against engines lost to many requests while no leader counts them.
TEST_CASE_FIXTURE(poison_request_fixture,
                  "poison_request_without_a_leader_is_refused_by_its_gate")
{
    start_system();
    nodes.clear();
    run_until(
        loop, [] { return false; }, 2s);
    send_with_parts("g1", "f1:200,bad:100,o1:500");
    for (std::size_t crashes = 0; crashes < 3; ++crashes) {
        fake_upstream& engine = next_engine(crashes);
        engine.crash();
        run_until(
            loop, [] { return false; }, 20ms);
        engine.restart();
        if (crashes == 1) {
            REQUIRE(wait([&] { return callers[0]->ended(); }));
            send_with_parts("g2", "f1:200,bad:100,o2:500");
        }
    }
    REQUIRE(wait([&] { return callers[1]->ended(); }));
    check_refused("g3", "f1:200,bad:100,o3:500", 20.0);
}

// Guards against a quarantine of sound requests that operators can neither see
// nor end.
TEST_CASE_FIXTURE(poison_request_fixture,
                  "quarantine_is_listed_and_lifted_on_any_replica")
{
    start_system();
    crash_three_times("g1", "f1:200,bad:100,o1:500");
    const auto serve = [&](std::size_t node) {
        return net::http1_server::start(
                   loop, {.listen_address = {"127.0.0.1", 0}},
                   [&, node](const net::http1_request& request,
                             const net::http1_responder_ptr& responder) {
                       if (!platform::handle_quarantine_request(
                               *nodes[node], request, responder)) {
                           responder->respond(404, {}, "other");
                       }
                   })
            .value();
    };
    const auto first = serve(0);
    const auto second = serve(1);
    const auto operator_call = [&](const auto& server, const char* method,
                                   const char* target) {
        auto out =
            call(server->bound_address(), method, target, {{"Host", "c"}});
        REQUIRE(wait([&] { return out->ended(); }));
        return out;
    };
    const auto listed = operator_call(first, "GET", "/quarantines");
    const json entry = json::parse(listed->body).at("quarantines").at(0);
    CHECK(entry.at("service") == "gen");
    CHECK(entry.at("parts") == json({"bad", "f1"}));
    CHECK(entry.at("crashes") == 3);
    CHECK(operator_call(first, "DELETE", "/quarantines/gen/f1")->status() ==
          404);
    CHECK(operator_call(first, "DELETE", "/quarantines")->status() == 404);
    CHECK(operator_call(first, "GET", "/metrics")->body == "other");
    CHECK(
        operator_call(second, "DELETE", "/quarantines/gen/f1,bad")->status() ==
        200);
    run_until(
        loop, [] { return false; }, 100ms);
    CHECK(json::parse(operator_call(first, "GET", "/quarantines")->body)
              .at("quarantines")
              .empty());
    const std::size_t before = received();
    send_with_parts("g2", "f1:200,bad:100,o2:500");
    CHECK(wait([&] { return received() == before + 1; }));
}

namespace {

/// Requests to plain services, which carry no parts of a prompt.
struct poison_call_fixture : relay_fixture
{
    fake_upstream service2{loop, "s2"};
    int announced = 1;
    int attempts = 0;
    std::vector<std::unique_ptr<caller>> callers;

    caller& send(const char* target, const char* body)
    {
        callers.push_back(
            call(gate->bound_address(), "POST", target,
                 {{"Host", "h.example"},
                  {"X-Attempt-Id", fmt::format("a{}", ++attempts)},
                  {"X-Deadline-Ms", "2000"},
                  {"Authorization", "Bearer k1"}},
                 body));
        return *callers.back();
    }
    [[nodiscard]] std::size_t received() const
    {
        return service.received.size() + service2.received.size();
    }
    void wait_for_received(std::size_t count)
    {
        REQUIRE(wait([&] { return received() == count; }));
    }
    void settle()
    {
        run_until(
            loop, [] { return false; }, 100ms);
    }
    /// Starts the service again under its address, so much later that its next
    /// crash is another failure.
    void restart(fake_upstream& crashed, const char* name = "book")
    {
        crashed.restart();
        ++announced;
        announce(crashed, name, "d1", announced, "ready", announced * 1000);
        run_until(
            loop, [] { return false; }, 600ms);
    }
    /// Sends requests that run at the service together, and crashes it.
    void crash_under(std::initializer_list<const char*> bodies)
    {
        const std::size_t before = received();
        const std::size_t first = callers.size();
        for (const char* body : bodies) {
            send("/book/x", body);
        }
        wait_for_received(before + bodies.size());
        service.crash();
        REQUIRE(wait([&] {
            return std::all_of(
                callers.begin() + static_cast<std::ptrdiff_t>(first),
                callers.end(), [](const auto& each) { return each->ended(); });
        }));
        // The service has begun to run them.
        CHECK(callers.back()->status() == 502);
        restart(service);
    }
    void check_refused(const char* body, double least_delay_s = 500.0)
    {
        const std::size_t before = received();
        const caller& request = send("/book/x", body);
        REQUIRE(wait([&] { return request.ended(); }));
        CHECK(request.status() == 503);
        const auto delay = request.head->headers.find("Retry-After");
        REQUIRE(delay);
        CHECK(std::stod(std::string(*delay)) > least_delay_s);
        CHECK(received() == before);
    }
    void check_answered(const char* body)
    {
        const std::size_t before = service.received.size();
        const caller& request = send("/book/x", body);
        REQUIRE(wait([&] { return service.received.size() == before + 1; }));
        service.answer(before, "ok");
        REQUIRE(wait([&] { return request.ended(); }));
        CHECK(request.status() == 200);
    }
};

} // namespace

// Guards against a call that crashes one service process after the other.
TEST_CASE_FIXTURE(poison_call_fixture,
                  "poison_call_is_refused_after_three_crashes")
{
    start_system();
    for (int crashes = 0; crashes < 3; ++crashes) {
        crash_under({"bad"});
    }
    check_refused("bad");
    check_answered("good");
}

// Guards against refusals of sound calls that ran beside the poison one.
TEST_CASE_FIXTURE(poison_call_fixture,
                  "calls_beside_a_poison_call_are_not_refused")
{
    start_system();
    crash_under({"bad", "good1"});
    crash_under({"good1", "bad", "good2"});
    check_answered("good1");
    crash_under({"good1", "good2", "bad"});
    check_refused("bad");
    check_answered("good1");
    check_answered("good2");
}

// Guards against another series of crashes after a change of the leader or at a
// gate that has just started.
TEST_CASE_FIXTURE(poison_call_fixture,
                  "quarantine_of_a_call_outlives_the_leader_and_the_gate")
{
    start_system();
    for (int crashes = 0; crashes < 2; ++crashes) {
        crash_under({"bad"});
    }
    const auto leader =
        std::find_if(nodes.begin(), nodes.end(),
                     [](const auto& node) { return node->is_leader(); });
    const auto api = apis.begin() + (leader - nodes.begin());
    apis.erase(api);
    leader->reset();
    nodes.erase(leader);
    wait_for_leader();
    settle();
    crash_under({"bad"});
    gate.reset();
    start_gate();
    REQUIRE(run_until(loop, [&] { return gate->ready(); }));
    settle();
    check_refused("bad");
}

// Guards against an idempotent call whose repeats crash all processes of a
// service.
TEST_CASE_FIXTURE(poison_call_fixture,
                  "idempotent_call_that_crashed_two_services_is_not_repeated")
{
    fake_upstream service3{loop, "s3"};
    start_system();
    announce(service2, "book", "d1");
    announce(service3, "book", "d1");
    settle();
    const caller& request = send("/stock/x", "bad");
    std::vector<fake_upstream*> services{&service, &service2, &service3};
    const auto running_at = [&] {
        return std::find_if(services.begin(), services.end(),
                            [](const auto* each) {
                                return each->server && !each->received.empty();
                            });
    };
    for (int crashes = 0; crashes < 2; ++crashes) {
        REQUIRE(wait([&] { return running_at() != services.end(); }));
        (*running_at())->crash();
    }
    REQUIRE(wait([&] { return request.ended(); }));
    CHECK(request.status() == 502);
    settle();
    CHECK(std::count_if(services.begin(), services.end(), [](const auto* each) {
              return each->received.empty();
          }) == 1);
}

// Guards against calls that are refused because the service resets connections,
// for example because it has too many.
TEST_CASE_FIXTURE(poison_call_fixture,
                  "calls_whose_connections_a_live_service_resets_are_sound")
{
    start_system();
    for (std::size_t sent = 0; sent < 4; ++sent) {
        const caller& request = send("/book/x", "good");
        REQUIRE(wait([&] { return service.received.size() == sent + 1; }));
        service.received.back().responder->abort();
        REQUIRE(wait([&] { return request.ended(); }));
        CHECK(request.status() == 502);
        settle();
    }
    check_answered("good");
}

// Guards against another series of crashes when the route of a poison call
// moves to another service.
TEST_CASE_FIXTURE(poison_call_fixture,
                  "poison_call_is_refused_by_another_service_after_one_crash")
{
    start_system();
    for (int crashes = 0; crashes < 3; ++crashes) {
        crash_under({"bad"});
    }
    std::string moved = configuration(6);
    const std::string route = R"("service":"book","maxAttempts":1)";
    moved.replace(moved.find(route), route.size(),
                  R"("service":"book2","maxAttempts":1)");
    const std::string declared = R"({"name":"book"})";
    moved.replace(moved.find(declared), declared.size(),
                  R"({"name":"book"},{"name":"book2"})");
    REQUIRE(control_call(1, "POST", "/Config.Replace", moved)->status() == 200);
    announce(service2, "book2", "d1");
    settle();
    const std::size_t before = service2.received.size();
    const caller& request = send("/book/x", "bad");
    REQUIRE(wait([&] { return service2.received.size() == before + 1; }));
    service2.crash();
    REQUIRE(wait([&] { return request.ended(); }));
    CHECK(request.status() == 502);
    restart(service2, "book2");
    check_refused("bad");
}

// Guards against processes lost to many calls while no leader counts them.
TEST_CASE_FIXTURE(poison_call_fixture,
                  "poison_call_without_a_leader_is_refused_by_its_gate")
{
    fake_upstream service3{loop, "s3"};
    fake_upstream service4{loop, "s4"};
    const std::vector<fake_upstream*> services{&service, &service2, &service3,
                                               &service4};
    start_system();
    announce(service2, "book", "d1");
    announce(service3, "book", "d1");
    announce(service4, "book", "d1");
    settle();
    nodes.clear();
    apis.clear();
    run_until(
        loop, [] { return false; }, 2s);
    const auto running_at = [&] {
        return std::find_if(services.begin(), services.end(),
                            [](const auto* each) {
                                return each->server && !each->received.empty();
                            });
    };
    for (int crashes = 0; crashes < 3; ++crashes) {
        const caller& request = send("/book/x", "bad");
        REQUIRE(wait([&] { return running_at() != services.end(); }));
        (*running_at())->crash();
        REQUIRE(wait([&] { return request.ended(); }));
        CHECK(request.status() == 502);
        run_until(
            loop, [] { return false; }, 600ms);
    }
    check_refused("bad", 20.0);
    CHECK(std::count_if(services.begin(), services.end(), [](const auto* each) {
              return each->received.empty();
          }) == 1);
}
