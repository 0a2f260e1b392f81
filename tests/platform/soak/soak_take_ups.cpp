// Faults of the soak that break streams, so that their clients take them up.
#include <algorithm>

#include "soak.hpp"

namespace bamboogate::tests {

using namespace std::chrono_literals;

namespace {

constexpr duration break_interval = 900ms;
constexpr duration kill_interval = 8s; ///< between kills of all gates
/// After a kill of all gates, there is none because a version left.
constexpr duration kill_spacing = 4s;

} // namespace

void soak::step_take_ups(time_point now)
{
    if (now >= next_break_) {
        next_break_ = now + break_interval;
        break_streams();
    }
    const bool version_left = replacements_->version_left();
    const bool kills_now =
        version_left && now >= last_gate_kill_ + kill_spacing;
    if (kills_now || now >= last_gate_kill_ + kill_interval) {
        last_gate_kill_ = now;
        schedule(std::chrono::milliseconds(take_up_random_() % 1000),
                 [this] { kill_gates(); });
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

void soak::kill_gates()
{
    const auto kind = take_up_random_() % 3;
    for (auto& each : gates_) {
        if (each.program->started()) {
            kill(*each.program, draw_downtime());
        }
    }
    if (kind == 1) {
        for (auto& each : replicas_) {
            if (each->started()) {
                kill(*each, draw_downtime());
            }
        }
    } else if (kind == 2) {
        // In the same second, also at times when the first gates are back.
        schedule(std::chrono::milliseconds(take_up_random_() % 1000), [this] {
            const auto leader =
                std::find_if(replicas_.begin(), replicas_.end(),
                             [](const auto& each) { return each->leads(); });
            if (leader != replicas_.end() && replicas_down() == 0) {
                kill(**leader, draw_downtime());
            }
        });
    }
}

duration soak::draw_downtime()
{
    return std::chrono::milliseconds(200 + take_up_random_() % 2300);
}

time_point soak::disturbed_at(std::string_view gate) const
{
    time_point out{};
    for (const auto& each : gates_) {
        if (each.proxy->address().text() == gate) {
            out = each.program->disturbed_at();
        }
    }
    for (const auto& each : replicas_) {
        out = std::max(out, each->disturbed_at());
    }
    return out;
}

unsigned soak::serving(std::string_view version) const
{
    return static_cast<unsigned>(std::count_if(
        backends_.begin(), backends_.end(), [&](const auto& each) {
            return each->streams() && each->running() && !each->leaving() &&
                   each->version() == version;
        }));
}

} // namespace bamboogate::tests
