#ifndef BAMBOOGATE_ROUTING_RETRY_BUDGET_HPP
#define BAMBOOGATE_ROUTING_RETRY_BUDGET_HPP

#include <map>
#include <string>
#include <string_view>

namespace bamboogate::routing {

/// Limits retries to a share of first tries, per service class, so that
/// retries cannot multiply a flood. Pure. Not thread safe.
class retry_budget
{
public:
    struct options
    {
        double ratio = 0.1; ///< retries allowed per first try
        /// Credit that a class starts with and can save up; it allows retries
        /// at low load, where a share of few first tries is less than one.
        double max_credit = 10.0;
    };

    retry_budget() : retry_budget(options{}) {}
    explicit retry_budget(options settings) : settings_(settings) {}

    /// @brief Replaces the ratio, as the preset in force says.
    void set_ratio(double ratio) noexcept { settings_.ratio = ratio; }

    /// @brief Notes a first try.
    void record_request(std::string_view service_class);

    /// @brief Takes the credit for one retry.
    /// @return false when the class has none left; do not retry
    [[nodiscard]] bool try_consume(std::string_view service_class);

private:
    double& credit_of(std::string_view service_class);

    options settings_;
    std::map<std::string, double, std::less<>> credit_;
};

} // namespace bamboogate::routing

#endif
