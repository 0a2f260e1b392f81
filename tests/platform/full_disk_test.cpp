// Control replicas as processes whose disks refuse writes for a while.
#include <bamboogate/core/json.hpp>
#include <bamboogate/net/http1_client.hpp>

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>

#include "platform/soak/fleet.hpp"
#include "support/loop_runner.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;
using namespace std::chrono_literals;

namespace {

constexpr duration acknowledgement_time = 4s; ///< `ackMs` of the bounds
constexpr duration catch_up_time = 4s;        ///< `catchUpS` of the bounds

/// Five control replicas that tolerate the loss of two.
struct replicas_fixture
{
    net::event_loop loop;
    net::http1_client client{loop, {}};
    violations problems;
    std::filesystem::path folder = std::filesystem::temp_directory_path() /
                                   fmt::format("full-disk-{}", ::getpid());
    std::vector<std::unique_ptr<machine>> replicas;
    unsigned version = 0;

    struct answer
    {
        unsigned status = 0;
        std::string body;
        bool ended = false;
    };

    replicas_fixture()
    {
        std::signal(SIGPIPE, SIG_IGN);
        const auto ip = [](unsigned number) {
            return fmt::format("127.{}.250.{}",
                               64 + static_cast<unsigned>(::getpid()) % 128,
                               number);
        };
        for (unsigned i = 0; i < 5; ++i) {
            replicas.push_back(std::make_unique<machine>(
                machine::options{
                    .name = fmt::format("replica-{}", i),
                    .failure_domain = fmt::format("d{}", i % 3),
                    .ip = ip(i + 1),
                    .seeds = {ip(1), ip(2), ip(3)},
                    .programs =
                        std::filesystem::path(BAMBOOGATE_BINARY_DIR) / "bin",
                    .folder = folder},
                problems));
            replicas.back()->start(true);
        }
    }
    ~replicas_fixture() { std::filesystem::remove_all(folder); }

    answer call(const machine& target, const char* method, const char* path,
                std::string body = {})
    {
        net::address address = target.control_address();
        if (std::string_view(path) == "/metrics") {
            address.port = 9464;
        }
        answer out;
        const auto exchange = client.start(
            address,
            {.method = method,
             .target = path,
             .headers = {{"Host", "control"}},
             .body = std::move(body),
             .fresh_connection = true},
            {.on_head =
                 [&](const net::http1_response_head& head) {
                     out.status = head.status;
                     return true;
                 },
             .on_body = [&](std::string_view part) { out.body += part; },
             .on_complete = [&] { out.ended = true; },
             .on_failure =
                 [&](const net::http1_failure&) { out.ended = true; }});
        run_until(
            loop, [&] { return out.ended; }, 1s);
        return out;
    }

    /// Sends a configuration to one replica after the other until one
    /// acknowledges it, as an operator does.
    bool change()
    {
        ++version;
        const json document{
            {"version", version},
            {"routes",
             {{{"name", "a"},
               {"host", "h.example"},
               {"pathPrefix", fmt::format("/v{}/", version)},
               {"routeType", "idempotent"},
               {"timeoutMs", 1000},
               {"service", "s"},
               {"maxAttempts", 2}}}},
            {"services", {{{"name", "s"}, {"healthPath", "/h"}}}},
            {"limits",
             {{"maxHeaderBytes", 8192},
              {"maxBodyBytes", 1048576},
              {"headerTimeoutMs", 2500},
              {"idleTimeoutMs", 12000}}}};
        const time_point end = loop.now() + acknowledgement_time;
        for (unsigned i = 0; loop.now() < end; ++i) {
            if (call(*replicas[i % replicas.size()], "POST", "/Config.Replace",
                     document.dump())
                    .status == 200) {
                return true;
            }
        }
        return false;
    }
    bool reads_newest(const machine& target)
    {
        const auto read = call(target, "GET", "/Config.Read");
        return read.status == 200 &&
               json::parse(read.body).at("version") == version;
    }
    bool wait_for_storage(const machine& target, bool works)
    {
        const auto line =
            fmt::format("\nbamboogate_control_storage_ok {}", works ? 1 : 0);
        return run_until(
            loop,
            [&] {
                return call(target, "GET", "/metrics").body.find(line) !=
                       std::string::npos;
            },
            catch_up_time);
    }
};

} // namespace

// Guards against control replicas that stay out of the group for good after
// their disks were full for a while: after the third one, no configuration was
// acknowledged or read any more.
TEST_CASE_FIXTURE(replicas_fixture, "disks_full_in_turn_keep_the_configuration")
{
    constexpr duration first_change_limit = 10s;
    REQUIRE(run_until(
        loop, [this] { return change(); }, first_change_limit));
    for (auto& each : replicas) {
        CAPTURE(each->name());
        each->refuse_writes(0);
        CHECK(change());
        // The refusal must have struck before the disk is free again.
        CHECK(wait_for_storage(*each, false));
        CHECK(call(*each, "POST", "/Config.Replace", "{}").status == 400);
        CHECK(call(*each, "GET", "/Config.Read").status == 503);
        each->accept_writes();
        CHECK(wait_for_storage(*each, true));
        CHECK(change());
    }
    for (auto& each : replicas) {
        CAPTURE(each->name());
        CHECK(run_until(
            loop, [&] { return reads_newest(*each); }, catch_up_time));
        each->check(loop.now());
    }
    CHECK(problems.none());
}
