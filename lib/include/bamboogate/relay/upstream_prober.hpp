#ifndef BAMBOOGATE_RELAY_UPSTREAM_PROBER_HPP
#define BAMBOOGATE_RELAY_UPSTREAM_PROBER_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/net/address.hpp>
#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/path_dialer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>

namespace bamboogate::relay {

/// How an upstream reacted to a connection.
enum class probe_result : std::uint8_t
{
    accepted,
    refused, ///< its process is gone
    silent,  ///< no reaction in time, for example without power
};

/// @brief The result as a word for logs.
[[nodiscard]] std::string_view name_of(probe_result result);

/// Checks whether a suspected upstream still accepts connections. Opens one
/// connection: a crashed upstream refuses it, an unresponsive one doesn't
/// accept it in time. Not thread safe.
class upstream_prober
{
public:
    using finished_callback =
        std::function<void(const upstream_id&, probe_result)>;

    /// @param on_finished called from the event loop for each probe, after
    ///     input that has arrived by then: the connections of a crashed
    ///     upstream break together, and their owners have to see that first
    /// @param dialer opens the connections, and bounds their time; must outlive
    ///     the prober
    upstream_prober(net::event_loop& loop, net::path_dialer& dialer,
                    finished_callback on_finished);

    /// @brief Starts a probe unless one of this upstream is in progress.
    void probe(const upstream_id& id, const net::address& address);

private:
    void finish(const upstream_id& upstream,
                const net::path_dialer::connection& dialled);
    /// Calls `on_finished_` in the next iteration of the loop.
    void report(const upstream_id& upstream, probe_result outcome);

    net::event_loop& loop_;
    net::path_dialer& dialer_;
    finished_callback on_finished_;
    std::map<upstream_id, std::unique_ptr<net::path_dialer::dial>> checks_;
    /// Expires with the prober, for functions that were posted to the loop.
    std::shared_ptr<upstream_prober*> self_ =
        std::make_shared<upstream_prober*>(this);
};

} // namespace bamboogate::relay

#endif
