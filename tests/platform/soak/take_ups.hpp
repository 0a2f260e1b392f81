#ifndef BAMBOOGATE_TESTS_PLATFORM_SOAK_TAKE_UPS_HPP
#define BAMBOOGATE_TESTS_PLATFORM_SOAK_TAKE_UPS_HPP

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

/// Counts the take-ups of all clients. Not thread safe.
class take_up_checks
{
public:
    struct options
    {

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

    [[nodiscard]] std::string summary() const;

private:
    friend class client_stream;

    violations& violations_;
    std::mt19937 random_;
    options settings_;
    take_up_counts true_names_;
    take_up_counts false_names_;

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
    std::optional<std::string> sent(const std::string& attempt, bool may_lie);

    /// @brief The attempt brings an event of an engine.
    void received(std::string_view version);

    /// @brief The attempt ends.
    void ended(outcome how);

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

    void go_on();
    void check_version(std::string_view version);

    take_up_checks& checks_;
    std::size_t account_;
    std::string first_attempt_; ///< that brought an event
    std::string version_;       ///< of the last event
    bool mixed_ = false;

    std::string attempt_;

    resumed_name name_ = resumed_name::first_attempt;
    bool takes_up_ = false;

    bool on_ = false;
};

} // namespace bamboogate::tests

#endif
