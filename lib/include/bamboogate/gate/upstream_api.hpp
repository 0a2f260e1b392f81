#ifndef BAMBOOGATE_GATE_UPSTREAM_API_HPP
#define BAMBOOGATE_GATE_UPSTREAM_API_HPP

#include <bamboogate/core/secret.hpp>
#include <bamboogate/net/http_router.hpp>
#include <bamboogate/routing/membership_exchange.hpp>

#include <optional>

namespace bamboogate::gate {

/// The HTTP API by which upstreams announce themselves and leave.
/// Not thread safe.
class upstream_api
{
public:
    /// @param exchange must outlive this object
    /// @param key that upstreams must present; without one, every upstream is
    ///     accepted
    upstream_api(routing::membership_exchange& exchange,
                 std::optional<secret> key);

    /// @brief Adds the routes; this object must outlive the router.
    void add_routes(net::http_router& router);

private:
    [[nodiscard]] bool authorize(const net::http_request& request,
                                 net::responder& out) const;
    void announce(const net::http_request& request, net::responder& out);
    void leave(const net::http_request& request, const upstream_id& id,
               net::responder& out);

    routing::membership_exchange& exchange_;
    std::optional<secret> key_;
};

} // namespace bamboogate::gate

#endif
