// Benchmarks the replicated log over loopback: commit rate and latency, time
// without a leader, restart time. Prints one `name value unit` per line. In the
// commit benchmark each replica runs its event loop on its own thread, so that
// disk syncs overlap as they do between processes.
#include <bamboogate/consensus/replica.hpp>
#include <bamboogate/observability/logger.hpp>

#include <fmt/format.h>
#include <stdlib.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <string>
#include <thread>
#include <vector>

using namespace bamboogate;
using namespace bamboogate::consensus;
using namespace std::chrono_literals;

namespace {

/// Counts the applied commands; the snapshot is the count.
class counting_state : public replicated_state
{
public:
    std::uint64_t count = 0;

    std::string apply(const log_position&, std::string_view) override
    {
        ++count;
        return {};
    }
    std::string snapshot() const override { return std::to_string(count); }
    result<void> restore(std::string_view bytes) override
    {
        count = std::stoull(std::string(bytes));
        return outcome::success();
    }
};

struct member_process
{
    std::unique_ptr<net::event_loop> own_loop; ///< null: uses the cluster's
    node_id id;
    net::address link_address;
    std::unique_ptr<net::link_hub> hub;
    std::unique_ptr<counting_state> state;
    std::unique_ptr<replica> core;
};

class cluster
{
public:
    cluster(unsigned size, replica::options settings, bool own_loops = false)
        : settings_(std::move(settings))
    {
        std::string name =
            (std::filesystem::temp_directory_path() / "bamboogate-bench-XXXXXX")
                .string();
        folder_ = mkdtemp(name.data());
        for (unsigned i = 0; i < size; ++i) {
            settings_.initial_voters.emplace_back(fmt::format("n{}", i));
        }
        members.resize(size);
        for (unsigned i = 0; i < size; ++i) {
            members[i].id = settings_.initial_voters[i];
            if (own_loops) {
                members[i].own_loop = std::make_unique<net::event_loop>();
            }
            start(members[i]);
        }
    }

    ~cluster()
    {
        members.clear();
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    void start(member_process& member)
    {
        net::event_loop& member_loop =
            member.own_loop ? *member.own_loop : loop;
        member.hub = std::make_unique<net::link_hub>(
            member_loop, net::link_hub::options{
                             .identity = {member.id, incarnation{++starts_},
                                          failure_domain_id("here")},
                             .shared_secret = secret("bench"),
                             .reconnect_interval = 10ms});
        member.link_address = member.hub
                                  ->listen(member.link_address.port != 0
                                               ? member.link_address
                                               : net::address{"127.0.0.1", 0})
                                  .value();
        for (auto& other : members) {
            if (other.hub && &other != &member) {
                member.hub->add_peer(other.id, other.link_address);
                other.hub->add_peer(member.id, member.link_address);
            }
        }
        member.state = std::make_unique<counting_state>();
        replica::options settings = settings_;
        settings.data_folder = folder_ / member.id.value();
        member.core =
            replica::start(member_loop, *member.hub, *member.state, settings)
                .value();
    }

    static void stop(member_process& member)
    {
        member.core.reset();
        member.hub.reset();
    }

    member_process* leader()
    {
        for (auto& each : members) {
            if (each.core && each.core->is_leader()) {
                return &each;
            }
        }
        return nullptr;
    }

    template <typename Condition>
    bool run_until(Condition condition, duration limit)
    {
        net::timer wake(loop, [] {});
        wake.start_periodic(200us);
        const time_point end = loop.now() + limit;
        while (!condition() && loop.now() < end) {
            loop.run_once();
        }
        return condition();
    }

    net::event_loop loop;
    std::vector<member_process> members;

private:
    replica::options settings_;
    std::filesystem::path folder_;
    std::uint64_t starts_ = 0;
};

void print(const std::string& name, double value, std::string_view unit)
{
    fmt::print("{} {:.3f} {}\n", name, value, unit);
}

double percentile(std::vector<double>& sorted, double share)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(last * share)];
}

/// Keeps `open` proposals in flight while its replica leads. Runs on the
/// replica's thread.
class load_generator
{
public:
    load_generator(member_process& member, unsigned open,
                   std::atomic<bool>& stop)
        : member_(member), open_(open), stop_(stop),
          poll_timer_(*member.own_loop, [this] { poll(); })
    {
        poll_timer_.start_periodic(1ms);
    }

    std::vector<double> latencies_ms;
    std::uint64_t failed = 0;
    time_point begin;
    time_point end;

private:
    void poll()
    {
        if (stop_) {
            end = member_.own_loop->now();
            member_.own_loop->stop();
            return;
        }
        if (started_ || !member_.core->is_leader()) {
            return;
        }
        started_ = true;
        begin = member_.own_loop->now();
        for (unsigned i = 0; i < open_; ++i) {
            propose();
        }
    }

    void propose()
    {
        const time_point sent = member_.own_loop->now();
        member_.core->propose(
            std::string(200, 'x'), [this, sent](result<proposal_result> r) {
                if (!r) {
                    ++failed;
                    return;
                }
                latencies_ms.push_back(
                    to_milliseconds(member_.own_loop->now() - sent));
                propose();
            });
    }

    member_process& member_;
    unsigned open_;
    std::atomic<bool>& stop_;
    bool started_ = false;
    net::timer poll_timer_;
};

/// Measures commits with `open` concurrent proposals.
void measure_commits(unsigned size, bool group_commit, unsigned open,
                     duration length)
{
    cluster c(
        size,
        {.snapshot_interval_entries = 1u << 30, .group_commit = group_commit},
        true);
    std::atomic<bool> stop = false;
    std::vector<std::unique_ptr<load_generator>> generators;
    for (auto& each : c.members) {
        generators.push_back(
            std::make_unique<load_generator>(each, open, stop));
    }
    std::vector<std::thread> threads;
    for (auto& each : c.members) {
        threads.emplace_back([&each] { each.own_loop->run(); });
    }
    std::this_thread::sleep_for(length);
    stop = true;
    for (auto& each : threads) {
        each.join();
    }
    const std::string prefix =
        fmt::format("commit_{}_replicas_{}_open_{}", size, open,
                    group_commit ? "group" : "single");
    std::uint64_t failed = 0;
    for (auto& each : generators) {
        failed += each->failed;
        if (each->latencies_ms.empty()) {
            continue;
        }
        std::sort(each->latencies_ms.begin(), each->latencies_ms.end());
        print(prefix + "_rate",
              static_cast<double>(each->latencies_ms.size()) /
                  to_seconds(each->end - each->begin),
              "1/s");
        print(prefix + "_p50", percentile(each->latencies_ms, 0.50), "ms");
        print(prefix + "_p99", percentile(each->latencies_ms, 0.99), "ms");
    }
    print(prefix + "_failed", static_cast<double>(failed), "count");
    generators.clear();
}

/// Measures the time without a leader after the leader stops; it is restarted
/// after each round.
void measure_failover(unsigned rounds)
{
    cluster c(3, {});
    std::vector<double> times;
    for (unsigned i = 0; i < rounds; ++i) {
        if (!c.run_until([&] { return c.leader() != nullptr; }, 10s)) {
            break;
        }
        c.run_until([] { return false; }, 200ms);
        member_process* stopped_leader = c.leader();
        if (stopped_leader == nullptr) {
            continue;
        }
        cluster::stop(*stopped_leader);
        const time_point begin = c.loop.now();
        if (c.run_until([&] { return c.leader() != nullptr; }, 10s)) {
            times.push_back(to_milliseconds(c.loop.now() - begin));
        }
        c.start(*stopped_leader);
        c.run_until([] { return false; }, 200ms);
    }
    std::sort(times.begin(), times.end());
    print("leader_stop_rounds", static_cast<double>(times.size()), "count");
    print("leader_stop_without_leader_p50", percentile(times, 0.5), "ms");
    print("leader_stop_without_leader_max", percentile(times, 1.0), "ms");
}

/// Measures the time from the start of a replica until it leads and has applied
/// all changes.
void measure_restart(std::uint64_t changes,
                     std::uint64_t snapshot_interval_entries)
{
    cluster c(1, {.snapshot_interval_entries = snapshot_interval_entries});
    if (!c.run_until([&] { return c.leader() != nullptr; }, 10s)) {
        return;
    }
    const std::string command(200, 'x');
    std::uint64_t done = 0;
    while (done < changes) {
        const std::uint64_t target = std::min(changes, done + 2000);
        for (std::uint64_t i = done; i < target; ++i) {
            c.members[0].core->propose(
                command, [&](result<proposal_result> r) { done += r ? 1 : 0; });
        }
        if (!c.run_until([&] { return done == target; }, 10s)) {
            fmt::print("# restart: only {} changes were committed\n", done);
            return;
        }
    }
    cluster::stop(c.members[0]);
    const time_point begin = c.loop.now();
    c.start(c.members[0]);
    c.run_until(
        [&] {
            return c.leader() != nullptr &&
                   c.members[0].state->count == changes;
        },
        20s);
    const std::string name =
        fmt::format("restart_after_{}_changes_snapshot_every_{}", changes,
                    snapshot_interval_entries);
    print(name, to_milliseconds(c.loop.now() - begin), "ms");
    if (c.members[0].state->count != changes) {
        fmt::print("# restart: {} of {} changes\n", c.members[0].state->count,
                   changes);
    }
}

} // namespace

int main()
{
    observability::set_log_level(observability::severity::error);
    for (const unsigned size : {3u, 5u}) {
        for (const unsigned open : {1u, 64u}) {
            for (const bool group : {false, true}) {
                measure_commits(size, group, open, 3s);
            }
        }
    }
    measure_failover(8);
    measure_restart(100'000, 1u << 30);
    measure_restart(100'000, 10'000);
    return 0;
}
