#include "fleet.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <sys/resource.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>

#include "e2e/support/process_usage.hpp"

namespace bamboogate::tests {

using namespace std::chrono_literals;

namespace {

constexpr duration stop_grace = 8s; ///< `graceS` of the bounds

/// Returns a signal mask of a process from its status file.
/// @param name such as `SigBlk:`
std::uint64_t signal_mask(pid_t process, std::string_view name)
{
    std::ifstream status(fmt::format("/proc/{}/status", process));
    for (std::string key; status >> key;) {
        if (key == name) {
            std::uint64_t mask = 0;
            status >> std::hex >> mask;
            return mask;
        }
    }
    return 0;
}

} // namespace

machine::machine(options settings, violations& problems)
    : settings_(std::move(settings)), violations_(problems)
{
    std::filesystem::create_directories(settings_.folder);
}

std::filesystem::path machine::file(std::string_view suffix) const
{
    return settings_.folder / (settings_.name + std::string(suffix));
}

void machine::write_settings(bool first_start) const
{
    std::vector<std::string> seeds;
    for (const auto& seed : settings_.seeds) {
        seeds.push_back(fmt::format("\"{}:8748\"", seed));
    }
    // Replaced as a whole, because a program that starts may read it now.
    const auto written = file(".toml.new");
    std::ofstream out(written);
    out << fmt::format("node = \"{}\"\nzone = \"{}\"\nip = \"{}\"\n"
                       "internalPorts = [7200, 7215]\nseeds = [{}]\n"
                       "bootstrap = {}\nheartbeatMs = 1200\n",
                       settings_.name, settings_.failure_domain, settings_.ip,
                       fmt::join(seeds, ", "), first_start);
    if (!settings_.gate) {
        out << fmt::format("dataDir = \"{}\"\n", file("-data").string());
    }
    out << "[listen]\n";
    if (settings_.gate) {
        out << fmt::format("front = \"{}\"\nready = \"{}\"\n",
                           caller_address().text(), readiness_address().text());
    } else {
        out << fmt::format("control = \"{}\"\n", control_address().text());
    }
    if (settings_.limits) {
        out << fmt::format("[limits]\nmemoryMb = {}\nmaxFds = {}\n",
                           settings_.limits->memory_mb,
                           settings_.limits->descriptors);
    }
    out << fmt::format(
        "[faultTolerance]\nmachines = 2\n[bounds]\ngraceS = 8\n"
        "retryBudgetRatio = 0.8\nretryWindowS = 10\nbudgetSlack = {}\n",
        settings_.retry_slack);
    out.close();
    std::filesystem::rename(written, file(".toml"));
}

void machine::start(bool first_start)
{
    disturbed_at_ = monotonic_clock::now();
    write_settings(first_start);
    std::filesystem::create_directories(file("-data"));
    // The program reads the path from its environment; setenv is safe because
    // the soak has no threads.
    ::setenv("BAMBOOGATE_NODE_FILE", file(".toml").c_str(), 1); // NOLINT
    const auto program =
        settings_.programs /
        (settings_.gate ? "platform-gate" : "platform-control");
    process_ = child_process(program, {}, file(".log"));
    started_ = true;
    paused_ = refuses_writes_ = false;
    stopping_since_.reset();
}

void machine::kill()
{
    disturbed_at_ = monotonic_clock::now();
    process_.kill();
    started_ = paused_ = refuses_writes_ = false;
    stopping_since_.reset();
}

void machine::pause()
{
    disturbed_at_ = monotonic_clock::now();
    process_.send_signal(SIGSTOP);
    paused_ = true;
}

void machine::resume()
{
    disturbed_at_ = monotonic_clock::now();
    process_.send_signal(SIGCONT);
    paused_ = false;
}

void machine::reload()
{
    write_settings(false);
    process_.send_signal(SIGHUP);
}

void machine::terminate(time_point now)
{
    disturbed_at_ = now;
    ended_before_main_ = !handles_signals();
    process_.send_signal(SIGTERM);
    stopping_since_ = now;
}

void machine::lose_disk()
{
    std::filesystem::remove_all(file("-data"));
}

std::filesystem::path machine::newest_file() const
{
    std::filesystem::path newest;
    for (const auto& each :
         std::filesystem::recursive_directory_iterator(file("-data"))) {
        if (each.is_regular_file() &&
            (newest.empty() || each.last_write_time() >
                                   std::filesystem::last_write_time(newest))) {
            newest = each.path();
        }
    }
    return newest;
}

std::uint64_t machine::newest_file_bytes() const
{
    const auto newest = newest_file();
    return newest.empty() ? 0 : std::filesystem::file_size(newest);
}

void machine::limit_files(std::uint64_t bytes) const
{
    const rlimit limit{bytes, RLIM_INFINITY};
    ::prlimit(process_.id(), RLIMIT_FSIZE, &limit, nullptr);
}

void machine::refuse_writes(std::uint64_t bytes)
{
    disturbed_at_ = monotonic_clock::now();
    limit_files(bytes);
    refuses_writes_ = true;
}

void machine::accept_writes()
{
    disturbed_at_ = monotonic_clock::now();
    limit_files(RLIM_INFINITY);
    refuses_writes_ = false;
}

void machine::tear_disk()
{
    const auto newest = newest_file();
    if (!newest.empty()) {
        std::ofstream(newest, std::ios::app | std::ios::binary)
            << std::string(37, '\x5a');
    }
}

bool machine::leads() const
{
    bool out = false;
    std::ifstream log(file(".log"));
    for (std::string line; started_ && std::getline(log, line);) {
        if (line.find(" role_changed ") != std::string::npos) {
            out = line.find("role=leader") != std::string::npos;
        }
    }
    return out;
}

bool machine::handles_signals() const
{
    const std::uint64_t handled = signal_mask(process_.id(), "SigBlk:") |
                                  signal_mask(process_.id(), "SigCgt:");
    return (handled >> (SIGTERM - 1) & 1) != 0;
}

void machine::check(time_point now)
{
    if (!started_ || paused_) {
        return;
    }
    if (process_.running()) {
        if (stopping_since_ && now - *stopping_since_ > stop_grace) {
            violations_.add("planned stop",
                            name() + " exceeds its grace period");
            kill();
        }
        return;
    }
    // The default action of a signal ends a program that has not reached its
    // first instruction.
    const bool before_main = process_.exit_code() < 0 && ended_before_main_;
    if (stopping_since_ && before_main) {
        violations_.print("ended before its first instruction", name());
    } else if (!stopping_since_) {
        violations_.add("no program exits by itself", name());
    } else if (process_.exit_code() != 0) {
        violations_.add("planned stop", fmt::format("{} exits with {}", name(),
                                                    process_.exit_code()));
    }
    started_ = false;
    stopping_since_.reset();
}

double machine::resident_kib() const
{
    return started_ ? tests::resident_kib(process_.id()) : 0;
}

} // namespace bamboogate::tests
