#include <bamboogate/relay/engine_watcher.hpp>

#include <algorithm>

namespace bamboogate::relay {

namespace {

constexpr duration min_pause = std::chrono::milliseconds(1);

} // namespace

engine_watcher::engine_watcher(
    net::event_loop& loop, const relay_protocol& protocol, options settings,
    std::function<void(const upstream_id&)> on_silent)
    : loop_(loop), protocol_(protocol), settings_(settings),
      on_silent_(std::move(on_silent)),
      client_(loop,
              {.connect_timeout = settings.margin, .max_idle_per_server = 1})
{}

void engine_watcher::watch(const std::map<upstream_id, net::address>& engines)
{
    std::erase_if(calls_, [&](const auto& each) {
        return !engines.contains(each.first);
    });
    for (const auto& [id, where] : engines) {
        const auto [found, added] = calls_.try_emplace(id);
        if (added) {
            found->second.where = where;
            found->second.pause = std::make_unique<net::timer>(
                loop_, [this, id = id] { start(id); });
            found->second.deadline = std::make_unique<net::timer>(
                loop_, [this, id = id] { finish(id, false); });
            start(id);
        }
    }
}

void engine_watcher::start(const upstream_id& id)
{
    call& current = calls_.at(id);
    current.started = loop_.now();
    // The answer's status doesn't matter: any answer is a sign of life.
    current.exchange = client_.start(
        current.where, protocol_.liveness_call(settings_.wait),
        {.on_head = [](const net::http1_response_head&) { return true; },
         .on_body = [](std::string_view) {},
         .on_complete = [this, id] { finish(id, true); },
         .on_failure = [this,
                        id](const net::http1_failure&) { finish(id, false); }});
    current.deadline->start_once(settings_.wait + settings_.margin);
}

void engine_watcher::finish(const upstream_id& which, bool alive)
{
    const upstream_id id = which;
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    found->second.deadline->stop();
    found->second.exchange.reset();
    if (!alive) {
        client_.forget(found->second.where);
        on_silent_(id);
    }
    const auto again = calls_.find(id);
    if (again == calls_.end()) {
        return;
    }
    // A call that ended early, by a refused connection for instance, does not
    // bring the next one forward.
    const duration since = loop_.now() - again->second.started;
    again->second.pause->start_once(
        std::max<duration>(settings_.wait - since, min_pause));
}

} // namespace bamboogate::relay
