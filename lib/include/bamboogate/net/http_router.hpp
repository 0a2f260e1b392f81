#ifndef BAMBOOGATE_NET_HTTP_ROUTER_HPP
#define BAMBOOGATE_NET_HTTP_ROUTER_HPP

#include <bamboogate/net/http_server.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bamboogate::net {

/// Values of the named segments of a route.
using path_values = std::map<std::string, std::string, std::less<>>;

/// Dispatches requests to handlers by method and path. A pattern is a path
/// whose segments may be `{name}`, which matches one segment; a last segment
/// `{name...}` matches the rest of the path, which may be empty. Not thread
/// safe.
class http_router
{
public:
    using handler =
        std::function<void(const http_request&, const path_values& values,
                           const std::shared_ptr<responder>&)>;
    /// Handles requests that match no route.
    using fallback = std::function<void(const http_request&, bool path_known,
                                        const std::shared_ptr<responder>&)>;

    explicit http_router(fallback on_no_match);

    /// @brief Adds a route; routes added earlier take precedence.
    /// @param method or `*` for any
    void add(std::string method, std::string_view pattern, handler function);

    /// @brief Passes a request to the first route that matches it.
    void route(const http_request& request,
               const std::shared_ptr<responder>& out) const;

private:
    struct entry
    {
        std::string method;
        std::vector<std::string> segments;
        handler function;
    };

    std::vector<entry> entries_;
    fallback fallback_;
};

/// @brief The value of a query parameter, not decoded; empty if it is absent.
///     The view is valid as long as `query`.
[[nodiscard]] std::string_view query_value(std::string_view query,
                                           std::string_view name);

} // namespace bamboogate::net

#endif
