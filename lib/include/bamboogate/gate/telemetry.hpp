#ifndef BAMBOOGATE_GATE_TELEMETRY_HPP
#define BAMBOOGATE_GATE_TELEMETRY_HPP

#include <bamboogate/control/declarations.hpp>
#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/time.hpp>
#include <bamboogate/gate/completion_scheduler.hpp>
#include <bamboogate/net/http_server.hpp>
#include <bamboogate/net/link_hub.hpp>
#include <bamboogate/observability/burn_report.hpp>
#include <bamboogate/observability/burn_tracker.hpp>
#include <bamboogate/observability/metrics.hpp>
#include <bamboogate/streaming/generation_service.hpp>

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bamboogate::gate {

/// What a gate measures about its service: Prometheus metrics and the counts
/// of the service-level burn report. Not thread safe.
class telemetry
{
public:
    /// @brief Takes the objectives and targets of the preset in force.
    void apply(const control::configuration& configuration);

    /// @brief A completion was refused before it ran. Refusals for want of
    ///     capacity spend error budget; faults of the caller do not.
    void completion_refused(const std::string& rank,
                            const client_account_id& account, errc reason);

    /// @brief A completion began to wait for its grant at `submitted`.
    void completion_started(const request_id& generation,
                            const std::string& rank,
                            const client_account_id& account,
                            time_point submitted, duration waited);

    /// @brief The first token of a generation was generated.
    void first_token(const request_id& generation, time_point now);

    /// @brief A generation ended, well or not.
    void completion_ended(const request_id& generation, bool whole,
                          time_point now);

    /// @brief A call to a plain service ended with this answer.
    void service_call_ended(const service_id& service, bool idempotent,
                            const std::string& outcome);

    /// Values that are read when somebody asks for them.
    struct current_values
    {
        streaming::generation_counters generations;
        std::size_t generations_running = 0;
        net::link_hub::traffic links;
        net::http_server::counters http;
        unsigned http_connections = 0;
        std::vector<completion_scheduler::pool_view> pools;
        std::size_t upstreams = 0;
        bool ready = false;
        bamboogate::revision revision;
    };

    /// @brief The Prometheus text with current values.
    [[nodiscard]] std::string metrics_text(const current_values& now);

    /// @brief The counts of the burn report, for `bamboogatectl burn`.
    [[nodiscard]] json burn_document() const { return burn_.to_document(); }

    /// @brief Logs alerts that began or ceased. Call about every 10 s.
    void check_alerts();

private:
    struct open_completion
    {
        std::string rank;
        client_account_id account;
        time_point submitted;
        std::optional<duration> first_token;
    };

    void record(const std::string& rank, const client_account_id& account,
                bool good);
    [[nodiscard]] duration target_of(const std::string& rank) const;
    void set_total(std::string_view name, std::string_view help,
                   std::uint64_t value);
    void set_pools(const std::vector<completion_scheduler::pool_view>& pools);

    observability::metric_registry metrics_;
    observability::burn_tracker burn_;
    observability::burn_alerts alerts_;
    std::vector<control::rank_policy> ranks_;
    std::unordered_map<request_id, open_completion> open_;
    std::unordered_map<std::string, std::uint64_t> totals_;
};

} // namespace bamboogate::gate

#endif
