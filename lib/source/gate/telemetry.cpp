#include <bamboogate/gate/telemetry.hpp>

#include <algorithm>
#include <chrono>

namespace bamboogate::gate {

namespace {

observability::burn_time wall_now()
{
    return std::chrono::time_point_cast<std::chrono::seconds>(
        std::chrono::system_clock::now());
}

/// Refusals that the caller could not avoid by a better request.
bool spends_budget(errc reason)
{
    switch (reason) {
    case errc::overloaded:
    case errc::not_run:
    case errc::lease_expired:
    case errc::no_quorum:
        return true;
    default:
        return false;
    }
}

// The burn tracker takes objectives strictly between 0 and 1.
constexpr double least_objective = 0.0001;
constexpr double highest_objective = 0.999999;

} // namespace

void telemetry::apply(const control::configuration& configuration)
{
    for (const auto& preset : configuration.declared.presets) {
        if (preset.id != configuration.preset_in_force) {
            continue;
        }
        ranks_ = preset.ranks;
        for (const auto& rank : ranks_) {
            burn_.set_objective(
                rank.name,
                std::clamp(rank.objective, least_objective, highest_objective));
        }
    }
}

duration telemetry::target_of(const std::string& rank) const
{
    for (const auto& each : ranks_) {
        if (each.name == rank) {
            return each.first_token_target;
        }
    }
    return control::rank_policy{}.first_token_target;
}

void telemetry::record(const std::string& rank,
                       const client_account_id& account, bool good)
{
    burn_.record(rank, account, good, wall_now());
}

void telemetry::completion_refused(const std::string& rank,
                                   const client_account_id& account,
                                   errc reason)
{
    metrics_
        .add_counter("bamboogate_completions_refused_total",
                     "Completions that were not run, by reason.",
                     {{"rank", rank}, {"reason", std::string(name_of(reason))}})
        .add();
    if (spends_budget(reason)) {
        record(rank, account, false);
    }
}

void telemetry::completion_started(const request_id& generation,
                                   const std::string& rank,
                                   const client_account_id& account,
                                   time_point submitted, duration waited)
{
    open_.insert_or_assign(generation,
                           open_completion{rank, account, submitted, {}});
    metrics_
        .add_histogram("bamboogate_queue_wait_seconds",
                       "Time from arrival to the start of a completion.",
                       {{"rank", rank}})
        .record(to_seconds(waited));
}

void telemetry::first_token(const request_id& generation, time_point now)
{
    const auto found = open_.find(generation);
    if (found == open_.end() || found->second.first_token) {
        return;
    }
    found->second.first_token = now - found->second.submitted;
    metrics_
        .add_histogram("bamboogate_first_token_seconds",
                       "Time from arrival to the first generated token.",
                       {{"rank", found->second.rank}})
        .record(to_seconds(*found->second.first_token));
}

void telemetry::completion_ended(const request_id& generation, bool whole,
                                 time_point now)
{
    const auto found = open_.find(generation);
    if (found == open_.end()) {
        return;
    }
    const auto& what = found->second;
    const duration first = what.first_token.value_or(now - what.submitted);
    const bool good = whole && first <= target_of(what.rank);
    record(what.rank, what.account, good);
    metrics_
        .add_counter("bamboogate_completions_total",
                     "Completions that ended, whole or not.",
                     {{"rank", what.rank}, {"end", whole ? "whole" : "failed"}})
        .add();
    open_.erase(found);
}

void telemetry::service_call_ended(const service_id& service, bool idempotent,
                                   const std::string& outcome)
{
    metrics_
        .add_counter("bamboogate_service_calls_total",
                     "Calls to plain services by what the caller was told.",
                     {{"service", service.value()},
                      {"idempotent", idempotent ? "yes" : "no"},
                      {"outcome", outcome}})
        .add();
}

void telemetry::set_total(std::string_view name, std::string_view help,
                          std::uint64_t value)
{
    auto& last = totals_[std::string(name)];
    metrics_.add_counter(name, help).add(value - last);
    last = value;
}

void telemetry::set_pools(
    const std::vector<completion_scheduler::pool_view>& pools)
{
    for (const auto& pool : pools) {
        const std::string model = pool.model.value();
        metrics_
            .add_gauge("bamboogate_pool_slots",
                       "Engine slots that this gate may use.",
                       {{"model", model}})
            .set(pool.slots);
        metrics_
            .add_gauge("bamboogate_pool_held", "Slots that are in use.",
                       {{"model", model}})
            .set(pool.held);
        for (const auto& rank : pool.ranks) {
            metrics_
                .add_gauge("bamboogate_queued", "Completions that wait.",
                           {{"model", model}, {"rank", rank.name}})
                .set(static_cast<double>(rank.queued));
        }
    }
}

std::string telemetry::metrics_text(const current_values& now)
{
    const auto& g = now.generations;
    set_total("bamboogate_generations_started_total",
              "Generations that this gate started.", g.started);
    set_total("bamboogate_generations_superseded_total",
              "Generations that another gate took over.", g.superseded);
    set_total("bamboogate_takeovers_total",
              "Generations of other gates that go on here.", g.takeovers);
    set_total("bamboogate_attempts_total", "Engine attempts.", g.attempts);
    set_total("bamboogate_attempts_reset_total",
              "Attempts that ended by a broken connection.", g.attempts_reset);
    set_total("bamboogate_attempts_silent_total",
              "Attempts that were judged silent.", g.attempts_silent);
    set_total("bamboogate_preemptions_total",
              "Attempts that gave way to a more urgent rank.", g.preempted);
    set_total("bamboogate_tokens_generated_total",
              "Tokens received from engines.", g.tokens_generated);
    set_total("bamboogate_tokens_released_total", "Tokens sent to callers.",
              g.tokens_released);
    set_total("bamboogate_tokens_without_copy_total",
              "Tokens released while no other gate was alive.",
              g.tokens_without_copy);
    set_total("bamboogate_link_bytes_sent_total",
              "Bytes sent to gates and control replicas.",
              now.links.bytes_sent);
    set_total("bamboogate_link_bytes_received_total",
              "Bytes received from gates and control replicas.",
              now.links.bytes_received);
    set_total("bamboogate_links_closed_silent_total",
              "Links closed because nothing arrived.",
              now.links.links_closed_silent);
    set_total("bamboogate_http_requests_total", "HTTP requests.",
              now.http.requests);
    set_total("bamboogate_http_connections_refused_total",
              "Connections above the limit.", now.http.connections_refused);
    metrics_.add_gauge("bamboogate_http_connections", "Open connections.")
        .set(now.http_connections);
    metrics_.add_gauge("bamboogate_generations_running", "Open generations.")
        .set(static_cast<double>(now.generations_running));
    metrics_
        .add_gauge("bamboogate_upstreams", "Upstreams in this gate's table.",
                   {}, observability::gauge_merge::maximum)
        .set(static_cast<double>(now.upstreams));
    metrics_.add_gauge("bamboogate_ready", "1 when new work is taken.")
        .set(now.ready ? 1 : 0);
    metrics_
        .add_gauge("bamboogate_config_revision",
                   "Revision of the configuration in force here.", {},
                   observability::gauge_merge::maximum)
        .set(static_cast<double>(now.revision.value));
    set_pools(now.pools);
    return metrics_.prometheus_text();
}

void telemetry::check_alerts()
{
    for (const auto& change :
         alerts_.update(observability::burn_rows(burn_, wall_now()))) {
        observability::log_alert(change);
    }
}

} // namespace bamboogate::gate
