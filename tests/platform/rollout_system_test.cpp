#include "platform/support/relay_fixture.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;

namespace {

/// Two versions of a plain service that answer at once, under a steady load of
/// two routes, while an operator moves the service to the second version.
struct rollout_fixture : relay_fixture
{
    fake_upstream old_one{loop, "old"};
    fake_upstream new_one{loop, "new"};
    std::size_t answered_old = 0;
    std::size_t answered_new = 0;
    std::size_t failures_new = 0;
    unsigned fail_every = 0; ///< of the new version's answers; 0: none
    std::vector<std::unique_ptr<caller>> callers;
    int sent = 0;

    void announce_version(const fake_upstream& upstream, const char* version)
    {
        const auto reply = control_call(
            0, "POST", "/Instances.Heartbeat/" + upstream.id,
            fmt::format(R"({{"service":"book","address":"{}","zone":"d1",)"
                        R"("slots":8,"state":"ready","coldLeftMs":0,)"
                        R"("seqNo":1,"born":1000,"version":"{}"}})",
                        upstream.server->bound_address().text(), version));
        CHECK(reply->status() == 200);
    }
    void start()
    {
        wait_for_leader();
        REQUIRE(control_call(1, "POST", "/Config.Replace", configuration(5))
                    ->status() == 200);
        REQUIRE(run_until(loop, [&] { return gate->ready(); }));
        announce_version(old_one, "v1");
        run_until(
            loop, [] { return false; }, 50ms);
    }
    void begin(const char* seconds)
    {
        REQUIRE(control_call(1, "POST", "/Rollouts.Begin",
                             fmt::format(R"({{"service":"book",)"
                                         R"("target":"v2","durationS":{}}})",
                                         seconds))
                    ->status() == 200);
        announce_version(new_one, "v2");
    }
    [[nodiscard]] std::string state(std::size_t node = 2)
    {
        const auto reply = control_call(node, "GET", "/Rollouts.Read/book");
        CHECK(reply->status() == 200);
        const auto document = json::parse(reply->body);
        CHECK(document.at("target") == "v2");
        return document.at("state").get<std::string>();
    }
    void answer_all()
    {
        for (; answered_old < old_one.received.size(); ++answered_old) {
            old_one.answer(answered_old, "old");
        }
        for (; answered_new < new_one.received.size(); ++answered_new) {
            const bool fails = fail_every > 0 && answered_new % fail_every == 0;
            failures_new += fails ? 1 : 0;
            new_one.answer(answered_new, "new", fails ? 500 : 200);
        }
    }
    /// Sends a request on each route every few milliseconds.
    /// @return false if the condition is not met in time
    bool load_until(const std::function<bool()>& condition, duration limit)
    {
        const time_point end = loop.now() + limit;
        time_point next_state = loop.now();
        while (loop.now() < end) {
            callers.push_back(
                send_request("/stock/x", fmt::format("a{}", ++sent).c_str()));
            callers.push_back(
                send_request("/book/x", fmt::format("a{}", ++sent).c_str()));
            run_until(
                loop,
                [&] {
                    answer_all();
                    return false;
                },
                8ms);
            std::erase_if(callers,
                          [](const auto& each) { return each->ended(); });
            if (loop.now() >= next_state) {
                next_state = loop.now() + 100ms;
                if (condition()) {
                    return true;
                }
            }
        }
        return false;
    }
};

} // namespace

// Guards against a new version that callers meet beyond the exposure limit, and
// against one that gets requests after its rollback.
TEST_CASE_FIXTURE(rollout_fixture,
                  "rollout_of_a_faulty_version_is_rolled_back_within_its_limit")
{
    start();
    fail_every = 2;
    begin("60");
    CHECK(state() == "in_progress");
    CHECK(load_until([&] { return state() == "rolled_back"; }, 50s));
    // The gates are told at once; what is under way ends.
    load_until([] { return false; }, 500ms);
    const std::size_t exposed = new_one.received.size();
    CHECK(exposed > 0);
    CHECK(static_cast<double>(exposed) <= 0.1 * sent + 50);
    CHECK(failures_new <= 50);
    load_until([] { return false; }, 1s);
    CHECK(new_one.received.size() == exposed);
    CHECK(state(0) == "rolled_back");
}

// Guards against a sound version that is never completed, and against work that
// still reaches the old version when its upstreams are about to stop.
TEST_CASE_FIXTURE(rollout_fixture,
                  "rollout_of_a_sound_version_completes_by_its_deadline")
{
    start();
    begin("6");
    CHECK(load_until([&] { return state() == "completed"; }, 7s));
    load_until([] { return false; }, 300ms);
    const std::size_t of_old = old_one.received.size();
    load_until([] { return false; }, 500ms);
    CHECK(old_one.received.size() == of_old);
    CHECK(new_one.received.size() > 0);
    CHECK(state(1) == "completed");
}

// Guards against an end state that a restart of all control processes forgets.
TEST_CASE_FIXTURE(rollout_fixture, "rollout_that_ended_outlives_a_restart")
{
    start();
    fail_every = 1;
    begin("60");
    REQUIRE(load_until([&] { return state() == "rolled_back"; }, 50s));
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        apis[i].reset();
        nodes[i].reset();
    }
    nodes.clear();
    apis.clear();
    for (std::size_t i = 0; i < seeds.size(); ++i) {
        add_node(i, false);
    }
    wait_for_leader();
    REQUIRE(run_until(
        loop,
        [&] {
            return control_call(0, "GET", "/Rollouts.Read/book")->status() ==
                   200;
        },
        5s));
    CHECK(state() == "rolled_back");
    const std::size_t before = new_one.received.size();
    load_until([] { return false; }, 1s);
    CHECK(new_one.received.size() == before);
}
