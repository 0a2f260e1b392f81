#ifndef BAMBOOGATE_TESTS_PLATFORM_SOAK_DISK_LOAD_HPP
#define BAMBOOGATE_TESTS_PLATFORM_SOAK_DISK_LOAD_HPP

#include <bamboogate/core/time.hpp>

#include <atomic>
#include <filesystem>
#include <string>
#include <thread>
#include <vector>

namespace bamboogate::tests {

/// Threads that write and sync files, so that the syncs of other processes on
/// the same disk take long. Destruction waits for their last syncs.
class disk_load
{
public:
    /// @param folder exists; gets one file for each writer
    disk_load(const std::filesystem::path& folder, unsigned writers);

    /// @brief Ends the load, without a wait for the last syncs.
    void stop();

    /// @brief Describes the syncs so far, as evidence of the load.
    [[nodiscard]] std::string summary() const;

private:
    void write(const std::stop_token& stop, const std::filesystem::path& path);

    std::atomic<unsigned> syncs_ = 0;
    std::atomic<duration::rep> total_{};
    std::vector<std::jthread> threads_;
};

} // namespace bamboogate::tests

#endif
