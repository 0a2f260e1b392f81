#include <bamboogate/net/address.hpp>

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <set>
#include <string>
#include <vector>

#include "e2e/support/deployment.hpp"

using namespace bamboogate;
using namespace bamboogate::tests;

namespace {

std::uint16_t port_of(const std::string& url)
{
    return static_cast<std::uint16_t>(
        std::stoul(url.substr(url.rfind(':') + 1)));
}

bool binds_exclusively(std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const int result = ::bind(descriptor, reinterpret_cast<sockaddr*>(&address),
                              sizeof address);
    ::close(descriptor);
    return result == 0;
}

std::set<std::uint16_t> ports_of(const deployment& system)
{
    return {port_of(system.gate_url(0)),    port_of(system.gate_url(1)),
            port_of(system.gate_url(2)),    port_of(system.replica_url(0)),
            port_of(system.replica_url(1)), port_of(system.replica_url(2)),
            port_of(system.engine_url(0)),  port_of(system.service_url(0))};
}

} // namespace

// Guards against a deployment that does not start because another socket, such
// as one of its own proxies, was given the port of a process that has not
// started yet.
TEST_CASE("deployment_ports_not_given_to_other_sockets_before_the_start")
{
    deployment system({});
    const auto ports = ports_of(system);
    REQUIRE(ports.size() == 8);
    for (const auto port : ports) {
        CAPTURE(port);
        CHECK_FALSE(binds_exclusively(port));
    }
    std::vector<int> listeners;
    for (int i = 0; i < 500; ++i) {
        const auto listener = net::listen_on({"127.0.0.1", 0});
        REQUIRE(listener);
        listeners.push_back(listener.value());
        CHECK_FALSE(ports.contains(net::local_address(listener.value()).port));
    }
    for (const int each : listeners) {
        ::close(each);
    }
    // The processes listen on the reserved ports.
    for (const auto port : ports) {
        CAPTURE(port);
        const auto listener = net::listen_on({"127.0.0.1", port});
        REQUIRE(listener);
        ::close(listener.value());
    }
}
