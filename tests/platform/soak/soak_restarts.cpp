// Restarts of all processes around departures, the replacement of all replicas,
// and the removal of all accounts.
#include <algorithm>

#include "soak.hpp"

namespace bamboogate::tests {

using namespace std::chrono_literals;

namespace {

constexpr duration drain_limit = 2500ms; ///< `drainMs` and some time on the way
/// `contactMs` of the bounds, and the time within which gates reach a replica.
constexpr duration contact_time = 4s;
/// Long enough for requests after the restart to meet the back end.
constexpr duration serving_time = 12s;
constexpr duration announcement_delay = 2500ms;

} // namespace

void soak::leave_before_a_restart()
{
    std::vector<backend*> candidates;
    for (const auto& each : backends_) {
        if (each->running() && !each->leaving()) {
            candidates.push_back(each.get());
        }
    }
    if (candidates.empty()) {
        return;
    }
    backend& leaving = *candidates[restart_random_() % candidates.size()];
    const bool deregisters_first = restart_random_() % 2 == 0;
    violations_.print(deregisters_first ? "deregister" : "drain", leaving.id());
    leaving.drain(
        {.deregisters_first = deregisters_first, .serving = serving_time});
    schedule(announcement_delay, [this, &leaving] {
        violations_.print("late announcement", leaving.id());
        leaving.repeat_announcement();
    });
    constexpr unsigned checks = 100;
    kill_after_departure(leaving, checks);
}

void soak::kill_after_departure(backend& leaving, unsigned checks_left)
{
    if (leaving.departed_at()) {
        ++restarts_after_departures_;
        kill_all();
    } else if (checks_left > 0) {
        schedule(20ms, [this, &leaving, checks_left] {
            kill_after_departure(leaving, checks_left - 1);
        });
    }
}

void soak::check_departure(const backend& target, const std::string& attempt)
{
    const auto* sent = statements_.find(attempt);
    if (!settings_.restarts || sent == nullptr ||
        sent->at < disturbed_at(sent->gate) + contact_time) {
        return;
    }
    const auto has_departed = [&](const backend& each) {
        const auto departed = each.departed_at();
        return departed && sent->at >= *departed + drain_limit;
    };
    const bool may_go_wrong =
        std::any_of(backends_.begin(), backends_.end(), [&](const auto& each) {
            return each->running() && has_departed(*each);
        });
    attempts_after_departures_ += may_go_wrong ? 1 : 0;
    if (has_departed(target)) {
        violations_.add(
            "back ends whose departure was acknowledged get no requests",
            fmt::format("{} at {}", attempt, target.id()));
    }
}

void soak::step_core_replacement()
{
    const time_point now = loop_.now();
    if (!replicas_.back()->started()) {
        for (std::size_t i = settings_.replicas; i < replicas_.size(); ++i) {
            violations_.print("start", replicas_[i]->name());
            replicas_[i]->start(false);
        }
        next_core_stop_ = now + catch_up_time;
    }
    if (now < next_core_stop_ || replaced_replicas_ == settings_.replicas) {
        return;
    }
    machine& leaving = *replicas_[replaced_replicas_++];
    violations_.print("terminate for good", leaving.name());
    leaving.terminate(now);
    next_core_stop_ =
        now + std::chrono::milliseconds(200 + restart_random_() % 1300);
}

void soak::remove_accounts()
{
    constexpr duration apply_time = 3s; // `configApplyMs` and some time
    if (versions_) {
        // Its checks need the keys of the versions before.
        run_for(apply_time);
    }
    accounts_removed_ = true;
    const unsigned before = operators_->acknowledged();
    // Some changes are invalid on purpose.
    for (int tries = 0; tries < 20 && operators_->acknowledged() == before;
         ++tries) {
        operators_->change();
        run_for(250ms);
    }
    if (operators_->acknowledged() == before) {
        violations_.add("recovery", "the removal of all accounts is not "
                                    "acknowledged");
        return;
    }
    run_for(apply_time);
    std::vector<std::unique_ptr<net::http1_client::exchange>> exchanges;
    std::size_t refused = 0;
    for (const auto& gate : gates_) {
        exchanges.push_back(client_.start(
            gate.program->caller_address(),
            {.method = "GET",
             .target = "/look/x",
             .headers = {{"Host", "h.example"},
                         {"X-Attempt-Id", "removed-" + gate.program->name()},
                         {"Authorization", "Bearer k1"}},
             .body = {},
             .fresh_connection = true},
            {.on_head =
                 [&refused](const net::http1_response_head& head) {
                     refused += head.status == 401 ? 1 : 0;
                     return true;
                 },
             .on_body = [](std::string_view) {},
             .on_complete = [] {},
             .on_failure = [](const net::http1_failure&) {}}));
    }
    run_for(1s);
    if (refused != gates_.size()) {
        violations_.add(
            "keys of removed accounts are refused",
            fmt::format("at {} of {} gates", refused, gates_.size()));
    }
}

} // namespace bamboogate::tests
