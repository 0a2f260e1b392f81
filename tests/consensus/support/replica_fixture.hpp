#ifndef BAMBOOGATE_TESTS_CONSENSUS_REPLICA_FIXTURE_HPP
#define BAMBOOGATE_TESTS_CONSENSUS_REPLICA_FIXTURE_HPP

#include <bamboogate/consensus/replica.hpp>
#include <bamboogate/observability/logger.hpp>

#include <consensus/support/temporary_folder.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bamboogate::consensus {

using namespace std::chrono_literals;

/// Stores every command; the response is the number of commands.
class list_state : public replicated_state
{
public:
    std::vector<std::string> commands;
    std::uint64_t last_index = 0;

    std::string apply(const log_position& position,
                      std::string_view command) override
    {
        CHECK(position.index > last_index);
        last_index = position.index;
        commands.emplace_back(command);
        return std::to_string(commands.size());
    }
    std::string snapshot() const override
    {
        return encode_cbor({last_index, commands});
    }
    result<void> restore(std::string_view bytes) override
    {
        BOOST_OUTCOME_TRY(document, decode_cbor(bytes));
        document.at(0).get_to(last_index);
        document.at(1).get_to(commands);
        return outcome::success();
    }
};

class replica_fixture
{
public:
    struct process
    {
        node_id id;
        std::unique_ptr<net::link_hub> hub;
        std::unique_ptr<list_state> state;
        std::unique_ptr<replica> core;
        net::address listen_address;
        std::uint64_t starts = 0;
    };

    net::event_loop loop;
    temporary_folder folder;
    std::vector<std::unique_ptr<process>> processes;
    std::vector<node_id> initial;
    replica::options base{.election_timeout = 150ms,
                          .heartbeat_interval = 30ms};

    replica_fixture()
    {
        observability::set_log_level(observability::severity::error);
    }

    std::filesystem::path data(const node_id& id) const
    {
        return folder.path() / id.value();
    }

    process& create(const std::string& name, bool initial_voter)
    {
        processes.push_back(std::make_unique<process>());
        processes.back()->id = node_id(name);
        if (initial_voter) {
            initial.push_back(node_id(name));
        }
        return *processes.back();
    }

    void run(process& target)
    {
        target.hub = std::make_unique<net::link_hub>(
            loop, net::link_hub::options{
                      .identity = {target.id, incarnation{++target.starts},
                                   failure_domain_id("south")},
                      .shared_secret = secret("shared"),
                      .heartbeat_interval = 50ms,
                      .heartbeat_timeout = 400ms,
                      .reconnect_interval = 10ms});
        const auto bound = target.hub->listen(
            target.listen_address.port != 0 ? target.listen_address
                                            : net::address{"127.0.0.1", 0});
        REQUIRE(bound);
        target.listen_address = bound.value();
        for (auto& other : processes) {
            if (other->hub && other->id != target.id) {
                target.hub->add_peer(other->id, other->listen_address);
                other->hub->add_peer(target.id, target.listen_address);
            }
        }
        target.state = std::make_unique<list_state>();
        replica::options settings = base;
        settings.data_folder = data(target.id);
        settings.initial_voters = initial;
        auto started =
            replica::start(loop, *target.hub, *target.state, settings);
        REQUIRE(started);
        target.core = std::move(started).value();
    }

    void stop(process& target)
    {
        target.core.reset();
        target.hub.reset();
    }

    void run_voters(unsigned count)
    {
        for (unsigned i = 0; i < count; ++i) {
            create(fmt::format("n{}", i), true);
        }
        for (auto& each : processes) {
            run(*each);
        }
    }

    template <typename Condition>
    bool run_until(Condition condition, duration limit = 5s)
    {
        net::timer tick(loop, [] {});
        tick.start_periodic(1ms);
        const time_point end = loop.now() + limit;
        while (loop.now() < end) {
            if (condition()) {
                return true;
            }
            loop.run_once();
        }
        return condition();
    }

    process* leader()
    {
        for (auto& each : processes) {
            if (each->core && each->core->is_leader()) {
                return each.get();
            }
        }
        return nullptr;
    }

    bool commit(const std::string& command)
    {
        if (!run_until([this] { return leader() != nullptr; })) {
            return false;
        }
        std::optional<result<proposal_result>> outcome;
        leader()->core->propose(
            command, [&](result<proposal_result> r) { outcome = r; });
        if (!run_until([&] { return outcome.has_value(); })) {
            MESSAGE(command << ": no outcome");
            return false;
        }
        if (!*outcome) {
            MESSAGE(command << ": " << outcome->error().detail);
        }
        return outcome->has_value();
    }

    bool converged()
    {
        for (auto& each : processes) {
            if (each->core && leader() != nullptr &&
                each->state->commands != leader()->state->commands) {
                return false;
            }
        }
        return leader() != nullptr;
    }

    /// Retries a membership change until it succeeds.
    template <typename Change>
    bool change(Change function)
    {
        const time_point end = loop.now() + 5s;
        while (loop.now() < end) {
            std::optional<result<void>> outcome;
            if (!run_until([this] { return leader() != nullptr; })) {
                return false;
            }
            function(*leader()->core, [&](result<void> r) { outcome = r; });
            run_until([&] { return outcome.has_value(); });
            if (outcome && outcome->has_value()) {
                return true;
            }
            run_until([] { return false; }, 20ms);
        }
        return false;
    }
};

} // namespace bamboogate::consensus

#endif
