#include <bamboogate/config/settings.hpp>
#include <bamboogate/consensus/replica.hpp>
#include <bamboogate/control/command_log.hpp>
#include <bamboogate/control/control_server.hpp>
#include <bamboogate/control/log_events.hpp>
#include <bamboogate/control/operator_api.hpp>
#include <bamboogate/control/state_machine.hpp>
#include <bamboogate/control/upstream_orders.hpp>
#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/http_client.hpp>
#include <bamboogate/net/link_hub.hpp>
#include <bamboogate/net/log_writer.hpp>

#include <chrono>
#include <csignal>
#include <memory>
#include <vector>

namespace {

using namespace bamboogate;
namespace events = control::log_events;

bamboogate::incarnation process_incarnation()
{
    // Microseconds since 1970, so that a later start has a larger incarnation.
    return {static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count())};
}

std::vector<node_id> initial_voters(const config::control_settings& settings)
{
    if (settings.join) {
        return {};
    }
    std::vector<node_id> voters{settings.node};
    for (const auto& peer : settings.peers) {
        voters.push_back(peer.node);
    }
    return voters;
}

/// The components of a control replica, in the order of their dependencies.
class process
{
public:
    explicit process(config::control_settings settings)
        : settings_(std::move(settings)),
          hub_(loop_, {.identity = {settings_.node, process_incarnation(),
                                    settings_.failure_domain},
                       .shared_secret = settings_.shared_secret})
    {}

    int run()
    {
        const auto started = start();
        if (!started) {
            return report(started.error());
        }
        loop_.run();
        return exit_code_;
    }

private:
    result<void> start()
    {
        BOOST_OUTCOME_TRY(link_address, hub_.listen(settings_.link_address));
        for (const auto& peer : settings_.peers) {
            hub_.add_peer(peer.node, peer.address);
        }
        BOOST_OUTCOME_TRY(
            replica,
            consensus::replica::start(
                loop_, hub_, state_,
                {.data_folder = settings_.data_folder,
                 .initial_voters = initial_voters(settings_),
                 .election_timeout = settings_.election_timeout,
                 .snapshot_interval_entries = settings_.snapshot_interval}));
        replica_ = std::move(replica);
        replica_->on_failure([this](const error& problem) {
            if (consensus::replica::recovers_from(problem)) {
                return;
            }
            exit_code_ = report(problem);
            loop_.stop();
        });
        log_ = std::make_unique<control::replica_log>(*replica_);
        server_ = std::make_unique<control::control_server>(
            loop_, hub_, *log_, state_, control::control_server::options{});
        orders_ = std::make_unique<control::upstream_orders>(
            loop_, http_, *server_, state_,
            control::upstream_orders::options{});
        BOOST_OUTCOME_TRY(
            api, control::operator_api::start(
                     {.loop = loop_,
                      .hub = hub_,
                      .log = *log_,
                      .state = state_,
                      .server = *server_,
                      .orders = *orders_},
                     {.listen_address = settings_.operator_address,
                      .bootstrap_key = settings_.bootstrap_operator_key
                                           ? *settings_.bootstrap_operator_key
                                           : secret()}));
        api_ = std::move(api);
        loop_.on_signal(SIGTERM, [this] { stop(); });
        loop_.on_signal(SIGINT, [this] { stop(); });
        observability::log(events::process_started,
                           {{"link", link_address.text()},
                            {"operators", api_->bound_address().text()},
                            {"folder", replica_->folder_id().value}});
        return outcome::success();
    }

    /// Transfers leadership before it stops the loop, so that the other
    /// replicas need no election. The loop also stops if the transfer fails.
    void stop()
    {
        if (stopping_) {
            return;
        }
        stopping_ = true;
        observability::log(events::process_stopping,
                           {{"leader", replica_->is_leader()}});
        if (!replica_->is_leader()) {
            loop_.stop();
            return;
        }
        replica_->transfer_leadership(
            [this](const result<void>&) { loop_.stop(); });
    }

    static int report(const error& problem)
    {
        observability::log(
            events::process_failed,
            {{"error", name_of(problem.code)}, {"detail", problem.detail}});
        return config::to_int(config::exit_code_of(problem.code));
    }

    config::control_settings settings_;
    net::event_loop loop_;
    net::log_writer log_writer_{loop_};
    net::link_hub hub_;
    net::http_client http_{loop_};
    control::state_machine state_;
    std::unique_ptr<consensus::replica> replica_;
    std::unique_ptr<control::replica_log> log_;
    std::unique_ptr<control::control_server> server_;
    std::unique_ptr<control::upstream_orders> orders_;
    std::unique_ptr<control::operator_api> api_;
    bool stopping_ = false;
    int exit_code_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    const auto arguments = config::arguments_of(argc, argv);
    auto loaded =
        config::load_control_settings(arguments, config::process_environment());
    if (!loaded.settings) {
        return config::print_and_exit_code(loaded.output, loaded.diagnostics,
                                           loaded.code);
    }
    config::start_logging(*loaded.settings, loaded.unknown_variables);
    return process(std::move(*loaded.settings)).run();
}
