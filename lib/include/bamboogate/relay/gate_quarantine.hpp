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

/// @brief Logs the evidence of a quarantine that this process decided.
/// @param report of the crash that completed the evidence
void log_quarantine_decided(const crash_report& report,
                            const quarantine_update& update);
/// @brief Logs a quarantine that another process decided or an operator lifted.
void log_quarantine_added(const quarantine_update& update);

/// A gate's part in finding poison requests: reports the crashes that its
/// streams observe to the leader, and knows which requests to refuse. While
/// there is no leader, it counts its own observations. Performs no I/O of its
/// own. Not thread safe.
class gate_quarantine
{
public:
    struct callbacks
    {
        /// Sends a report to the leader; false if there is none.
        std::function<bool(const crash_report&)> report;
        /// Checks whether the engine of a broken connection still accepts
        /// connections, and calls `confirm` or `dismiss`.
        std::function<void(const upstream_id&)> check_engine;
        /// A quarantine was added.
        std::function<void(const service_id&, const prompt_quarantine&)>
            on_added;
    };

    explicit gate_quarantine(callbacks functions)
        : callbacks_(std::move(functions))
    {}

    /// @brief The connection of a stream that had not begun broke. Engines also
    ///     reset single connections, so this counts as a crash only after
    ///     `confirm`.
    /// @param on_checked called when the engine has been checked and the crash
    ///     reported; a stream that is placed again before would be placed
    ///     without this evidence
    void note_broken(crash_report report, std::function<void()> on_checked);

    /// @brief The engine of a stream that had not begun is known to be gone.
    void note_crash(crash_report report, time_point now);

    /// @brief The engine doesn't accept connections any more.
    void confirm(const upstream_id& engine, time_point now);
    /// @brief The engine still accepts connections.
    void dismiss(const upstream_id& engine);

    /// @brief Records the first event of a stream, which clears its parts.
    void note_started(const service_id& service,
                      std::span<const std::string> parts);

    /// @brief Adds a quarantine that the leader decided.
    void add(const quarantine_update& update, time_point now);

    /// @return the rest of the quarantine that a request falls under
    [[nodiscard]] std::optional<duration>
    quarantine_of(const service_id& service, std::span<const std::string> parts,
                  time_point now) const;

    void expire(time_point now);

private:
    struct broken_stream
    {
        crash_report report;
        std::function<void()> on_checked;
    };

    /// @return the quarantine of a service, which is created at the first call
    prompt_quarantine& of(const service_id& service);

    callbacks callbacks_;
    std::map<service_id, prompt_quarantine> services_;
    /// Broken connections by engine, until the engine has been checked.
    std::map<upstream_id, std::vector<broken_stream>> unconfirmed_;
};

} // namespace bamboogate::relay

#endif
