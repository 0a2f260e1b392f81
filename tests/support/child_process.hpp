#ifndef BAMBOOGATE_TESTS_SUPPORT_CHILD_PROCESS_HPP
#define BAMBOOGATE_TESTS_SUPPORT_CHILD_PROCESS_HPP

#include <sys/types.h>

#include <csignal>
#include <filesystem>
#include <string>
#include <vector>

namespace bamboogate::tests {

/// A child process of a test. Destruction kills it by its process id.
class child_process
{
public:
    child_process() = default;

    /// @brief Starts a program with its standard output and error appended to a
    ///     log file.
    /// @throws std::runtime_error if the program cannot be started
    child_process(const std::filesystem::path& program,
                  const std::vector<std::string>& arguments,
                  const std::filesystem::path& log);
    ~child_process();
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;

    /// @brief Has no effect after `kill`, or after `running` returned false.
    void send_signal(int signal) const;

    /// @brief Sends SIGKILL and waits for the end of the program. `exit_code`
    ///     stays -1.
    void kill();

    /// @brief True until the program has ended. Only this call updates
    ///     `exit_code`.
    [[nodiscard]] bool running();

    /// @brief The exit code, or -1 after a signal or until `running` has
    ///     returned false.
    [[nodiscard]] int exit_code() const noexcept { return exit_code_; }

    [[nodiscard]] pid_t id() const noexcept { return id_; }

private:
    pid_t id_ = -1;
    int exit_code_ = -1;
};

} // namespace bamboogate::tests

#endif
