#ifndef BAMBOOGATE_TESTS_CONSENSUS_FAULTY_FILES_HPP
#define BAMBOOGATE_TESTS_CONSENSUS_FAULTY_FILES_HPP

#include <bamboogate/consensus/file_system.hpp>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace bamboogate::consensus {

/// File system of the operating system with injected failures, which can be
/// changed while a replica uses it.
class faulty_files : public file_system
{
public:
    /// Writes beyond this total number of bytes fail with `storage_full` after
    /// writing the part that fits.
    std::atomic<std::uint64_t> capacity =
        std::numeric_limits<std::uint64_t>::max();
    /// Number of successful syncs before one fails. Later syncs succeed again,
    /// as on kernels that report a lost page only once.
    std::atomic<std::uint64_t> syncs_until_failure =
        std::numeric_limits<std::uint64_t>::max();
    std::atomic<std::uint64_t> syncs = 0;
    /// Additional time of each sync of a file.
    std::atomic<std::chrono::milliseconds> sync_delay{};
    /// Files whose names contain this text, if any, take no bytes.
    std::atomic<const char*> refused_name = "";
    /// Writes that make a file larger than this fail with `storage_full`.
    std::atomic<std::uint64_t> max_file_bytes =
        std::numeric_limits<std::uint64_t>::max();
    /// Number of successful syncs of a folder before one fails.
    std::atomic<std::uint64_t> folder_syncs_until_failure =
        std::numeric_limits<std::uint64_t>::max();

    result<std::unique_ptr<append_file>> open(const std::filesystem::path& path,
                                              std::uint64_t size) override
    {
        BOOST_OUTCOME_TRY(inner, inner_->open(path, size));
        std::unique_ptr<append_file> out = std::make_unique<file>(
            *this, std::move(inner), path.filename().string(), size);
        return out;
    }
    result<std::string> read(const std::filesystem::path& path) override
    {
        return inner_->read(path);
    }
    result<std::string> read_range(const std::filesystem::path& path,
                                   std::uint64_t offset,
                                   std::size_t length) override
    {
        return inner_->read_range(path, offset, length);
    }
    result<std::vector<std::string>>
    list(const std::filesystem::path& folder) override
    {
        return inner_->list(folder);
    }
    result<void> rename(const std::filesystem::path& from,
                        const std::filesystem::path& to) override
    {
        unsynced_.push_back({.path = from, .renamed_to = to, .bytes = {}});
        return inner_->rename(from, to);
    }
    result<void> remove(const std::filesystem::path& path) override
    {
        BOOST_OUTCOME_TRY(bytes, inner_->read(path));
        unsynced_.push_back(
            {.path = path, .renamed_to = {}, .bytes = std::move(bytes)});
        return inner_->remove(path);
    }
    result<void> create_folder(const std::filesystem::path& folder) override
    {
        return inner_->create_folder(folder);
    }
    result<void> sync_folder(const std::filesystem::path& folder) override
    {
        if (folder_syncs_until_failure-- == 0) {
            return fail(errc::storage_failed, "injected");
        }
        unsynced_.clear();
        return inner_->sync_folder(folder);
    }

    /// @brief Number of renames and removals since the last sync of a folder.
    [[nodiscard]] std::size_t unsynced_changes() const
    {
        return unsynced_.size();
    }
    /// @brief Undoes those of them whose bit is set in `lost`, the oldest being
    ///     bit 0, as a power loss does.
    void lose_changes(std::uint64_t lost)
    {
        for (std::size_t i = unsynced_.size(); i-- > 0;) {
            const auto& change = unsynced_[i];
            if ((lost >> i & 1) == 0) {
                continue;
            }
            if (change.renamed_to.empty()) {
                std::ofstream(change.path, std::ios::binary) << change.bytes;
            } else if (std::filesystem::exists(change.renamed_to)) {
                std::filesystem::rename(change.renamed_to, change.path);
            }
        }
        unsynced_.clear();
    }
    result<std::unique_ptr<folder_lock>>
    lock(const std::filesystem::path& path) override
    {
        return inner_->lock(path);
    }

private:
    /// A rename, or a removal with the removed content.
    struct unsynced_change
    {
        std::filesystem::path path;
        std::filesystem::path renamed_to;
        std::string bytes;
    };

    class file : public append_file
    {
    public:
        file(faulty_files& owner, std::unique_ptr<append_file> inner,
             std::string name, std::uint64_t size)
            : owner_(owner), inner_(std::move(inner)), name_(std::move(name)),
              size_(size)
        {}
        result<void> append(std::string_view bytes) override
        {
            const std::string_view refused_name = owner_.refused_name.load();
            const bool refused = !refused_name.empty() &&
                                 name_.find(refused_name) != std::string::npos;
            if (refused || size_ + bytes.size() > owner_.max_file_bytes) {
                return fail(errc::storage_full, "injected");
            }
            if (bytes.size() > owner_.capacity) {
                (void)inner_->append(bytes.substr(0, owner_.capacity));
                owner_.capacity = 0;
                return fail(errc::storage_full, "injected");
            }
            owner_.capacity -= bytes.size();
            size_ += bytes.size();
            return inner_->append(bytes);
        }
        result<void> sync() override
        {
            ++owner_.syncs;
            std::this_thread::sleep_for(owner_.sync_delay.load());
            if (owner_.syncs_until_failure-- == 0) {
                return fail(errc::storage_failed, "injected");
            }
            return inner_->sync();
        }

    private:
        faulty_files& owner_;
        std::unique_ptr<append_file> inner_;
        std::string name_;
        std::uint64_t size_;
    };

    std::shared_ptr<file_system> inner_ = system_files();
    std::vector<unsynced_change> unsynced_;
};

} // namespace bamboogate::consensus

#endif
