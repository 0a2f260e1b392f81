#ifndef BAMBOOGATE_RELAY_ENGINE_WATCHER_HPP
#define BAMBOOGATE_RELAY_ENGINE_WATCHER_HPP

#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/http1_client.hpp>
#include <bamboogate/relay/protocol.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bamboogate::relay {

/// Keeps one call open at each watched engine, which the engine answers after
/// a set wait. An engine that falls silent without closing its connections is
/// noticed by the missing answer, also while none of its streams has an
/// event. The first call to an engine asks for the prompts that it keeps.
/// Not thread safe.
class engine_watcher
{
public:
    struct options
    {
        /// The engine answers after this time; shorter calls are charged as
        /// health checks.
        duration poll_wait = std::chrono::milliseconds(205);
        /// An answer later than the wait by this much counts as missing.
        duration margin = std::chrono::milliseconds(75);
    };

    struct observers
    {
        /// An engine gave no answer.
        std::function<void(const upstream_id&)> on_unresponsive;
        /// Changes of an engine's cache, oldest first.
        std::function<void(const upstream_id&, std::vector<cached_prompt>)>
            on_cache;
    };

    /// @param functions called from the loop
    engine_watcher(net::event_loop& loop, const relay_protocol& protocol,
                   options settings, observers functions);

    /// @brief Watches exactly these engines from now on.
    void watch(const std::map<upstream_id, net::address>& engines);

    /// @brief True when every watched engine has told which prompts it keeps.
    [[nodiscard]] bool caches_known() const;

    [[nodiscard]] std::size_t watched() const { return calls_.size(); }

private:
    struct call
    {
        net::address where;
        std::unique_ptr<net::http1_client::exchange> exchange;
        std::unique_ptr<net::timer> deadline;
        std::unique_ptr<net::timer> pause; ///< until the next call
        time_point started;
        bool cache_known = false;
        std::string body; ///< of the call for the cache
    };

    void start(const upstream_id& id);
    void read_cache(const upstream_id& id, call& current);
    void finish(const upstream_id& id, bool alive);

    net::event_loop& loop_;
    const relay_protocol& protocol_;
    options settings_;
    observers observers_;
    net::http1_client client_;
    std::map<upstream_id, call> calls_;
};

} // namespace bamboogate::relay

#endif
