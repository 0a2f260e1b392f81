#include <bamboogate/core/json.hpp>
#include <bamboogate/gate/api_error.hpp>

#include <cmath>

namespace bamboogate::gate {

std::string_view name_of(request_outcome outcome) noexcept
{
    switch (outcome) {
    case request_outcome::refused:
        return "refused";
    case request_outcome::not_run:
        return "not_run";
    case request_outcome::in_progress:
        return "in_progress";
    case request_outcome::unknown:
        return "unknown";
    case request_outcome::failed:
        return "failed";
    }
    return "failed";
}

request_outcome outcome_of(errc code) noexcept
{
    switch (code) {
    case errc::invalid_argument:
    case errc::malformed_input:
    case errc::limit_exceeded:
    case errc::unauthenticated:
    case errc::permission_denied:
    case errc::not_found:
    case errc::conflict:
    case errc::key_reused:
        return request_outcome::refused;
    case errc::not_run:
    case errc::not_leader:
    case errc::no_quorum:
    case errc::lease_expired:
    case errc::overloaded:
    case errc::connection_failed:
        return request_outcome::not_run;
    case errc::in_progress:
        return request_outcome::in_progress;
    case errc::outcome_unknown:
    case errc::generation_not_found:
        return request_outcome::unknown;
    default:
        return request_outcome::failed;
    }
}

unsigned status_of(errc code) noexcept
{
    switch (code) {
    case errc::invalid_argument:
    case errc::malformed_input:
        return 400;
    case errc::unauthenticated:
        return 401;
    case errc::permission_denied:
        return 403;
    case errc::not_found:
    case errc::generation_not_found:
        return 404;
    case errc::conflict:
    case errc::in_progress:
        return 409;
    case errc::limit_exceeded:
        return 413;
    case errc::key_reused:
        return 422;
    case errc::overloaded:
        return 429;
    case errc::not_run:
    case errc::not_leader:
    case errc::no_quorum:
    case errc::lease_expired:
    case errc::connection_failed:
        return 503;
    case errc::outcome_unknown:
    case errc::connection_lost:
    case errc::upstream_failed:
        return 502;
    case errc::deadline_exceeded:
        return 504;
    default:
        return 500;
    }
}

std::string error_body(const error& reason)
{
    const json body = {{"error",
                        {{"type", bamboogate::name_of(reason.code)},
                         {"outcome", name_of(outcome_of(reason.code))},
                         {"message", reason.detail}}}};
    // A message may quote caller input that is not valid UTF-8.
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

void respond_error(net::responder& out, const error& reason,
                   std::optional<duration> retry_after)
{
    net::http_headers headers{{"content-type", "application/json"}};
    if (reason.code == errc::unauthenticated) {
        headers.add("www-authenticate", "Bearer");
    }
    if (retry_after) {
        const auto seconds =
            static_cast<long>(std::ceil(to_seconds(*retry_after)));
        headers.add("retry-after", std::to_string(std::max(1L, seconds)));
    }
    out.respond(status_of(reason.code), headers, error_body(reason));
}

} // namespace bamboogate::gate
