#include <fmt/format.h>

#include <sstream>
#include <string>

#include "e2e/support/deployment.hpp"
#include "e2e/support/process_usage.hpp"

// What gates and control replicas spend while no request runs, for several
// sizes, so that docs/CAPACITY.md can use the slopes. One `name value unit` a
// line.

using namespace bamboogate;
using namespace bamboogate::tests;
using namespace std::chrono_literals;

namespace {

struct gate_values
{
    double sent = 0;
    double received = 0;
};

gate_values link_bytes(deployment& system, unsigned gate)
{
    const auto got = system.fetch(
        {.url = system.gate_url(gate) + "/metrics", .total_timeout = 5s});
    gate_values out;
    std::istringstream lines(got.body);
    for (std::string line; std::getline(lines, line);) {
        const auto space = line.rfind(' ');
        if (line.starts_with("bamboogate_link_bytes_sent_total")) {
            out.sent = std::stod(line.substr(space));
        } else if (line.starts_with("bamboogate_link_bytes_received_total")) {
            out.received = std::stod(line.substr(space));
        }
    }
    return out;
}

bool measure(unsigned gates, unsigned engines)
{
    const std::string name = fmt::format("idle_{}g_{}e", gates, engines);
    deployment system(
        {.replicas = 3, .gates = gates, .engines = engines, .services = 0});
    if (!system.start()) {
        fmt::print(stderr, "{}\n", system.problem);
        return false;
    }
    system.run_for(3s);
    constexpr duration window = 10s;
    const auto bytes_before = link_bytes(system, 0);
    const double gate_before = cpu_seconds(system.gates[0].id());
    const double replica_before = cpu_seconds(system.replicas[0].id());
    system.run_for(window);
    const auto bytes = link_bytes(system, 0);
    const double seconds = to_seconds(window);
    const auto print = [&](const char* what, double value, const char* unit) {
        fmt::print("{}_{} {:.4g} {}\n", name, what, value, unit);
    };
    print("gate_link_sent", (bytes.sent - bytes_before.sent) / seconds, "B/s");
    print("gate_link_received",
          (bytes.received - bytes_before.received) / seconds, "B/s");
    print("gate_cpu",
          (cpu_seconds(system.gates[0].id()) - gate_before) / seconds * 100,
          "percent");
    print("gate_memory", resident_kib(system.gates[0].id()) / 1024, "MiB");
    print("replica_cpu",
          (cpu_seconds(system.replicas[0].id()) - replica_before) / seconds *
              100,
          "percent");
    print("replica_memory", resident_kib(system.replicas[0].id()) / 1024,
          "MiB");
    return true;
}

} // namespace

int main()
{
    return measure(3, 2) && measure(7, 2) && measure(7, 9) ? 0 : 1;
}
