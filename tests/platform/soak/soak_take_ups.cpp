// Faults of the soak that break streams, so that their clients take them up.
#include "soak.hpp"

namespace bamboogate::tests {

using namespace std::chrono_literals;

namespace {

constexpr duration break_interval = 900ms;

} // namespace

void soak::step_take_ups(time_point now)
{
    if (now >= next_break_) {
        next_break_ = now + break_interval;
        break_streams();
    }
}

void soak::break_streams()
{
    gate_entry& gate = gates_[take_up_random_() % gates_.size()];
    backend& engine = *backends_[take_up_random_() % backends_.size()];
    const auto kind = take_up_random_() % 8;
    const duration downtime = draw_downtime();
    if (kind == 0 && gate.program->up()) {
        kill(*gate.program, downtime);
        return;
    }
    if (kind == 1 && engine.streams() && engine.running() &&
        !engine.leaving()) {
        violations_.print("crash", engine.id());
        engine.crash();
        restart(engine, downtime, take_up_random_() % 2 == 0);
        return;
    }
    violations_.print("reset connections", gate.program->name());
    gate.proxy->reset();
}

duration soak::draw_downtime()
{
    return std::chrono::milliseconds(200 + take_up_random_() % 2300);
}

} // namespace bamboogate::tests
