#ifndef BAMBOOGATE_TESTS_PLATFORM_SOAK_OPERATORS_HPP
#define BAMBOOGATE_TESTS_PLATFORM_SOAK_OPERATORS_HPP

#include <bamboogate/net/http1_client.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "violations.hpp"

namespace bamboogate::tests {

/// Operators that change the configuration concurrently, and a reader. Checks
/// that acknowledged changes are never lost and that no read returns an older
/// version. Not thread safe.
class operators
{
public:
    struct options
    {
        std::vector<net::address> control_addresses;
        /// The document of a version.
        std::function<std::string(unsigned)> document;
        /// A valid change that is not acknowledged in this time is a violation.
        duration acknowledgement_limit = duration::max();
        std::function<void(unsigned version)> on_acknowledged;
    };

    operators(net::event_loop& loop, violations& problems, unsigned seed,
              options settings);
    ~operators();
    operators(const operators&) = delete;
    operators& operator=(const operators&) = delete;

    /// @brief Sends the next version. Versions increase in uneven steps, and
    ///     occasionally an invalid document is sent.
    void change();

    /// @brief Reads the configuration from a random replica.
    void read();

    /// @brief Repeats changes without a definite response within a second.
    void step();

    [[nodiscard]] unsigned acknowledged() const { return acknowledged_; }
    /// @brief Newest version that was read.
    [[nodiscard]] unsigned newest_read() const { return newest_read_; }
    [[nodiscard]] unsigned reads() const { return reads_; }
    [[nodiscard]] std::size_t open_changes() const;

private:
    struct call;

    void send(const std::shared_ptr<call>& request);
    void check_read(const call& request);
    void on_acknowledged(const call& request);

    net::event_loop& loop_;
    violations& violations_;
    std::mt19937 random_;
    options settings_;
    net::http1_client client_;
    std::vector<std::shared_ptr<call>> calls_;
    unsigned version_ = 0;
    unsigned acknowledged_ = 0;
    unsigned newest_read_ = 0;
    unsigned reads_ = 0;
};

} // namespace bamboogate::tests

#endif
