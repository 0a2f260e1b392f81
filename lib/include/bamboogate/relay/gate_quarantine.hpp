#ifndef BAMBOOGATE_RELAY_GATE_QUARANTINE_HPP
#define BAMBOOGATE_RELAY_GATE_QUARANTINE_HPP

#include <bamboogate/relay/messages.hpp>
#include <bamboogate/relay/prompt_quarantine.hpp>

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace bamboogate::relay {

/// @brief Counts a confirmed crash against the parts of the prompt and against
///     the request as a whole.
/// @return the quarantines that are added because of it
std::vector<quarantine_update> count_crash(prompt_quarantine& quarantine,
                                           const crash_report& report,
                                           time_point now);
/// @brief Logs a quarantine that another process decided or an operator lifted.
void log_quarantine_added(const quarantine_update& update);

/// A gate's part in finding poison requests: reports the crashes that its
/// requests observe to the leader, and knows which requests to refuse. While
/// there is no leader, it counts its own observations. Performs no I/O of its
/// own. Not thread safe.
class gate_quarantine
{
public:
    struct callbacks
    {
        /// Sends a report to the leader; false if there is none.
        std::function<bool(const crash_report&)> report;
        /// Tells the leader that a suspected request was answered.
        std::function<void(const suspect_answered&)> report_answered;
        /// Checks whether the engine of a broken connection still accepts
        /// connections, and calls `confirm` or `dismiss`.
        std::function<void(const upstream_id&)> check_engine;
        /// A quarantine was added.
        std::function<void(const service_id&)> on_added;
    };

    explicit gate_quarantine(callbacks functions)
        : callbacks_(std::move(functions))
    {}

    /// @brief The connection of a request broke before its first event or
    ///     response. Upstreams also reset single connections, so this counts as
    ///     a crash only after `confirm`.
    /// @param on_checked called when the upstream has been checked and a crash
    ///     reported, with whether it is one; a request that is sent again
    ///     before would be sent without this evidence
    void note_broken(crash_report report,
                     std::function<void(bool crashed)> on_checked);

    /// @brief The engine of a stream that had not begun is known to be gone.
    void note_crash(crash_report report, time_point now);

    /// @brief The engine doesn't accept connections any more.
    void confirm(const upstream_id& engine, time_point now);
    /// @brief The engine still accepts connections, or gave no reaction.
    void dismiss(const upstream_id& engine);

    /// @brief Records the first event of a stream, which clears its parts.
    void note_started(const service_id& service,
                      std::span<const std::string> parts);

    /// @brief An upstream has answered a request, which clears it.
    /// @param reported whether the sender has reported a crash under it; other
    ///     requests are reported to the leader only if it suspects them
    void note_answered(const service_id& service, const std::string& request,
                       bool reported);

    /// @brief Adds a quarantine that the leader decided.
    void add(const quarantine_update& update, time_point now);
    /// @brief Takes over the leader's evidence against a request, so that the
    ///     gate reports an answer to it.
    void add(const suspicion_update& update, time_point now);

    /// @return whether a request of the service is quarantined or suspected, so
    ///     that the fingerprints of its requests are needed
    [[nodiscard]] bool needs_fingerprints(const service_id& service) const;

    /// @return the rest of the quarantine that a request falls under
    [[nodiscard]] std::optional<duration>
    quarantine_of(const service_id& service, std::span<const std::string> parts,
                  time_point now) const;

    void expire(time_point now);

private:
    struct broken_request
    {
        crash_report report;
        std::function<void(bool)> on_checked;
    };

    /// @return the quarantine of a service, which is created at the first call
    prompt_quarantine& of(const service_id& service);

    callbacks callbacks_;
    std::map<service_id, prompt_quarantine> services_;
    /// Broken connections by engine, until the engine has been checked.
    std::map<upstream_id, std::vector<broken_request>> unconfirmed_;
};

} // namespace bamboogate::relay

#endif
