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

/// Checks whether a suspected upstream still accepts connections. Opens one
/// connection: a crashed upstream refuses it, an unresponsive one doesn't
/// accept it in time. Not thread safe.
class upstream_prober
{
public:
    struct options
    {
        /// Many times a round trip between failure domains (1 ms), and less
        /// than the shortest pause that callers notice.
        duration deadline = std::chrono::milliseconds(70);
    };

    /// Receives the upstream and whether it accepted the connection.
    using finished_callback = std::function<void(const upstream_id&, bool)>;

    /// @param on_finished called on the loop's thread for each probe; during
    ///     `probe` if it fails at once
    upstream_prober(net::event_loop& loop, options settings,
                    finished_callback on_finished);

    /// @brief Starts a probe unless one of this upstream is in progress.
    void probe(const upstream_id& id, const net::address& address);

private:
    struct check
    {
        std::unique_ptr<net::tcp_stream> stream;
        std::unique_ptr<net::timer> deadline;
    };

    void finish(const upstream_id& upstream, bool alive);

    net::event_loop& loop_;
    options settings_;
    finished_callback on_finished_;
    std::map<upstream_id, check> checks_;
};

} // namespace bamboogate::relay

#endif
