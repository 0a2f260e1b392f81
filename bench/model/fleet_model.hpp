#ifndef BAMBOOGATE_BENCH_MODEL_FLEET_MODEL_HPP
#define BAMBOOGATE_BENCH_MODEL_FLEET_MODEL_HPP

#include <bamboogate/control/declarations.hpp>
#include <bamboogate/scheduling/admission.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bamboogate::model {

/// Poisson arrivals of one account in one service class.
struct arrival_stream
{
    std::string account;
    std::string rank;
    std::string service_class;
    double load = 0.0;      ///< offered slots as a share of all slots
    double peak_load = 0.0; ///< the same during the measurement
    unsigned mean_tokens = 300;
    int fixed_gate = -1; ///< -1: requests are spread over all gates
    bool small = false;  ///< included in the fairness figures
};

/// Configuration of one run: the fleet, the load and the injected faults.
struct scenario
{
    unsigned engines = 20;
    unsigned slots_per_engine = 8;
    unsigned gates = 7;
    control::preset preset;
    std::vector<arrival_stream> streams;
    scheduling::admission::options policy;
    std::uint64_t seed = 1;

    duration warm_up = std::chrono::seconds(60);
    duration measurement = std::chrono::seconds(60); ///< after the warm-up
    double failed_engine_share = 0.0; ///< fails 10 s into the measurement
    std::optional<control::preset> changed_preset; ///< applied after 20 s
    duration report_delay = std::chrono::milliseconds(2);
    bool reports_blocked = false; ///< no usage or demand reports between gates
};

/// Results of one rank during the measurement.
struct rank_outcome
{
    std::vector<double> waits;      ///< submission to first token, seconds
    std::vector<double> gate_waits; ///< submission to start, seconds
    std::uint64_t offered = 0;
    std::uint64_t attained = 0; ///< first token within the target
    std::uint64_t refused = 0;
    double slot_seconds = 0.0;
    double offered_slot_seconds = 0.0;
};

/// Results of one account during the measurement.
struct account_outcome
{
    std::vector<double> waits;
    double tokens = 0.0;
    double offered_tokens = 0.0;
    bool small = false;
};

struct outcome
{
    std::map<std::string, rank_outcome> ranks;
    std::map<std::string, account_outcome> accounts;
    double slot_seconds = 0.0;  ///< available during the measurement
    double useful_tokens = 0.0; ///< each prompt once, and delivered tokens
    double all_tokens = 0.0;    ///< including recomputed prefixes
    double good_tokens = 0.0;   ///< of answers within the first-token target
    double seconds = 0.0;
    std::uint64_t preemptions = 0;
    std::uint64_t unfinished = 0;      ///< admitted and never started in time
    double max_oversubscription = 0.0; ///< sum of shares / available slots
};

/// @brief Runs a scenario in virtual time. Deterministic: the same scenario
///     gives the same outcome.
///
/// Engine model: a fixed number of slots; a prefill of 20 ms plus 10,000 prompt
/// tokens per second; then one token every 25 ms; a queue ordered by priority;
/// one report per second that arrives 200 ms late. All decisions are made by
/// the production code.
[[nodiscard]] outcome run(const scenario& config);

/// @brief Quantile by nearest rank; 0 for no values.
/// @param share 0 to 1
[[nodiscard]] double quantile(std::vector<double> values, double share);

/// @brief Jain's fairness index; 1 for no values.
[[nodiscard]] double jain_index(const std::vector<double>& values);

/// The two modelled fleets, with their sizes and rank floors.
enum class fleet_profile : std::uint8_t
{
    muletiers,
    andes,
};

/// @brief The baseline load of a fleet; other scenarios are derived from it.
[[nodiscard]] scenario baseline_scenario(fleet_profile profile);

/// @brief Scales the peak loads of a rank's streams to a total of `load`.
void set_peak_load(scenario& config, const std::string& rank, double load);

/// @brief One large account requests lower-rank work at `factor` times the load
///     of each small account; the small accounts request half of the slots.
[[nodiscard]] scenario one_large_account(fleet_profile profile, double factor);

/// @brief Highest p95 wait over the small accounts, in seconds.
[[nodiscard]] double small_p95(const outcome& result);

/// @brief Highest ratio of the p95 waits of two runs over the small accounts.
[[nodiscard]] double worst_small_ratio(const outcome& with,
                                       const outcome& without);

} // namespace bamboogate::model

#endif
