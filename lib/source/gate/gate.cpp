#include <bamboogate/control/control_client.hpp>
#include <bamboogate/gate/api_error.hpp>
#include <bamboogate/gate/caller_api.hpp>
#include <bamboogate/gate/gate.hpp>
#include <bamboogate/gate/log_events.hpp>
#include <bamboogate/gate/telemetry.hpp>
#include <bamboogate/gate/upstream_api.hpp>
#include <bamboogate/net/http_client.hpp>
#include <bamboogate/net/http_server.hpp>
#include <bamboogate/net/link_hub.hpp>
#include <bamboogate/routing/membership_exchange.hpp>
#include <bamboogate/routing/retry_budget.hpp>
#include <bamboogate/routing/selector.hpp>
#include <bamboogate/routing/upstream_table.hpp>
#include <bamboogate/streaming/generation_service.hpp>

#include <algorithm>
#include <chrono>
#include <set>

namespace bamboogate::gate {

namespace {

constexpr duration housekeeping_interval = std::chrono::seconds(1);
constexpr unsigned ticks_per_alert_check = 10;
constexpr duration drain_check_interval = std::chrono::milliseconds(20);

/// Incarnations of a gate are ordered by the wall clock, which only has to
/// increase from one start to the next.
incarnation new_incarnation()
{
    const auto since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return incarnation{static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
            .count())};
}

std::vector<node_id> all_gates(const config::gate_settings& settings)
{
    std::vector<node_id> out{settings.node};
    for (const auto& peer : settings.gates) {
        out.push_back(peer.node);
    }
    return out;
}

/// The position among the sorted gates decides which engine slots this gate
/// prefers.
routing::selector::options
selector_settings(const config::gate_settings& settings)
{
    auto gates = all_gates(settings);
    std::sort(gates.begin(), gates.end());
    const auto self = std::find(gates.begin(), gates.end(), settings.node);
    return {.gate_index = static_cast<unsigned>(self - gates.begin()),
            .gates = static_cast<unsigned>(gates.size())};
}

std::vector<node_id> replica_ids(const config::gate_settings& settings)
{
    std::vector<node_id> out;
    for (const auto& peer : settings.control_replicas) {
        out.push_back(peer.node);
    }
    return out;
}

} // namespace

struct gate::impl
{
    net::event_loop& loop;
    config::gate_settings settings;
    incarnation own_incarnation = new_incarnation();
    std::set<node_id> gate_ids;
    net::link_hub hub;
    net::http_client client;
    routing::upstream_table table;
    routing::selector selector;
    routing::retry_budget retry_budget;
    routing::membership_exchange membership;
    control::control_client control;
    authenticator auth;
    telemetry metrics;
    routing_directory directory;
    streaming::generation_service generations;
    completion_scheduler scheduler;
    caller_api callers;
    upstream_api upstreams;
    net::http_router router;
    std::unique_ptr<net::http_server> server;
    net::timer housekeeping_timer;
    net::timer drain_timer;
    time_point drain_started;
    std::function<void()> on_drained;
    bool was_ready = false;
    unsigned ticks = 0;

    impl(net::event_loop& l, config::gate_settings s)
        : loop(l), settings(std::move(s)),
          hub(l, {.identity = {settings.node, own_incarnation,
                               settings.failure_domain},
                  .shared_secret = settings.shared_secret}),
          client(l),
          table({.self = settings.node, .gates = all_gates(settings)}),
          selector(selector_settings(settings)), membership(l, hub, table, {}),
          control(l, hub, {.replicas = replica_ids(settings)}),
          directory(table, selector, random_u64()),
          generations(l, hub, client, directory, generation_settings()),
          scheduler(l, hub, scheduler_settings(), scheduler_callbacks()),
          callers(caller_dependencies()),
          upstreams(membership, settings.upstream_key),
          router(&impl::respond_unrouted),
          housekeeping_timer(l, [this] { on_tick(); }),
          drain_timer(l, [this] { check_drained(); })
    {
        const auto ids = all_gates(settings);
        gate_ids.insert(ids.begin(), ids.end());
        table.on_event([this](routing::table_event event,
                              const routing::upstream_record& record) {
            selector.on_table_event(event, record, monotonic_clock::now());
        });
        control.on_configuration(
            [this](const control::configuration& c) { apply(c); });
        hub.on<control::drain_request>(
            [this](const net::peer_info& peer, const control::drain_request&) {
                on_drain_request(peer.node);
            });
        callers.add_routes(router);
        upstreams.add_routes(router);
        add_health_routes();
        add_telemetry_routes();
    }

    streaming::generation_options generation_settings()
    {
        streaming::generation_options out;
        out.release_after_copy = settings.buddy;
        out.is_gate = [this](const node_id& node) {
            return gate_ids.contains(node);
        };
        out.may_retry = [this](const request_id&,
                               const streaming::generation_request& request) {
            return retry_budget.try_consume(request.service_class);
        };
        out.observers.on_tokens_generated = [this](const request_id& request,
                                                   std::uint64_t count) {
            directory.tokens_received(request, count);
            scheduler.tokens_generated(request, count);
        };
        out.observers.on_first_token = [this](const request_id& request) {
            metrics.first_token(request, loop.now());
        };
        out.observers.on_finished =
            [this](const request_id& request,
                   const result<streaming::finish_info>& finish) {
                scheduler.finished(request);
                metrics.completion_ended(request, finish.has_value(),
                                         loop.now());
            };
        out.observers.on_taken_over =
            [this](const request_id& request,
                   const streaming::generation_request& generation) {
                scheduler.add_taken_over(request, generation.model);
            };
        return out;
    }

    [[nodiscard]] completion_scheduler::options scheduler_settings() const
    {
        return {.self = settings.node,
                .gates = all_gates(settings),
                .incarnation = own_incarnation};
    }

    completion_scheduler::callbacks scheduler_callbacks()
    {
        return {.slots_of =
                    [this](const model_id& model) {
                        return selector.slots_of(model);
                    },
                .preempt =
                    [this](const request_id& request) {
                        return generations.preempt(request);
                    },
                .resume =
                    [this](const request_id& request) {
                        return generations.resume(request);
                    }};
    }

    caller_api::dependencies caller_dependencies()
    {
        return {.loop = loop,
                .client = client,
                .generations = generations,
                .scheduler = scheduler,
                .control = control,
                .auth = auth,
                .directory = directory,
                .retry_budget = retry_budget,
                .metrics = metrics,
                .shared_secret = settings.shared_secret,
                .failure_domain = settings.failure_domain,
                .serve_without_lease =
                    settings.stale == config::stale_policy::serve};
    }

    result<void> open()
    {
        BOOST_OUTCOME_TRY(hub.listen(settings.link_address));
        for (const auto& peer : settings.gates) {
            // Only one side dials, so that two gates share one link.
            if (settings.node < peer.node) {
                hub.add_peer(peer.node, peer.address);
            }
        }
        for (const auto& peer : settings.control_replicas) {
            hub.add_peer(peer.node, peer.address);
        }
        net::http_server::options http;
        http.listen_address = settings.http_address;
        http.max_connections = settings.max_connections;
        http.max_body_bytes = settings.body_limit;
        BOOST_OUTCOME_TRY(
            started, net::http_server::start(
                         loop, http,
                         [this](const net::http_request& request,
                                const std::shared_ptr<net::responder>& out) {
                             router.route(request, out);
                         }));
        server = std::move(started);
        housekeeping_timer.start_periodic(housekeeping_interval);
        observability::log(log_events::gate_started,
                           {{"http", server->bound_address().text()},
                            {"links", settings.link_address.text()}});
        return outcome::success();
    }

    void apply(const control::configuration& configuration)
    {
        auth.apply(configuration.declared);
        scheduler.apply(configuration);
        metrics.apply(configuration);
        for (const auto& each : configuration.declared.presets) {
            if (each.id == configuration.preset_in_force) {
                retry_budget.set_ratio(each.retry_budget);
            }
        }
        observability::log(log_events::configuration_applied,
                           {{"revision", configuration.revision.value},
                            {"preset", configuration.preset_in_force.value()}});
    }

    void add_health_routes()
    {
        router.add("GET", "/healthz",
                   [](const net::http_request&, const net::path_values&,
                      const std::shared_ptr<net::responder>& out) {
                       out->respond(200, {}, "ok\n");
                   });
        router.add("GET", "/readyz",
                   [this](const net::http_request&, const net::path_values&,
                          const std::shared_ptr<net::responder>& out) {
                       const auto accepts = callers.accepts_new_work();
                       if (!accepts) {
                           respond_error(*out, accepts.error());
                           return;
                       }
                       out->respond(200, {}, "ready\n");
                   });
    }

    void add_telemetry_routes()
    {
        router.add("GET", "/metrics",
                   [this](const net::http_request&, const net::path_values&,
                          const std::shared_ptr<net::responder>& out) {
                       out->respond(
                           200,
                           {{"content-type",
                             "text/plain; version=0.0.4; charset=utf-8"}},
                           metrics.metrics_text(current_values()));
                   });
        router.add(
            "GET", "/v1/burn",
            [this](const net::http_request& request, const net::path_values&,
                   const std::shared_ptr<net::responder>& out) {
                const auto operator_id = auth.operator_of(request.headers);
                if (!operator_id) {
                    respond_error(*out, operator_id.error());
                    return;
                }
                out->respond(200, {{"content-type", "application/json"}},
                             metrics.burn_document().dump());
            });
    }

    [[nodiscard]] telemetry::current_values current_values() const
    {
        const auto configuration = control.current();
        return {.generations = generations.totals(),
                .generations_running = generations.running(),
                .links = hub.totals(),
                .http = server->totals(),
                .http_connections = server->open_connections(),
                .pools = scheduler.pools(),
                .upstreams = table.records().size(),
                .ready = callers.accepts_new_work().has_value(),
                .revision =
                    configuration ? configuration->revision : revision{}};
    }

    static void respond_unrouted(const net::http_request&, bool path_known,
                                 const std::shared_ptr<net::responder>& out)
    {
        respond_error(*out, path_known
                                ? error{errc::invalid_argument,
                                        "the path does not support this method"}
                                : error{errc::not_found, "no such path"});
    }

    void on_tick()
    {
        callers.send_keepalives();
        if (++ticks % ticks_per_alert_check == 0) {
            metrics.check_alerts();
        }
        const bool ready = callers.accepts_new_work().has_value();
        if (ready != was_ready) {
            was_ready = ready;
            observability::log(log_events::readiness_changed,
                               {{"ready", ready}});
        }
    }

    /// Operators drain a gate through the control replicas; the gate then stops
    /// as after SIGTERM.
    void on_drain_request(const node_id& from)
    {
        const auto replicas = replica_ids(settings);
        const bool from_control =
            std::find(replicas.begin(), replicas.end(), from) != replicas.end();
        if (from_control && !on_drained) {
            start_drain([this] { loop.stop(); });
        }
    }

    void start_drain(std::function<void()> done)
    {
        on_drained = std::move(done);
        drain_started = loop.now();
        callers.stop_new_work();
        generations.drain([] {});
        observability::log(log_events::drain_started,
                           {{"generations", generations.running()},
                            {"calls", callers.open_calls()}});
        drain_timer.start_periodic(drain_check_interval);
    }

    void check_drained()
    {
        const bool idle = generations.running() == 0 &&
                          callers.open_calls() == 0 &&
                          server->open_requests() == 0;
        const bool limit_reached =
            loop.now() - drain_started > settings.drain_limit;
        if (!idle && !limit_reached) {
            return;
        }
        drain_timer.stop();
        observability::log(idle ? log_events::drain_finished
                                : log_events::drain_limit_reached,
                           {{"generations", generations.running()}});
        on_drained();
    }
};

gate::gate(std::unique_ptr<impl> state) : impl_(std::move(state)) {}

gate::~gate() = default;

result<std::unique_ptr<gate>> gate::start(net::event_loop& loop,
                                          config::gate_settings settings)
{
    std::unique_ptr<gate> out(
        new gate(std::make_unique<impl>(loop, std::move(settings))));
    BOOST_OUTCOME_TRY(out->impl_->open());
    return out;
}

void gate::drain(std::function<void()> done)
{
    impl_->start_drain(std::move(done));
}

net::address gate::http_address() const
{
    return impl_->server->bound_address();
}

} // namespace bamboogate::gate
