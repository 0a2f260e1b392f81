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
    double load = 0.0;       ///< offered slots as a share of all slots
    double flood_load = 0.0; ///< the same during the flood
    unsigned mean_tokens = 300;
    int only_gate = -1; ///< -1 spreads the requests over all gates
    bool small = false; ///< counts in the fairness figures
};

/// One run: a fleet, its gates and what happens to them.
struct scenario
{
    unsigned engines = 20;
    unsigned slots_per_engine = 8;
    unsigned gates = 7;
    control::preset preset;
    std::vector<arrival_stream> streams;
    scheduling::admission::options policy;
    std::uint64_t seed = 1;

    duration warm_up = std::chrono::seconds(20);
    duration flood = std::chrono::seconds(60); ///< figures are taken here
    double deaths = 0.0; ///< share of engines that die 10 s into the flood
    std::optional<control::preset> changed_preset; ///< in force 20 s in
    duration news_lag = std::chrono::milliseconds(2);
    bool news_cut = false; ///< gates hear no usage or demand of each other
};

/// How one rank was served during the flood.
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

/// How one account was served during the flood.
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
    double slot_seconds = 0.0;  ///< available during the flood
    double useful_tokens = 0.0; ///< prompts once, and delivered tokens
    double all_tokens = 0.0;    ///< with prefills that were repeated
    double good_tokens = 0.0;   ///< of answers that met their target
    double seconds = 0.0;
    std::uint64_t preemptions = 0;
    std::uint64_t unfinished = 0;     ///< admitted and never started in time
    double most_oversubscribed = 0.0; ///< sum of shares over live slots
};

/// @brief Runs a scenario in virtual time. The same scenario gives the same
///     outcome.
///
/// The model of an engine: slots, a prefill of 20 ms plus 10,000 prompt tokens
/// per second, then one token each 25 ms, a queue by priority, a report each
/// second that arrives 200 ms late. Everything that decides is the code of the
/// daemon.
[[nodiscard]] outcome run(const scenario& what);

/// @brief The value below which a share of the values lies; 0 for none.
[[nodiscard]] double quantile(std::vector<double> values, double share);

/// @brief Jain's fairness index; 1 for no values.
[[nodiscard]] double jain_index(const std::vector<double>& values);

/// The two users, with their sizes and floors.
enum class user : std::uint8_t
{
    muletiers,
    andes,
};

/// @brief The ordinary day of a user; scenarios are made by changing it.
[[nodiscard]] scenario ordinary_day(user whose);

/// @brief Sets the load in the flood of all streams of a rank, in proportion.
void flood_rank(scenario& what, const std::string& rank, double load);

} // namespace bamboogate::model

#endif
