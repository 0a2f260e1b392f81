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

/// A file opened for appending.
class append_file
{
public:
    virtual ~append_file() = default;

    /// @brief Writes all bytes. @return `storage_full` or `storage_failed`
    virtual result<void> append(std::string_view bytes) = 0;

    /// @brief Makes all written data durable (fdatasync).
    /// @return `storage_failed`; the content on disk is then undefined, and a
    ///     later sync may succeed although data was lost
    virtual result<void> sync() = 0;
};

/// Exclusive lock on a file, held until destruction.
class folder_lock
{
public:
    virtual ~folder_lock() = default;
};

/// File operations used by the log store. Tests substitute an implementation
/// that injects failures. All functions return `storage_full` or
/// `storage_failed` on failure.
class file_system
{
public:
    virtual ~file_system() = default;

    /// @brief Opens a file for appending and truncates it to `size` bytes.
    ///     Creates the file if it does not exist.
    virtual result<std::unique_ptr<append_file>>
    open(const std::filesystem::path& path, std::uint64_t size) = 0;

    virtual result<std::string> read(const std::filesystem::path& path) = 0;

    /// @brief Reads at most `length` bytes; fewer only at the end of the file.
    virtual result<std::string> read_range(const std::filesystem::path& path,
                                           std::uint64_t offset,
                                           std::size_t length) = 0;

    /// @brief Sorted names of the files in a folder.
    virtual result<std::vector<std::string>>
    list(const std::filesystem::path& folder) = 0;

    virtual result<void> rename(const std::filesystem::path& from,
                                const std::filesystem::path& to) = 0;
    virtual result<void> remove(const std::filesystem::path& path) = 0;
    virtual result<void> create_folder(const std::filesystem::path& folder) = 0;

    /// @brief Makes creations, renames and removals in a folder durable.
    virtual result<void> sync_folder(const std::filesystem::path& folder) = 0;

    /// @brief Acquires an exclusive lock that is released when the process ends
    ///     (flock).
    /// @return `storage_failed` if another process holds it
    virtual result<std::unique_ptr<folder_lock>>
    lock(const std::filesystem::path& path) = 0;
};

/// @brief File system of the operating system.
[[nodiscard]] std::shared_ptr<file_system> system_files();

} // namespace bamboogate::consensus

#endif
