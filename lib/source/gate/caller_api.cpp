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

constexpr duration ping_idle_limit = std::chrono::seconds(1);
constexpr duration retry_hint = std::chrono::seconds(1);
constexpr unsigned max_service_attempts = 3;
constexpr std::size_t max_idempotency_key_bytes = 200;

result<std::uint64_t> resume_index(const net::http_request& request)
{
    const auto text = request.headers.find("last-event-id");
    if (!text) {
        return std::uint64_t{0};
    }
    std::uint64_t last = 0;
    const auto [end, problem] =
        std::from_chars(text->data(), text->data() + text->size(), last);
    constexpr std::uint64_t max_index = 1ULL << 32;
    if (problem != std::errc() || end != text->data() + text->size() ||
        last >= max_index) {
        return fail(errc::invalid_argument,
                    "Last-Event-ID must be the index of a token");
    }
    return last + 1;
}

/// The lineage of the tokens that the caller holds; 0 when it names none.
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
        return fail(errc::invalid_argument,
                    "a call that must not run twice needs an Idempotency-Key");
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

void answer_call(net::responder& out, result<orders::service_answer> end)
{
    if (!end) {
        const bool retry =
            outcome_of(end.error().code) == request_outcome::not_run ||
            end.error().code == errc::in_progress;
        respond_error(out, end.error(),
                      retry ? std::optional(retry_hint) : std::nullopt);
        return;
    }
    net::http_headers headers;
    for (const auto& [name, value] : end.value().answer.headers) {
        headers.add(name, value);
    }
    if (end.value().replayed) {
        headers.add("idempotency-replayed", "true");
    }
    out.respond(end.value().answer.status, headers,
                std::move(end.value().answer.body));
}

} // namespace

caller_api::caller_api(dependencies use) : use_(std::move(use)) {}

void caller_api::add_routes(net::http_router& router)
{
    router.add("POST", "/v1/completions",
               [this](const net::http_request& request, const net::path_values&,
                      const exchange& out) { complete(request, out); });
    router.add("GET", "/v1/completions/{id}",
               [this](const net::http_request& request,
                      const net::path_values& values, const exchange& out) {
                   continue_completion(request, values.find("id")->second, out);
               });
    router.add(
        "*", "/v1/services/{service}/{path...}",
        [this](const net::http_request& request, const net::path_values& values,
               const exchange& out) { call_service(request, values, out); });
}

result<void> caller_api::accepts_new_work() const
{
    if (draining_) {
        return fail(errc::not_run, "this gate is shutting down");
    }
    if (!use_.control.current()) {
        return fail(errc::not_run, "this gate has no configuration yet");
    }
    if (!use_.serve_without_lease && !use_.control.lease_valid()) {
        return fail(errc::lease_expired,
                    "this gate cannot confirm the preset in force");
    }
    return outcome::success();
}

result<caller_api::account>
caller_api::authenticate(const net::http_request& request) const
{
    return use_.auth.client_of(request.headers);
}

void caller_api::complete(const net::http_request& request, const exchange& out)
{
    const auto accepts = accepts_new_work();
    if (!accepts) {
        respond_error(*out, accepts.error(), retry_hint);
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
    const auto configuration = use_.control.current();
    const auto service_class = resolve_service_class(
        parsed.value(), *caller.value(), configuration->declared);
    if (!service_class) {
        respond_error(*out, service_class.error());
        return;
    }
    start(std::move(parsed).value(), caller.value(), service_class.value(),
          out);
}

void caller_api::start(completion_request request, const account& caller,
                       const control::service_class& service_class,
                       const exchange& out)
{
    streaming::generation_request generation;
    generation.client_account = caller->id;
    generation.service_class = service_class.id;
    generation.model = request.model;
    generation.prompt = std::move(request.prompt);
    generation.max_tokens = request.max_tokens;
    generation.preferred_failure_domain = use_.failure_domain;
    const auto refusal = use_.scheduler.submit(
        {.account = caller->id,
         .service_class = service_class.id,
         .rank = service_class.rank,
         .model = request.model,
         .prompt_bytes = generation.prompt.size(),
         .max_tokens = request.max_tokens},
        [this, request, caller, generation, rank = service_class.rank,
         out](result<completion_grant> granted) mutable {
            if (!granted) {
                use_.metrics.completion_refused(rank, caller->id,
                                                granted.error().code);
                respond_error(*out, granted.error(), retry_hint);
                return;
            }
            generation.priority = granted.value().priority;
            start_stream(request, caller, std::move(generation),
                         granted.value(), rank, out);
        });
    if (!refusal) {
        use_.metrics.completion_refused(service_class.rank, caller->id,
                                        refusal.error().reason.code);
        respond_error(*out, refusal.error().reason,
                      refusal.error().retry_after);
    }
}

void caller_api::start_stream(const completion_request& request,
                              const account& caller,
                              streaming::generation_request generation,
                              const completion_grant& grant,
                              const std::string& rank, const exchange& out)
{
    if (out->closed()) {
        use_.scheduler.return_grant(grant.ticket);
        return;
    }
    // The sink needs the generation's name, which `start` returns; no call
    // reaches the sink before that.
    auto sink = std::make_shared<deferred_sink>();
    const std::string service_class = generation.service_class;
    auto started = use_.generations.start(std::move(generation), sink);
    if (!started) {
        use_.scheduler.return_grant(grant.ticket);
        respond_error(*out, started.error(), retry_hint);
        return;
    }
    use_.scheduler.bind(grant.ticket, started.value());
    use_.retry_budget.record_request(service_class);
    use_.metrics.completion_started(started.value(), rank, caller->id,
                                    monotonic_clock::now() - grant.waited,
                                    grant.waited);
    const std::string token =
        caller_token(started.value(), caller->id, use_.shared_secret);
    if (!request.stream) {
        sink->set_target(
            std::make_shared<json_response_sink>(out, token, request.model));
        return;
    }
    const auto configuration = use_.control.current();
    const auto events = std::make_shared<sse_sink>(
        out, sse_sink::options{
                 .caller_token = token,
                 .model = request.model,
                 .extra_headers = {
                     {"x-preset", configuration->preset_in_force.value()},
                     {"x-config-revision",
                      std::to_string(configuration->revision.value)}}});
    events->send_headers();
    sink->set_target(events);
    follow(started.value(), sink, events);
}

void caller_api::continue_completion(const net::http_request& request,
                                     const std::string& token,
                                     const exchange& out)
{
    const auto caller = authenticate(request);
    if (!caller) {
        respond_error(*out, caller.error());
        return;
    }
    const auto id =
        check_caller_token(token, caller.value()->id, use_.shared_secret);
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
    use_.generations.attach(
        id.value(),
        streaming::attach_point{.from_index = from.value(),
                                .epoch = caller_epoch(request)},
        sink);
    follow(id.value(), sink, sink);
}

void caller_api::follow(const request_id& id,
                        const std::shared_ptr<streaming::token_sink>& known_as,
                        const std::shared_ptr<sse_sink>& events)
{
    const auto& out = events->out();
    out->on_closed([this, id, raw = known_as.get()](bool complete) {
        if (!complete) {
            use_.generations.detach(id, raw);
        }
    });
    out->on_drained([this, id] { use_.generations.sink_ready(id); });
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
        sink->send_keepalive(now, ping_idle_limit);
        return false;
    });
}

void caller_api::call_service(const net::http_request& request,
                              const net::path_values& values,
                              const exchange& out)
{
    const auto accepts = accepts_new_work();
    if (!accepts) {
        respond_error(*out, accepts.error(), retry_hint);
        return;
    }
    const auto caller = authenticate(request);
    if (!caller) {
        respond_error(*out, caller.error());
        return;
    }
    const service_id service(values.find("service")->second);
    const auto configuration = use_.control.current();
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
    const auto& repeatable = declared->idempotent_methods;
    const bool idempotent = std::find(repeatable.begin(), repeatable.end(),
                                      request.method) != repeatable.end();
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
                                  const exchange& out)
{
    ++open_calls_;
    auto directory = [this](const service_id& service,
                            std::span<const upstream_id> excluded) {
        return use_.directory.choose_service(service, excluded);
    };
    auto answered = [this, out, service = call.service,
                     idempotent](result<orders::service_answer> end) {
        --open_calls_;
        use_.metrics.service_call_ended(
            service, idempotent,
            end ? "answered"
                : std::string(name_of(outcome_of(end.error().code))));
        answer_call(*out, std::move(end));
    };
    if (!idempotent) {
        orders::at_most_once_call<control::control_client>::run(
            use_.control, use_.client, directory, std::move(call), {},
            answered);
        return;
    }
    const std::string budget = "service:" + call.service.value();
    use_.retry_budget.record_request(budget);
    orders::run_idempotent_call(
        use_.client, directory, std::move(call),
        [this, budget] { return use_.retry_budget.try_consume(budget); },
        max_service_attempts, answered);
}

} // namespace bamboogate::gate
