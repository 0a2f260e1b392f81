#include <bamboogate/relay/gate_paths.hpp>
#include <bamboogate/relay/log_events.hpp>

#include <unistd.h>

#include <utility>

namespace bamboogate::relay {

using observability::log;
namespace events = log_events;

namespace {

/// Limits of a probe: many times a round trip between failure domains (1 ms),
/// and less than the shortest pause that callers notice.
constexpr duration probe_time = std::chrono::milliseconds(70);

std::vector<net::address> read_addresses(const std::vector<std::string>& texts)
{
    std::vector<net::address> out;
    for (const auto& text : texts) {
        if (auto gate = net::parse_address(text)) {
            out.push_back(std::move(gate).value());
        }
    }
    return out;
}

} // namespace

gate_paths::gate_paths(net::event_loop& loop, options settings,
                       gate_metrics& metrics, observers functions)
    : loop_(loop), settings_(std::move(settings)), metrics_(metrics),
      observers_(std::move(functions)), paths_(settings_.decisions),
      dialer_(loop, {.shared_secret = settings_.shared_secret},
              dial_observers()),
      probe_dialer_(loop,
                    {.shared_secret = settings_.shared_secret,
                     .connect_timeout = probe_time,
                     .direct_timeout = probe_time,
                     .tunnel_timeout = probe_time,
                     .total_timeout = 2 * probe_time},
                    dial_observers()),
      check_timer_(loop, [this] { check(); })
{}

net::path_dialer::observers gate_paths::dial_observers()
{
    return {.paths =
                [this](const net::address& server) {
                    return paths_.paths(server, loop_.now());
                },
            .on_result =
                [this](const net::address& server,
                       const net::network_path& path,
                       net::dial_result outcome) {
                    on_result(server, path, outcome);
                }};
}

result<void> gate_paths::start(net::http1_client& client)
{
    client_ = &client;
    if (settings_.tunnel_address) {
        net::tunnel_server::options settings{
            .listen_address = *settings_.tunnel_address,
            .shared_secret = settings_.shared_secret};
        settings.resolve = [this](const net::address& requested) {
            return observers_.is_upstream(requested) ? std::optional(requested)
                                                     : std::nullopt;
        };
        settings.on_target_result = [this](const net::address& target,
                                           net::dial_result outcome) {
            on_result(target, {}, outcome);
            if (outcome != net::dial_result::connected) {
                // A gate without callers learns here that it is partitioned.
                try_paths(target, std::nullopt);
            }
        };
        BOOST_OUTCOME_TRY(
            server, net::tunnel_server::start(loop_, std::move(settings)));
        server_ = std::move(server);
    }
    check_timer_.start_periodic(settings_.check_interval);
    return outcome::success();
}

void gate_paths::on_result(const net::address& server,
                           const net::network_path& path,
                           net::dial_result outcome)
{
    if (!path.direct()) {
        if (outcome == net::dial_result::connected) {
            metrics_.tunnelled_connections.add();
        } else {
            metrics_.failed_tunnels.add();
        }
    }
    paths_.note(server, path, outcome, loop_.now());
    if (paths_.partitioned() !=
        std::exchange(was_partitioned_, paths_.partitioned())) {
        on_change(server);
    }
}

void gate_paths::on_change(const net::address& server)
{
    log(events::upstream_paths_changed, {{"partitioned", was_partitioned_},
                                         {"upstream", server.text()},
                                         {"gates", paths_.gates()}});
    metrics_.partitioned.set(was_partitioned_ ? 1 : 0);
    observers_.report(serves_tunnels());
    if (!was_partitioned_) {
        client_->close_idle_paths(false);
        return;
    }
    // Kept connections may hang as well.
    client_->close_idle_paths(true);
    loop_.post([this, alive = std::weak_ptr(alive_)] {
        if (!alive.expired()) {
            fail_hanging_requests();
        }
    });
}

void gate_paths::fail_hanging_requests()
{
    if (was_partitioned_ && paths_.direct_path_hangs() &&
        client_->quiet_server(settings_.quiet_time)) {
        client_->fail_quiet_exchanges(settings_.quiet_time);
    }
}

void gate_paths::check()
{
    const time_point now = loop_.now();
    refresh_gates(now);
    check_quiet_connections(now);
    check_direct_path(now);
}

void gate_paths::check_quiet_connections(time_point now)
{
    if (was_partitioned_) {
        fail_hanging_requests();
        return;
    }
    const auto quiet = client_->quiet_server(settings_.quiet_time);
    if (quiet && now - trial_started_ >= settings_.quiet_time) {
        try_paths(*quiet, std::nullopt);
    }
}

void gate_paths::check_direct_path(time_point now)
{
    const bool due = paths_.needs_confirmation() ||
                     (paths_.any_detour() &&
                      now - rechecked_at_ >= settings_.recheck_interval);
    if (!due || trial_) {
        return;
    }
    rechecked_at_ = now;
    const net::address server = *paths_.next_check();
    if (observers_.is_upstream(server)) {
        try_paths(server, std::vector<net::network_path>(1));
    } else {
        paths_.forget(server);
    }
}

void gate_paths::try_paths(const net::address& server,
                           std::optional<std::vector<net::network_path>> paths)
{
    if (trial_) {
        return;
    }
    trial_started_ = loop_.now();
    const auto on_end = [this](const net::path_dialer::connection& dialled) {
        if (dialled.descriptor >= 0) {
            ::close(dialled.descriptor);
        }
        trial_.reset();
    };
    if (!paths) {
        paths = paths_.paths(server, trial_started_);
    }
    trial_ = probe_dialer_.start(server, std::move(*paths), on_end);
}

void gate_paths::refresh_gates(time_point now)
{
    const bool needed = paths_.any_detour() || !gates_known_;
    const duration interval =
        needed ? settings_.urgent_refresh_interval : settings_.refresh_interval;
    if (refreshing_ || now - refreshed_at_ < interval) {
        return;
    }
    refreshed_at_ = now;
    refreshing_ = true;
    observers_.find_gates(
        {.count = settings_.gates_requested},
        [this,
         alive = std::weak_ptr(alive_)](const result<gates_found>& reply) {
            if (alive.expired()) {
                return;
            }
            refreshing_ = false;
            if (!reply) {
                // Those that are known may still work.
                return;
            }
            gates_known_ = true;
            paths_.use_gates(read_addresses(reply.value().near),
                             read_addresses(reply.value().far));
        });
}

void gate_paths::begin_drain()
{
    stopping_ = true;
    observers_.report(false);
    if (server_) {
        server_->begin_drain(settings_.drain_quiet_time);
    }
}

} // namespace bamboogate::relay
