// A replica in a process of its own, for tests that kill, stop and restart it.
//
//     replica_process <id> <folder> <port of n0>,<port of n1>,...
//
// It reads commands from standard input, one per line, and prints one line for
// each:
//     propose <text>   committed <index> | refused <kind>
//     status           status <leader 0|1> <lease 0|1> <term> <applied>
//     list             list <command>,<command>,... (the applied commands)
//     voters           voters <number of voters in the configuration>
//
// At the start it prints "started" or "failed <kind>". It stops at the end of
// standard input. Exit codes: 2 usage, 3 listen address, 4 start of the
// replica.
#include <bamboogate/consensus/replica.hpp>
#include <bamboogate/observability/logger.hpp>

#include <fmt/format.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <sstream>
#include <string>
#include <vector>

using namespace bamboogate;
using namespace bamboogate::consensus;
using namespace std::chrono_literals;

namespace {

class list_state : public replicated_state
{
public:
    std::vector<std::string> commands;

    std::string apply(const log_position&, std::string_view command) override
    {
        commands.emplace_back(command);
        return {};
    }
    std::string snapshot() const override { return encode_cbor(commands); }
    result<void> restore(std::string_view bytes) override
    {
        BOOST_OUTCOME_TRY(document, decode_cbor(bytes));
        document.get_to(commands);
        return outcome::success();
    }
};

void print(const std::string& line)
{
    fmt::print("{}\n", line);
    std::fflush(stdout);
}

void run_command(replica& instance, const list_state& state,
                 const std::string& line)
{
    if (line.starts_with("propose ")) {
        instance.propose(line.substr(8), [](result<proposal_result> outcome) {
            print(outcome ? fmt::format("committed {}",
                                        outcome.value().position.index)
                          : fmt::format("refused {}",
                                        name_of(outcome.error().code)));
        });
        return;
    }
    if (line == "status") {
        print(fmt::format("status {} {} {} {}", instance.is_leader() ? 1 : 0,
                          instance.has_lease() ? 1 : 0, instance.term(),
                          instance.applied().index));
        return;
    }
    if (line == "voters") {
        const auto members = instance.members();
        print(fmt::format(
            "voters {}",
            std::count_if(members.begin(), members.end(), [](const auto& m) {
                return m.role == member_role::voter;
            })));
        return;
    }
    if (line == "list") {
        print(fmt::format("list {}", fmt::join(state.commands, ",")));
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 4) {
        return 2;
    }
    // Terminates with the test that started it, also if that one is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    observability::set_log_level(observability::severity::error);
    const node_id self{argv[1]};
    std::vector<std::uint16_t> ports;
    std::istringstream list(argv[3]);
    for (std::string port; std::getline(list, port, ',');) {
        ports.push_back(static_cast<std::uint16_t>(std::stoul(port)));
    }
    net::event_loop loop;
    net::link_hub hub(loop, {.identity = {self, incarnation{random_u64() >> 1},
                                          failure_domain_id("here")},
                             .shared_secret = secret("test"),
                             .heartbeat_interval = 50ms,
                             .heartbeat_timeout = 400ms,
                             .reconnect_interval = 20ms});
    replica::options settings{.data_folder = argv[2],
                              .election_timeout = 200ms,
                              .heartbeat_interval = 40ms,
                              .snapshot_interval_entries = 40};
    for (std::size_t i = 0; i < ports.size(); ++i) {
        const node_id node(fmt::format("n{}", i));
        const net::address endpoint{"127.0.0.1", ports[i]};
        settings.initial_voters.push_back(node);
        if (node != self) {
            hub.add_peer(node, endpoint);
        } else if (!hub.listen(endpoint)) {
            return 3;
        }
    }
    list_state state;
    auto started = replica::start(loop, hub, state, settings);
    if (!started) {
        print(fmt::format("failed {}", name_of(started.error().code)));
        return 4;
    }
    replica& instance = *started.value();
    instance.on_failure([&](const error&) { loop.stop(); });
    print("started");
    std::string input;
    net::io_watcher commands(loop, STDIN_FILENO, [&](net::io_event) {
        char buffer[4096];
        const auto count = read(STDIN_FILENO, buffer, sizeof buffer);
        if (count <= 0) {
            loop.stop();
            return;
        }
        input.append(buffer, static_cast<std::size_t>(count));
        for (auto end = input.find('\n'); end != std::string::npos;
             end = input.find('\n')) {
            run_command(instance, state, input.substr(0, end));
            input.erase(0, end + 1);
        }
    });
    commands.await(net::io_event::read);
    loop.run();
    return 0;
}
