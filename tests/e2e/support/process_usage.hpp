#ifndef BAMBOOGATE_TESTS_E2E_SUPPORT_PROCESS_USAGE_HPP
#define BAMBOOGATE_TESTS_E2E_SUPPORT_PROCESS_USAGE_HPP

#include <fmt/format.h>
#include <sys/types.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace bamboogate::tests {

/// @brief Processor time in seconds of a process since its start, user and
///     system. The process must exist.
/// @throws std::out_of_range if it does not
[[nodiscard]] inline double cpu_seconds(pid_t process)
{
    std::ifstream file(fmt::format("/proc/{}/stat", process));
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string word;
    double ticks = 0;
    // Fields 14 and 15 of the line are user and system time.
    for (int field = 3; fields >> word && field <= 15; ++field) {
        if (field >= 14) {
            ticks += std::stod(word);
        }
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// @brief Resident memory of a process in KiB; 0 if it does not exist.
[[nodiscard]] inline double resident_kib(pid_t process)
{
    std::ifstream file(fmt::format("/proc/{}/status", process));
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stod(line.substr(6));
        }
    }
    return 0;
}

} // namespace bamboogate::tests

#endif
