#ifndef BAMBOOGATE_TESTS_PLATFORM_SOAK_VERSION_CHECKS_HPP
#define BAMBOOGATE_TESTS_PLATFORM_SOAK_VERSION_CHECKS_HPP

#include <bamboogate/net/http1_client.hpp>

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "violations.hpp"

namespace bamboogate::tests {

/// @brief The key that a configuration has from its version on.
[[nodiscard]] std::string key_of_version(unsigned version);

/// Checks that an acknowledged version is in force at every gate in time: its
/// key is accepted. For runs in which all processes stay up. Not thread safe.
class version_checks
{
public:
    struct options
    {
        std::vector<net::address> gates;
        std::string host;
        std::string path; ///< of a route that needs a key
        duration limit = std::chrono::milliseconds(2500); ///< `configApplyMs`
    };

    version_checks(net::event_loop& loop, violations& problems,
                   options settings);
    ~version_checks();
    version_checks(const version_checks&) = delete;
    version_checks& operator=(const version_checks&) = delete;

    /// @brief Notes that a version was acknowledged now.
    void acknowledged(unsigned version);

    /// @brief Sends the requests that are due.
    void step();

    /// @return requests with the key of a version that were not refused for it
    [[nodiscard]] unsigned confirmed() const { return confirmed_; }

private:
    struct check;

    net::event_loop& loop_;
    violations& violations_;
    options settings_;
    net::http1_client client_;
    std::deque<std::pair<time_point, unsigned>> due_;
    std::vector<std::unique_ptr<check>> checks_;
    unsigned confirmed_ = 0;
};

} // namespace bamboogate::tests

#endif
