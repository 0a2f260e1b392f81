#include "disk_load.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>

namespace bamboogate::tests {

namespace {

constexpr std::size_t chunk_bytes = 1U << 20;
constexpr unsigned chunks = 64; ///< between two syncs

} // namespace

disk_load::disk_load(const std::filesystem::path& folder, unsigned writers)
{
    for (unsigned i = 0; i < writers; ++i) {
        const auto path = folder / fmt::format("load-{}", i);
        threads_.emplace_back(
            [this, path](const std::stop_token& stop) { write(stop, path); });
    }
}

void disk_load::stop()
{
    for (auto& each : threads_) {
        each.request_stop();
    }
}

void disk_load::write(const std::stop_token& stop,
                      const std::filesystem::path& path)
{
    const std::vector<char> chunk(chunk_bytes, 'x');
    const int file =
        ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    bool works = file >= 0;
    while (works && !stop.stop_requested()) {
        const time_point start = monotonic_clock::now();
        works = ::lseek(file, 0, SEEK_SET) == 0;
        for (unsigned i = 0; i < chunks && works; ++i) {
            works = ::write(file, chunk.data(), chunk.size()) ==
                    static_cast<ssize_t>(chunk.size());
        }
        works = works && ::fdatasync(file) == 0;
        total_ += (monotonic_clock::now() - start).count();
        ++syncs_;
    }
    if (file >= 0) {
        ::close(file);
    }
    std::error_code ignored;
    std::filesystem::remove(path, ignored);
}

std::string disk_load::summary() const
{
    const unsigned syncs = syncs_;
    return fmt::format(
        "; beside {} writes of {} MiB of {:.0f} ms on average", syncs,
        chunk_bytes * chunks >> 20,
        std::chrono::duration<double, std::milli>(duration(total_.load()))
                .count() /
            std::max(syncs, 1U));
}

} // namespace bamboogate::tests
