#ifndef BAMBOOGATE_ROUTING_RETRY_BUDGET_HPP
#define BAMBOOGATE_ROUTING_RETRY_BUDGET_HPP

#include <map>
#include <string>
#include <string_view>

namespace bamboogate::routing {

/// Limits retries to a fraction of the first attempts, per service class, so
/// that retries cannot amplify an overload. Pure. Not thread safe.
class retry_budget
{
public:
    struct options
    {
        double ratio = 0.1; ///< retries allowed per first attempt
        /// Initial and maximum credit of a class. Allows retries at low load,
        /// where the fraction of few first attempts is less than one.
        double max_credit = 10.0;
    };

    retry_budget() : retry_budget(options{}) {}
    explicit retry_budget(options settings) : settings_(settings) {}

    /// @brief Sets the ratio, a value of the preset in force.
    void set_ratio(double ratio) noexcept { settings_.ratio = ratio; }

    /// @brief Records a first attempt, which adds credit.
    void record_request(std::string_view service_class);

    /// @brief Consumes the credit for one retry.
    /// @return false when the credit is used up; do not retry
    [[nodiscard]] bool try_consume(std::string_view service_class);

private:
    double& credit_of(std::string_view service_class);

    options settings_;
    std::map<std::string, double, std::less<>> credit_;
};

} // namespace bamboogate::routing

#endif
