#ifndef BAMBOOGATE_CONSENSUS_FILE_SYSTEM_HPP
#define BAMBOOGATE_CONSENSUS_FILE_SYSTEM_HPP

#include <bamboogate/core/result.hpp>

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bamboogate::consensus {

/// A file that is written at its end.
class append_file
{
public:
    virtual ~append_file() = default;

    /// @brief Writes all bytes. @return `storage_full` or `storage_failed`
    virtual result<void> append(std::string_view bytes) = 0;

    /// @brief Makes everything written durable (fdatasync).
    /// @return `storage_failed`; what the disk holds is unknown then, and a
    ///     second sync may report success although data is lost
    virtual result<void> sync() = 0;
};

/// Keeps a lock until it is destroyed.
class folder_lock
{
public:
    virtual ~folder_lock() = default;
};

/// The file operations of the log store. Tests replace it to inject failures.
/// All functions return `storage_full` or `storage_failed` on failure.
class file_system
{
public:
    virtual ~file_system() = default;

    /// @brief Opens a file for appending after its first `size` bytes; the
    ///     rest is cut off. Creates the file when it is missing.
    virtual result<std::unique_ptr<append_file>>
    open(const std::filesystem::path& path, std::uint64_t size) = 0;

    virtual result<std::string> read(const std::filesystem::path& path) = 0;

    /// @brief Reads at most `length` bytes; fewer only at the end of the file.
    virtual result<std::string> read_range(const std::filesystem::path& path,
                                           std::uint64_t offset,
                                           std::size_t length) = 0;

    /// @brief Names of the files in a folder, sorted.
    virtual result<std::vector<std::string>>
    list(const std::filesystem::path& folder) = 0;

    virtual result<void> rename(const std::filesystem::path& from,
                                const std::filesystem::path& to) = 0;
    virtual result<void> remove(const std::filesystem::path& path) = 0;
    virtual result<void> create_folder(const std::filesystem::path& folder) = 0;

    /// @brief Makes creations, renames and removals in a folder durable.
    virtual result<void> sync_folder(const std::filesystem::path& folder) = 0;

    /// @brief Takes an exclusive lock that ends with the process (flock).
    /// @return `storage_failed` when another process holds it
    virtual result<std::unique_ptr<folder_lock>>
    lock(const std::filesystem::path& path) = 0;
};

/// @brief The system's files.
[[nodiscard]] std::shared_ptr<file_system> system_files();

} // namespace bamboogate::consensus

#endif
