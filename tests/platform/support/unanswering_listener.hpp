#ifndef BAMBOOGATE_TESTS_PLATFORM_SUPPORT_UNANSWERING_LISTENER_HPP
#define BAMBOOGATE_TESTS_PLATFORM_SUPPORT_UNANSWERING_LISTENER_HPP

#include <bamboogate/net/address.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <vector>

namespace bamboogate::tests {

/// Leaves connections to an address unanswered, like a host without power: its
/// queue is full, so that the system drops further requests to connect.
class unanswering_listener
{
public:
    /// @pre nothing listens on the address
    explicit unanswering_listener(const net::address& address)
        : descriptors_{net::listen_on(address).value()}
    {
        constexpr int more_than_the_queue = 4;
        ::listen(descriptors_.front(), 0);
        for (int i = 0; i < more_than_the_queue; ++i) {
            descriptors_.push_back(net::start_connect(address).value());
        }
    }
    ~unanswering_listener()
    {
        for (const int each : descriptors_) {
            ::close(each);
        }
    }
    unanswering_listener(const unanswering_listener&) = delete;
    unanswering_listener& operator=(const unanswering_listener&) = delete;

private:
    std::vector<int> descriptors_;
};

} // namespace bamboogate::tests

#endif
