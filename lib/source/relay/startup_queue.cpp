#include <bamboogate/relay/startup_queue.hpp>

#include <algorithm>
#include <utility>

namespace bamboogate::relay {

startup_queue::startup_queue(net::event_loop& loop, options settings,
                             handler on_expired)
    : loop_(loop), settings_(settings), on_expired_(std::move(on_expired)),
      timer_(loop, [this] { expire(); })
{}

duration startup_queue::max_wait_of(const pending_request& request) const
{
    const auto allowed = request.description.time_left;
    return allowed ? std::min<duration>(settings_.max_wait,
                                        *allowed / settings_.time_divisor)
                   : settings_.max_wait;
}

bool startup_queue::push(pending_request& request)
{
    if (entries_.size() >= settings_.max_requests) {
        return false;
    }
    const duration wait = max_wait_of(request);
    const time_point expires_at = request.arrived + wait;
    entries_.push_back(
        std::make_shared<entry>(entry{std::move(request), expires_at}));
    entries_.back()->request.responder->on_client_disconnect(
        [this, weak = std::weak_ptr(entries_.back())] {
            std::erase_if(entries_, [&](const auto& each) {
                return each == weak.lock();
            });
        });
    arm_timer();
    return true;
}

void startup_queue::drain(const handler& function)
{
    timer_.stop();
    for (const auto& each : std::exchange(entries_, {})) {
        each->request.responder->on_client_disconnect(nullptr);
        function(std::move(each->request));
    }
}

void startup_queue::expire_all()
{
    drain(on_expired_);
}

void startup_queue::expire()
{
    const time_point now = loop_.now();
    std::list<std::shared_ptr<entry>> expired;
    for (auto each = entries_.begin(); each != entries_.end();) {
        const auto next = std::next(each);
        if ((*each)->expires_at <= now) {
            expired.splice(expired.end(), entries_, each);
        }
        each = next;
    }
    for (const auto& each : expired) {
        each->request.responder->on_client_disconnect(nullptr);
        on_expired_(std::move(each->request));
    }
    arm_timer();
}

void startup_queue::arm_timer()
{
    if (entries_.empty()) {
        return;
    }
    const auto first = std::min_element(
        entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
            return a->expires_at < b->expires_at;
        });
    timer_.start_once(std::max<duration>((*first)->expires_at - loop_.now(),
                                         std::chrono::milliseconds(1)));
}

} // namespace bamboogate::relay
