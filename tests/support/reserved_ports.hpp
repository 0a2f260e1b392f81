#ifndef BAMBOOGATE_TESTS_SUPPORT_RESERVED_PORTS_HPP
#define BAMBOOGATE_TESTS_SUPPORT_RESERVED_PORTS_HPP

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <vector>

namespace bamboogate::tests {

/// Distinct loopback ports for processes that a test starts. Each port is bound
/// by a socket that does not listen, so that neither port 0 nor an outgoing
/// connection takes it, also while its process is down. A process listens on it
/// with SO_REUSEADDR. Not thread safe.
class reserved_ports
{
public:
    /// @throws std::runtime_error when the system has no port left
    explicit reserved_ports(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            reserve();
        }
    }

    ~reserved_ports()
    {
        for (const int each : sockets_) {
            ::close(each);
        }
    }
    reserved_ports(const reserved_ports&) = delete;
    reserved_ports& operator=(const reserved_ports&) = delete;

    [[nodiscard]] unsigned operator[](std::size_t index) const
    {
        return ports_.at(index);
    }

private:
    void reserve()
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        auto* const pointer = reinterpret_cast<sockaddr*>(&address);
        if (descriptor < 0 ||
            ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on,
                         sizeof on) != 0 ||
            ::bind(descriptor, pointer, length) != 0 ||
            ::getsockname(descriptor, pointer, &length) != 0) {
            throw std::runtime_error("cannot reserve a port");
        }
        sockets_.push_back(descriptor);
        ports_.push_back(ntohs(address.sin_port));
    }

    std::vector<int> sockets_;
    std::vector<unsigned> ports_;
};

} // namespace bamboogate::tests

#endif
