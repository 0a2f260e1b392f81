#include <bamboogate/relay/log_events.hpp>
#include <bamboogate/relay/relay_gate.hpp>

#include <algorithm>

namespace bamboogate::relay {

using observability::log;
namespace events = log_events;

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(250);
/// Retry delay sent to callers while the gate has no configuration.
constexpr duration unconfigured_retry_after = std::chrono::milliseconds(500);
/// Retry delay sent to callers of a stopping gate; other gates can serve them
/// at once.
constexpr duration stopping_retry_after = std::chrono::milliseconds(20);
/// Time in which the answers at the end of a planned stop are written.
constexpr duration last_answers_time = std::chrono::milliseconds(150);
/// Retry delay sent to callers whose request has no room in memory, or whose
/// connection is one too many; another gate may serve them sooner.
constexpr duration full_retry_after = std::chrono::milliseconds(250);
/// Limit of the call that asks the home replica for the origin of a stream.
constexpr duration find_origin_limit = std::chrono::milliseconds(300);
/// KV cache capacity assumed for an upstream whose service declares no engine.
constexpr std::uint64_t default_kv_capacity_tokens = 100000;

std::uint64_t hash_of(std::string_view text)
{
    return std::hash<std::string_view>{}(text);
}

/// Spreads the gates evenly over [0, 1).
double position_of(const node_id& gate)
{
    constexpr std::uint64_t steps = 1U << 20U;
    return static_cast<double>(hash_of(gate.value()) % steps) /
           static_cast<double>(steps);
}

} // namespace

relay_gate::relay_gate(net::event_loop& loop, relay_protocol protocol,
                       options settings)
    : loop_(loop), protocol_(std::move(protocol)),
      settings_(std::move(settings)), metrics_(registry_),
      client_limits_(registry_), answers_(loop, settings_.readers, metrics_),
      paths_(loop,
             {.shared_secret = settings_.control.shared_secret,
              .tunnel_address = settings_.tunnel_address},
             metrics_, path_observers()),
      client_(loop, {.send_timeout = settings_.send_timeout,
                     .dialer = &paths_.dialer()}),
      directory_(
          {.own_domain = settings_.control.failure_domain, .registry = {}}),
      retries_(settings_.retries),
      feed_(
          loop, protocol_, settings_.control,
          {.on_configuration =
               [this](configuration document) {
                   on_configuration(std::move(document));
               },
           .on_announcement =
               [this](const announcement& announced) {
                   on_announcement(announced);
               },
           .on_refresh =
               [this](const upstream_refresh& refreshed) {
                   directory_.record_refresh(refreshed.id, refreshed.started_at,
                                             refreshed.sequence, loop_.now());
               },
           .on_departure =
               [this](const announcement& announced) {
                   on_departure(announced);
               },
           .on_suspicion = [this](const upstream_id& id) { on_suspicion(id); },
           .on_quarantine =
               [this](const quarantine_update& update) {
                   quarantine_.add(update, loop_.now());
               },
           .on_request_suspicion =
               [this](const suspicion_update& update) {
                   quarantine_.add(update, loop_.now());
               },
           .on_rollouts =
               [this](const rollout_update& update) { on_rollouts(update); },
           .on_recorded_versions =
               [this](const recorded_versions& recorded) {
                   for (const auto& [service, versions] : recorded.versions) {
                       recorded_versions_[service].insert(versions.begin(),
                                                          versions.end());
                   }
               },
           .on_rollout_lease =
               [this](const rollout_lease& lease) {
                   rollouts_.renew(lease.numbers, loop_.now());
               },
           .on_new_leader = [this] { on_new_leader(); },
           .serves_tunnels = [this]() -> std::optional<bool> {
               if (!settings_.tunnel_address) {
                   return std::nullopt;
               }
               return paths_.serves_tunnels();
           }}),
      placer_(feed_.hub(), {}, [this] { return feed_.leader(); }),
      prober_(loop, paths_.probe_dialer(),
              [this](const upstream_id& id, probe_result outcome) {
                  on_probe_finished(id, outcome);
              }),
      quarantine_({.report =
                       [this](const crash_report& report) {
                           return placer_.report_crash(report);
                       },
                   .report_answered =
                       [this](const suspect_answered& answered) {
                           feed_.report_answered(answered);
                       },
                   .check_engine =
                       [this](const upstream_id& id) {
                           if (const auto* engine = directory_.find(id)) {
                               prober_.probe(id, engine->announced.address);
                           } else {
                               quarantine_.dismiss(id);
                           }
                       },
                   .on_added =
                       [this](const service_id& service) {
                           for (const auto& each : exchanges()) {
                               each->on_quarantine(service);
                           }
                       }}),
      rollouts_({.position = position_of(settings_.control.self),
                 .slack = settings_.trial_slack}),
      context_{
          .loop = loop,
          .upstream_client = client_,
          .protocol = protocol_,
          .directory = directory_,
          .retries = retries_,
          .placer = placer_,
          .quarantine = quarantine_,
          .rollouts = rollouts_,
          .metrics = metrics_,
          .answers = answers_,
          .times = response_times_,
          .origins = origins_,
          .report_suspicion =
              [this](const upstream_id& id) { on_loss_observed(id); },
          .probe =
              [this](const upstream_id& id,
                     std::function<void(probe_result)> on_result) {
                  probe(id, std::move(on_result));
              },
          .on_statement =
              [this](const upstream_id& id, std::uint64_t started_at,
                     const response_description& answer) {
                  on_statement(id, started_at, answer);
              },
          .record_origin =
              [this](std::uint64_t stream, const stream_origin& origin,
                     bool known_to_leader) {
                  const origin_batch batch{origin, {stream}, true};
                  origins_.merge(batch, stream_origins::conflict::replace,
                                 loop_.now());
                  if (!known_to_leader) {
                      feed_.report_origins({&batch, 1});
                  }
              },
          .find_origin =
              [this](const find_origin& request,
                     std::function<void(result<origin_reply>)> on_reply) {
                  placer_.find_origin(feed_.home(), request, find_origin_limit,
                                      std::move(on_reply));
              },
          .planner = [this](const service_id& service) -> stream_planner& {
              return planners_[service];
          },
          .profile =
              [this](const service_id& service) -> const engine_profile* {
              const relay::service* declared =
                  table_ ? table_->find_service(service) : nullptr;
              return declared != nullptr && declared->engine
                         ? &*declared->engine
                         : nullptr;
          },
          .refresh_planner =
              [this](const service_id& service) { refresh_planner(service); }},
      startup_queue_(loop, settings_.queue,
                     [this](const pending_request& arrived) {
                         reject(arrived.responder, arrived.description, 503,
                                "no_configuration");
                     }),
      tick_timer_(loop, [this] { tick(); }),
      evidence_timer_(loop, [this] { report_evidence(); }),
      stop_timer_(loop, [this] { end_open_work(); })
{}

relay_gate::~relay_gate() = default;

result<void> relay_gate::start()
{
    net::http1_server::options server_options{
        .listen_address = settings_.caller_address,
        .unread_timeout = settings_.readers.unread_limit,
        .refusal_fields = protocol_.retry_after(full_retry_after),
        .on_client_limit =
            [this](net::client_limit_action action) {
                client_limits_.note(action);
            },
        .on_discarded_input =
            [this](const net::discarded_input& input) {
                on_discarded_input(input);
            }};
    apply(settings_.callers, server_options);
    BOOST_OUTCOME_TRY(server,
                      net::http1_server::start(
                          loop_, std::move(server_options),
                          [this](net::http1_request request,
                                 const net::http1_responder_ptr& responder) {
                              on_request(std::move(request), responder);
                          }));
    server_ = std::move(server);
    answers_.attach(*server_);
    BOOST_OUTCOME_TRYV(paths_.start(client_));
    tick_timer_.start_periodic(tick_interval);
    return outcome::success();
}

bool relay_gate::ready() const
{
    return table_ != nullptr && !stopping_;
}

void relay_gate::reject(const net::http1_responder_ptr& responder,
                        const request_description& description, unsigned status,
                        std::string_view cause)
{
    log(events::request_refused,
        {{"request", description.attempt.value()},
         {"cause", cause},
         {"status", status},
         {"version", table_ ? table_->source().version : 0}});
    const duration delay =
        stopping_ ? stopping_retry_after : unconfigured_retry_after;
    responder->respond(
        status,
        status == 503 ? protocol_.retry_after(delay) : net::header_list(), {});
}

void relay_gate::on_request(net::http1_request request,
                            const net::http1_responder_ptr& responder)
{
    metrics_.requests.add();
    auto described = protocol_.describe_request(request);
    if (!described) {
        reject(responder, {}, 400, described.error().detail);
        return;
    }
    pending_request arrived{.request = std::move(request),
                            .responder = responder,
                            .description = std::move(described).value(),
                            .arrived = loop_.now()};
    if (table_) {
        dispatch(std::move(arrived));
        return;
    }
    const std::string id = arrived.description.attempt.value();
    if (stopping_ || !startup_queue_.push(arrived)) {
        reject(responder, arrived.description, 503, "no_configuration");
        return;
    }
    log(events::request_held, {{"request", id},
                               {"held", startup_queue_.size()},
                               {"control_links", feed_.links_up()}});
}

void relay_gate::on_discarded_input(const net::discarded_input& input)
{
    metrics_.discarded_inputs.add();
    log(events::input_discarded,
        {{"closed", net::name_of(input.cause)},
         {"after_ms", to_milliseconds(input.after_close)}});
}

void relay_gate::dispatch(pending_request arrived)
{
    auto& [request, responder, description, arrival] = arrived;
    const route* matched = table_->find_route(
        request.headers.find("Host").value_or(""), request.path());
    if (matched == nullptr) {
        reject(responder, description, 404, "no_route");
        return;
    }
    const service_id service = route_table::pick_service(
        *matched, hash_of(description.stream().value()));
    if (refuses_while_stopping(*matched, service, description)) {
        reject(responder, description, 503, "stopping");
        return;
    }
    const client_account* account = nullptr;
    if (!matched->anonymous && table_->source().requires_key()) {
        account = table_->find_account(description.key);
        if (account == nullptr) {
            reject(responder, description, 401, "unknown_key");
            return;
        }
    }
    accepted_request accepted{
        .request =
            std::make_shared<const net::http1_request>(std::move(request)),
        .responder = responder,
        .table = table_,
        .matched_route = matched,
        .service = service,
        .account = account != nullptr ? account->name : client_account_id(),
        .arrived = arrival,
        .rank = combined_rank(account != nullptr ? account->rank : std::nullopt,
                              matched->rank),
        .description = std::move(description)};
    if (const auto rest = quarantine_.quarantine_of(
            accepted.service, traits_of(accepted, quarantine_), loop_.now())) {
        metrics_.quarantined.add();
        log(events::request_refused,
            {{"request", accepted.description.attempt.value()},
             {"route", accepted.matched_route->name},
             {"cause", "quarantined"},
             {"retry_after_ms", to_milliseconds(*rest)}});
        accepted.responder->respond(503, protocol_.retry_after(*rest), {});
        return;
    }
    const std::uint64_t number = next_exchange_++;
    const auto created =
        make_exchange(context_, std::move(accepted), [this, number] {
            exchanges_.erase(number);
            check_stopped();
        });
    exchanges_.emplace(number, created);
    created->start();
}

bool relay_gate::refuses_while_stopping(const route& candidate,
                                        const service_id& service,
                                        const request_description& description)
{
    if (!stopping_) {
        return false;
    }
    const time_point now = loop_.now();
    const duration since = now - stop_started_at_;
    if (candidate.policy == retry_policy::streaming ||
        since > settings_.accept_after_stop) {
        return true;
    }
    // Without a recent response, the request may take all of its time.
    const duration allowed = std::min(
        candidate.timeout, description.time_left.value_or(candidate.timeout));
    const auto slowest = response_times_.slowest(service, now);
    const duration expected =
        slowest ? std::min(*slowest + *slowest / 4, allowed) : allowed;
    return since + expected >= settings_.stop_limit;
}

void relay_gate::on_configuration(configuration document)
{
    const caller_limits limits = document.limits;
    directory_.declare_services(document.service_ids());
    table_ = std::make_shared<const route_table>(std::move(document));
    server_->change_limits(
        {.header_bytes = limits.header_bytes, .body_bytes = limits.body_bytes},
        limits.header_timeout, limits.idle_timeout);
    tick();
    startup_queue_.drain(
        [this](pending_request arrived) { dispatch(std::move(arrived)); });
}

std::vector<std::shared_ptr<exchange>> relay_gate::exchanges() const
{
    std::vector<std::shared_ptr<exchange>> out;
    out.reserve(exchanges_.size());
    for (const auto& [number, each] : exchanges_) {
        out.push_back(each);
    }
    return out;
}

bool relay_gate::is_recorded(const service_id& service,
                             const software_version& version) const
{
    // Without a recorded version, no stream of the service is taken for one of
    // the only version.
    const auto found = recorded_versions_.find(service);
    return found == recorded_versions_.end() || found->second.contains(version);
}

void relay_gate::refresh_planner(const service_id& service)
{
    const time_point now = loop_.now();
    const relay::service* declared =
        table_ ? table_->find_service(service) : nullptr;
    stream_planner& planner = planners_[service];
    planner.suspend_all();
    for (const auto& [id, each] : directory_.registry().instances()) {
        if (each.announced.service != service) {
            continue;
        }
        const bool engine = declared != nullptr && declared->engine;
        planner.update_engine(
            {.id = id,
             .domain = each.announced.domain,
             .kv_capacity_tokens = engine ? declared->engine->kv_capacity_tokens
                                          : default_kv_capacity_tokens,
             .slots = each.announced.slots,
             .usable = directory_.usable(each, now) &&
                       is_recorded(service, each.announced.version),
             .version = each.announced.version});
    }
    planner.reserve_scarce_versions();
}

void relay_gate::on_new_leader()
{
    for (const auto& each : exchanges()) {
        each->report_placement();
    }
    feed_.report_origins(origins_.all());
    rollouts_.report_again();
    report_evidence();
}

void relay_gate::tick()
{
    for (const auto& id : directory_.expire(loop_.now())) {
        for (auto& [service, planner] : planners_) {
            planner.remove_engine(id);
        }
        log(events::upstream_changed,
            {{"upstream", id.value()}, {"state", "forgotten"}});
    }
    quarantine_.expire(loop_.now());
    client_limits_.report(loop_.now(), *server_);
    answers_.check();
    retries_.set_gates(feed_.gates());
    if (ready() != reported_ready_) {
        reported_ready_ = ready();
        log(events::readiness_changed, {{"ready", reported_ready_},
                                        {"version", feed_.version()},
                                        {"control_links", feed_.links_up()},
                                        {"stopping", stopping_}});
    }
    check_stopped();
}

void relay_gate::stop(std::function<void()> done)
{
    if (stopping_) {
        return;
    }
    stopping_ = true;
    stop_started_at_ = loop_.now();
    on_stopped_ = std::move(done);
    log(events::process_stopping, {{"active", exchanges_.size()}});
    server_->begin_drain();
    paths_.begin_drain();
    startup_queue_.expire_all();
    stop_timer_.start_once(settings_.stop_limit - last_answers_time);
    tick();
}

void relay_gate::end_open_work()
{
    for (const auto& each : exchanges()) {
        each->give_up("stopping");
    }
    const duration since = loop_.now() - stop_started_at_;
    if (since < settings_.stop_limit) {
        stop_timer_.start_once(settings_.stop_limit - since);
    }
    check_stopped();
}

void relay_gate::check_stopped()
{
    if (!stopping_ || !on_stopped_) {
        return;
    }
    const duration since = loop_.now() - stop_started_at_;
    const bool idle = exchanges_.empty() && server_->connections() == 0 &&
                      paths_.open_tunnels() == 0;
    if (since < settings_.stop_limit &&
        (since < settings_.accept_after_stop || !idle)) {
        return;
    }
    // Connections that were accepted by the system but not by the server would
    // be reset by the exit.
    server_->stop_listening();
    if (since < settings_.stop_limit && server_->connections() > 0) {
        return;
    }
    log(events::process_stopped, {{"active", exchanges_.size()}});
    std::exchange(on_stopped_, nullptr)();
}

std::string relay_gate::metrics_text()
{
    metrics_.unread_bytes.set(static_cast<double>(answers_.unread_bytes()));
    metrics_.unsent_bytes.set(static_cast<double>(client_.unsent_bytes()));
    return registry_.prometheus_text();
}

} // namespace bamboogate::relay
