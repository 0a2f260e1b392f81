#include "operator_request.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace bamboogate::control {

namespace {

std::uint64_t wall_time_ms()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

std::optional<std::string_view> bearer_key(const net::http_request& request)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto value = request.headers.find("authorization");
    if (!value || !value->starts_with(scheme)) {
        return std::nullopt;
    }
    return value->substr(scheme.size());
}

std::optional<std::uint64_t> count_field(const json& body, const char* name)
{
    const auto found = body.find(name);
    if (found == body.end() || !found->is_number_integer() ||
        (!found->is_number_unsigned() && found->get<std::int64_t>() < 0)) {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

} // namespace

unsigned status_of(errc code) noexcept
{
    switch (code) {
    case errc::invalid_argument:
    case errc::malformed_input:
        return 400;
    case errc::limit_exceeded:
        return 413;
    case errc::unauthenticated:
        return 401;
    case errc::permission_denied:
        return 403;
    case errc::not_found:
        return 404;
    case errc::conflict:
    case errc::key_reused:
    case errc::in_progress:
        return 409;
    case errc::not_leader:
        return 421;
    case errc::deadline_exceeded:
        return 504;
    case errc::not_run:
    case errc::no_quorum:
    case errc::overloaded:
    case errc::outcome_unknown:
        return 503;
    default:
        return 500;
    }
}

void respond_json(net::responder& out, unsigned status, const json& body)
{
    out.respond(status, {{"content-type", "application/json"}},
                body.dump(-1, ' ', false, json::error_handler_t::replace) +
                    "\n");
}

void respond_error(net::responder& out, const error& problem, json more)
{
    if (problem.code == errc::not_leader) {
        more["leader"] = problem.detail;
        more["error"] = {{"code", name_of(problem.code)},
                         {"detail", "this replica does not lead"}};
    } else {
        more["error"] = {{"code", name_of(problem.code)},
                         {"detail", problem.detail}};
    }
    respond_json(out, status_of(problem.code), more);
}

void respond_faults(net::responder& out,
                    const std::vector<declaration_fault>& faults)
{
    json list = json::array();
    for (const auto& fault : faults) {
        list.push_back({{"path", fault.path},
                        {"value", fault.value},
                        {"allowed", fault.allowed}});
    }
    respond_json(out, 422,
                 {{"error",
                   {{"code", name_of(errc::invalid_argument)},
                    {"detail", fmt::format("declarations have {} faults",
                                           faults.size())}}},
                  {"faults", std::move(list)}});
}

std::optional<std::string> authenticate(const net::http_request& request,
                                        const declarations& declared,
                                        const secret& bootstrap_key)
{
    const auto key = bearer_key(request);
    if (!key) {
        return std::nullopt;
    }
    const digest given = sha256(*key);
    if (declared.operators.empty()) {
        const bool valid =
            !bootstrap_key.empty() &&
            equal_constant_time(given, sha256(bootstrap_key.reveal()));
        return valid ? std::optional<std::string>("bootstrap") : std::nullopt;
    }
    const secret given_hex(to_hex(given));
    std::optional<std::string> found;
    for (const auto& each : declared.operators) {
        if (given_hex.matches(each.key_sha256)) {
            found = each.id;
        }
    }
    return found;
}

result<change_request> read_change(const net::http_request& request,
                                   const std::string& operator_id,
                                   duration wait, duration max_wait)
{
    BOOST_OUTCOME_TRY(body, parse_json(request.body));
    if (!body.is_object()) {
        return fail(errc::malformed_input, "the body is not an object");
    }
    BOOST_OUTCOME_TRY(operation, text_field(body, "operation_id"));
    const auto based_on = count_field(body, "based_on");
    if (!based_on) {
        return fail(errc::invalid_argument,
                    "based_on: the revision that the change is based on");
    }
    if (body.contains("wait_ms")) {
        const auto asked = count_field(body, "wait_ms");
        if (!asked) {
            return fail(errc::invalid_argument,
                        "wait_ms: a whole number of milliseconds");
        }
        // Limited before the conversion, which would overflow.
        wait = std::chrono::milliseconds(
            std::min<std::uint64_t>(*asked, 3'600'000));
    }
    return change_request{
        .origin = {.operation = operation_id(std::move(operation)),
                   .operator_id = operator_id,
                   .based_on = {*based_on},
                   .wall_time_ms = wall_time_ms()},
        .body = std::move(body),
        .wait = std::min(wait, max_wait)};
}

result<std::string> text_field(const json& body, const char* name)
{
    constexpr std::size_t longest = 256;
    const auto found = body.find(name);
    if (found == body.end() || !found->is_string() ||
        found->get_ref<const std::string&>().empty() ||
        found->get_ref<const std::string&>().size() > longest) {
        return fail(errc::invalid_argument,
                    fmt::format("{}: text of 1 to {} bytes", name, longest));
    }
    return found->get<std::string>();
}

} // namespace bamboogate::control
