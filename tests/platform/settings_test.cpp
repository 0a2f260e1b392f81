#include <doctest/doctest.h>

#include "settings.hpp"

using namespace bamboogate;
using namespace bamboogate::platform;
using namespace std::chrono_literals;

namespace {

constexpr const char* sample_settings = R"(
node = "gate-one"
zone = "z1"
ip = "127.0.3.4"
internalPorts = [6100,6120]
seeds = ["127.0.3.7:5011","127.0.3.8:5011"]
bootstrap = true
heartbeatMs = 1500
unknown = 5
[listen]
front = "127.0.3.4:5101"
ready = "127.0.3.4:5102"
[faultTolerance]
machines = 2
[bounds]
graceS = 8
retryBudgetRatio = 0.5
retryWindowS = 12
budgetSlack = 90
exposureShare = 0.2
exposureSlack = 30
[limits]
memoryMb = 96
maxFds = 1000
unreadAnswerMs = 20000
)";

} // namespace

// Guards against settings that are dropped or read in the wrong unit.
TEST_CASE("settings_of_a_machine_are_parsed_into_typed_values")
{
    const auto read = read_settings(sample_settings);
    REQUIRE(read);
    const auto& node = read.value();
    CHECK(node.node == node_id("gate-one"));
    CHECK(node.link_address() == net::address{"127.0.3.4", 6100});
    REQUIRE(node.seed_links().size() == 2);
    CHECK(node.seed_links()[1] == net::address{"127.0.3.8", 6100});
    CHECK(node.first_start);
    CHECK(node.caller_address == net::address{"127.0.3.4", 5101});
    CHECK_FALSE(node.control_address);
    CHECK(node.tolerated_machines == 2);
    CHECK(node.stop_grace == 8s);
    CHECK(node.heartbeat_interval == 1500ms);
    CHECK(node.retry_ratio == doctest::Approx(0.5));
    CHECK(node.retry_window == 12s);
    CHECK(node.retry_slack == doctest::Approx(90));
    CHECK(node.exposure_share == doctest::Approx(0.2));
    CHECK(node.exposure_slack == doctest::Approx(30));
    CHECK(node.limits.memory_bytes == 96u << 20);
    CHECK(node.limits.descriptors == 800);
    CHECK(node.answer_bytes() == 24u << 20);
    CHECK(node.unread_limit == 20s);
    CHECK(node.stream_buffer_bytes == 256u << 10);
    const auto limits = relay::gate_client_limits(node.limits);
    CHECK(limits.request_bytes == 32u << 20);
    CHECK(limits.connections == 350);
}

// Guards against limits on clients of a vm whose settings name none.
TEST_CASE("settings_without_limits_leave_clients_unlimited")
{
    const std::string text = sample_settings;
    const auto read = read_settings(text.substr(0, text.find("[limits]")));
    REQUIRE(read);
    net::http1_server::options server;
    const auto unlimited = server.max_connections;
    apply(relay::gate_client_limits(read.value().limits), server);
    CHECK(server.max_connections == unlimited);
    CHECK(server.memory.total_bytes == unlimited);
}

// Guards against a process that starts with incomplete settings.
TEST_CASE("settings_error_names_the_missing_required_field")
{
    const std::string complete = sample_settings;
    for (const char* field : {"node", "zone", "ip", "internalPorts"}) {
        CAPTURE(field);
        std::string text = complete;
        const auto at = text.find(field);
        text[at] = '_';
        const auto read = read_settings(text);
        REQUIRE_FALSE(read.has_value());
        CHECK(read.error().detail.find(field) != std::string::npos);
    }
    CHECK_FALSE(read_settings("node = ").has_value());
}
