#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include "model/decision_cost.hpp"
#include "model/fleet_model.hpp"

using namespace bamboogate;
using namespace bamboogate::model;
using namespace std::chrono_literals;

namespace {

struct named_policy
{
    std::string name;
    scheduling::admission::options options;
};

scheduling::admission::options first_come_first_served()
{
    return {.ranks = false,
            .floors = false,
            .class_shares = false,
            .fair_accounts = false,
            .correct_estimates = false,
            .preemption = false,
            .headroom = false,
            .early_refusal = false,
            .aging = false,
            .remote_usage = false};
}

std::vector<named_policy> policies()
{
    std::vector<named_policy> list{{"bamboogate", {}},
                                   {"fcfs", first_come_first_served()}};
    auto strict = first_come_first_served();
    strict.ranks = true;
    list.push_back({"strict", strict});
    auto split = first_come_first_served();
    split.static_partitioning = true;
    list.push_back({"split", split});
    return list;
}

void print(const std::string& name, double value, const std::string& unit)
{
    fmt::print("{} {:.4g} {}\n", name, value, unit);
}

scenario with_policy(scenario config, const named_policy& policy,
                     fleet_profile profile)
{
    config.policy = policy.options;
    if (policy.options.static_partitioning) {
        const bool andes = profile == fleet_profile::andes;
        const double lower = config.preset.ranks[1].floor_share;
        config.preset.class_shares = {
            {andes ? "slope-stability" : "manifest", 1.0 - lower},
            {andes ? "condition-summary" : "route-brief", lower}};
    }
    return config;
}

void print_outcome(const std::string& prefix, const scenario& config,
                   const outcome& result)
{
    for (const auto& entry : result.ranks) {
        const std::string& name = entry.first;
        const rank_outcome& rank = entry.second;
        const std::string rank_prefix = fmt::format("{}.{}.", prefix, name);
        print(rank_prefix + "wait_p50", quantile(rank.waits, 0.50), "s");
        print(rank_prefix + "wait_p95", quantile(rank.waits, 0.95), "s");
        print(rank_prefix + "wait_p99", quantile(rank.waits, 0.99), "s");
        print(rank_prefix + "gate_wait_p95", quantile(rank.gate_waits, 0.95),
              "s");
        print(rank_prefix + "attainment",
              static_cast<double>(rank.attained) /
                  static_cast<double>(std::max<std::uint64_t>(rank.offered, 1)),
              "share");
        print(rank_prefix + "refused",
              static_cast<double>(rank.refused) /
                  static_cast<double>(std::max<std::uint64_t>(rank.offered, 1)),
              "share");
        const auto& ranks = config.preset.ranks;
        const auto policy =
            std::find_if(ranks.begin(), ranks.end(),
                         [&](const auto& r) { return r.name == name; });
        const double floor = policy->floor_share > 0.0
                                 ? policy->floor_share
                                 : 1.0 - ranks.back().floor_share;
        const double granted =
            std::min(floor * result.slot_seconds, rank.offered_slot_seconds);
        print(rank_prefix + "share_kept",
              rank.slot_seconds / std::max(granted, 1e-9), "ratio");
    }
    std::vector<double> service;
    for (const auto& [name, account] : result.accounts) {
        if (account.small && account.offered_tokens > 0.0) {
            service.push_back(account.tokens / account.offered_tokens);
        }
    }
    if (!service.empty()) {
        const auto [worst, best] =
            std::minmax_element(service.begin(), service.end());
        print(prefix + ".small_accounts.jain", jain_index(service), "index");
        print(prefix + ".small_accounts.worst_to_best",
              *worst / std::max(*best, 1e-9), "ratio");
    }
    print(prefix + ".useful_tokens",
          result.useful_tokens / std::max(result.all_tokens, 1.0), "share");
    print(prefix + ".goodput", result.good_tokens / result.seconds, "tokens/s");
    print(prefix + ".preemptions", static_cast<double>(result.preemptions),
          "count");
    print(prefix + ".slots_granted", result.max_oversubscription, "ratio");
}

struct named_scenario
{
    std::string name;
    std::function<scenario(fleet_profile)> make;
};

std::vector<named_scenario> scenarios()
{
    std::vector<named_scenario> list;
    list.push_back({"ordinary", baseline_scenario});
    list.push_back({"lower_flood", [](fleet_profile profile) {
                        scenario config = baseline_scenario(profile);
                        set_peak_load(config, "normal", 10.0);
                        return config;
                    }});
    list.push_back({"urgent_flood", [](fleet_profile profile) {
                        scenario config = baseline_scenario(profile);
                        set_peak_load(config, "urgent", 10.0);
                        return config;
                    }});
    list.push_back({"both_flood", [](fleet_profile profile) {
                        scenario config = baseline_scenario(profile);
                        set_peak_load(config, "normal", 10.0);
                        set_peak_load(config, "urgent", 10.0);
                        return config;
                    }});
    list.push_back({"urgent_at_capacity", [](fleet_profile profile) {
                        scenario config = baseline_scenario(profile);
                        set_peak_load(config, "normal", 10.0);
                        const double urgent_share =
                            1.0 - config.preset.ranks[1].floor_share;
                        set_peak_load(config, "urgent", 0.85 * urgent_share);
                        return config;
                    }});
    list.push_back({"one_account", [](fleet_profile profile) {
                        return one_large_account(profile, 10.0);
                    }});
    list.push_back({"spread_account", [](fleet_profile profile) {
                        scenario config = one_large_account(profile, 10.0);
                        int next = 0;
                        for (arrival_stream& stream : config.streams) {
                            if (stream.small) {
                                stream.fixed_gate = next++ / 2 % 7;
                            }
                        }
                        return config;
                    }});
    list.push_back({"engines_die", [](fleet_profile profile) {
                        scenario config = baseline_scenario(profile);
                        set_peak_load(config, "normal", 10.0);
                        config.failed_engine_share = 1.0 / 3.0;
                        return config;
                    }});
    list.push_back({"preset_change", [](fleet_profile profile) {
                        scenario config = baseline_scenario(profile);
                        set_peak_load(config, "urgent", 10.0);
                        auto peak = config.preset;
                        peak.id = preset_id("peak");
                        peak.ranks[0].queue_limit = 100;
                        config.changed_preset = peak;
                        return config;
                    }});
    list.push_back({"news_lag_1s", [](fleet_profile profile) {
                        scenario config = one_large_account(profile, 10.0);
                        config.report_delay = 1s;
                        return config;
                    }});
    list.push_back({"news_cut", [](fleet_profile profile) {
                        scenario config = one_large_account(profile, 10.0);
                        config.reports_blocked = true;
                        return config;
                    }});
    return list;
}

void compare_targets(fleet_profile profile, const std::string& prefix,
                     const named_policy& policy)
{
    scenario unloaded_scenario = baseline_scenario(profile);
    set_peak_load(unloaded_scenario, "normal", 0.0);
    const auto unloaded = run(with_policy(unloaded_scenario, policy, profile));
    scenario overload_scenario = baseline_scenario(profile);
    set_peak_load(overload_scenario, "normal", 10.0);
    const auto overloaded =
        run(with_policy(overload_scenario, policy, profile));
    const double base = quantile(unloaded.ranks.at("urgent").waits, 0.95);
    print(prefix + ".urgent_unloaded_p95", base, "s");
    print(prefix + ".urgent_flood_to_unloaded_p95",
          quantile(overloaded.ranks.at("urgent").waits, 0.95) /
              std::max(base, 1e-9),
          "ratio");
    const auto without =
        run(with_policy(one_large_account(profile, 0.0), policy, profile));
    const auto with =
        run(with_policy(one_large_account(profile, 10.0), policy, profile));
    print(prefix + ".small_p95_without_large", small_p95(without), "s");
    print(prefix + ".small_p95_with_large", small_p95(with), "s");
    print(prefix + ".small_p95_worst_ratio", worst_small_ratio(with, without),
          "ratio");
}

std::vector<named_policy> ablations()
{
    using options = scheduling::admission::options;
    return {{"without_floors", options{.floors = false}},
            {"without_fair_accounts", options{.fair_accounts = false}},
            {"without_preemption", options{.preemption = false}},
            {"without_headroom", options{.headroom = false}},
            {"without_early_refusal", options{.early_refusal = false}},
            {"without_aging", options{.aging = false}},
            {"without_remote_usage", options{.remote_usage = false}},
            {"without_correction", options{.correct_estimates = false}},
            {"without_ranks", options{.ranks = false}}};
}

} // namespace

/// Prints all figures, or those of the scenarios whose name contains the first
/// argument.
int main(int argc, char** argv)
{
    const std::string filter = argc > 1 ? argv[1] : "";
    auto selected = [&](const std::string& name) {
        return name.find(filter) != std::string::npos;
    };
    const std::pair<std::string, fleet_profile> profiles[] = {
        {"muletiers", fleet_profile::muletiers},
        {"andes", fleet_profile::andes}};
    for (const auto& [profile_name, profile] : profiles) {
        for (const named_policy& policy : policies()) {
            if (selected("targets")) {
                compare_targets(
                    profile, profile_name + ".targets." + policy.name, policy);
            }
            for (const named_scenario& item : scenarios()) {
                if (!selected(item.name)) {
                    continue;
                }
                const scenario config =
                    with_policy(item.make(profile), policy, profile);
                print_outcome(profile_name + "." + item.name + "." +
                                  policy.name,
                              config, run(config));
            }
        }
        if (selected("ablation")) {
            for (const named_policy& policy : ablations()) {
                const std::string prefix =
                    profile_name + ".ablation." + policy.name;
                compare_targets(profile, prefix, policy);
                for (const named_scenario& item : scenarios()) {
                    if (item.name == "lower_flood" ||
                        item.name == "urgent_flood" ||
                        item.name == "spread_account") {
                        const scenario config =
                            with_policy(item.make(profile), policy, profile);
                        print_outcome(prefix + "." + item.name, config,
                                      run(config));
                    }
                }
            }
        }
    }
    if (selected("decision_cost")) {
        for (const unsigned scale : {1u, 10u, 100u}) {
            print(fmt::format("decision_cost.{}_accounts_{}_engines",
                              14 * scale * 10, 6 * scale * 10),
                  decision_microseconds(14 * scale * 10, 6 * scale * 10), "us");
        }
    }
    return 0;
}
