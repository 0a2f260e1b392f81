#include <bamboogate/core/time.hpp>

#include <algorithm>
#include <cmath>

#include "fleet_model.hpp"

namespace bamboogate::model {

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0.0;
    }
    const auto rank = static_cast<std::size_t>(
        std::ceil(share * static_cast<double>(values.size())));
    const std::size_t index = std::clamp<std::size_t>(rank, 1, values.size());
    const auto place = values.begin() + static_cast<std::ptrdiff_t>(index - 1);
    std::nth_element(values.begin(), place, values.end());
    return *place;
}

double jain_index(const std::vector<double>& values)
{
    double sum = 0.0;
    double squares = 0.0;
    for (const double value : values) {
        sum += value;
        squares += value * value;
    }
    return squares == 0.0
               ? 1.0
               : sum * sum / (static_cast<double>(values.size()) * squares);
}

scenario baseline_scenario(fleet_profile profile)
{
    const bool andes = profile == fleet_profile::andes;
    scenario baseline;
    baseline.engines = andes ? 35 : 20;
    const std::string urgent = andes ? "slope-stability" : "manifest";
    const std::string lower = andes ? "condition-summary" : "route-brief";
    baseline.preset.id = preset_id("ordinary");
    baseline.preset.ranks = {{.name = "urgent", .priority = 0},
                             {.name = "normal",
                              .priority = 1,
                              .floor_share = andes ? 0.3 : 0.2,
                              .preemptible = true}};
    constexpr int accounts = 10;
    constexpr int large = 2;
    for (int i = 0; i < accounts; ++i) {
        const bool small = i >= large;
        const std::string account =
            (small ? "small-" : "large-") + std::to_string(i);
        // Two large accounts offer half of the load, eight small ones the rest.
        const double part = small ? 0.5 / (accounts - large) : 0.5 / large;
        baseline.streams.push_back({.account = account,
                                    .rank = "urgent",
                                    .service_class = urgent,
                                    .load = 0.20 * part,
                                    .peak_load = 0.20 * part,
                                    .mean_tokens = andes ? 1200u : 200u,
                                    .small = small});
        baseline.streams.push_back({.account = account,
                                    .rank = "normal",
                                    .service_class = lower,
                                    .load = 0.40 * part,
                                    .peak_load = 0.40 * part,
                                    .mean_tokens = andes ? 300u : 400u,
                                    .small = small});
    }
    return baseline;
}

void set_peak_load(scenario& config, const std::string& rank, double load)
{
    double sum = 0.0;
    for (const arrival_stream& stream : config.streams) {
        sum += stream.rank == rank ? stream.load : 0.0;
    }
    for (arrival_stream& stream : config.streams) {
        if (stream.rank == rank && sum > 0.0) {
            stream.peak_load = stream.load / sum * load;
        }
    }
}

scenario one_large_account(fleet_profile profile, double factor)
{
    scenario config = baseline_scenario(profile);
    for (arrival_stream& stream : config.streams) {
        const bool lower = stream.rank == "normal";
        const double each = lower ? 0.055 : 0.0125;
        stream.load = stream.peak_load =
            stream.small
                ? each
                : (stream.account == "large-0" && lower ? factor * each : 0.0);
    }
    return config;
}

double small_p95(const outcome& result)
{
    double worst = 0.0;
    for (const auto& [name, account] : result.accounts) {
        if (account.small) {
            worst = std::max(worst, quantile(account.waits, 0.95));
        }
    }
    return worst;
}

double worst_small_ratio(const outcome& with, const outcome& without)
{
    double worst = 0.0;
    for (const auto& [name, account] : with.accounts) {
        const auto alone = without.accounts.find(name);
        if (account.small && alone != without.accounts.end()) {
            worst = std::max(
                worst, quantile(account.waits, 0.95) /
                           std::max(quantile(alone->second.waits, 0.95), 1e-9));
        }
    }
    return worst;
}

} // namespace bamboogate::model
