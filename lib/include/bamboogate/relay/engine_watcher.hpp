#ifndef BAMBOOGATE_RELAY_ENGINE_WATCHER_HPP
#define BAMBOOGATE_RELAY_ENGINE_WATCHER_HPP

#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/http1_client.hpp>
#include <bamboogate/relay/protocol.hpp>
#include <bamboogate/relay/upstream_prober.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bamboogate::relay {

/// Keeps one long-poll call open to each watched engine, which the engine
/// answers after a fixed wait. A missing answer reveals an engine that hangs
/// without closing its connections, even while none of its streams produces an
/// event. The first call to an engine reads which prompts it caches. Not thread
/// safe.
class engine_watcher
{
public:
    struct options
    {
        /// Time after which the engine answers; shorter polls are charged as
        /// health checks.
        duration poll_wait = std::chrono::milliseconds(205);
        /// An answer counts as missing if it exceeds the wait by this much.
        duration margin = std::chrono::milliseconds(75);
    };

    struct observers
    {
        /// An engine did not answer in time (`silent`), or its host ended or
        /// refused the connection (`refused`).
        std::function<void(const upstream_id&, probe_result)> on_unresponsive;
        /// An engine responded.
        std::function<void(const upstream_id&, const response_description&)>
            on_response;
        /// Changes of an engine's cache, oldest first.
        std::function<void(const upstream_id&, std::vector<cached_prompt>)>
            on_cache;
    };

    /// @param protocol must outlive the watcher
    /// @param functions called on the loop's thread
    engine_watcher(net::event_loop& loop, const relay_protocol& protocol,
                   options settings, observers functions);

    /// @brief Replaces the set of watched engines.
    void watch(const std::map<upstream_id, net::address>& engines);

    /// @brief True when the cached prompts of every watched engine are known.
    [[nodiscard]] bool caches_known() const;

    [[nodiscard]] std::size_t watched() const { return calls_.size(); }

private:
    struct call
    {
        net::address address;
        std::unique_ptr<net::http1_client::exchange> exchange;
        std::unique_ptr<net::timer> deadline;
        std::unique_ptr<net::timer> pause; ///< until the next call
        time_point started;
        time_point paused_until; ///< the engine asked for no calls
        bool cache_known = false;
        std::string body; ///< of the response to the cache call
    };

    void start(const upstream_id& id);
    void read_cache(const upstream_id& id, call& current);
    void finish(const upstream_id& engine, probe_result outcome);

    net::event_loop& loop_;
    const relay_protocol& protocol_;
    options settings_;
    observers observers_;
    net::http1_client client_;
    std::map<upstream_id, call> calls_;
};

} // namespace bamboogate::relay

#endif
