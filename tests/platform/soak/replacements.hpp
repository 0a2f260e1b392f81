#ifndef BAMBOOGATE_TESTS_PLATFORM_SOAK_REPLACEMENTS_HPP
#define BAMBOOGATE_TESTS_PLATFORM_SOAK_REPLACEMENTS_HPP

#include <random>
#include <set>
#include <string>
#include <vector>

#include "backend.hpp"

namespace bamboogate::tests {

/// Draws how a back end leaves: with or without an announcement that it drains,
/// and how long it serves after it.
[[nodiscard]] backend::departure draw_departure(std::mt19937& random);

/// Replaces several engines in series: a spare one starts, then the one that
/// has run longest leaves. A series may bring a newer software version. Not
/// thread safe.
class replacements
{
public:
    /// @param engines those that run at first and the spare ones; must outlive
    ///     this object
    /// @param versions that serve side by side at first; with one, no other one
    ///     comes into service
    replacements(net::event_loop& loop, violations& problems, unsigned seed,
                 std::vector<backend*> engines, unsigned versions);

    /// @brief Starts and stops the engines that are due.
    void step();

    /// @brief Draws a software version for an engine that starts again.
    [[nodiscard]] std::string restart_version(const std::string& previous);

    /// @brief True once after the last engine of a software version stopped.
    [[nodiscard]] bool version_left();

    [[nodiscard]] unsigned replaced() const { return replaced_; }
    /// @brief Runs that gates left at engines that finished their last runs.
    [[nodiscard]] unsigned runs_left() const;

private:
    void begin_series();
    void replace_one();

    net::event_loop& loop_;
    violations& violations_;
    std::mt19937 random_;
    std::vector<backend*> engines_;
    /// Engines that the series still replaces, in this order.
    std::vector<backend*> outgoing_;
    unsigned versions_;
    unsigned newest_;           ///< version
    bool brings_newer_ = false; ///< the series, else each engine's own version
    std::set<std::string> running_versions_;
    time_point next_;
    unsigned replaced_ = 0;
};

} // namespace bamboogate::tests

#endif
