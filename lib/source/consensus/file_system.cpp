#include <bamboogate/consensus/file_system.hpp>

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <utility>

namespace bamboogate::consensus {

namespace {

error storage_error(int number, std::string_view action,
                    const std::filesystem::path& path)
{
    const bool full = number == ENOSPC || number == EDQUOT || number == EFBIG;
    return {full ? errc::storage_full : errc::storage_failed,
            fmt::format("{} {}: {}", action, path.string(),
                        std::generic_category().message(number))};
}

/// Owns a file descriptor and closes it on destruction.
class descriptor
{
public:
    explicit descriptor(int value) : value_(value) {}
    descriptor(descriptor&& other) noexcept
        : value_(std::exchange(other.value_, -1))
    {}
    descriptor& operator=(descriptor&&) = delete;
    ~descriptor()
    {
        if (value_ >= 0) {
            ::close(value_);
        }
    }
    [[nodiscard]] int value() const noexcept { return value_; }

private:
    int value_;
};

result<descriptor> open_descriptor(const std::filesystem::path& path, int flags)
{
    const int value = ::open(path.c_str(), flags | O_CLOEXEC, 0600);
    if (value < 0) {
        return storage_error(errno, "open", path);
    }
    return descriptor(value);
}

class system_append_file : public append_file
{
public:
    system_append_file(descriptor file, std::filesystem::path path)
        : file_(std::move(file)), path_(std::move(path))
    {}

    result<void> append(std::string_view bytes) override
    {
        while (!bytes.empty()) {
            const auto count =
                ::write(file_.value(), bytes.data(), bytes.size());
            if (count < 0 && errno == EINTR) {
                continue;
            }
            if (count < 0) {
                return storage_error(errno, "write", path_);
            }
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
        return outcome::success();
    }

    result<void> sync() override
    {
        if (::fdatasync(file_.value()) == 0) {
            return outcome::success();
        }
        error problem = storage_error(errno, "sync", path_);
        problem.code = errc::storage_failed;
        return problem;
    }

private:
    descriptor file_;
    std::filesystem::path path_;
};

class system_folder_lock : public folder_lock
{
public:
    explicit system_folder_lock(descriptor file) : file_(std::move(file)) {}

private:
    descriptor file_;
};

class system_file_system : public file_system
{
public:
    result<std::unique_ptr<append_file>> open(const std::filesystem::path& path,
                                              std::uint64_t size) override
    {
        BOOST_OUTCOME_TRY(file, open_descriptor(path, O_RDWR | O_CREAT));
        if (::ftruncate(file.value(), static_cast<off_t>(size)) != 0 ||
            ::lseek(file.value(), 0, SEEK_END) < 0) {
            return storage_error(errno, "truncate", path);
        }
        std::unique_ptr<append_file> out =
            std::make_unique<system_append_file>(std::move(file), path);
        return out;
    }

    result<std::string> read(const std::filesystem::path& path) override
    {
        std::string out;
        constexpr std::size_t chunk = 1u << 20;
        for (;;) {
            BOOST_OUTCOME_TRY(part, read_range(path, out.size(), chunk));
            out += part;
            if (part.size() < chunk) {
                return out;
            }
        }
    }

    result<std::string> read_range(const std::filesystem::path& path,
                                   std::uint64_t offset,
                                   std::size_t length) override
    {
        BOOST_OUTCOME_TRY(file, open_descriptor(path, O_RDONLY));
        std::string out(length, '\0');
        std::size_t done = 0;
        while (done < length) {
            const auto count =
                ::pread(file.value(), out.data() + done, length - done,
                        static_cast<off_t>(offset + done));
            if (count < 0 && errno == EINTR) {
                continue;
            }
            if (count < 0) {
                return storage_error(errno, "read", path);
            }
            if (count == 0) {
                break;
            }
            done += static_cast<std::size_t>(count);
        }
        out.resize(done);
        return out;
    }

    result<std::vector<std::string>>
    list(const std::filesystem::path& folder) override
    {
        std::vector<std::string> out;
        std::error_code problem;
        std::filesystem::directory_iterator each(folder, problem);
        const std::filesystem::directory_iterator end;
        while (!problem && each != end) {
            out.push_back(each->path().filename().string());
            each.increment(problem);
        }
        if (problem) {
            return storage_error(problem.value(), "list", folder);
        }
        std::sort(out.begin(), out.end());
        return out;
    }

    result<void> rename(const std::filesystem::path& from,
                        const std::filesystem::path& to) override
    {
        if (::rename(from.c_str(), to.c_str()) != 0) {
            return storage_error(errno, "rename", from);
        }
        return outcome::success();
    }

    result<void> remove(const std::filesystem::path& path) override
    {
        if (::unlink(path.c_str()) != 0) {
            return storage_error(errno, "remove", path);
        }
        return outcome::success();
    }

    result<void> create_folder(const std::filesystem::path& folder) override
    {
        std::error_code problem;
        std::filesystem::create_directories(folder, problem);
        if (problem) {
            return storage_error(problem.value(), "create", folder);
        }
        return outcome::success();
    }

    result<void> sync_folder(const std::filesystem::path& folder) override
    {
        BOOST_OUTCOME_TRY(file,
                          open_descriptor(folder, O_RDONLY | O_DIRECTORY));
        if (::fsync(file.value()) != 0) {
            error problem = storage_error(errno, "sync", folder);
            problem.code = errc::storage_failed;
            return problem;
        }
        return outcome::success();
    }

    result<std::unique_ptr<folder_lock>>
    lock(const std::filesystem::path& path) override
    {
        BOOST_OUTCOME_TRY(file, open_descriptor(path, O_RDWR | O_CREAT));
        if (::flock(file.value(), LOCK_EX | LOCK_NB) != 0) {
            return fail(
                errc::storage_failed,
                fmt::format("{} is locked by another process", path.string()));
        }
        std::unique_ptr<folder_lock> out =
            std::make_unique<system_folder_lock>(std::move(file));
        return out;
    }
};

} // namespace

std::shared_ptr<file_system> system_files()
{
    return std::make_shared<system_file_system>();
}

} // namespace bamboogate::consensus
