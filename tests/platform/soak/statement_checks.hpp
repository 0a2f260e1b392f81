#ifndef BAMBOOGATE_TESTS_PLATFORM_SOAK_STATEMENT_CHECKS_HPP
#define BAMBOOGATE_TESTS_PLATFORM_SOAK_STATEMENT_CHECKS_HPP

#include <bamboogate/core/time.hpp>

#include <map>
#include <string>
#include <utility>

#include "violations.hpp"

namespace bamboogate::tests {

/// Checks what gates send to back ends that have stated that they leave, or
/// that have asked for a pause. Not thread safe.
class statement_checks
{
public:
    explicit statement_checks(violations& problems) : violations_(problems) {}

    /// @brief A caller sends an attempt to a gate.
    void sent(const std::string& attempt, const std::string& gate,
              time_point now);
    /// @brief A gate passed on a response with a back end's statement that it
    ///     leaves.
    void leave_passed_on(const std::string& gate, const std::string& back_end,
                         time_point now);
    /// @brief A back end refused an attempt and asked its gate for a pause.
    void pause_stated(const std::string& attempt, const std::string& back_end,
                      time_point now, duration pause);
    /// @brief An attempt arrives at a back end.
    void arrived(const std::string& attempt, const std::string& back_end,
                 time_point now);

    /// @brief The caller of an attempt left. Its gate closes the connection to
    ///     the back end and may not read what that answers.
    void caller_left(const std::string& attempt);

    /// An attempt of a caller.
    struct sent_attempt
    {
        std::string gate;
        time_point at;
    };
    /// @return null for an attempt that no caller sent
    [[nodiscard]] const sent_attempt* find(const std::string& attempt) const
    {
        const auto found = attempts_.find(attempt);
        return found == attempts_.end() ? nullptr : &found->second;
    }

    /// @brief The gate is not up, which ends its obligations.
    void gate_down(const std::string& gate);
    /// @brief A back end starts; statements of an earlier start are void.
    void back_end_started(const std::string& back_end);
    /// @brief Connections to a back end are disturbed, which may delay requests
    ///     and lose refusals.
    void disturbed(const std::string& back_end);

    [[nodiscard]] unsigned leaves() const { return leaves_; }
    [[nodiscard]] unsigned pauses() const { return pauses_; }

private:
    struct pause
    {
        time_point from;
        time_point until;
        unsigned arrivals = 0;
    };
    using gate_and_back_end = std::pair<std::string, std::string>;

    violations& violations_;
    std::map<std::string, sent_attempt> attempts_;
    std::map<gate_and_back_end, time_point> left_;
    std::map<gate_and_back_end, pause> paused_;
    unsigned leaves_ = 0;
    unsigned pauses_ = 0;
};

} // namespace bamboogate::tests

#endif
