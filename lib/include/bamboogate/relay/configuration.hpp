#ifndef BAMBOOGATE_RELAY_CONFIGURATION_HPP
#define BAMBOOGATE_RELAY_CONFIGURATION_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/result.hpp>
#include <bamboogate/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bamboogate::relay {

/// What may happen to a request whose outcome is not known.
enum class retry_policy : std::uint8_t
{
    idempotent,     ///< may run any number of times
    non_idempotent, ///< runs at most once
    streaming,      ///< events; may go on elsewhere where the route allows it
};

/// One of the services that share a route's requests.
struct weighted_service
{
    service_id service;
    unsigned weight = 1;

    bool operator==(const weighted_service&) const = default;
};

/// Where requests of one host and path prefix go.
struct route
{
    std::string name;
    std::string host;
    std::string path_prefix; ///< begins and ends with a slash
    retry_policy policy = retry_policy::non_idempotent;
    duration timeout{};             ///< longest time that a request is kept
    duration latency_objective{};   ///< to the whole answer or the first event
    duration event_gap_objective{}; ///< longest pause between two events
    unsigned rank = 0;              ///< 0 is the most urgent
    std::vector<weighted_service> targets;
    unsigned max_attempts = 1; ///< upstreams that one attempt may run on
    bool anonymous = false;    ///< needs no key
    bool resumable = false;    ///< a stream may go on at another upstream
};

/// What the engines of a service have in common.
struct engine_profile
{
    unsigned slots = 0;
    std::uint64_t kv_capacity_tokens = 0;
    std::uint64_t tokens_per_event = 1;
    bool keeps_copies = false;     ///< takes copies of other engines' runs
    bool copies_on_demand = false; ///< copies a running run when told to
    duration copy_lifetime{};      ///< of a copy that was made on order
};

/// Upstreams that are interchangeable.
struct service
{
    service_id name;
    std::string health_path;
    unsigned max_connections = 0;         ///< that one upstream accepts in all
    std::optional<engine_profile> engine; ///< unset for plain services
};

/// A client account and its keys.
struct client_account
{
    client_account_id name;
    std::vector<std::string> keys;
    std::optional<unsigned> rank; ///< compared before the route's rank
};

/// @brief Combines the ranks of an account and a route into one number, the
///     lower the more urgent. The account's rank goes first; between accounts
///     of one rank the route's decides.
/// @param account unset for anonymous requests and accounts without a rank,
///     which count as ordinary ones. Thread safe.
[[nodiscard]] unsigned combined_rank(std::optional<unsigned> account,
                                     unsigned route);

/// What callers may send, and how long they may take.
struct caller_limits
{
    std::size_t header_bytes = 16u << 10;
    std::size_t body_bytes = 4u << 20;
    duration header_timeout = std::chrono::seconds(3);
    duration idle_timeout = std::chrono::seconds(15);
};

/// A whole configuration under one version; the highest version is in force.
struct configuration
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<client_account> accounts;
    caller_limits limits;
};

/// @brief Checks what no single field shows: unknown services, two routes at
///     one place, no weight, no time-out, keys shared by two accounts.
/// @return `invalid_argument` with the first fault. Thread safe.
[[nodiscard]] result<void> validate(const configuration& candidate);

/// A configuration with indices for requests. Not thread safe.
class route_table
{
public:
    /// @pre validate(source) succeeds
    explicit route_table(configuration source);
    route_table(const route_table&) = delete;
    route_table& operator=(const route_table&) = delete;

    [[nodiscard]] const configuration& source() const { return source_; }

    /// @brief The route of the host with the longest prefix of the path.
    /// @return null when none matches
    [[nodiscard]] const route* find_route(std::string_view host,
                                          std::string_view path) const;

    /// @brief The account that holds a key. @return null for unknown keys
    [[nodiscard]] const client_account*
    find_account(std::string_view key) const;

    [[nodiscard]] const service* find_service(const service_id& name) const;

    /// @brief Picks a service of a route in proportion to the weights.
    /// @param random any number
    [[nodiscard]] static const service_id& pick_service(const route& which,
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
