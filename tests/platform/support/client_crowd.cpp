#include "client_crowd.hpp"

#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>

namespace bamboogate::tests {

double peak_resident_mib(pid_t process)
{
    std::ifstream file(fmt::format("/proc/{}/status", process));
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::stod(line.substr(6)) / 1024;
        }
    }
    return 0;
}

double resident_mib(pid_t process)
{
    std::ifstream file(fmt::format("/proc/{}/statm", process));
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
}

std::size_t open_descriptors(pid_t process)
{
    std::error_code problem;
    const std::filesystem::directory_iterator entries(
        fmt::format("/proc/{}/fd", process), problem);
    return static_cast<std::size_t>(
        std::distance(begin(entries), end(entries)));
}

struct client_crowd::client
{
    int descriptor;
    const options& settings;
    std::size_t allowed = 0; ///< of `settings.text`
    std::size_t sent = 0;
    std::size_t filler_allowed = 0;
    std::size_t filler_sent = 0;
    bool closed = false;
    net::io_watcher watcher;

    client(net::event_loop& loop, const options& crowd)
        : descriptor(net::start_connect(crowd.server).value()), settings(crowd),
          watcher(loop, descriptor, [this](net::io_event e) { on_ready(e); })
    {
        update();
    }
    ~client() { close(); }
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    [[nodiscard]] bool sends() const
    {
        return sent < allowed || filler_sent < filler_allowed;
    }
    void update()
    {
        if (!closed) {
            watcher.await(sends() ? net::io_event::read_write
                                  : net::io_event::read);
        }
    }
    void close()
    {
        if (!closed) {
            closed = true;
            watcher.await(net::io_event::none);
            ::close(descriptor);
        }
    }
    void on_ready(net::io_event events)
    {
        if (net::has(events, net::io_event::read)) {
            char buffer[16384];
            const auto count = ::recv(descriptor, buffer, sizeof buffer, 0);
            if (count == 0 || (count < 0 && errno != EAGAIN)) {
                close();
                return;
            }
        }
        if (net::has(events, net::io_event::write)) {
            flush();
        }
        update();
    }
    void flush()
    {
        if (sent < allowed) {
            const auto count =
                ::send(descriptor, settings.text.data() + sent, allowed - sent,
                       MSG_NOSIGNAL | MSG_DONTWAIT);
            sent += count > 0 ? static_cast<std::size_t>(count) : 0;
            if (count < 0 && errno != EAGAIN) {
                close();
            }
        } else if (filler_sent < filler_allowed) {
            const auto count = ::send(descriptor, &settings.filler, 1,
                                      MSG_NOSIGNAL | MSG_DONTWAIT);
            filler_sent += count > 0 ? 1 : 0;
            if (count < 0 && errno != EAGAIN) {
                close();
            }
        }
    }
};

client_crowd::client_crowd(net::event_loop& loop, options settings)
    : loop_(loop), settings_(std::move(settings)),
      step_timer_(loop, [this] { step(); })
{
    for (std::size_t i = 0; i < settings_.clients; ++i) {
        clients_.push_back(std::make_unique<client>(loop_, settings_));
    }
    step();
    step_timer_.start_periodic(std::chrono::milliseconds(1));
}

client_crowd::~client_crowd() = default;

void client_crowd::step()
{
    ++steps_;
    const std::size_t size = settings_.text.size();
    for (const auto& each : clients_) {
        each->allowed +=
            std::min(size - each->allowed, settings_.bytes_per_step);
        if (settings_.filler != 0 && each->sent == size && steps_ % 100 == 0) {
            ++each->filler_allowed;
        }
        each->update();
    }
}

bool client_crowd::settled() const
{
    return std::all_of(clients_.begin(), clients_.end(), [&](const auto& each) {
        return each->closed || each->sent == settings_.text.size();
    });
}

std::size_t client_crowd::open_clients() const
{
    return static_cast<std::size_t>(
        std::count_if(clients_.begin(), clients_.end(),
                      [](const auto& each) { return !each->closed; }));
}

} // namespace bamboogate::tests
