#ifndef BAMBOOGATE_RELAY_GATE_METRICS_HPP
#define BAMBOOGATE_RELAY_GATE_METRICS_HPP

#include <bamboogate/observability/metrics.hpp>

namespace bamboogate::relay {

/// Counters and histograms of a relay gate. Not thread safe.
struct gate_metrics
{
    explicit gate_metrics(observability::metric_registry& registry)
        : requests(registry.add_counter("bamboogate_relay_requests_total",
                                        "Requests read from callers.")),
          refused(registry.add_counter("bamboogate_relay_refused_total",
                                       "Requests refused as not run.")),
          quarantined(registry.add_counter(
              "bamboogate_relay_quarantined_total",
              "Requests refused because they would crash their engines.")),
          pauses(registry.add_counter(
              "bamboogate_relay_upstream_pauses_total",
              "Refusals of upstreams that asked for a pause.")),
          failed(registry.add_counter(
              "bamboogate_relay_failed_total",
              "Requests that ended without an upstream's answer.")),
          attempts(registry.add_counter("bamboogate_relay_attempts_total",
                                        "Requests sent to upstreams.")),
          resumed(
              registry.add_counter("bamboogate_relay_streams_resumed_total",
                                   "Streams that went on at another engine.")),
          caller_left(registry.add_counter(
              "bamboogate_relay_callers_left_total",
              "Callers that left before their answer was complete.")),
          discarded_inputs(registry.add_counter(
              "bamboogate_relay_discarded_inputs_total",
              "Connections on which a caller sent more after the gate had "
              "closed them.")),
          trial_requests(registry.add_counter(
              "bamboogate_relay_trial_requests_total",
              "Requests sent to upstreams of a version on trial.")),
          evidence_reports(registry.add_counter(
              "bamboogate_relay_rollout_evidence_total",
              "Reports of a rollout's evidence sent to the leader.")),
          paused_readings(registry.add_counter(
              "bamboogate_relay_reading_pauses_total",
              "Pauses in reading a stream's engine, because its caller reads "
              "slowly.")),
          given_up_callers(registry.add_counter(
              "bamboogate_relay_readers_given_up_total",
              "Callers that were disconnected because they did not read.")),
          tunnelled_connections(registry.add_counter(
              "bamboogate_relay_tunnelled_connections_total",
              "Connections to upstreams that were opened over another gate.")),
          failed_tunnels(registry.add_counter(
              "bamboogate_relay_failed_tunnels_total",
              "Attempts to connect over another gate that failed.")),
          partitioned(registry.add_gauge(
              "bamboogate_relay_partitioned",
              "1 while the gate connects to upstreams over other gates.")),
          unread_bytes(registry.add_gauge(
              "bamboogate_relay_unread_answer_bytes",
              "Bytes of answers that callers have not read.")),
          unsent_bytes(registry.add_gauge(
              "bamboogate_relay_unsent_request_bytes",
              "Bytes of requests that upstreams have not accepted.")),
          latency(registry.add_histogram(
              "bamboogate_relay_latency_seconds",
              "From the request to the whole answer, or the first event.")),
          pause(registry.add_histogram(
              "bamboogate_relay_resume_pause_seconds",
              "From the last event before a loss to the next event."))
    {}

    observability::counter& requests;
    observability::counter& refused;
    observability::counter& quarantined;
    observability::counter& pauses;
    observability::counter& failed;
    observability::counter& attempts;
    observability::counter& resumed;
    observability::counter& caller_left;
    observability::counter& discarded_inputs;
    observability::counter& trial_requests;
    observability::counter& evidence_reports;
    observability::counter& paused_readings;
    observability::counter& given_up_callers;
    observability::counter& tunnelled_connections;
    observability::counter& failed_tunnels;
    observability::gauge& partitioned;
    observability::gauge& unread_bytes;
    observability::gauge& unsent_bytes;
    observability::log_histogram& latency;
    observability::log_histogram& pause;
};

} // namespace bamboogate::relay

#endif
