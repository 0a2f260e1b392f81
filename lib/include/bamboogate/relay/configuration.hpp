#ifndef BAMBOOGATE_RELAY_CONFIGURATION_HPP
#define BAMBOOGATE_RELAY_CONFIGURATION_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/result.hpp>
#include <bamboogate/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bamboogate::relay {

/// Whether a request may be sent again while its outcome is unknown.
enum class retry_policy : std::uint8_t
{
    idempotent,     ///< may be executed more than once
    non_idempotent, ///< must be executed at most once
    streaming, ///< event stream; may resume elsewhere if the route is resumable
};

/// A target service of a route with its share of the requests.
struct weighted_service
{
    service_id service;
    unsigned weight = 1;

    bool operator==(const weighted_service&) const = default;
};

/// A routing rule for the requests of one host and path prefix.
struct route
{
    std::string name;
    std::string host;
    std::string path_prefix; ///< begins and ends with a slash
    retry_policy policy = retry_policy::non_idempotent;
    duration timeout{};             ///< time limit of a request
    duration latency_objective{};   ///< until the full response or first event
    duration event_gap_objective{}; ///< longest gap between two events
    unsigned rank = 0;              ///< 0 is the most urgent
    std::vector<weighted_service> targets;
    unsigned max_attempts = 1; ///< executions of one request, at most
    bool anonymous = false;    ///< needs no API key
    bool resumable = false;    ///< streams may resume at another upstream
};

/// Properties shared by all engines of a service.
struct engine_profile
{
    unsigned slots = 0;
    std::uint64_t kv_capacity_tokens = 0;
    std::uint64_t tokens_per_event = 1;
    bool stores_copies = false;    ///< stores KV cache copies of other engines
    bool copies_on_demand = false; ///< copies the KV cache of a run on request
    duration copy_lifetime{};      ///< of a copy made on demand

    bool operator==(const engine_profile&) const = default;
};

/// A group of interchangeable upstreams.
struct service
{
    service_id name;
    std::string health_path;
    unsigned max_connections = 0;         ///< total that one upstream accepts
    std::optional<engine_profile> engine; ///< unset for plain services
};

/// A client account and its API keys.
struct client_account
{
    client_account_id name;
    std::vector<std::string> keys;
    std::optional<unsigned> rank; ///< takes precedence over the route's rank
};

/// @brief Combines the ranks of an account and a route into one number; lower
///     is more urgent. The account's rank takes precedence, the route's rank
///     decides between accounts of equal rank.
/// @param account unset for anonymous requests and for accounts without a rank,
///     which are treated as rank 1. Thread safe.
[[nodiscard]] unsigned combined_rank(std::optional<unsigned> account,
                                     unsigned route);

/// Size and time limits for callers' requests.
struct caller_limits
{
    std::size_t header_bytes = 16u << 10;
    std::size_t body_bytes = 4u << 20;
    duration header_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);

    bool operator==(const caller_limits&) const = default;
};

/// A complete configuration with its version; the highest version is in effect.
struct configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<client_account> accounts;
    /// True if the document has a list of accounts, even an empty one. Without
    /// a list, requests need no key.
    bool declares_accounts = false;
    caller_limits limits;

    /// @brief True if requests need the key of an account, except on anonymous
    ///     routes. If the list of accounts is empty, no key is valid.
    [[nodiscard]] bool requires_key() const
    {
        return declares_accounts || !accounts.empty();
    }

    [[nodiscard]] std::set<service_id> service_ids() const
    {
        std::set<service_id> out;
        for (const auto& each : services) {
            out.insert(each.name);
        }
        return out;
    }
};

/// @brief Normalises a host for comparison: lower case, without the port.
///     Thread safe.
[[nodiscard]] std::string normalized_host(std::string_view host);

/// @brief Checks constraints between fields: unknown services, duplicate
///     routes, weights that add up to zero, missing time-outs, keys shared by
///     two accounts.
/// @return `invalid_argument` that describes the first violation; `find_errors`
///     returns all of them. Thread safe.
[[nodiscard]] result<void> validate(const configuration& candidate);

/// A configuration with indices for request lookup. Not thread safe.
class route_table
{
public:
    /// @pre validate(source) succeeds
    explicit route_table(configuration source);
    route_table(const route_table&) = delete;
    route_table& operator=(const route_table&) = delete;

    [[nodiscard]] const configuration& source() const { return source_; }

    /// @brief Finds the host's route with the longest matching path prefix.
    /// @return null when none matches
    [[nodiscard]] const route* find_route(std::string_view host,
                                          std::string_view path) const;

    /// @brief Finds the account that owns an API key.
    /// @return null for unknown keys
    [[nodiscard]] const client_account*
    find_account(std::string_view key) const;

    /// @return null for unknown names
    [[nodiscard]] const service* find_service(const service_id& name) const;

    /// @brief Picks a service of a route in proportion to the weights.
    /// @param random uniformly distributed value
    /// @pre the weights of the route's targets add up to more than 0
    [[nodiscard]] static const service_id& pick_service(const route& candidate,
                                                        std::uint64_t random);

private:
    configuration source_;
    /// Routes by host, longest prefix first.
    std::unordered_map<std::string, std::vector<const route*>> by_host_;
    std::unordered_map<std::string, const client_account*> by_key_;
    std::map<service_id, const service*> by_name_;
};

} // namespace bamboogate::relay

#endif
