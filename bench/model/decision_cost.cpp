#include "decision_cost.hpp"

#include <bamboogate/routing/selector.hpp>

#include <algorithm>
#include <chrono>
#include <deque>
#include <random>
#include <string>

#include "fleet_model.hpp"

namespace bamboogate::model {

namespace {

using namespace std::chrono_literals;

struct running_request
{
    request_id id;
    upstream_id engine;
};

} // namespace

double decision_microseconds(unsigned accounts, unsigned engines)
{
    const scenario day = ordinary_day(user::muletiers);
    control::preset preset = day.preset;
    for (control::rank_policy& rank : preset.ranks) {
        rank.queue_limit = 100'000;
        rank.max_queue_wait = 1h;
    }
    time_point now{1h};
    scheduling::admission admission(preset, {});
    routing::selector selector;
    for (unsigned i = 0; i < engines; ++i) {
        routing::upstream_record record;
        record.latest.id = upstream_id(std::to_string(i));
        record.latest.models = {model_id("draft")};
        record.latest.slots = 8;
        selector.on_table_event(routing::table_event::joined, record, now);
    }
    constexpr unsigned slots = 256;
    constexpr int warm_up = 4000;
    constexpr int measured = 40'000;
    std::mt19937_64 random(1);
    std::deque<running_request> running;
    std::chrono::steady_clock::time_point started;
    for (int i = 0; i < warm_up + measured; ++i) {
        if (i == warm_up) {
            started = std::chrono::steady_clock::now();
        }
        // 530 requests/s are the share of one of 7 gates in the peak load.
        now += std::chrono::microseconds(1'890);
        const bool urgent = random() % 4 == 0;
        (void)admission.submit(
            {.id = request_id(std::to_string(i)),
             .rank = urgent ? "urgent" : "normal",
             .service_class = urgent ? "manifest" : "route-brief",
             .account = client_account_id(std::to_string(random() % accounts)),
             .estimated_tokens = 200 + random() % 300},
            now);
        if (running.size() >= slots) {
            const running_request& done = running.front();
            admission.tokens_generated(done.id, 300);
            selector.finished(done.engine, 0,
                              routing::selector::attempt_end::succeeded, now);
            admission.finished(done.id, now);
            running.pop_front();
        }
        const auto free = slots - static_cast<unsigned>(running.size());
        const auto todo = admission.schedule(free, now);
        for (const request_id& id : todo.start) {
            const auto choice = selector.choose_engine(
                {.model = model_id("draft"), .tokens = 300}, now, random());
            if (choice) {
                selector.started(choice.value().upstream, 300, now);
                admission.started(id, now);
                running.push_back({id, choice.value().upstream});
            }
        }
        for (const request_id& id : todo.preempt) {
            const auto found =
                std::find_if(running.begin(), running.end(),
                             [&](const auto& item) { return item.id == id; });
            selector.finished(found->engine, 0,
                              routing::selector::attempt_end::cancelled, now);
            running.erase(found);
            admission.preempted(id, now);
        }
    }
    const std::chrono::duration<double, std::micro> spent =
        std::chrono::steady_clock::now() - started;
    return spent.count() / measured;
}

} // namespace bamboogate::model
