#include "statement_checks.hpp"

#include <algorithm>

namespace bamboogate::tests {

using namespace std::chrono_literals;

namespace {

constexpr duration drain_limit = 2s;     ///< `drainMs` of the bounds
constexpr duration pause_notice = 500ms; ///< from the answer, as specified
constexpr unsigned max_arrivals = 2;     ///< during a pause, as specified

} // namespace

void statement_checks::sent(const std::string& attempt, const std::string& gate,
                            time_point now)
{
    attempts_[attempt] = {gate, now};
}

void statement_checks::leave_passed_on(const std::string& gate,
                                       const std::string& back_end,
                                       time_point now)
{
    leaves_ += left_.try_emplace({gate, back_end}, now).second ? 1 : 0;
}

void statement_checks::pause_stated(const std::string& attempt,
                                    const std::string& back_end, time_point now,
                                    duration length)
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return;
    }
    ++pauses_;
    const auto [entry, added] = paused_.try_emplace(
        {found->second.gate, back_end},
        pause{.from = now + pause_notice, .until = now + length});
    if (!added) {
        entry->second.until = std::max(entry->second.until, now + length);
    }
}

void statement_checks::arrived(const std::string& attempt,
                               const std::string& back_end, time_point now)
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return;
    }
    const gate_and_back_end key{found->second.gate, back_end};
    if (const auto left = left_.find(key);
        left != left_.end() && found->second.at > left->second + drain_limit) {
        violations_.add("nothing to a leaving back end",
                        fmt::format("{} at {}", attempt, back_end));
    }
    const auto paused = paused_.find(key);
    if (paused == paused_.end()) {
        return;
    }
    if (now > paused->second.until) {
        paused_.erase(paused);
    } else if (now >= paused->second.from &&
               ++paused->second.arrivals > max_arrivals) {
        violations_.add("few requests during a pause",
                        fmt::format("{} at {}", attempt, back_end));
    }
}

void statement_checks::caller_left(const std::string& attempt)
{
    attempts_.erase(attempt);
}

void statement_checks::gate_down(const std::string& gate)
{
    const auto of_gate = [&](const auto& each) {
        return each.first.first == gate;
    };
    std::erase_if(left_, of_gate);
    std::erase_if(paused_, of_gate);
}

void statement_checks::back_end_started(const std::string& back_end)
{
    std::erase_if(
        left_, [&](const auto& each) { return each.first.second == back_end; });
    disturbed(back_end);
}

void statement_checks::disturbed(const std::string& back_end)
{
    std::erase_if(paused_, [&](const auto& each) {
        return each.first.second == back_end;
    });
}

} // namespace bamboogate::tests
