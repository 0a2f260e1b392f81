#include <doctest/doctest.h>

#include "model/fleet_model.hpp"

using namespace bamboogate;
using namespace bamboogate::model;
using namespace std::chrono_literals;

// Bounds of the design page ("Policy"), checked with one seed and 60 s per
// scenario; bench_policy runs the full set.

namespace {

double useful_share(const outcome& result)
{
    return result.useful_tokens / result.all_tokens;
}

double attainment(const rank_outcome& rank)
{
    return static_cast<double>(rank.attained) /
           static_cast<double>(rank.offered);
}

double small_jain(const outcome& result)
{
    std::vector<double> service;
    for (const auto& [name, account] : result.accounts) {
        if (account.small && account.offered_tokens > 0.0) {
            service.push_back(account.tokens / account.offered_tokens);
        }
    }
    return jain_index(service);
}

double kept_share(const scenario& config, const outcome& result)
{
    const rank_outcome& lower = result.ranks.at("normal");
    const double floor =
        config.preset.ranks[1].floor_share * result.slot_seconds;
    return lower.slot_seconds / std::min(floor, lower.offered_slot_seconds);
}

constexpr fleet_profile all_profiles[] = {fleet_profile::muletiers,
                                          fleet_profile::andes};

} // namespace

TEST_CASE("policy_lower_flood_urgent_wait_within_1_2_of_unloaded")
{
    for (const fleet_profile profile : all_profiles) {
        CAPTURE(static_cast<int>(profile));
        scenario unloaded_scenario = baseline_scenario(profile);
        set_peak_load(unloaded_scenario, "normal", 0.0);
        scenario overload_scenario = baseline_scenario(profile);
        set_peak_load(overload_scenario, "normal", 10.0);
        const outcome unloaded = run(unloaded_scenario);
        const outcome overloaded = run(overload_scenario);
        CHECK(quantile(overloaded.ranks.at("urgent").waits, 0.95) <=
              1.2 * quantile(unloaded.ranks.at("urgent").waits, 0.95));
        CHECK(attainment(overloaded.ranks.at("urgent")) >= 0.99);
        CHECK(useful_share(overloaded) >= 0.97);
        CHECK(small_jain(overloaded) >= 0.95);
    }
}

TEST_CASE("policy_urgent_flood_lower_rank_keeps_95_percent_of_its_share")
{
    for (const fleet_profile profile : all_profiles) {
        CAPTURE(static_cast<int>(profile));
        for (const double lower_load : {0.4, 10.0}) {
            CAPTURE(lower_load);
            scenario overload_scenario = baseline_scenario(profile);
            set_peak_load(overload_scenario, "urgent", 10.0);
            set_peak_load(overload_scenario, "normal", lower_load);
            const outcome result = run(overload_scenario);
            CHECK(kept_share(overload_scenario, result) >= 0.95);
            CHECK(small_jain(result) >= 0.95);
        }
    }
}

TEST_CASE("policy_urgent_load_near_its_capacity_attains_99_percent")
{
    for (const fleet_profile profile : all_profiles) {
        CAPTURE(static_cast<int>(profile));
        scenario config = baseline_scenario(profile);
        set_peak_load(config, "normal", 10.0);
        set_peak_load(config, "urgent",
                      0.85 * (1.0 - config.preset.ranks[1].floor_share));
        CHECK(attainment(run(config).ranks.at("urgent")) >= 0.99);
    }
}

TEST_CASE("policy_one_large_account_small_waits_within_1_5")
{
    for (const fleet_profile profile : all_profiles) {
        CAPTURE(static_cast<int>(profile));
        const outcome without = run(one_large_account(profile, 0.0));
        const outcome with = run(one_large_account(profile, 10.0));
        CHECK(worst_small_ratio(with, without) <= 1.5);
    }
}

// Guards against small accounts being served unequally beside a large one, with
// and without usage reports between gates.
TEST_CASE("policy_one_large_account_small_accounts_share_evenly")
{
    for (const fleet_profile profile : all_profiles) {
        CAPTURE(static_cast<int>(profile));
        for (const bool blocked : {false, true}) {
            CAPTURE(blocked);
            scenario config = one_large_account(profile, 10.0);
            config.reports_blocked = blocked;
            const outcome result = run(config);
            CHECK(small_jain(result) >= 0.95);
            CHECK(useful_share(result) >= 0.97);
        }
    }
}

// Guards against gates that together use more slots than the engines have.
TEST_CASE("policy_flood_slots_granted_stay_within_capacity")
{
    scenario config = baseline_scenario(fleet_profile::andes);
    set_peak_load(config, "normal", 10.0);
    // 3 is `capacity_share::options::max_factor`, the bound for differing
    // views.
    CHECK(run(config).max_oversubscription <= 3.0);
    config.reports_blocked = true;
    CHECK(run(config).max_oversubscription <= 1.0);
}
