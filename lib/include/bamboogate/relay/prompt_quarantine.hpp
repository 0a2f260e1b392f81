#ifndef BAMBOOGATE_RELAY_PROMPT_QUARANTINE_HPP
#define BAMBOOGATE_RELAY_PROMPT_QUARANTINE_HPP

#include <bamboogate/core/ids.hpp>
#include <bamboogate/core/time.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace bamboogate::relay {

/// Requests that contain all of these prompt parts, or have this fingerprint,
/// crash upstreams and are refused for some time.
struct quarantined_parts
{
    /// Sorted, without duplicates; a fingerprint stands alone.
    std::vector<std::string> parts;
    unsigned crashes = 0;     ///< since the last start of these parts
    unsigned repetitions = 0; ///< earlier quarantines of these parts
    duration remaining{};
};

/// Finds poison requests: those that crash every upstream that begins to run
/// them. Two kinds of traits identify them, and each kind is counted by itself:
/// - The prompts of one service consist of parts that requests share. The cause
///   of a crash is among the parts of the streams that had not begun; a part
///   whose streams begin is cleared. Parts that were present in several crashes
///   without a start in between are quarantined; parts with the same evidence
///   are quarantined together, so that a sound part is not refused for the
///   company that it had.
/// - A request as a whole, by its `request_fingerprint`. An answer clears it.
///   It is passed as the only entry of a list of parts.
/// Bounded memory. Performs no I/O. Not thread safe.
class prompt_quarantine
{
public:
    struct options
    {
        /// Crashes after which parts are quarantined. A request meets one or
        /// two unrelated crashes in a row on days with many failures.
        unsigned max_crashes = 3;
        /// Crashes of different engines in shorter succession count as one: the
        /// engines of a failure domain that fails crash together.
        duration crash_separation = std::chrono::milliseconds(500);
        /// The same for whole requests. Shorter, because a request that is sent
        /// again by its callers crashes one process after the other, and seldom
        /// runs at several when their domain fails.
        duration request_crash_separation = std::chrono::milliseconds(100);
        /// The first quarantine; doubled with each repetition. Then the parts
        /// are suspected, and the next crash repeats the quarantine.
        duration first_quarantine = std::chrono::minutes(10);
        /// The first quarantine of parts that have all begun before. It is
        /// short because a part that all requests share meets several crashes
        /// without a start when failure domains fail one after the other.
        duration first_quarantine_of_started = std::chrono::seconds(30);
        duration max_quarantine = std::chrono::hours(24);
        /// A part without a further crash for this long is no longer suspected.
        duration suspicion_retention = std::chrono::minutes(10);
        /// Bounds against callers that send new parts without end.
        std::size_t max_started_parts = 8192;
        std::size_t max_suspects = 1024;
        std::size_t max_quarantined = 256;
    };

    prompt_quarantine() : prompt_quarantine(options{}) {}
    explicit prompt_quarantine(options settings) : settings_(settings) {}

    /// @brief Records the first event of a stream, which clears its parts.
    void note_started(std::span<const std::string> parts);

    /// @brief Records that the connection of a stream that had not begun broke,
    ///     which may be a crash. Its parts are suspects until they begin.
    void note_broken(std::span<const std::string> parts, time_point now);

    /// @brief Records that an engine crashed under a stream that had not begun.
    /// @param engine identifies the start of the engine; a crash is counted
    ///     once per part
    /// @param repeated the request was sent again after an earlier crash under
    ///     it. Such crashes are not one failure of a domain, so each of them
    ///     counts.
    /// @return the parts that are quarantined because of this crash
    std::optional<quarantined_parts>
    note_crash(std::span<const std::string> parts, const std::string& engine,
               time_point now, bool repeated = false);

    /// @brief Takes over the evidence of another process against a part or a
    ///     fingerprint.
    /// @return false if as many crashes are known
    bool add_suspicion(const std::string& part, unsigned crashes,
                       time_point now);

    /// @brief Drops the evidence against a part or a fingerprint, because a
    ///     request with it has begun or was answered.
    /// @return false if there was none
    bool clear_suspicion(const std::string& part);

    /// @return the crashes that are counted against a part or a fingerprint
    [[nodiscard]] unsigned crashes_of(const std::string& part) const;

    /// @return the suspected requests by fingerprint, and their crashes
    [[nodiscard]] std::map<std::string, unsigned> suspected_requests() const;

    /// @return whether a request is quarantined or suspected by its fingerprint
    [[nodiscard]] bool knows_requests() const;

    /// @return the parts of a prompt that may have crashed engines and did not
    ///     begin since; a part that has begun before is suspect only after two
    ///     crashes
    [[nodiscard]] std::vector<std::string>
    suspects(std::span<const std::string> parts) const;

    /// @return the rest of the quarantine if a prompt contains all parts of one
    [[nodiscard]] std::optional<duration>
    quarantine_of(std::span<const std::string> parts, time_point now) const;

    /// @brief Adds a quarantine that another process decided, with its evidence
    ///     against each part, so that a new leader need not find them again.
    ///     Without remaining time, it is lifted and its parts are cleared.
    /// @return false if this changes nothing
    bool add(const quarantined_parts& added, time_point now);

    /// @brief Ends expired quarantines, whose parts become suspects, and old
    ///     suspicions.
    void expire(time_point now);

    [[nodiscard]] std::vector<quarantined_parts>
    quarantined(time_point now) const;

private:
    struct suspicion
    {
        unsigned crashes = 0;
        unsigned repetitions = 0;
        time_point last_break; ///< of a connection, also by a crash
        time_point last_crash;
        std::string last_engine;
    };
    struct quarantine
    {
        unsigned crashes = 0;
        unsigned repetitions = 0;
        time_point until;
    };

    bool lift(const std::vector<std::string>& parts);
    /// @return false if it is known already
    bool insert(const quarantined_parts& added, time_point now);
    void remember_start(const std::string& part);
    suspicion& suspicion_of(const std::string& part);

    options settings_;
    std::map<std::string, suspicion> suspicions_;
    std::map<std::vector<std::string>, quarantine> quarantined_;
    /// Parts that began, the most recent first.
    std::list<std::string> started_;
    std::unordered_map<std::string, std::list<std::string>::iterator>
        started_index_;
};

} // namespace bamboogate::relay

#endif
