#ifndef BAMBOOGATE_TESTS_PLATFORM_SOAK_VIOLATIONS_HPP
#define BAMBOOGATE_TESTS_PLATFORM_SOAK_VIOLATIONS_HPP

#include <bamboogate/core/time.hpp>

#include <fmt/format.h>

#include <cstdio>
#include <map>
#include <string>
#include <string_view>

namespace bamboogate::tests {

/// Violated guarantees and injected faults of one soak run, printed as they
/// happen with the milliseconds since its start, so that they can be
/// correlated.
class violations
{
public:
    /// @brief Records a violated guarantee.
    void add(std::string_view guarantee, std::string_view detail)
    {
        ++counts_[std::string(guarantee)];
        print("VIOLATION", fmt::format("{}: {}", guarantee, detail));
    }

    /// @brief Prints an injected fault or a phase of the soak.
    void print(std::string_view kind, std::string_view detail) const
    {
        fmt::print("{:7.0f} ms {} {}\n",
                   to_milliseconds(monotonic_clock::now() - start_), kind,
                   detail);
        std::fflush(stdout);
    }

    [[nodiscard]] bool none() const { return counts_.empty(); }
    [[nodiscard]] const std::map<std::string, unsigned>& counts() const
    {
        return counts_;
    }

private:
    time_point start_ = monotonic_clock::now();
    std::map<std::string, unsigned> counts_;
};

/// Counts how often the back ends executed each attempt.
class run_ledger
{
public:
    void add(const std::string& attempt) { ++runs_[attempt]; }
    [[nodiscard]] unsigned runs(const std::string& attempt) const
    {
        const auto found = runs_.find(attempt);
        return found == runs_.end() ? 0 : found->second;
    }

private:
    std::map<std::string, unsigned> runs_;
};

} // namespace bamboogate::tests

#endif
