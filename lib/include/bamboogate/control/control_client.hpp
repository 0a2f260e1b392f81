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

/// The gate's side of the control service: keeps the configuration lease and
/// forwards the steps of non-idempotent calls to the current leader.
///
/// The links to the replicas are dialled by the owner of the hub. The gate's
/// name and incarnation are those of the hub. Not thread safe.
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

    /// @brief Called with each revision that is higher than all before.
    void on_configuration(std::function<void(const configuration&)> handler);

    /// @brief The newest configuration, also when the lease has run out.
    [[nodiscard]] std::optional<configuration> current() const;

    /// @brief True while the gate may accept new work. Reads the monotonic
    ///     clock; the lease counts from the time the renewal was sent. Ask
    ///     again after any step that may have slept.
    [[nodiscard]] bool lease_valid() const;

    /// @brief Asks for the right to dispatch a non-idempotent call.
    ///
    /// Lost links and changes of leader are covered by resends with the same
    /// call number until the deadline.
    /// @param request gate, incarnation and call number of its ticket are set
    ///     by the client; fill account, key, service and digest
    /// @param deadline time allowed from now
    /// @param callback called exactly once, never from inside `begin_call`.
    ///     Only `run` allows a dispatch. `deadline_exceeded`: the gate must
    ///     not dispatch, the client aborts this attempt in the background,
    ///     and it is not known whether an earlier request with the key ran.
    ///     Other errors come from the state machine, for example `not_run`
    ///     (journal full, or attempt aborted) or `not_found` (no such
    ///     service).
    void begin_call(call_begin request, duration deadline,
                    std::function<void(result<call_decision>)> callback);

    using recorded_callback = std::function<void(result<void>)>;

    /// @brief Stores the answer; reply to the caller after success.
    /// @param callback success once committed; `deadline_exceeded` when that
    ///     is not known; `superseded` when the ticket does not own the call
    void complete_call(call_complete request, duration deadline,
                       recorded_callback callback);

    /// @brief Records that bytes may have left and no answer came.
    void mark_unknown(call_unknown request, duration deadline,
                      recorded_callback callback);

    /// @brief Records that no byte left and none will.
    void abort_call(call_abort request, duration deadline,
                    recorded_callback callback);

    /// @brief The replica that is believed to lead, if any.
    [[nodiscard]] std::optional<node_id> leader() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace bamboogate::control

#endif
