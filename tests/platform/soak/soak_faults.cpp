// Fault injection of the soak and recovery from each fault.
#include <algorithm>

#include "soak.hpp"

namespace bamboogate::tests {

using namespace std::chrono_literals;

namespace {

/// Replicas that may be lost at once, `faultTolerance.machines`.
constexpr std::size_t tolerated_losses = 2;
/// A replica that lost its disk needs this long to catch up with the log
/// (`catchUpS`); no further disk is lost before, so that the tolerated
/// number of losses is never exceeded.
constexpr duration disk_loss_spacing = 5s;
/// Requests beyond this are cut, far below `upload_bytes`.
constexpr std::size_t longest_request_bytes = 64u << 10;

} // namespace

void soak::restart(machine& program, duration delay)
{
    schedule(delay, [this, &program] {
        if (program.stopping()) {
            restart(program, 100ms);
        } else if (!program.started()) {
            violations_.print("start", program.name());
            program.start(false);
        }
    });
}

void soak::restart(backend& stopped, duration delay, bool same_id)
{
    schedule(delay, [this, &stopped, same_id] {
        if (stopped.leaving()) {
            restart(stopped, 100ms, same_id);
        } else if (!stopped.running()) {
            stopped.change_version(
                replacements_->restart_version(stopped.version()));
            stopped.start(same_id);
            violations_.print(
                "start", fmt::format("{} {}", stopped.id(), stopped.version()));
        }
    });
}

void soak::pause(machine& program, duration time)
{
    violations_.print("pause", program.name());
    program.pause();
    schedule(time, [this, &program] {
        if (program.paused()) {
            violations_.print("resume", program.name());
            program.resume();
        }
    });
}

void soak::terminate(machine& program, duration time)
{
    violations_.print("terminate", program.name());
    program.terminate(loop_.now());
    restart(program, time);
}

void soak::inject()
{
    switch (random_() % 16) {
    case 0:
    case 1:
    case 2:
    case 3:
        fault_gate();
        break;
    case 4:
    case 5:
    case 6:
    case 7:
        fault_replica();
        break;
    case 8:
    case 9:
    case 10:
    case 11:
        fault_engine();
        break;
    case 12:
    case 13:
    case 14:
        fault_connections();
        break;
    default:
        kill_all();
    }
}

void soak::fault_gate()
{
    machine& victim = *gates_[random_() % gates_.size()].program;
    const auto kind = random_() % 3;
    const auto downtime = random_time(50ms, 2500ms);
    if (!victim.up()) {
        return;
    }
    switch (kind) {
    case 0:
        kill(victim, downtime);
        break;
    case 1:
        pause(victim, downtime);
        break;
    default:
        terminate(victim, downtime);
    }
}

void soak::fault_replica()
{
    machine& victim = *replicas_[random_() % replicas_.size()];
    const auto kind = random_() % 5;
    const auto downtime = random_time(50ms, 2500ms);
    if (!victim.up() || replicas_down() >= tolerated_losses) {
        return;
    }
    if (kind == 1) {
        pause(victim, downtime);
        return;
    }
    if (kind == 2) {
        terminate(victim, downtime);
        return;
    }
    violations_.print("kill", victim.name());
    victim.kill();
    if (kind == 3) {
        violations_.print("tear disk", victim.name());
        victim.tear_disk();
    }
    if (kind == 4 && loop_.now() >= disk_safe_at_) {
        violations_.print("lose disk", victim.name());
        victim.lose_disk();
        disk_safe_at_ = loop_.now() + downtime + disk_loss_spacing;
    }
    restart(victim, downtime);
}

void soak::fault_engine()
{
    backend& victim = *backends_[random_() % backends_.size()];
    const auto kind = random_() % 6;
    const auto downtime = random_time(100ms, 2500ms);
    if (!victim.running()) {
        return;
    }
    const auto up =
        std::count_if(backends_.begin(), backends_.end(), [](const auto& each) {
            return each->running() && !each->leaving();
        });
    switch (kind) {
    case 0:
    case 1:
        if (victim.leaving() || static_cast<std::size_t>(up) + 2 <
                                    settings_.engines + settings_.services) {
            return;
        }
        violations_.print(kind == 0 ? "crash" : "drain", victim.id());
        if (kind == 0) {
            victim.crash();
        } else {
            victim.drain(draw_departure(departure_random_));
        }
        restart(victim, kind == 0 ? downtime : downtime + 2500ms,
                random_() % 3 == 0);
        break;
    case 2:
        violations_.print("silent", victim.id());
        victim.silent = true;
        schedule(downtime, [&victim] { victim.silent = false; });
        break;
    case 3:
        violations_.print("slow", victim.id());
        victim.slowdown = 6;
        schedule(downtime, [&victim] { victim.slowdown = 1; });
        break;
    case 4:
        violations_.print("loses responses", victim.id());
        victim.loses_answers = true;
        schedule(downtime, [&victim] { victim.loses_answers = false; });
        break;
    default:
        violations_.print("truncates", victim.id());
        victim.truncates = true;
        schedule(downtime, [&victim] { victim.truncates = false; });
    }
}

void soak::fault_connections()
{
    const auto index = random_() % (gates_.size() + backends_.size());
    fault_proxy& proxy = index < gates_.size()
                             ? *gates_[index].proxy
                             : backends_[index - gates_.size()]->proxy();
    const std::string name = index < gates_.size()
                                 ? gates_[index].program->name()
                                 : backends_[index - gates_.size()]->id();
    statements_.disturbed(name);
    const auto kind = random_() % 4;
    const auto time = random_time(100ms, 2000ms);
    const auto latency = random_time(20ms, 200ms);
    switch (kind) {
    case 0:
        violations_.print("reset connections", name);
        proxy.reset();
        return;
    case 1:
        violations_.print("delay connections", name);
        proxy.delay(latency);
        break;
    case 2:
        violations_.print("cut connections one way", name);
        proxy.hold(random_() % 2 == 0 ? fault_proxy::direction::to_target
                                      : fault_proxy::direction::to_client);
        break;
    default:
        violations_.print("silence connections", name);
        proxy.hold(fault_proxy::direction::both);
    }
    schedule(time, [this, &proxy, name] {
        // Requests that were held arrive now.
        statements_.disturbed(name);
        proxy.release();
    });
}

void soak::reload_one()
{
    const auto index = reload_random_() % (gates_.size() + replicas_.size());
    machine& target = index < gates_.size() ? *gates_[index].program
                                            : *replicas_[index - gates_.size()];
    if (target.up() && target.handles_signals()) {
        target.reload();
        ++reloads_sent_;
    }
}

void soak::inject_disk_refusal()
{
    machine& victim = *replicas_[disk_random_() % replicas_.size()];
    const bool cuts_a_write = disk_random_() % 2 == 0;
    const auto time =
        std::chrono::milliseconds(300 + disk_random_() % 4200); // at most 4.5 s
    constexpr std::uint64_t bytes_of_cut_write = 20;
    if (!victim.up() || victim.refuses_writes() ||
        replicas_down() >= tolerated_losses) {
        return;
    }
    violations_.print(cuts_a_write ? "cut write" : "refuse writes",
                      victim.name());
    victim.refuse_writes(
        cuts_a_write ? victim.newest_file_bytes() + bytes_of_cut_write : 0);
    schedule(time, [this, &victim] {
        if (victim.refuses_writes()) {
            violations_.print("accept writes", victim.name());
            victim.accept_writes();
        }
    });
}

void soak::inject_statement()
{
    backend& victim = *backends_[statement_random_() % backends_.size()];
    const bool leaves = statement_random_() % 3 == 0;
    const duration pause =
        std::chrono::milliseconds(700 + statement_random_() % 2500);
    const unsigned refusals = 1 + statement_random_() % 3;
    if (!victim.running() || victim.states_leave) {
        return;
    }
    if (!leaves) {
        // It takes requests again after some refusals, before the pause ends.
        violations_.print("asks for a pause", victim.id());
        victim.stated_pause = pause;
        victim.refusals_left = refusals;
        return;
    }
    const auto usable =
        std::count_if(backends_.begin(), backends_.end(), [](const auto& each) {
            return each->running() && !each->states_leave;
        });
    if (static_cast<std::size_t>(usable) + 2 <
        settings_.engines + settings_.services) {
        return;
    }
    violations_.print("states its leave", victim.id());
    victim.states_leave = true;
    constexpr duration stays = 5s;
    schedule(stays, [this, &victim] {
        if (victim.running() && victim.states_leave) {
            victim.crash();
            violations_.print("start", victim.id());
            victim.start(false);
        }
    });
}

void soak::inject_broken_answer()
{
    backend& victim = *backends_[broken_answer_random_() % backends_.size()];
    const auto kind = broken_answer_random_() % 3;
    const duration time =
        std::chrono::milliseconds(200 + broken_answer_random_() % 1000);
    if (kind == 0) {
        cut_uploads(time);
    } else if (kind == 1 && victim.running() && victim.streams()) {
        violations_.print("fills streams", victim.id());
        victim.fills_streams = true;
        schedule(time, [&victim] { victim.fills_streams = false; });
    } else if (victim.running()) {
        violations_.print("breaks heads", victim.id());
        victim.breaks_heads = true;
        schedule(time, [&victim] { victim.breaks_heads = false; });
    }
}

void soak::cut_uploads(duration time)
{
    violations_.print("cut uploads", "every service");
    for (const auto& each : backends_) {
        if (each->streams()) {
            continue;
        }
        each->proxy().cut_uploads(
            fmt::format("HTTP/1.1 200 OK\r\nX-Response-Seal: seal-{}\r\n\r\ndo",
                        each->id()),
            longest_request_bytes);
        schedule(time, [&each] { each->proxy().cut_uploads({}, 0); });
    }
    for (const auto kind : {request_kind::booking, request_kind::lookup}) {
        callers_->start_upload(kind);
    }
}

void soak::kill(machine& program, duration downtime)
{
    violations_.print("kill", program.name());
    program.kill();
    restart(program, downtime);
}

void soak::kill_all()
{
    violations_.print("kill", "every gate and replica");
    const auto downtime = random_time(100ms, 1200ms);
    for (auto& each : replicas_) {
        each->kill();
        restart(*each, downtime + random_time(0ms, 300ms));
    }
    for (auto& each : gates_) {
        each.program->kill();
        restart(*each.program, downtime + random_time(0ms, 300ms));
    }
}

void soak::end_faults()
{
    violations_.print("end of faults", "");
    injects_faults_ = false;
    schedule_.clear();
    const auto recover = [this](machine& each) {
        if (each.paused()) {
            each.resume();
        }
        if (each.refuses_writes()) {
            each.accept_writes();
        }
        if (!each.started()) {
            each.start(false);
        }
        if (each.stopping()) {
            restart(each, 100ms);
        }
    };
    for (auto& each : replicas_) {
        recover(*each);
    }
    for (auto& each : gates_) {
        recover(*each.program);
        each.proxy->release();
    }
    for (auto& each : backends_) {
        if (!each->running()) {
            each->start(false);
        }
        if (each->leaving()) {
            restart(*each, 100ms, false);
        }
        each->proxy().release();
        if (each->states_leave) {
            each->crash();
            each->start(false);
        }
        each->silent = each->loses_answers = each->truncates =
            each->breaks_heads = each->fills_streams = false;
        each->proxy().cut_uploads({}, 0);
        each->slowdown = 1;
        each->refusals_left = 0;
    }
}

} // namespace bamboogate::tests
