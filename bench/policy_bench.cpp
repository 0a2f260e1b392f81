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

scheduling::admission::options plain()
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
    std::vector<named_policy> list{{"bamboogate", {}}, {"fcfs", plain()}};
    auto strict = plain();
    strict.ranks = true;
    list.push_back({"strict", strict});
    auto split = plain();
    split.static_partitioning = true;
    list.push_back({"split", split});
    return list;
}

void print(const std::string& name, double value, const std::string& unit)
{
    fmt::print("{} {:.4g} {}\n", name, value, unit);
}

scenario with_policy(scenario what, const named_policy& policy, user whose)
{
    what.policy = policy.options;
    if (policy.options.static_partitioning) {
        const bool andes = whose == user::andes;
        const double lower = what.preset.ranks[1].floor_share;
        what.preset.class_shares = {
            {andes ? "slope-stability" : "manifest", 1.0 - lower},
            {andes ? "condition-summary" : "route-brief", lower}};
    }
    return what;
}

void print_outcome(const std::string& prefix, const scenario& what,
                   const outcome& seen)
{
    for (const auto& entry : seen.ranks) {
        const std::string& name = entry.first;
        const rank_outcome& rank = entry.second;
        const std::string p = fmt::format("{}.{}.", prefix, name);
        print(p + "wait_p50", quantile(rank.waits, 0.50), "s");
        print(p + "wait_p95", quantile(rank.waits, 0.95), "s");
        print(p + "wait_p99", quantile(rank.waits, 0.99), "s");
        print(p + "gate_wait_p95", quantile(rank.gate_waits, 0.95), "s");
        print(p + "attainment",
              static_cast<double>(rank.attained) /
                  static_cast<double>(std::max<std::uint64_t>(rank.offered, 1)),
              "share");
        print(p + "refused",
              static_cast<double>(rank.refused) /
                  static_cast<double>(std::max<std::uint64_t>(rank.offered, 1)),
              "share");
        const auto& ranks = what.preset.ranks;
        const auto policy =
            std::find_if(ranks.begin(), ranks.end(),
                         [&](const auto& r) { return r.name == name; });
        const double floor = policy->floor_share > 0.0
                                 ? policy->floor_share
                                 : 1.0 - ranks.back().floor_share;
        const double granted =
            std::min(floor * seen.slot_seconds, rank.offered_slot_seconds);
        print(p + "share_kept", rank.slot_seconds / std::max(granted, 1e-9),
              "ratio");
    }
    std::vector<double> service;
    for (const auto& [name, account] : seen.accounts) {
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
          seen.useful_tokens / std::max(seen.all_tokens, 1.0), "share");
    print(prefix + ".goodput", seen.good_tokens / seen.seconds, "tokens/s");
    print(prefix + ".preemptions", static_cast<double>(seen.preemptions),
          "count");
    print(prefix + ".slots_granted", seen.most_oversubscribed, "ratio");
}

struct named_scenario
{
    std::string name;
    std::function<scenario(user)> make;
};

std::vector<named_scenario> scenarios()
{
    std::vector<named_scenario> list;
    list.push_back({"ordinary", ordinary_day});
    list.push_back({"lower_flood", [](user whose) {
                        scenario what = ordinary_day(whose);
                        flood_rank(what, "normal", 10.0);
                        return what;
                    }});
    list.push_back({"urgent_flood", [](user whose) {
                        scenario what = ordinary_day(whose);
                        flood_rank(what, "urgent", 10.0);
                        return what;
                    }});
    list.push_back({"both_flood", [](user whose) {
                        scenario what = ordinary_day(whose);
                        flood_rank(what, "normal", 10.0);
                        flood_rank(what, "urgent", 10.0);
                        return what;
                    }});
    list.push_back({"urgent_at_capacity", [](user whose) {
                        scenario what = ordinary_day(whose);
                        flood_rank(what, "normal", 10.0);
                        const double own =
                            1.0 - what.preset.ranks[1].floor_share;
                        flood_rank(what, "urgent", 0.85 * own);
                        return what;
                    }});
    list.push_back({"one_account",
                    [](user whose) { return one_large_account(whose, 10.0); }});
    list.push_back({"spread_account", [](user whose) {
                        scenario what = one_large_account(whose, 10.0);
                        int next = 0;
                        for (arrival_stream& stream : what.streams) {
                            if (stream.small) {
                                stream.only_gate = next++ / 2 % 7;
                            }
                        }
                        return what;
                    }});
    list.push_back({"engines_die", [](user whose) {
                        scenario what = ordinary_day(whose);
                        flood_rank(what, "normal", 10.0);
                        what.deaths = 1.0 / 3.0;
                        return what;
                    }});
    list.push_back({"preset_change", [](user whose) {
                        scenario what = ordinary_day(whose);
                        flood_rank(what, "urgent", 10.0);
                        auto peak = what.preset;
                        peak.id = preset_id("peak");
                        peak.ranks[0].queue_limit = 100;
                        what.changed_preset = peak;
                        return what;
                    }});
    list.push_back({"news_lag_1s", [](user whose) {
                        scenario what = one_large_account(whose, 10.0);
                        what.news_lag = 1s;
                        return what;
                    }});
    list.push_back({"news_cut", [](user whose) {
                        scenario what = one_large_account(whose, 10.0);
                        what.news_cut = true;
                        return what;
                    }});
    return list;
}

void compare_targets(user whose, const std::string& prefix,
                     const named_policy& policy)
{
    scenario quiet = ordinary_day(whose);
    flood_rank(quiet, "normal", 0.0);
    const auto unloaded = run(with_policy(quiet, policy, whose));
    scenario flood = ordinary_day(whose);
    flood_rank(flood, "normal", 10.0);
    const auto flooded = run(with_policy(flood, policy, whose));
    const double base = quantile(unloaded.ranks.at("urgent").waits, 0.95);
    print(prefix + ".urgent_unloaded_p95", base, "s");
    print(prefix + ".urgent_flood_to_unloaded_p95",
          quantile(flooded.ranks.at("urgent").waits, 0.95) /
              std::max(base, 1e-9),
          "ratio");
    const auto without =
        run(with_policy(one_large_account(whose, 0.0), policy, whose));
    const auto with =
        run(with_policy(one_large_account(whose, 10.0), policy, whose));
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

/// Prints all figures, or those of the scenarios whose name contains the
/// first argument.
int main(int argc, char** argv)
{
    const std::string only = argc > 1 ? argv[1] : "";
    auto wanted = [&](const std::string& name) {
        return name.find(only) != std::string::npos;
    };
    const std::pair<std::string, user> users[] = {
        {"muletiers", user::muletiers}, {"andes", user::andes}};
    for (const auto& [user_name, whose] : users) {
        for (const named_policy& policy : policies()) {
            if (wanted("targets")) {
                compare_targets(whose, user_name + ".targets." + policy.name,
                                policy);
            }
            for (const named_scenario& item : scenarios()) {
                if (!wanted(item.name)) {
                    continue;
                }
                const scenario what =
                    with_policy(item.make(whose), policy, whose);
                print_outcome(user_name + "." + item.name + "." + policy.name,
                              what, run(what));
            }
        }
        if (wanted("ablation")) {
            for (const named_policy& policy : ablations()) {
                const std::string prefix =
                    user_name + ".ablation." + policy.name;
                compare_targets(whose, prefix, policy);
                for (const named_scenario& item : scenarios()) {
                    if (item.name == "lower_flood" ||
                        item.name == "urgent_flood" ||
                        item.name == "spread_account") {
                        const scenario what =
                            with_policy(item.make(whose), policy, whose);
                        print_outcome(prefix + "." + item.name, what,
                                      run(what));
                    }
                }
            }
        }
    }
    if (wanted("decision_cost")) {
        for (const unsigned scale : {1u, 10u, 100u}) {
            print(fmt::format("decision_cost.{}_accounts_{}_engines",
                              14 * scale * 10, 6 * scale * 10),
                  decision_microseconds(14 * scale * 10, 6 * scale * 10), "us");
        }
    }
    return 0;
}
