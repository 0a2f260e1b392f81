#include <bamboogate/relay/startup_queue.hpp>

#include <algorithm>
#include <utility>

namespace bamboogate::relay {

startup_queue::startup_queue(net::event_loop& loop, options settings,
                             handler on_expired)
    : loop_(loop), settings_(settings), on_expired_(std::move(on_expired)),
      timer_(loop, [this] { expire(); })
{}

duration startup_queue::wait_of(const pending_request& request) const
{
    const auto allowed = request.description.time_left;
    return allowed ? std::min<duration>(settings_.max_wait,
                                        *allowed / settings_.time_divisor)
                   : settings_.max_wait;
}

bool startup_queue::push(pending_request& request)
{
    if (held_.size() >= settings_.max_requests) {
        return false;
    }
    const duration wait = wait_of(request);
    const time_point until = request.arrived + wait;
    held_.push_back(std::make_shared<entry>(entry{std::move(request), until}));
    held_.back()->request.responder->on_client_disconnect(
        [this, weak = std::weak_ptr(held_.back())] {
            std::erase_if(
                held_, [&](const auto& each) { return each == weak.lock(); });
        });
    arm();
    return true;
}

void startup_queue::drain(const handler& function)
{
    timer_.stop();
    for (const auto& each : std::exchange(held_, {})) {
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
    std::list<std::shared_ptr<entry>> over;
    for (auto each = held_.begin(); each != held_.end();) {
        const auto next = std::next(each);
        if ((*each)->until <= now) {
            over.splice(over.end(), held_, each);
        }
        each = next;
    }
    for (const auto& each : over) {
        each->request.responder->on_client_disconnect(nullptr);
        on_expired_(std::move(each->request));
    }
    arm();
}

void startup_queue::arm()
{
    if (held_.empty()) {
        return;
    }
    const auto first = std::min_element(
        held_.begin(), held_.end(),
        [](const auto& a, const auto& b) { return a->until < b->until; });
    timer_.start_once(std::max<duration>((*first)->until - loop_.now(),
                                         std::chrono::milliseconds(1)));
}

} // namespace bamboogate::relay
