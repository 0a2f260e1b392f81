#include <bamboogate/gate/api_error.hpp>
#include <bamboogate/gate/caller_api.hpp>
#include <bamboogate/gate/caller_token.hpp>
#include <bamboogate/orders/idempotent_call.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace bamboogate::gate {

namespace {

constexpr duration keepalive_idle_limit = std::chrono::seconds(1);
constexpr duration default_retry_after = std::chrono::seconds(1);
constexpr unsigned max_service_attempts = 3;
constexpr std::size_t max_idempotency_key_bytes = 200;

result<std::uint64_t> resume_index(const net::http_request& request)
{
    const auto text = request.headers.find("last-event-id");
    if (!text) {
        return std::uint64_t{0};
    }
    std::uint64_t last = 0;
    const auto [end, status] =
        std::from_chars(text->data(), text->data() + text->size(), last);
    constexpr std::uint64_t max_index = 1ULL << 32;
    if (status != std::errc() || end != text->data() + text->size() ||
        last >= max_index) {
        return fail(errc::invalid_argument,
                    "Last-Event-ID must be the index of a token");
    }
    return last + 1;
}

/// The epoch of the tokens that the caller has; 0 when the request has none.
std::uint64_t caller_epoch(const net::http_request& request)
{
    const auto text = request.headers.find("x-generation-epoch");
    std::uint64_t epoch = 0;
    if (text) {
        std::from_chars(text->data(), text->data() + text->size(), epoch);
    }
    return epoch;
}

result<std::string> idempotency_key(const net::http_request& request)
{
    const auto key = request.headers.find("idempotency-key");
    if (!key) {
        return fail(
            errc::invalid_argument,
            "a call of a non-idempotent method needs an Idempotency-Key");
    }
    const bool printable =
        std::all_of(key->begin(), key->end(),
                    [](unsigned char c) { return std::isprint(c) != 0; });
    if (key->empty() || key->size() > max_idempotency_key_bytes || !printable) {
        return fail(errc::invalid_argument,
                    fmt::format("Idempotency-Key must be 1 to {} printable "
                                "bytes",
                                max_idempotency_key_bytes));
    }
    return std::string(*key);
}

const control::plain_service*
find_service(const control::declarations& declared, const service_id& service)
{
    const auto found =
        std::find_if(declared.services.begin(), declared.services.end(),
                     [&](const auto& each) { return each.id == service; });
    return found == declared.services.end() ? nullptr : &*found;
}

bool may_use(const control::client_account& account, const service_id& service)
{
    return std::find(account.services.begin(), account.services.end(),
                     service) != account.services.end();
}

void respond_call(net::responder& out, result<orders::service_answer> answer)
{
    if (!answer) {
        const bool retry =
            outcome_of(answer.error().code) == request_outcome::not_run ||
            answer.error().code == errc::in_progress;
        respond_error(out, answer.error(),
                      retry ? std::optional(default_retry_after)
                            : std::nullopt);
        return;
    }
    net::http_headers headers;
    for (const auto& [name, value] : answer.value().answer.headers) {
        headers.add(name, value);
    }
    if (answer.value().replayed) {
        headers.add("idempotency-replayed", "true");
    }
    out.respond(answer.value().answer.status, headers,
                std::move(answer.value().answer.body));
}

} // namespace

caller_api::caller_api(dependencies deps) : deps_(std::move(deps)) {}

void caller_api::add_routes(net::http_router& router)
{
    router.add("POST", "/v1/completions",
               [this](const net::http_request& request, const net::path_values&,
                      const responder_ptr& out) { complete(request, out); });
    router.add("GET", "/v1/completions/{id}",
               [this](const net::http_request& request,
                      const net::path_values& values,
                      const responder_ptr& out) {
                   continue_completion(request, values.find("id")->second, out);
               });
    router.add("*", "/v1/services/{service}/{path...}",
               [this](const net::http_request& request,
                      const net::path_values& values,
                      const responder_ptr& out) {
                   call_service(request, values, out);
               });
}

result<void> caller_api::accepts_new_work() const
{
    if (draining_) {
        return fail(errc::not_run, "the gate is draining");
    }
    if (!deps_.control.current()) {
        return fail(errc::not_run, "the gate has no configuration yet");
    }
    if (!deps_.serve_without_lease && !deps_.control.lease_valid()) {
        return fail(errc::lease_expired, "the gate has no valid lease; it "
                                         "cannot confirm the preset in force");
    }
    return outcome::success();
}

result<caller_api::account_ptr>
caller_api::authenticate(const net::http_request& request) const
{
    return deps_.auth.client_of(request.headers);
}

void caller_api::complete(const net::http_request& request,
                          const responder_ptr& out)
{
    const auto accepts = accepts_new_work();
    if (!accepts) {
        respond_error(*out, accepts.error(), default_retry_after);
        return;
    }
    const auto caller = authenticate(request);
    if (!caller) {
        respond_error(*out, caller.error());
        return;
    }
    auto parsed = parse_completion_request(request.body);
    if (!parsed) {
        respond_error(*out, parsed.error());
        return;
    }
    const auto configuration = deps_.control.current();
    const auto service_class = resolve_service_class(
        parsed.value(), *caller.value(), configuration->declared);
    if (!service_class) {
        respond_error(*out, service_class.error());
        return;
    }
    start(std::move(parsed).value(), caller.value(), service_class.value(),
          out);
}

void caller_api::start(completion_request request, const account_ptr& caller,
                       const control::service_class& service_class,
                       const responder_ptr& out)
{
    streaming::generation_request generation;
    generation.client_account = caller->id;
    generation.service_class = service_class.id;
    generation.model = request.model;
    generation.prompt = std::move(request.prompt);
    generation.max_tokens = request.max_tokens;
    generation.preferred_failure_domain = deps_.failure_domain;
    const auto refusal = deps_.scheduler.submit(
        {.account = caller->id,
         .service_class = service_class.id,
         .rank = service_class.rank,
         .model = request.model,
         .prompt_bytes = generation.prompt.size(),
         .max_tokens = request.max_tokens},
        [this, request, caller, generation, rank = service_class.rank,
         out](result<completion_grant> granted) mutable {
            if (!granted) {
                deps_.metrics.completion_refused(rank, caller->id,
                                                 granted.error().code);
                respond_error(*out, granted.error(), default_retry_after);
                return;
            }
            generation.priority = granted.value().priority;
            start_stream(request, caller, std::move(generation),
                         granted.value(), rank, out);
        });
    if (!refusal) {
        deps_.metrics.completion_refused(service_class.rank, caller->id,
                                         refusal.error().reason.code);
        respond_error(*out, refusal.error().reason,
                      refusal.error().retry_after);
    }
}

void caller_api::start_stream(const completion_request& request,
                              const account_ptr& caller,
                              streaming::generation_request generation,
                              const completion_grant& grant,
                              const std::string& rank, const responder_ptr& out)
{
    if (out->closed()) {
        deps_.scheduler.return_grant(grant.ticket);
        return;
    }
    // The sink needs the id of the generation, which `start` returns; the
    // sink is not called before that.
    auto sink = std::make_shared<deferred_sink>();
    const std::string service_class = generation.service_class;
    auto started = deps_.generations.start(std::move(generation), sink);
    if (!started) {
        deps_.scheduler.return_grant(grant.ticket);
        respond_error(*out, started.error(), default_retry_after);
        return;
    }
    deps_.scheduler.bind(grant.ticket, started.value());
    deps_.retry_budget.record_request(service_class);
    deps_.metrics.completion_started(started.value(), rank, caller->id,
                                     monotonic_clock::now() - grant.waited,
                                     grant.waited);
    const std::string token =
        caller_token(started.value(), caller->id, deps_.shared_secret);
    if (!request.stream) {
        sink->set_target(
            std::make_shared<json_response_sink>(out, token, request.model));
        return;
    }
    const auto configuration = deps_.control.current();
    const auto events = std::make_shared<sse_sink>(
        out, sse_sink::options{
                 .caller_token = token,
                 .model = request.model,
                 .extra_headers = {
                     {"x-preset", configuration->preset_in_force.value()},
                     {"x-config-revision",
                      std::to_string(configuration->revision.value)}}});
    sink->set_target(events);
    watch_connection(started.value(), sink, events);
}

void caller_api::continue_completion(const net::http_request& request,
                                     const std::string& token,
                                     const responder_ptr& out)
{
    const auto caller = authenticate(request);
    if (!caller) {
        respond_error(*out, caller.error());
        return;
    }
    const auto id =
        check_caller_token(token, caller.value()->id, deps_.shared_secret);
    if (!id) {
        respond_error(*out, id.error());
        return;
    }
    const auto from = resume_index(request);
    if (!from) {
        respond_error(*out, from.error());
        return;
    }
    const auto sink = std::make_shared<sse_sink>(
        out, sse_sink::options{.caller_token = token});
    deps_.generations.attach(
        id.value(),
        streaming::attach_point{.from_index = from.value(),
                                .epoch = caller_epoch(request)},
        sink);
    watch_connection(id.value(), sink, sink);
}

void caller_api::watch_connection(
    const request_id& id,
    const std::shared_ptr<streaming::token_sink>& attached,
    const std::shared_ptr<sse_sink>& events)
{
    const auto& out = events->out();
    out->on_closed([this, id, raw = attached.get()](bool complete) {
        if (!complete) {
            deps_.generations.detach(id, raw);
        }
    });
    out->on_drained([this, id] { deps_.generations.sink_ready(id); });
    streams_.push_back(events);
}

void caller_api::send_keepalives()
{
    const time_point now = monotonic_clock::now();
    std::erase_if(streams_, [now](const std::weak_ptr<sse_sink>& each) {
        const auto sink = each.lock();
        if (!sink || sink->out()->closed()) {
            return true;
        }
        sink->send_keepalive(now, keepalive_idle_limit);
        return false;
    });
}

void caller_api::call_service(const net::http_request& request,
                              const net::path_values& values,
                              const responder_ptr& out)
{
    const auto accepts = accepts_new_work();
    if (!accepts) {
        respond_error(*out, accepts.error(), default_retry_after);
        return;
    }
    const auto caller = authenticate(request);
    if (!caller) {
        respond_error(*out, caller.error());
        return;
    }
    const service_id service(values.find("service")->second);
    const auto configuration = deps_.control.current();
    const auto* declared = find_service(configuration->declared, service);
    if (declared == nullptr) {
        respond_error(*out, {errc::not_found, "no such service"});
        return;
    }
    if (!may_use(*caller.value(), service)) {
        respond_error(*out, {errc::permission_denied,
                             "the client account may not use the service"});
        return;
    }
    orders::service_request call;
    call.account = caller.value()->id;
    call.service = service;
    call.method = request.method;
    call.path = values.find("path")->second;
    call.path += request.query.empty() ? "" : "?" + request.query;
    call.headers = request.headers;
    call.body = request.body;
    call.timeout = declared->timeout;
    const auto& idempotent_methods = declared->idempotent_methods;
    const bool idempotent =
        std::find(idempotent_methods.begin(), idempotent_methods.end(),
                  request.method) != idempotent_methods.end();
    if (!idempotent) {
        auto key = idempotency_key(request);
        if (!key) {
            respond_error(*out, key.error());
            return;
        }
        call.idempotency_key = std::move(key).value();
    }
    run_service_call(std::move(call), idempotent, out);
}

void caller_api::run_service_call(orders::service_request call, bool idempotent,
                                  const responder_ptr& out)
{
    ++open_calls_;
    auto directory = [this](const service_id& service,
                            std::span<const upstream_id> excluded) {
        return deps_.directory.choose_service(service, excluded);
    };
    auto on_answer = [this, out, service = call.service,
                      idempotent](result<orders::service_answer> answer) {
        --open_calls_;
        deps_.metrics.service_call_ended(
            service, idempotent,
            answer ? "answered"
                   : std::string(name_of(outcome_of(answer.error().code))));
        respond_call(*out, std::move(answer));
    };
    if (!idempotent) {
        orders::at_most_once_call<control::control_client>::run(
            deps_.control, deps_.client, directory, std::move(call), {},
            on_answer);
        return;
    }
    const std::string budget = "service:" + call.service.value();
    deps_.retry_budget.record_request(budget);
    orders::run_idempotent_call(
        deps_.client, directory, std::move(call),
        [this, budget] { return deps_.retry_budget.try_consume(budget); },
        max_service_attempts, on_answer);
}

} // namespace bamboogate::gate
