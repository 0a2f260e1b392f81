#include <bamboogate/core/secret.hpp>
#include <bamboogate/orders/service_request.hpp>

#include <algorithm>
#include <array>
#include <string_view>

namespace bamboogate::orders {

namespace {

// Hop-by-hop fields, credentials of the caller, and fields that the HTTP
// libraries set themselves.
constexpr std::array<std::string_view, 12> dropped_fields = {
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "date",
};

bool is_dropped(std::string_view name)
{
    return std::find(dropped_fields.begin(), dropped_fields.end(), name) !=
           dropped_fields.end();
}

} // namespace

std::string request_digest(const service_request& request)
{
    // The lengths keep two different calls from giving the same text.
    std::string text = std::to_string(request.method.size()) + ":" +
                       std::to_string(request.path.size()) + ":";
    text += request.method;
    text += request.path;
    text += request.body;
    return to_hex(sha256(text));
}

net::http_client::request to_upstream_request(const service_request& request,
                                              const service_target& target)
{
    net::http_client::request out;
    out.method = request.method;
    out.url = "http://" + target.address + request.path;
    out.body = request.body;
    out.total_timeout = request.timeout;
    for (const auto& [name, value] : request.headers) {
        if (!is_dropped(name)) {
            out.headers.add(name, value);
        }
    }
    return out;
}

control::stored_answer to_stored_answer(net::http_client::response response)
{
    control::stored_answer out;
    out.status = response.status;
    for (const auto& [name, value] : response.headers) {
        if (!is_dropped(name)) {
            out.headers.emplace_back(name, value);
        }
    }
    out.body = std::move(response.body);
    return out;
}

} // namespace bamboogate::orders
