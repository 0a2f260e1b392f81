#ifndef BAMBOOGATE_RELAY_UPSTREAM_PROBER_HPP
#define BAMBOOGATE_RELAY_UPSTREAM_PROBER_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/time.hpp>
#include <bamboogate/net/address.hpp>
#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/tcp_stream.hpp>

#include <functional>
#include <map>
#include <memory>

namespace bamboogate::relay {

/// Checks whether a suspected upstream still accepts connections. Costs one
/// connection; an upstream that has crashed refuses it, one that is silent
/// doesn't answer in time. Not thread safe.
class upstream_prober
{
public:
    struct options
    {
        /// Many times a round trip between failure domains (1 ms), and less
        /// than the shortest pause that callers notice.
        duration deadline = std::chrono::milliseconds(70);
    };

    /// @param on_failed called from the loop for each probe that failed
    upstream_prober(net::event_loop& loop, options settings,
                    std::function<void(const upstream_id&)> on_failed);

    /// @brief Starts a probe unless one to this upstream is under way.
    void probe(const upstream_id& id, const net::address& where);

private:
    struct check
    {
        std::unique_ptr<net::tcp_stream> stream;
        std::unique_ptr<net::timer> deadline;
    };

    void finish(const upstream_id& id, bool alive);

    net::event_loop& loop_;
    options settings_;
    std::function<void(const upstream_id&)> on_failed_;
    std::map<upstream_id, check> checks_;
};

} // namespace bamboogate::relay

#endif
