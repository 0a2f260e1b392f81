#ifndef BAMBOOGATE_CONTROL_CONTROL_CLIENT_HPP
#define BAMBOOGATE_CONTROL_CONTROL_CLIENT_HPP

#include <bamboogate/control/declarations.hpp>
#include <bamboogate/control/messages.hpp>
#include <bamboogate/core/result.hpp>
#include <bamboogate/core/time.hpp>
#include <bamboogate/net/event_loop.hpp>
#include <bamboogate/net/link_hub.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace bamboogate::control {

/// Client of the control service, used by gates. Renews the configuration lease
/// and forwards the journal operations of non-idempotent calls to the current
/// leader.
///
/// The owner of the hub dials the links to the replicas. The gate's name and
/// incarnation are those of the hub. Not thread safe.
class control_client
{
public:
    struct options
    {
        std::vector<node_id> replicas;
        duration renew_interval = std::chrono::milliseconds(500);
    };

    /// @param loop and @param hub must outlive the client
    control_client(net::event_loop& loop, net::link_hub& hub, options settings);
    ~control_client();
    control_client(const control_client&) = delete;
    control_client& operator=(const control_client&) = delete;

    /// @brief Registers a handler for new configurations. Each call has a
    ///     higher revision than all calls before.
    void on_configuration(std::function<void(const configuration&)> handler);

    /// @brief The newest configuration, also after the lease has expired.
    [[nodiscard]] std::optional<configuration> current() const;

    /// @brief True while the gate may accept new work. Reads the monotonic
    ///     clock; the lease starts when the renewal is sent. Check again after
    ///     any step during which the process may have been suspended.
    [[nodiscard]] bool lease_valid() const;

    /// @brief Requests permission to dispatch a non-idempotent call.
    ///
    /// The request is retried with the same call number across lost links and
    /// leader changes until the deadline.
    /// @param request set account, key, service and digest; the client sets
    ///     gate, incarnation and call number of the ticket
    /// @param deadline time allowed from now
    /// @param callback called exactly once, never from within `begin_call`.
    ///     Only `run` permits a dispatch. `deadline_exceeded`: the gate must
    ///     not dispatch, the client aborts this attempt in the background, and
    ///     it is unknown whether an earlier request with the key ran. Other
    ///     errors come from the state machine, for example `not_run` (journal
    ///     full, or attempt aborted) or `not_found` (no such service).
    void begin_call(call_begin request, duration deadline,
                    std::function<void(result<call_decision>)> callback);

    using recorded_callback = std::function<void(result<void>)>;

    /// @brief Stores the service's answer. Reply to the caller only after
    ///     success.
    /// @param callback success once committed; `deadline_exceeded` if the
    ///     outcome is unknown; `superseded` if the ticket does not own the call
    void complete_call(call_complete request, duration deadline,
                       recorded_callback callback);

    /// @brief Records that the request may have been sent and no answer was
    ///     received.
    void mark_unknown(call_unknown request, duration deadline,
                      recorded_callback callback);

    /// @brief Records that nothing was sent and nothing will be sent.
    void abort_call(call_abort request, duration deadline,
                    recorded_callback callback);

    /// @brief The presumed leader, if any.
    [[nodiscard]] std::optional<node_id> leader() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace bamboogate::control

#endif
