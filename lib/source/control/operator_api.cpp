#include <bamboogate/control/declaration_diff.hpp>
#include <bamboogate/control/declaration_json.hpp>
#include <bamboogate/control/log_events.hpp>
#include <bamboogate/control/operator_api.hpp>
#include <bamboogate/net/http_router.hpp>

#include <map>
#include <utility>

#include "operator_request.hpp"

namespace bamboogate::control {

using observability::log;
using responder_ptr = std::shared_ptr<net::responder>;

namespace {

constexpr std::uint64_t default_order_deadline_ms = 5000;
constexpr std::uint64_t max_order_deadline_ms = 60'000;

std::string_view name_of_role(consensus::member_role role)
{
    return role == consensus::member_role::voter ? "voter" : "learner";
}

} // namespace

struct operator_api::impl
{
    /// Handler of a route; receives the authenticated operator.
    using route = void (impl::*)(const net::http_request&, const std::string&,
                                 const responder_ptr&);

    dependencies components;
    options settings;
    std::unique_ptr<net::http_server> http;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    impl(const dependencies& p, options o)
        : components(p), settings(std::move(o))
    {}

    void handle(const net::http_request& request, const responder_ptr& out)
    {
        static const std::map<std::pair<std::string, std::string>, route>
            routes = {{{"POST", "/v1/apply"}, &impl::apply},
                      {{"POST", "/v1/preset"}, &impl::preset},
                      {{"POST", "/v1/orders"}, &impl::order},
                      {{"GET", "/v1/orders"}, &impl::orders},
                      {{"GET", "/v1/status"}, &impl::status},
                      {{"GET", "/v1/members"}, &impl::members},
                      {{"POST", "/v1/members"}, &impl::change_members},
                      {{"POST", "/v1/drain"}, &impl::drain},
                      {{"GET", "/v1/history"}, &impl::history},
                      {{"GET", "/v1/declarations"}, &impl::declared}};
        if (request.method == "GET" && request.path == "/healthz") {
            const auto failure = components.log.failure();
            respond_json(*out, failure ? 503 : 200,
                         {{"leader", components.server.leads()},
                          {"storage", failure ? failure->detail : "ok"}});
            return;
        }
        const auto operator_id =
            authenticate(request, components.state.current().declared,
                         settings.bootstrap_key);
        if (!operator_id) {
            log(log_events::operator_refused, {{"path", request.path}});
            respond_error(*out, {errc::unauthenticated, "no valid key"});
            return;
        }
        const auto found = routes.find({request.method, request.path});
        if (found == routes.end()) {
            respond_error(*out, {errc::not_found, "no such route"});
            return;
        }
        (this->*found->second)(request, *operator_id, out);
    }

    bool require_leader(const responder_ptr& out) const
    {
        if (components.server.leads()) {
            return true;
        }
        respond_error(*out, components.server.not_leader());
        return false;
    }

    void apply(const net::http_request& request, const std::string& operator_id,
               const responder_ptr& out)
    {
        if (!require_leader(out)) {
            return;
        }
        auto change = read_change(request, operator_id, settings.default_wait,
                                  settings.max_wait);
        if (!change) {
            respond_error(*out, change.error());
            return;
        }
        const json& body = change.value().body;
        declarations next;
        std::vector<declaration_fault> faults;
        read_declarations(body.value("declarations", json()),
                          unknown_fields::refuse, next, faults);
        for (auto& fault : check_references(next)) {
            faults.push_back(std::move(fault));
        }
        if (!faults.empty()) {
            respond_faults(*out, faults);
            return;
        }
        const auto lines =
            difference(components.state.current().declared, next);
        if (body.contains("dry_run") && body["dry_run"] == json(true)) {
            respond_json(
                *out, 200,
                {{"dry_run", true},
                 {"revision", components.state.current().revision},
                 {"difference",
                  difference(components.state.current().declared, next)}});
            return;
        }
        apply_declarations next_command{.origin = change.value().origin,
                                        .declarations = to_document(next),
                                        .preset = {}};
        if (body.contains("preset")) {
            auto preset = text_field(body, "preset");
            if (!preset) {
                respond_error(*out, preset.error());
                return;
            }
            next_command.preset = preset_id(std::move(preset).value());
        }
        commit(next_command, change.value(), out);
    }

    void preset(const net::http_request& request,
                const std::string& operator_id, const responder_ptr& out)
    {
        if (!require_leader(out)) {
            return;
        }
        auto change = read_change(request, operator_id, settings.default_wait,
                                  settings.max_wait);
        if (!change) {
            respond_error(*out, change.error());
            return;
        }
        auto wanted = text_field(change.value().body, "preset");
        if (!wanted) {
            respond_error(*out, wanted.error());
            return;
        }
        commit(use_preset{.origin = change.value().origin,
                          .preset = preset_id(std::move(wanted).value())},
               change.value(), out);
    }

    /// Commits a change, waits until it is in force and responds.
    void commit(const command& value, const change_request& change,
                const responder_ptr& out)
    {
        components.server.submit(
            value, [this, origin = change.origin, wait = change.wait, out,
                    guard = alive](result<command_response> response) {
                if (*guard) {
                    on_committed(origin, wait, out, std::move(response));
                }
            });
    }

    void on_committed(const change_origin& origin, duration wait,
                      const responder_ptr& out,
                      result<command_response> response)
    {
        const bool accepted = response && response.value().ok;
        log(log_events::operator_change,
            {{"operator", origin.operator_id},
             {"operation", origin.operation.value()},
             {"based_on", origin.based_on.value},
             {"outcome", accepted
                             ? "accepted"
                             : name_of(response ? response.value().code
                                                : response.error().code)}});
        if (!response) {
            respond_error(*out, response.error());
            return;
        }
        json body = std::move(response.value().body);
        if (!accepted) {
            respond_error(*out, response.value().to_error(),
                          body.is_object() ? body : json::object());
            return;
        }
        const bamboogate::revision new_revision =
            body.at("revision").get<bamboogate::revision>();
        if (wait <= duration::zero() ||
            components.server.in_force(new_revision)) {
            body["in_force"] = components.server.in_force(new_revision);
            respond_json(*out, 200, body);
            return;
        }
        components.server.wait_in_force(
            new_revision, wait,
            [body = std::move(body), out](bool in_force) mutable {
                body["in_force"] = in_force;
                respond_json(*out, 200, body);
            });
    }

    void order(const net::http_request& request, const std::string& operator_id,
               const responder_ptr& out)
    {
        if (!require_leader(out)) {
            return;
        }
        auto order_request = read_order(request, operator_id);
        if (!order_request) {
            respond_error(*out, order_request.error());
            return;
        }
        components.orders.submit(
            order_request.value(), [out](const result<ended_order>& ended) {
                if (!ended) {
                    respond_error(*out, ended.error());
                    return;
                }
                respond_json(*out, 200, json(ended.value()));
            });
    }

    result<record_order> read_order(const net::http_request& request,
                                    const std::string& operator_id) const
    {
        BOOST_OUTCOME_TRY(change, read_change(request, operator_id,
                                              settings.default_wait,
                                              settings.max_wait));
        BOOST_OUTCOME_TRY(upstream, text_field(change.body, "upstream"));
        BOOST_OUTCOME_TRY(address_text, text_field(change.body, "address"));
        BOOST_OUTCOME_TRY(address, net::parse_address(address_text));
        const auto order = change.body.find("order");
        if (order == change.body.end() || !order->is_object()) {
            return fail(errc::invalid_argument, "order: expected an object");
        }
        const json deadline =
            change.body.value("deadline_ms", json(default_order_deadline_ms));
        if (!deadline.is_number_unsigned() ||
            deadline.get<std::uint64_t>() == 0 ||
            deadline.get<std::uint64_t>() > max_order_deadline_ms) {
            return fail(errc::invalid_argument,
                        "deadline_ms: expected an integer from 1 to 60000");
        }
        return record_order{.origin = change.origin,
                            .upstream = upstream_id(std::move(upstream)),
                            .address = address.text(),
                            .order = *order,
                            .deadline_ms = deadline.get<std::uint64_t>()};
    }

    void orders(const net::http_request& /*request*/,
                const std::string& /*operator_id*/, const responder_ptr& out)
    {
        if (!require_leader(out)) {
            return;
        }
        json open = json::array();
        for (const auto& [upstream, each] : components.state.open_orders()) {
            open.push_back(each);
        }
        respond_json(*out, 200,
                     {{"open", std::move(open)},
                      {"ended", components.state.ended_orders()}});
    }

    void status(const net::http_request& request,
                const std::string& /*operator_id*/, const responder_ptr& out)
    {
        if (net::query_value(request.query, "leader") == "1" &&
            !require_leader(out)) {
            return;
        }
        const auto& current = components.state.current();
        const auto now = components.loop.now();
        const auto leader = components.log.leader();
        json gates = json::array();
        for (const auto& [gate, lease] : components.server.leases().all()) {
            gates.push_back(
                {{"gate", gate.gate},
                 {"incarnation", gate.incarnation},
                 {"applied_revision", lease.applied},
                 {"lease_left_ms", to_milliseconds(lease.expires - now)}});
        }
        const bool leads = components.server.leads();
        respond_json(
            *out, 200,
            {{"node", components.hub.self().node},
             {"leader", leader ? json(*leader) : json()},
             {"leads", leads},
             {"term", components.log.term()},
             {"applied_index", components.log.applied().index},
             {"revision", current.revision},
             {"preset", current.preset_in_force},
             {"in_force_everywhere",
              leads ? json(components.server.in_force(current.revision))
                    : json()},
             {"gates", leads ? std::move(gates) : json::array()},
             {"journal",
              {{"entries", components.state.call_journal().size()},
               {"answer_bytes",
                components.state.call_journal().answer_bytes()}}}});
    }

    void members(const net::http_request& /*request*/,
                 const std::string& /*operator_id*/, const responder_ptr& out)
    {
        json list = json::array();
        for (const auto& each : components.log.members()) {
            list.push_back({{"node", each.node},
                            {"folder", each.folder},
                            {"role", name_of_role(each.role)},
                            {"reachable", each.reachable},
                            {"match_index", each.match_index}});
        }
        respond_json(*out, 200, {{"members", std::move(list)}});
    }

    static command_log::completion answer_completion(const responder_ptr& out)
    {
        return [out](const result<void>& completed) {
            if (!completed) {
                respond_error(*out, completed.error());
                return;
            }
            respond_json(*out, 200, {{"done", true}});
        };
    }

    void change_members(const net::http_request& request,
                        const std::string& operator_id,
                        const responder_ptr& out)
    {
        if (!require_leader(out)) {
            return;
        }
        const auto body = parse_json(request.body);
        if (!body || !body.value().is_object()) {
            respond_error(*out, {errc::malformed_input, "not a JSON object"});
            return;
        }
        const auto action = text_field(body.value(), "action");
        const auto node = text_field(body.value(), "node");
        if (!action || !node) {
            respond_error(*out, action ? node.error() : action.error());
            return;
        }
        log(log_events::operator_change, {{"operator", operator_id},
                                          {"action", action.value()},
                                          {"node", node.value()}});
        const node_id member(node.value());
        if (action.value() == "add_learner") {
            components.log.add_learner(member, answer_completion(out));
        } else if (action.value() == "promote") {
            components.log.promote(member, answer_completion(out));
        } else if (action.value() == "remove") {
            components.log.remove(member, answer_completion(out));
        } else {
            respond_error(*out,
                          {errc::invalid_argument,
                           "action: expected add_learner, promote or remove"});
        }
    }

    void drain(const net::http_request& request, const std::string& operator_id,
               const responder_ptr& out)
    {
        if (!require_leader(out)) {
            return;
        }
        const auto body = parse_json(request.body);
        const auto node = body && body.value().is_object()
                              ? text_field(body.value(), "node")
                              : result<std::string>(fail(errc::malformed_input,
                                                         "not a JSON object"));
        if (!node) {
            respond_error(*out, node.error());
            return;
        }
        log(log_events::operator_change, {{"operator", operator_id},
                                          {"action", "drain"},
                                          {"node", node.value()}});
        const node_id drained(node.value());
        if (drained == components.hub.self().node) {
            components.log.transfer_leadership(answer_completion(out));
            return;
        }
        if (!components.hub.send(drained,
                                 drain_request{.operator_id = operator_id})) {
            respond_error(*out,
                          {errc::not_found, "no link to node " + node.value()});
            return;
        }
        respond_json(*out, 202, {{"requested", true}});
    }

    void history(const net::http_request& /*request*/,
                 const std::string& /*operator_id*/, const responder_ptr& out)
    {
        if (require_leader(out)) {
            respond_json(*out, 200, {{"history", components.state.history()}});
        }
    }

    void declared(const net::http_request& /*request*/,
                  const std::string& /*operator_id*/, const responder_ptr& out)
    {
        if (require_leader(out)) {
            respond_json(*out, 200, to_document(components.state.current()));
        }
    }
};

result<std::unique_ptr<operator_api>>
operator_api::start(const dependencies& components, options settings)
{
    auto state = std::make_unique<impl>(components, std::move(settings));
    BOOST_OUTCOME_TRY(
        http,
        net::http_server::start(
            components.loop,
            {.listen_address = state->settings.listen_address,
             .daemons = 1,
             .max_connections = 256},
            [raw = state.get()](const net::http_request& request,
                                const std::shared_ptr<net::responder>& out) {
                raw->handle(request, out);
            }));
    state->http = std::move(http);
    return std::unique_ptr<operator_api>(new operator_api(std::move(state)));
}

operator_api::operator_api(std::unique_ptr<impl> state)
    : impl_(std::move(state))
{}

operator_api::~operator_api()
{
    *impl_->alive = false;
}

const net::address& operator_api::bound_address() const
{
    return impl_->http->bound_address();
}

} // namespace bamboogate::control
