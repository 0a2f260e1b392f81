#ifndef BAMBOOGATE_RELAY_STREAM_PLACER_HPP
#define BAMBOOGATE_RELAY_STREAM_PLACER_HPP

#include <bamboogate/net/link_hub.hpp>
#include <bamboogate/relay/messages.hpp>

#include <functional>

namespace bamboogate::relay {

/// A gate's client for the leader's placement server: requests placements and
/// reports state changes of each run. Not thread safe.
class stream_placer
{
public:
    struct options
    {
        /// Time to wait for a reply beyond the request's own limit; then the
        /// gate chooses an engine itself.
        duration reply_margin = std::chrono::milliseconds(300);
    };

    /// @param leader returns the leader's node id, empty when unknown
    stream_placer(net::link_hub& hub, options settings,
                  std::function<node_id()> leader);

    /// @brief Requests a placement.
    /// @param callback receives the decision; on any error the gate has to
    ///     choose itself
    void request_placement(const place_request& request,
                           std::function<void(result<place_reply>)> callback);

    /// @brief Requests another copy holder for a running stream.
    /// @param limit time to wait for the reply
    /// @param callback receives the holder, or an error if there is no leader
    ///     or no reply in time
    void request_copy_holder(const copy_request& request, duration limit,
                             std::function<void(result<copy_reply>)> callback);

    /// @brief Asks a replica for the origin of a stream, for example the home
    ///     replica if there is no leader.
    /// @param limit time to wait for the reply
    void find_origin(const node_id& replica, const relay::find_origin& request,
                     duration limit,
                     std::function<void(result<origin_reply>)> callback);

    /// @brief Requests a retry of the leader's reserve.
    /// @param limit time to wait for the reply
    /// @param callback receives the decision, or an error if there is no leader
    ///     or no reply in time
    void request_retry(const retry_request& request, duration limit,
                       std::function<void(result<retry_reply>)> callback);

    /// @brief Reports a state change to the leader. A lost message is
    ///     compensated when the leader changes or the run ends.
    void send_update(const run_update& update);

    /// @brief Reports a crash or a broken connection to the leader.
    /// @return false if there is no leader
    [[nodiscard]] bool report_crash(const crash_report& report);

private:
    net::link_hub& hub_;
    options settings_;
    std::function<node_id()> leader_;
};

} // namespace bamboogate::relay

#endif
