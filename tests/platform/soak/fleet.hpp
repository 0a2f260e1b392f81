#ifndef BAMBOOGATE_TESTS_PLATFORM_SOAK_FLEET_HPP
#define BAMBOOGATE_TESTS_PLATFORM_SOAK_FLEET_HPP

#include <bamboogate/net/address.hpp>
#include <bamboogate/net/event_loop.hpp>

#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "support/child_process.hpp"
#include "support/fault_proxy.hpp"
#include "violations.hpp"

namespace bamboogate::tests {

/// Limits of a program's memory and descriptors in its settings.
struct program_limits
{
    unsigned memory_mb = 0;
    unsigned descriptors = 0;
};

/// Runs one of the two programs on its own loopback address with a settings
/// file as the platform writes it. Not thread safe.
class machine
{
public:
    struct options
    {
        std::string name;
        bool gate = false;
        std::string failure_domain;
        std::string ip;
        std::vector<std::string> seeds; ///< IP addresses of three replicas
        std::filesystem::path programs; ///< folder of the two programs
        std::filesystem::path folder;   ///< for settings, log and data
        std::optional<program_limits> limits = std::nullopt;
        unsigned retry_slack = 150; ///< `budgetSlack` of the bounds
    };

    machine(options settings, violations& problems);

    void start(bool first_start);
    /// @brief Kills the program at once, like a power loss.
    void kill();
    void pause();
    void resume();
    /// @brief Writes the settings anew and tells the program (SIGHUP).
    void reload();
    /// @brief Requests a planned stop within the grace period.
    void terminate(time_point now);
    /// @brief Deletes the data of a killed replica.
    void lose_disk();
    /// @brief Appends the bytes of a write that was torn by a power loss.
    void tear_disk();
    /// @brief Lets every write of the program that reaches beyond `bytes` in a
    ///     file fail, those of its log too. The program keeps log lines until
    ///     they can be written.
    /// @pre started
    void refuse_writes(std::uint64_t bytes);
    void accept_writes();
    /// @brief Size of the data file that was written last; 0 if there is none.
    [[nodiscard]] std::uint64_t newest_file_bytes() const;

    /// @brief Records unexpected exits and planned stops that take too long.
    void check(time_point now);

    [[nodiscard]] const std::string& name() const { return settings_.name; }
    /// @brief True once the program blocks or handles signals, which it does
    ///     first; until then the default action of a signal ends it.
    [[nodiscard]] bool handles_signals() const;
    [[nodiscard]] bool paused() const { return paused_; }
    [[nodiscard]] bool refuses_writes() const { return refuses_writes_; }
    [[nodiscard]] bool stopping() const { return stopping_since_.has_value(); }
    /// @brief True while the program runs and is neither paused nor stopping.
    [[nodiscard]] bool up() const
    {
        return started_ && !paused_ && !stopping();
    }
    [[nodiscard]] bool started() const { return started_; }
    /// @brief When it last started, was to stop, or was kept from its work.
    [[nodiscard]] time_point disturbed_at() const { return disturbed_at_; }
    /// @brief True if the replica leads, by its log.
    [[nodiscard]] bool leads() const;
    [[nodiscard]] double resident_kib() const;
    [[nodiscard]] pid_t process_id() const { return process_.id(); }
    [[nodiscard]] bool running() { return process_.running(); }

    [[nodiscard]] net::address caller_address() const
    {
        return {settings_.ip, 8740};
    }
    [[nodiscard]] net::address readiness_address() const
    {
        return {settings_.ip, 8749};
    }
    [[nodiscard]] net::address control_address() const
    {
        return {settings_.ip, 8748};
    }

private:
    void write_settings(bool first_start) const;
    [[nodiscard]] std::filesystem::path file(std::string_view suffix) const;
    /// The data file that was written last; empty if there is none.
    [[nodiscard]] std::filesystem::path newest_file() const;
    void limit_files(std::uint64_t bytes) const;

    options settings_;
    violations& violations_;
    child_process process_;
    bool started_ = false;
    bool paused_ = false;
    bool refuses_writes_ = false;
    bool ended_before_main_ = false; ///< by the SIGTERM of a planned stop
    time_point disturbed_at_;
    std::optional<time_point> stopping_since_;
};

} // namespace bamboogate::tests

#endif
