#ifndef BAMBOOGATE_TESTS_CONSENSUS_TEMPORARY_FOLDER_HPP
#define BAMBOOGATE_TESTS_CONSENSUS_TEMPORARY_FOLDER_HPP

#include <stdlib.h>

#include <filesystem>
#include <string>
#include <system_error>

namespace bamboogate::consensus {

/// An empty folder that is removed with its contents on destruction.
class temporary_folder
{
public:
    temporary_folder()
    {
        std::string name =
            (std::filesystem::temp_directory_path() / "bamboogate-XXXXXX")
                .string();
        path_ = mkdtemp(name.data());
    }
    ~temporary_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    [[nodiscard]] const std::filesystem::path& path() const noexcept
    {
        return path_;
    }

private:
    std::filesystem::path path_;
};

} // namespace bamboogate::consensus

#endif
