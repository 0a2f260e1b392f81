#include <bamboogate/relay/engine_watcher.hpp>
#include <bamboogate/relay/log_events.hpp>
#include <bamboogate/relay/upstream_health.hpp>

#include <algorithm>
#include <utility>

namespace bamboogate::relay {

namespace {

constexpr duration min_pause = std::chrono::milliseconds(1);
/// Upper bound for a cache response; an engine's list is far shorter.
constexpr std::size_t max_cache_bytes = 256u << 10;

} // namespace

engine_watcher::engine_watcher(net::event_loop& loop,
                               const relay_protocol& protocol, options settings,
                               observers functions)
    : loop_(loop), protocol_(protocol), settings_(settings),
      observers_(std::move(functions)),
      client_(loop,
              {.connect_timeout = settings.margin, .max_idle_per_server = 1})
{}

void engine_watcher::watch(const std::map<upstream_id, net::address>& engines)
{
    std::erase_if(calls_, [&](const auto& each) {
        return !engines.contains(each.first);
    });
    for (const auto& [id, address] : engines) {
        const auto [found, added] = calls_.try_emplace(id);
        if (added) {
            found->second.address = address;
            found->second.pause = std::make_unique<net::timer>(
                loop_, [this, id = id] { start(id); });
            found->second.deadline = std::make_unique<net::timer>(
                loop_, [this, id = id] { finish(id, probe_result::silent); });
            start(id);
        }
    }
}

void engine_watcher::start(const upstream_id& id)
{
    call& current = calls_.at(id);
    current.started = loop_.now();
    current.body.clear();
    // The status doesn't matter: any response proves that the engine is alive.
    current.exchange = client_.start(
        current.address,
        current.cache_known ? protocol_.liveness_call(settings_.poll_wait)
                            : protocol_.cache_call(settings_.poll_wait),
        {.on_head =
             [this, id](const net::http1_response_head& head) {
                 const auto answer = protocol_.describe_response(head);
                 if (answer.pause) {
                     calls_.at(id).paused_until =
                         loop_.now() +
                         std::min(*answer.pause, max_upstream_pause);
                 }
                 observers_.on_response(id, answer);
                 return true;
             },
         .on_body =
             [this, id](std::string_view part) {
                 call& reading = calls_.at(id);
                 if (!reading.cache_known &&
                     reading.body.size() + part.size() <= max_cache_bytes) {
                     reading.body += part;
                 }
             },
         .on_complete =
             [this, id] {
                 read_cache(id, calls_.at(id));
                 finish(id, probe_result::accepted);
             },
         .on_failure =
             [this, id](const net::http1_failure& failure) {
                 const bool timed_out =
                     failure.code == errc::connection_failed && !failure.reset;
                 finish(id, timed_out ? probe_result::silent
                                      : probe_result::refused);
             }});
    current.deadline->start_once(settings_.poll_wait + settings_.margin);
}

bool engine_watcher::caches_known() const
{
    return std::all_of(calls_.begin(), calls_.end(), [](const auto& each) {
        return each.second.cache_known;
    });
}

void engine_watcher::read_cache(const upstream_id& id, call& current)
{
    if (std::exchange(current.cache_known, true)) {
        return;
    }
    auto changes = protocol_.read_cache(current.body);
    current.body = {};
    if (!changes) {
        observability::log(
            log_events::engine_cache_unreadable,
            {{"upstream", id.value()}, {"detail", changes.error().detail}});
        return;
    }
    observers_.on_cache(id, std::move(changes).value());
}

void engine_watcher::finish(const upstream_id& engine, probe_result outcome)
{
    // Copied, because the argument may belong to a callback of the exchange
    // that is destroyed below.
    const upstream_id id = engine;
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    found->second.deadline->stop();
    found->second.exchange.reset();
    if (outcome != probe_result::accepted) {
        client_.close_idle_connections(found->second.address);
        observers_.on_unresponsive(id, outcome);
    }
    const auto again = calls_.find(id);
    if (again == calls_.end()) {
        return;
    }
    // Calls keep their interval even if one ends early, for example with a
    // refused connection.
    const duration since = loop_.now() - again->second.started;
    again->second.pause->start_once(
        std::max<duration>({settings_.poll_wait - since, min_pause,
                            again->second.paused_until - loop_.now()}));
}

} // namespace bamboogate::relay
