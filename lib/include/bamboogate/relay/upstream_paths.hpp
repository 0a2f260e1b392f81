#ifndef BAMBOOGATE_RELAY_UPSTREAM_PATHS_HPP
#define BAMBOOGATE_RELAY_UPSTREAM_PATHS_HPP

#include <bamboogate/core/time.hpp>
#include <bamboogate/net/address.hpp>
#include <bamboogate/net/path_dialer.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bamboogate::relay {

/// Decides over which paths a gate connects to upstreams: directly, or over
/// other gates. If an upstream fails directly, accepts over another gate and
/// fails directly once more, the path to it is lost: the second failure rules
/// out that the upstream has just started. If that is seen at several
/// upstreams and no direct connection succeeds meanwhile, the gate is
/// partitioned from the upstreams. Performs no I/O. Not thread safe.
class upstream_paths
{
public:
    struct options
    {
        /// Upstreams whose direct path must be lost before all of them are
        /// reached over other gates first.
        std::size_t partitioned_after = 2;
        /// Other gates tried for one connection.
        std::size_t gates_per_dial = 2;
        /// How long a direct failure explains a success over another gate.
        duration evidence_time = std::chrono::seconds(2);
        /// A gate that opened no tunnel is tried last for this long.
        duration gate_backoff = std::chrono::seconds(1);
    };

    explicit upstream_paths(options settings) : settings_(settings) {}

    /// @brief Replaces the gates that may be used.
    /// @param far of other failure domains; traffic to them is charged, so they
    ///     are used if no near one works
    void use_gates(std::vector<net::address> near,
                   std::vector<net::address> far);

    /// @brief The paths to try for a connection, best first.
    [[nodiscard]] std::vector<net::network_path>
    paths(const net::address& server, time_point now);

    /// @brief Records the result of a path.
    void note(const net::address& server, const net::network_path& path,
              net::dial_result outcome, time_point now);

    /// @brief Forgets an upstream that no longer exists.
    void forget(const net::address& server);

    /// @brief True while new connections to upstreams succeed only over other
    ///     gates.
    [[nodiscard]] bool partitioned() const
    {
        return lost_since_success_.size() >= settings_.partitioned_after;
    }

    /// @brief True if the newest direct connection that failed got no answer:
    ///     kept connections hang as well. After a refusal they may live on.
    [[nodiscard]] bool direct_path_hangs() const { return hangs_; }

    /// @brief True if any upstream is reached over another gate.
    [[nodiscard]] bool any_detour() const { return !detours_.empty(); }

    /// @brief The next upstream whose direct path should be tried again; none
    ///     without a detour. Takes turns, unconfirmed ones first.
    [[nodiscard]] std::optional<net::address> next_check();

    /// @brief True if an upstream has accepted over another gate after a direct
    ///     failure, and its direct path was not tried since.
    [[nodiscard]] bool needs_confirmation() const;

    [[nodiscard]] std::size_t gates() const
    {
        return near_.size() + far_.size();
    }

private:
    options settings_;
    std::vector<net::address> near_;
    std::vector<net::address> far_;
    std::size_t next_gate_ = 0;
    std::map<std::string, time_point> failed_gates_; ///< and when
    /// Upstreams that failed directly, and when.
    std::map<std::string, time_point> direct_failures_;
    struct detour
    {
        net::address server;
        bool confirmed = false; ///< failed directly after it had accepted
    };
    /// Upstreams that are reached over other gates.
    std::map<std::string, detour> detours_;
    /// Those of them whose direct path was lost after the last success of any
    /// direct connection.
    std::set<std::string> lost_since_success_;
    std::string last_checked_;
    bool hangs_ = false;
};

} // namespace bamboogate::relay

#endif
