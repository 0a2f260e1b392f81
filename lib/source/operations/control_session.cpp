#include <bamboogate/operations/control_session.hpp>
#include <bamboogate/operations/log_events.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <optional>

namespace bamboogate::operations {

namespace {

/// An election takes less than a second; a round per this time finds its end
/// soon without loading the replicas.
constexpr std::chrono::milliseconds round_interval{200};

errc code_of(const std::string& name)
{
    for (int value = 0; value <= static_cast<int>(errc::internal); ++value) {
        const auto code = static_cast<errc>(value);
        if (name_of(code) == name) {
            return code;
        }
    }
    return errc::internal;
}

std::string text_of(const json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string()
               ? found->get<std::string>()
               : std::string();
}

json document_of(const std::string& body)
{
    auto parsed = parse_json(body, {.max_bytes = 64u << 20});
    return parsed && parsed.value().is_object() ? std::move(parsed).value()
                                                : json::object();
}

/// The id of the leader that a `not_leader` answer names, or an empty text.
std::string leader_hint(const std::string& body)
{
    return text_of(document_of(body), "leader");
}

/// Moves the replica with an id to the front.
void prefer(std::vector<config::peer_address>& replicas, const std::string& id)
{
    const auto named = std::find_if(
        replicas.begin(), replicas.end(), [&](const auto& replica) {
            return replica.node.value() == id || replica.address.text() == id;
        });
    if (!id.empty() && named != replicas.end()) {
        std::rotate(replicas.begin(), named, named + 1);
    }
}

} // namespace

error error_from_response(unsigned status, const std::string& body)
{
    const json document = document_of(body);
    const auto found = document.find("error");
    if (found == document.end() || !found->is_object()) {
        return {errc::internal, fmt::format("HTTP status {}", status)};
    }
    // Control answers `code` and `detail`, gates `type` and `message`.
    std::string kind = text_of(*found, "code");
    if (kind.empty()) {
        kind = text_of(*found, "type");
    }
    std::string detail = text_of(*found, "detail");
    if (detail.empty()) {
        detail = text_of(*found, "message");
    }
    for (const char* field : {"winner", "revision"}) {
        if (document.contains(field)) {
            detail += fmt::format("; {}: {}", field, document[field].dump());
        }
    }
    if (document.contains("faults") && document["faults"].is_array()) {
        for (const auto& fault : document["faults"]) {
            if (fault.is_object()) {
                detail += fmt::format(
                    "\n  {}: found {}, allowed: {}", text_of(fault, "path"),
                    text_of(fault, "value"), text_of(fault, "allowed"));
            }
        }
    }
    return {code_of(kind), std::move(detail)};
}

control_session::control_session(net::event_loop& loop, options settings)
    : loop_(loop), settings_(std::move(settings)), client_(loop)
{}

void control_session::wait(duration how_long)
{
    net::timer pause(loop_, [this] { loop_.stop(); });
    pause.start_once(how_long);
    loop_.run();
}

net::http_client::outcome_type
control_session::send(const net::address& where, const control_request& what,
                      duration timeout)
{
    net::http_client::request request;
    request.method = what.method;
    request.url = "http://" + where.text() + what.path;
    request.headers.add("authorization",
                        "Bearer " +
                            std::string(settings_.operator_key.reveal()));
    if (!what.body.is_null()) {
        request.headers.add("content-type", "application/json");
        request.body = what.body.dump();
    }
    request.total_timeout = timeout;
    request.max_body_bytes = 64u << 20;
    std::optional<net::http_client::outcome_type> answer;
    const auto transfer =
        client_.start(std::move(request),
                      {.on_done = [&](net::http_client::outcome_type outcome) {
                          answer = std::move(outcome);
                          loop_.stop();
                      }});
    while (!answer) {
        loop_.run();
    }
    return std::move(*answer);
}

result<json> control_session::call(const control_request& what)
{
    const auto deadline = loop_.now() + settings_.timeout;
    std::string problems;
    while (true) {
        problems.clear();
        auto replicas = settings_.replicas;
        for (std::size_t at = 0; at < replicas.size(); ++at) {
            const auto where = replicas[at].address;
            const auto left = deadline - loop_.now();
            if (left <= duration::zero()) {
                break;
            }
            auto answer =
                send(where, what, std::min(left, what.attempt_timeout));
            error problem;
            if (!answer) {
                problem = answer.error().reason;
                if (answer.error().request_may_have_been_sent &&
                    what.after_loss == resend::forbidden) {
                    return fail(errc::outcome_unknown,
                                where.text() +
                                    ": the answer was lost: " + problem.detail);
                }
            } else if (answer.value().status < 300) {
                return parse_json(answer.value().body,
                                  {.max_bytes = 64u << 20});
            } else {
                const auto& body = answer.value().body;
                problem = error_from_response(answer.value().status, body);
                const bool another = problem.code == errc::not_leader ||
                                     problem.code == errc::no_quorum;
                if (!another) {
                    return problem;
                }
                std::vector<config::peer_address> rest(
                    replicas.begin() + static_cast<std::ptrdiff_t>(at + 1),
                    replicas.end());
                prefer(rest, leader_hint(body));
                std::copy(rest.begin(), rest.end(),
                          replicas.begin() +
                              static_cast<std::ptrdiff_t>(at + 1));
                prefer(settings_.replicas, leader_hint(body));
            }
            observability::log(log_events::replica_not_used,
                               {{"replica", where.text()},
                                {"code", name_of(problem.code)},
                                {"detail", problem.detail}});
            problems += fmt::format("\n  {}: {}: {}", where.text(),
                                    name_of(problem.code), problem.detail);
        }
        if (deadline - loop_.now() <= round_interval) {
            return fail(errc::connection_failed,
                        "no control replica took the request" + problems);
        }
        wait(round_interval);
    }
}

} // namespace bamboogate::operations
