#include <bamboogate/net/address.hpp>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstring>

namespace bamboogate::net {

namespace {

struct socket_address
{
    sockaddr_storage storage{};
    socklen_t length = 0;

    [[nodiscard]] const sockaddr* pointer() const
    {
        return reinterpret_cast<const sockaddr*>(&storage);
    }
};

result<socket_address> to_socket_address(const address& endpoint)
{
    // The conversions stop at a null character.
    if (endpoint.host.find('\0') != std::string::npos) {
        return fail(errc::invalid_argument, "host with a null character");
    }
    socket_address out;
    auto* v4 = reinterpret_cast<sockaddr_in*>(&out.storage);
    if (inet_pton(AF_INET, endpoint.host.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(endpoint.port);
        out.length = sizeof(sockaddr_in);
        return out;
    }
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&out.storage);
    if (inet_pton(AF_INET6, endpoint.host.c_str(), &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(endpoint.port);
        out.length = sizeof(sockaddr_in6);
        return out;
    }
    return fail(errc::invalid_argument,
                fmt::format("'{}' is not an IP address", endpoint.host));
}

error system_error(errc code, std::string_view operation,
                   const address& endpoint)
{
    return {code, fmt::format("{} {}: {}", operation, endpoint.text(),
                              std::strerror(errno))};
}

} // namespace

std::string address::text() const
{
    if (host.find(':') != std::string::npos) {
        return fmt::format("[{}]:{}", host, port);
    }
    return fmt::format("{}:{}", host, port);
}

result<address> parse_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return fail(errc::invalid_argument,
                    fmt::format("'{}' has no port", text));
    }
    std::string_view host = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    address out{std::string(host), 0};
    const auto [end, problem] =
        std::from_chars(port.data(), port.data() + port.size(), out.port);
    if (problem != std::errc() || end != port.data() + port.size()) {
        return fail(errc::invalid_argument,
                    fmt::format("'{}' is not a port number", port));
    }
    BOOST_OUTCOME_TRY(to_socket_address(out));
    return out;
}

result<int> listen_on(const address& endpoint)
{
    BOOST_OUTCOME_TRY(target, to_socket_address(endpoint));
    const int fd = socket(target.storage.ss_family,
                          SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return system_error(errc::connection_failed, "socket", endpoint);
    }
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(fd, target.pointer(), target.length) != 0 ||
        listen(fd, SOMAXCONN) != 0) {
        const error problem =
            system_error(errc::connection_failed, "listen", endpoint);
        close(fd);
        return problem;
    }
    return fd;
}

result<int> start_connect(const address& endpoint)
{
    BOOST_OUTCOME_TRY(target, to_socket_address(endpoint));
    const int fd = socket(target.storage.ss_family,
                          SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return system_error(errc::connection_failed, "socket", endpoint);
    }
    set_no_delay(fd);
    if (connect(fd, target.pointer(), target.length) != 0 &&
        errno != EINPROGRESS) {
        const error problem =
            system_error(errc::connection_failed, "connect", endpoint);
        close(fd);
        return problem;
    }
    return fd;
}

address local_address(int descriptor)
{
    socket_address own;
    own.length = sizeof own.storage;
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&own.storage),
                &own.length);
    char text[INET6_ADDRSTRLEN] = {};
    if (own.storage.ss_family == AF_INET6) {
        const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&own.storage);
        inet_ntop(AF_INET6, &v6->sin6_addr, text, sizeof text);
        return {text, ntohs(v6->sin6_port)};
    }
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(&own.storage);
    inet_ntop(AF_INET, &v4->sin_addr, text, sizeof text);
    return {text, ntohs(v4->sin_port)};
}

void set_no_delay(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace bamboogate::net
