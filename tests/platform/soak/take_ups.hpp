#ifndef BAMBOOGATE_TESTS_PLATFORM_SOAK_TAKE_UPS_HPP
#define BAMBOOGATE_TESTS_PLATFORM_SOAK_TAKE_UPS_HPP

#include <bamboogate/core/time.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "violations.hpp"

namespace bamboogate::tests {

/// What a client names when it takes a stream up.
enum class resumed_name : std::uint8_t
{
    first_attempt,    ///< that brought the stream's first event, as specified
    unknown,          ///< an attempt that no client made
    malformed,        ///< or nothing
    of_other_account, ///< an attempt of another client account
    of_other_stream,  ///< an attempt of another stream of the account
};

/// Outcomes of client attempts that took a stream up.
struct take_up_counts
{
    unsigned sent = 0;
    unsigned went_on = 0; ///< brought an event, or the end of the stream
    unsigned refused = 0;
    unsigned unanswered = 0;
};

/// Counts the take-ups of all clients and checks that those at undisturbed
/// gates go on about as often as new streams begin. Not thread safe.
class take_up_checks
{
public:
    struct options
    {
        /// When a gate or any replica was last disturbed.
        std::function<time_point(const std::string& gate)> disturbed_at;
        /// Engines of a version that serve and do not leave.
        std::function<unsigned(std::string_view version)> serving;
        /// One in this many take-ups names a false attempt; 0: none.
        unsigned false_names = 0;
    };

    take_up_checks(violations& problems, unsigned seed, options settings)
        : violations_(problems), random_(seed), settings_(std::move(settings))
    {}

    /// @brief Draws the account of a client, below `count`.
    [[nodiscard]] std::size_t draw_account(std::size_t count)
    {
        return count > 1 ? random_() % count : 0;
    }

    /// @brief Records a violation if the share of the take-ups that went on is
    ///     under half of the share of new streams that began.
    void check_share();

    [[nodiscard]] std::string summary() const;

private:
    friend class client_stream;

    struct share
    {
        unsigned streams = 0;
        unsigned on = 0;
    };

    violations& violations_;
    std::mt19937 random_;
    options settings_;
    take_up_counts true_names_;
    take_up_counts false_names_;
    share begun_;    ///< new streams at undisturbed gates
    share taken_up_; ///< broken ones, while two engines of their version serve
    /// Attempts that brought the first event of a stream, by account.
    std::map<std::size_t, std::deque<std::string>> first_attempts_;
};

/// One stream over all attempts of its client. Checks that all events come from
/// engines of one software version. Not thread safe.
class client_stream
{
public:
    enum class outcome : std::uint8_t
    {
        complete,
        refused,
        unanswered,
    };

    client_stream(take_up_checks& checks, std::size_t account)
        : checks_(checks), account_(account)
    {}

    /// @brief The client sends an attempt.
    /// @param may_lie it may name a false attempt
    /// @return the value of `Resumes`, if the attempt has one
    std::optional<std::string> sent(const std::string& attempt,
                                    const std::string& gate, time_point now,
                                    bool may_lie);

    /// @brief The attempt brings an event of an engine.
    void received(std::string_view version);

    /// @brief The attempt ends.
    void ended(outcome how);

    /// @brief The client makes no further attempt.
    void given_up();

    [[nodiscard]] bool begun() const { return !first_attempt_.empty(); }
    /// @brief True if the attempt named a false one. Its client makes no
    ///     further attempt, because the answer may follow the false name.
    [[nodiscard]] bool named_falsely() const
    {
        return name_ != resumed_name::first_attempt;
    }
    [[nodiscard]] std::size_t account() const { return account_; }

private:
    [[nodiscard]] std::optional<std::string> draw_false_name();
    [[nodiscard]] take_up_counts& counts() const;
    [[nodiscard]] bool two_engines_serve() const;
    void go_on();
    void check_version(std::string_view version);
    /// Counts the stream if the gate was undisturbed during the attempt.
    void judge_attempt();

    take_up_checks& checks_;
    std::size_t account_;
    std::string first_attempt_; ///< that brought an event
    std::string version_;       ///< of the last event
    bool mixed_ = false;

    std::string attempt_;
    std::string gate_;
    time_point sent_at_;
    resumed_name name_ = resumed_name::first_attempt;
    bool takes_up_ = false;
    bool could_go_on_ = false; ///< when it was sent, enough engines served
    bool on_ = false;
    /// An attempt since the last event was at an undisturbed gate.
    bool counts_ = false;
};

} // namespace bamboogate::tests

#endif
