#ifndef BAMBOOGATE_RELAY_ENGINE_WATCHER_HPP
#define BAMBOOGATE_RELAY_ENGINE_WATCHER_HPP

#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/http1_client.hpp>
#include <bamboogate/relay/protocol.hpp>

#include <functional>
#include <map>
#include <memory>

namespace bamboogate::relay {

/// Keeps one call open at each watched engine, which the engine answers after
/// a set wait. An engine that falls silent without closing its connections is
/// noticed by the missing answer, also while none of its streams has an
/// event. Not thread safe.
class engine_watcher
{
public:
    struct options
    {
        /// The engine answers after this time; shorter calls are charged as
        /// health checks.
        duration wait = std::chrono::milliseconds(205);
        /// An answer later than the wait by this much counts as missing.
        duration margin = std::chrono::milliseconds(75);
    };

    /// @param on_silent called from the loop when an engine gives no answer
    engine_watcher(net::event_loop& loop, const relay_protocol& protocol,
                   options settings,
                   std::function<void(const upstream_id&)> on_silent);

    /// @brief Watches exactly these engines from now on.
    void watch(const std::map<upstream_id, net::address>& engines);

    [[nodiscard]] std::size_t watched() const { return calls_.size(); }

private:
    struct call
    {
        net::address where;
        std::unique_ptr<net::http1_client::exchange> exchange;
        std::unique_ptr<net::timer> deadline;
        std::unique_ptr<net::timer> pause; ///< until the next call
        time_point started;
    };

    void start(const upstream_id& id);
    void finish(const upstream_id& id, bool alive);

    net::event_loop& loop_;
    const relay_protocol& protocol_;
    options settings_;
    std::function<void(const upstream_id&)> on_silent_;
    net::http1_client client_;
    std::map<upstream_id, call> calls_;
};

} // namespace bamboogate::relay

#endif
