#ifndef BAMBOOGATE_RELAY_STREAM_PLACER_HPP
#define BAMBOOGATE_RELAY_STREAM_PLACER_HPP

#include <bamboogate/net/link_hub.hpp>
#include <bamboogate/relay/messages.hpp>

#include <functional>

namespace bamboogate::relay {

/// A gate's side of placing streams: asks the leader of the control replicas
/// and tells it what becomes of each run. Not thread safe.
class stream_placer
{
public:
    struct options
    {
        /// Without a reply in this time after the demand's own limit, the
        /// gate chooses by itself.
        duration reply_margin = std::chrono::milliseconds(300);
    };

    /// @param leader returns the leader's node id, empty when unknown
    stream_placer(net::link_hub& hub, options settings,
                  std::function<node_id()> leader);

    /// @brief Asks for a place.
    /// @param callback a decision, or any error: choose by yourself
    void request_placement(const place_request& request,
                           std::function<void(result<place_reply>)> callback);

    /// @brief Asks for another holder for the copy of a running stream.
    void request_copy_holder(const copy_request& request, duration limit,
                             std::function<void(result<copy_reply>)> callback);

    /// @brief Tells the leader; lost words are made up for when the leader
    ///     changes or the run ends.
    void send_update(const run_update& update);

private:
    net::link_hub& hub_;
    options settings_;
    std::function<node_id()> leader_;
};

} // namespace bamboogate::relay

#endif
