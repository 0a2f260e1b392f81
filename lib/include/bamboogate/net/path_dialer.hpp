#ifndef BAMBOOGATE_NET_PATH_DIALER_HPP
#define BAMBOOGATE_NET_PATH_DIALER_HPP

#include <bamboogate/core/secret.hpp>
#include <bamboogate/core/time.hpp>
#include <bamboogate/net/address.hpp>
#include <bamboogate/net/event_loop.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace bamboogate::net {

/// A way to reach a server.
struct network_path
{
    /// The tunnel server that connects to it; unset for the direct way.
    std::optional<address> via;

    [[nodiscard]] bool direct() const { return !via; }
    bool operator==(const network_path&) const = default;
};

enum class dial_result : std::uint8_t
{
    connected,
    refused,     ///< by the server
    silent,      ///< the server did not accept in time
    unavailable, ///< the tunnel server can't be reached or opens no tunnel
};

/// @brief The result as a word for logs.
[[nodiscard]] std::string_view name_of(dial_result outcome);

/// Opens connections to servers, over the first of several paths that works.
/// Nothing of a request is sent before a connection is open. Not thread safe.
class path_dialer
{
public:
    struct options
    {
        secret shared_secret; ///< of the tunnel servers
        /// Time for the only path.
        duration connect_timeout = std::chrono::milliseconds(400);
        /// Time for the direct path while others are left. The longest round
        /// trip is 24 ms, and a lost opening packet is repeated after 1 s.
        duration direct_timeout = std::chrono::milliseconds(150);
        /// Time for a path over a tunnel, which has two more round trips.
        duration tunnel_timeout = std::chrono::milliseconds(250);
        /// Time for all paths together. A request states the time left before
        /// it is dialled, and may not overstate it by 0.5 s.
        duration total_timeout = std::chrono::milliseconds(450);
    };

    struct observers
    {
        /// The paths to try, in this order; only the direct one if unset or
        /// empty.
        std::function<std::vector<network_path>(const address&)> paths;
        /// The result of each path that was tried; may be unset.
        std::function<void(const address&, const network_path&, dial_result)>
            on_result;
    };

    struct connection
    {
        /// If no path connected, that of the direct one, else of the first that
        /// brought a result of the server.
        dial_result outcome = dial_result::unavailable;
        int descriptor = -1; ///< owned by the receiver if connected
        network_path path;   ///< that brought the outcome
    };

    /// Called once, from the event loop.
    using callback = std::function<void(const connection&)>;

    /// One connection in progress. Destruction cancels it; callbacks may
    /// destroy it.
    class dial
    {
    public:
        struct impl;
        explicit dial(std::shared_ptr<impl> state);
        ~dial();
        dial(const dial&) = delete;
        dial& operator=(const dial&) = delete;

    private:
        std::shared_ptr<impl> impl_;
    };

    path_dialer(event_loop& loop, options settings, observers functions = {});
    path_dialer(const path_dialer&) = delete;
    path_dialer& operator=(const path_dialer&) = delete;

    /// @brief Dials a server over the paths that the observer names.
    /// @pre the dialer outlives the dial
    [[nodiscard]] std::unique_ptr<dial> start(const address& server,
                                              callback on_end);

    /// @brief Dials a server over the given paths.
    /// @pre the dialer outlives the dial; `paths` is not empty
    [[nodiscard]] std::unique_ptr<dial> start(const address& server,
                                              std::vector<network_path> paths,
                                              callback on_end);

    /// @brief Number of connections opened to servers directly or over tunnels.
    [[nodiscard]] std::uint64_t connections_made() const
    {
        return connections_made_;
    }

private:
    event_loop& loop_;
    options settings_;
    observers observers_;
    std::uint64_t connections_made_ = 0;
};

} // namespace bamboogate::net

#endif
