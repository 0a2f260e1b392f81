#include <bamboogate/routing/retry_budget.hpp>

#include <algorithm>

namespace bamboogate::routing {

double& retry_budget::credit_of(std::string_view service_class)
{
    const auto found = credit_.find(service_class);
    if (found != credit_.end()) {
        return found->second;
    }
    return credit_.emplace(service_class, settings_.max_credit).first->second;
}

void retry_budget::record_request(std::string_view service_class)
{
    double& credit = credit_of(service_class);
    credit = std::min(credit + settings_.ratio, settings_.max_credit);
}

bool retry_budget::try_consume(std::string_view service_class)
{
    double& credit = credit_of(service_class);
    // Sums of the ratio miss whole numbers by rounding.
    constexpr double tolerance = 1e-9;
    if (credit + tolerance < 1.0) {
        return false;
    }
    credit -= 1.0;
    return true;
}

} // namespace bamboogate::routing
