#ifndef BAMBOOGATE_RELAY_GATE_PATHS_HPP
#define BAMBOOGATE_RELAY_GATE_PATHS_HPP

#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/http1_client.hpp>
#include <bamboogate/net/path_dialer.hpp>
#include <bamboogate/net/tunnel_server.hpp>
#include <bamboogate/relay/gate_metrics.hpp>
#include <bamboogate/relay/messages.hpp>
#include <bamboogate/relay/upstream_paths.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace bamboogate::relay {

/// A gate's connections to upstreams: directly, or over other gates while the
/// direct paths are lost. Finds out that they are, and that they are back, and
/// opens tunnels for other gates. Not thread safe.
class gate_paths
{
public:
    struct options
    {
        secret shared_secret;
        /// Where other gates request tunnels; without it, none are opened.
        std::optional<net::address> tunnel_address;
        upstream_paths::options decisions = {};
        /// Interval at which the connections are checked.
        duration check_interval = std::chrono::milliseconds(150);
        /// Direct connections that bring no byte for this long while a request
        /// waits are checked by a new one. Plain requests take less.
        duration quiet_time = std::chrono::milliseconds(300);
        /// Interval at which a lost direct path is tried again.
        duration recheck_interval = std::chrono::milliseconds(500);
        /// Interval at which gates are requested from a replica, without and
        /// with a need for them.
        duration refresh_interval = std::chrono::seconds(5);
        duration urgent_refresh_interval = std::chrono::milliseconds(500);
        /// Gates that are requested, of the own and of other failure domains.
        std::size_t gates_requested = 3;
        /// Tunnels that are quiet for this long are closed during a planned
        /// stop. Longer than most plain requests take.
        duration drain_quiet_time = std::chrono::milliseconds(500);
    };

    /// All of them must be set.
    struct observers
    {
        /// Whether an address is that of an upstream.
        std::function<bool(const net::address&)> is_upstream;
        /// Requests gates from a replica; calls back with an error without one.
        std::function<void(const find_gates&,
                           std::function<void(result<gates_found>)>)>
            find_gates;
        /// Reports whether this gate reaches the upstreams directly.
        std::function<void(bool)> report;
    };

    gate_paths(net::event_loop& loop, options settings, gate_metrics& metrics,
               observers functions);

    /// @brief Starts the checks, and listens for tunnels.
    /// @param client whose connections are dialled by `dialer`
    /// @return `connection_failed` if the address can't be listened on
    result<void> start(net::http1_client& client);

    /// @brief The dialer of connections for requests.
    [[nodiscard]] net::path_dialer& dialer() { return dialer_; }
    /// @brief The dialer of probes, which are judged sooner.
    [[nodiscard]] net::path_dialer& probe_dialer() { return probe_dialer_; }

    /// @brief True while new connections succeed only over other gates: failed
    ///     connections are no evidence against upstreams.
    [[nodiscard]] bool partitioned() const { return paths_.partitioned(); }

    /// @brief Whether other gates may use this one.
    [[nodiscard]] bool serves_tunnels() const
    {
        return !partitioned() && !stopping_;
    }

    /// @brief Opens no further tunnel, and closes the others when they are
    ///     quiet, for a planned stop.
    void begin_drain();
    [[nodiscard]] std::size_t open_tunnels() const
    {
        return server_ ? server_->open_tunnels() : 0;
    }

private:
    [[nodiscard]] net::path_dialer::observers dial_observers();
    void on_result(const net::address& server, const net::network_path& path,
                   net::dial_result outcome);
    void on_change(const net::address& server);
    void check();
    void check_quiet_connections(time_point now);
    /// Fails the requests on kept connections that hang like new ones.
    void fail_hanging_requests();
    void check_direct_path(time_point now);
    void refresh_gates(time_point now);
    /// Dials a server to learn which paths work, one at a time.
    void try_paths(const net::address& server,
                   std::optional<std::vector<net::network_path>> paths);

    net::event_loop& loop_;
    options settings_;
    gate_metrics& metrics_;
    observers observers_;
    upstream_paths paths_;
    net::path_dialer dialer_;
    net::path_dialer probe_dialer_;
    net::http1_client* client_ = nullptr;
    std::unique_ptr<net::tunnel_server> server_;
    std::unique_ptr<net::path_dialer::dial> trial_;
    time_point trial_started_{};
    time_point rechecked_at_{};
    time_point refreshed_at_{};
    bool gates_known_ = false; ///< a replica has replied
    bool refreshing_ = false;
    bool was_partitioned_ = false;
    bool stopping_ = false;
    /// Expires with this object, for calls of replicas.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    net::timer check_timer_;
};

} // namespace bamboogate::relay

#endif
