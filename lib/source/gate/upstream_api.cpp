#include <bamboogate/gate/api_error.hpp>
#include <bamboogate/gate/authenticator.hpp>
#include <bamboogate/gate/upstream_api.hpp>

#include <charconv>

namespace bamboogate::gate {

namespace {

void respond_outcome(routing::update_result outcome, net::responder& out)
{
    switch (outcome) {
    case routing::update_result::accepted:
        out.respond(204, {}, {});
        return;
    case routing::update_result::stale:
        respond_error(out,
                      {errc::conflict, "newer news of this upstream is known"});
        return;
    case routing::update_result::table_full:
        respond_error(out, {errc::overloaded, "too many upstreams"});
        return;
    }
}

} // namespace

upstream_api::upstream_api(routing::membership_exchange& exchange,
                           std::optional<secret> key)
    : exchange_(exchange), key_(std::move(key))
{}

void upstream_api::add_routes(net::http_router& router)
{
    router.add("POST", "/v1/upstreams",
               [this](const net::http_request& request, const net::path_values&,
                      const std::shared_ptr<net::responder>& out) {
                   announce(request, *out);
               });
    router.add("DELETE", "/v1/upstreams/{id}",
               [this](const net::http_request& request,
                      const net::path_values& values,
                      const std::shared_ptr<net::responder>& out) {
                   leave(request, upstream_id(values.find("id")->second), *out);
               });
}

bool upstream_api::admits(const net::http_request& request,
                          net::responder& out) const
{
    if (!key_) {
        return true;
    }
    const auto presented = bearer_key(request.headers);
    if (presented && key_->matches(presented.value())) {
        return true;
    }
    respond_error(out, {errc::unauthenticated, "unknown upstream key"});
    return false;
}

void upstream_api::announce(const net::http_request& request,
                            net::responder& out)
{
    if (!admits(request, out)) {
        return;
    }
    auto news = routing::parse_announcement(request.body);
    if (!news) {
        respond_error(out, news.error());
        return;
    }
    respond_outcome(exchange_.announce(std::move(news).value()), out);
}

void upstream_api::leave(const net::http_request& request,
                         const upstream_id& id, net::responder& out)
{
    if (!admits(request, out)) {
        return;
    }
    const std::string_view text =
        net::query_value(request.query, "incarnation");
    incarnation life;
    const auto [end, problem] =
        std::from_chars(text.data(), text.data() + text.size(), life.value);
    if (text.empty() || problem != std::errc() ||
        end != text.data() + text.size()) {
        respond_error(out, {errc::invalid_argument,
                            "the query needs 'incarnation' as a number"});
        return;
    }
    respond_outcome(exchange_.leave(id, life), out);
}

} // namespace bamboogate::gate
