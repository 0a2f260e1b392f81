// What upstreams state and announce, in any order.
#include <bamboogate/relay/upstream_directory.hpp>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <map>
#include <random>
#include <set>
#include <utility>

using namespace bamboogate;
using namespace bamboogate::relay;
using namespace std::chrono_literals;

namespace {

using start = std::pair<std::string, std::uint64_t>; ///< id and start time

/// Random announcements, departures and statements of upstreams that start
/// again under their id or at the address of another one.
class random_upstreams
{
public:
    explicit random_upstreams(unsigned seed) : random_(seed) {}

    void step()
    {
        now_ += std::chrono::milliseconds(random_() % 400);
        switch (random_() % 8) {
        case 0:
        case 1:
        case 2:
        case 3:
            announce();
            break;
        case 4:
            state_leave();
            break;
        case 5:
            state_pause();
            break;
        case 6:
            hear_departure();
            break;
        default:
            start_again();
        }
    }
    /// Checks that the chosen upstream wants requests.
    void check() const
    {
        const instance* chosen = directory_.choose(service_, {}, now_);
        if (chosen == nullptr) {
            return;
        }
        const start key{chosen->announced.id.value(),
                        chosen->announced.started_at};
        CHECK_FALSE(left_.contains(key));
        const auto paused = paused_.find(key);
        CHECK((paused == paused_.end() || now_ >= paused->second));
        CHECK(directory_.usable(*chosen, now_));
    }
    [[nodiscard]] bool last_start_is_chosen() const
    {
        return directory_.choose(service_, {}, now_) != nullptr;
    }
    /// Every upstream starts anew and announces itself.
    void restart_all()
    {
        for (int i = 0; i < upstreams; ++i) {
            ++newest_start_;
            deliver(make(i, newest_start_, 1));
        }
    }

private:
    static constexpr int upstreams = 3;

    [[nodiscard]] announcement make(int index, std::uint64_t started_at,
                                    std::uint64_t sequence)
    {
        return {.id = upstream_id(fmt::format("u{}", index)),
                .service = service_,
                .address = {fmt::format("10.0.0.{}", 1 + random_() % 2), 80},
                .domain = failure_domain_id("d1"),
                .slots = 4,
                .sequence = sequence,
                .started_at = started_at};
    }
    void deliver(const announcement& sent)
    {
        directory_.record_announcement(sent, now_);
    }
    /// An announcement, which may be one of an earlier start.
    void announce()
    {
        const auto started_at = 1 + random_() % (newest_start_ + 1);
        newest_start_ = std::max(newest_start_, started_at);
        deliver(make(static_cast<int>(random_() % upstreams), started_at,
                     ++sequence_));
    }
    void start_again() { ++newest_start_; }
    [[nodiscard]] const instance* any_known()
    {
        return directory_.find(
            upstream_id(fmt::format("u{}", random_() % upstreams)));
    }
    void state_leave()
    {
        if (const instance* from = any_known()) {
            left_.insert(
                {from->announced.id.value(), from->announced.started_at});
            const announcement announced = from->announced;
            directory_.record_departure(announced, now_);
        }
    }
    void state_pause()
    {
        if (const instance* from = any_known()) {
            const duration length =
                std::chrono::milliseconds(500 + random_() % 3000);
            directory_.health(from->announced.id).note_pause(now_, length);
            time_point& until = paused_[{from->announced.id.value(),
                                         from->announced.started_at}];
            until = std::max(until, now_ + length);
        }
    }
    /// A departure that another process has recorded.
    void hear_departure()
    {
        const auto told = make(static_cast<int>(random_() % upstreams),
                               1 + random_() % newest_start_, 1);
        left_.insert({told.id.value(), told.started_at});
        directory_.record_departure(told, now_);
    }

    std::mt19937 random_;
    service_id service_{"s"};
    upstream_directory directory_{{.own_domain = failure_domain_id("d1")}};
    time_point now_{1h};
    std::uint64_t newest_start_ = 1;
    std::uint64_t sequence_ = 0;
    std::set<start> left_;
    std::map<start, time_point> paused_;
};

} // namespace

// Guards against an order of statements, announcements and restarts after which
// an upstream that leaves or has asked for a pause is used, or a new start is
// not.
TEST_CASE("statements_in_any_order_are_kept_for_their_start")
{
    for (unsigned seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        random_upstreams upstreams(seed);
        for (int i = 0; i < 60; ++i) {
            upstreams.step();
            upstreams.check();
        }
        upstreams.restart_all();
        CHECK(upstreams.last_start_is_chosen());
    }
}
