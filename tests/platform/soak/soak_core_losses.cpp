// Replicas that are replaced while others restart, and the loss of as many
// disks as is tolerated as soon as all of them count again.
#include <algorithm>
#include <numeric>

#include "soak.hpp"

namespace bamboogate::tests {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t tolerated_disks = 2; ///< `faultTolerance.machines`

} // namespace

void soak::replace_replica(std::size_t replaced, std::size_t successor,
                           bool planned)
{
    const auto start_successor = [this, successor] {
        violations_.print("start", replicas_[successor]->name());
        replicas_[successor]->start(false);
    };
    machine& leaving = *replicas_[replaced];
    if (planned) {
        start_successor();
        schedule(draw_time(core_random_, 800ms, 2500ms), [this, &leaving] {
            violations_.print("terminate for good", leaving.name());
            leaving.terminate(loop_.now());
        });
        return;
    }
    violations_.print("kill for good", leaving.name());
    leaving.kill();
    schedule(draw_time(core_random_, 600ms, 2s), start_successor);
}

void soak::lose_core_disks()
{
    std::vector<std::size_t> order(settings_.replicas);
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::shuffle(order.begin(), order.end(), core_random_);
    const std::size_t replaced = 1 + core_random_() % 2;
    const std::size_t restarted = 1 + core_random_() % 2;
    const bool planned = core_random_() % 2 == 0;
    for (std::size_t i = 0; i < replaced; ++i) {
        schedule(draw_time(core_random_, 0ms, 3s),
                 [this, planned, i, leaving = order[i]] {
                     replace_replica(leaving, settings_.replicas + i, planned);
                 });
    }
    const auto first_restart = draw_time(core_random_, 0ms, 5s);
    const auto interval = draw_time(core_random_, 400ms, 2s);
    for (std::size_t i = 0; i < restarted; ++i) {
        machine& program = *replicas_[order[replaced + i]];
        schedule(first_restart + i * interval,
                 [this, &program] { terminate(program, 300ms); });
    }
    constexpr duration disturbance = 8s;
    run_for(disturbance);
    std::vector<machine*> core;
    for (std::size_t i = 0; i < settings_.replicas + replaced; ++i) {
        const auto end = order.begin() + static_cast<std::ptrdiff_t>(replaced);
        if (std::find(order.begin(), end, i) == end) {
            core.push_back(replicas_[i].get());
        }
    }
    const auto last_start = [&core] {
        time_point last;
        for (const machine* each : core) {
            last = std::max(last, each->disturbed_at());
        }
        return last;
    };
    constexpr duration stop_limit = 9s; // `graceS` and some time
    const time_point limit = loop_.now() + stop_limit;
    const auto all_up = [&] {
        return schedule_.empty() &&
               std::all_of(core.begin(), core.end(),
                           [](const machine* each) { return each->up(); });
    };
    while (!all_up() && loop_.now() < limit) {
        run_for(50ms);
    }
    if (!all_up()) {
        violations_.add("planned stop", "not all replicas are back");
        return;
    }
    run_for(
        std::max<duration>(last_start() + catch_up_time - loop_.now(), 1ms));
    // Right after a change was acknowledged.
    const unsigned acknowledged = operators_->acknowledged();
    for (int tries = 0;
         tries < 200 && operators_->acknowledged() == acknowledged; ++tries) {
        run_for(20ms);
    }
    std::shuffle(core.begin(), core.end(), core_random_);
    for (machine* each : core) {
        each->kill();
        restart(*each, 1s);
    }
    for (std::size_t i = 0; i < tolerated_disks; ++i) {
        violations_.print("lose the disk", core[i]->name());
        core[i]->lose_disk();
    }
    disks_lost_ += tolerated_disks;
    run_for(1s);
}

} // namespace bamboogate::tests
