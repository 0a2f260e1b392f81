#include <bamboogate/core/time.hpp>

#include <consensus/support/temporary_folder.hpp>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "support/reserved_ports.hpp"

using namespace bamboogate;
using namespace bamboogate::consensus;
using namespace std::chrono_literals;

namespace {

/// A replica process and its standard input and output.
class child_process
{
public:
    child_process(const std::string& id, const std::filesystem::path& folder,
                  const std::string& ports)
    {
        int in[2];
        int out[2];
        REQUIRE(pipe2(in, O_CLOEXEC) == 0);
        REQUIRE(pipe2(out, O_CLOEXEC) == 0);
        const std::string program =
            std::string(BAMBOOGATE_BINARY_DIR) + "/bin/replica_process";
        pid_ = fork();
        REQUIRE(pid_ >= 0);
        if (pid_ == 0) {
            dup2(in[0], STDIN_FILENO);
            dup2(out[1], STDOUT_FILENO);
            execl(program.c_str(), program.c_str(), id.c_str(), folder.c_str(),
                  ports.c_str(), nullptr);
            _exit(127);
        }
        close(in[0]);
        close(out[1]);
        input_ = in[1];
        output_ = out[0];
    }
    ~child_process()
    {
        signal(SIGCONT);
        signal(SIGKILL);
        waitpid(pid_, nullptr, 0);
        close(input_);
        close(output_);
    }
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void signal(int number) const { ::kill(pid_, number); }

    void write(const std::string& line) const
    {
        const std::string bytes = line + "\n";
        (void)!::write(input_, bytes.data(), bytes.size());
    }

    /// Next line of output; empty on timeout or end of file.
    std::string read(duration limit)
    {
        const time_point end = monotonic_clock::now() + limit;
        for (;;) {
            if (const auto at = buffer_.find('\n'); at != std::string::npos) {
                std::string line = buffer_.substr(0, at);
                buffer_.erase(0, at + 1);
                return line;
            }
            const auto left = std::chrono::ceil<std::chrono::milliseconds>(
                end - monotonic_clock::now());
            pollfd ready{output_, POLLIN, 0};
            if (left <= 0ms ||
                poll(&ready, 1, static_cast<int>(left.count())) <= 0) {
                return {};
            }
            char chunk[4096];
            const auto count = ::read(output_, chunk, sizeof chunk);
            if (count <= 0) {
                return {};
            }
            buffer_.append(chunk, static_cast<std::size_t>(count));
        }
    }

    /// Sends a command and waits for the line that starts with `answer`.
    std::string request(const std::string& line, const std::string& answer,
                        duration limit = 1s)
    {
        write(line);
        const time_point end = monotonic_clock::now() + limit;
        while (monotonic_clock::now() < end) {
            std::string reply = read(end - monotonic_clock::now());
            if (reply.starts_with(answer)) {
                return reply.substr(answer.size());
            }
        }
        return {};
    }

private:
    pid_t pid_ = -1;
    int input_ = -1;
    int output_ = -1;
    std::string buffer_;
};

class process_fixture
{
public:
    process_fixture()
    {
        ::signal(SIGPIPE, SIG_IGN);
        for (std::size_t i = 0; i < 3; ++i) {
            ports_ += fmt::format("{}{}", i == 0 ? "" : ",", reserved_[i]);
        }
        for (std::size_t i = 0; i < 3; ++i) {
            start(i);
        }
    }

    std::filesystem::path data(std::size_t index) const
    {
        return folder.path() / fmt::format("n{}", index);
    }

    void start(std::size_t index)
    {
        replicas[index] = std::make_unique<child_process>(
            fmt::format("n{}", index), data(index), ports_);
    }

    /// Index of the leader, or -1 on timeout.
    int leader(duration limit = 5s)
    {
        const time_point end = monotonic_clock::now() + limit;
        while (monotonic_clock::now() < end) {
            for (int i = 0; i < 3; ++i) {
                if (replicas[i] && !stopped.contains(i) &&
                    replicas[i]
                        ->request("status", "status ")
                        .starts_with("1 ")) {
                    return i;
                }
            }
            std::this_thread::sleep_for(5ms);
        }
        return -1;
    }

    bool commit(const std::string& command)
    {
        const int index = leader();
        if (index < 0) {
            MESSAGE(command << ": no leader");
            return false;
        }
        replicas[index]->write("propose " + command);
        const time_point end = monotonic_clock::now() + 1s;
        std::string refusal = "no reply within 1 s";
        while (monotonic_clock::now() < end) {
            const std::string reply =
                replicas[index]->read(end - monotonic_clock::now());
            if (reply.starts_with("committed ")) {
                accepted.push_back(command);
                return true;
            }
            if (reply.starts_with("refused ")) {
                refusal = reply;
            }
        }
        MESSAGE(command << " at n" << index << ": " << refusal);
        return false;
    }

    /// Checks that the list contains every accepted command once and in order.
    /// @return the first missing command, "repeated" or empty
    std::string first_missing(const std::string& list) const
    {
        std::istringstream stream(list);
        std::vector<std::string> found;
        for (std::string each; std::getline(stream, each, ',');) {
            found.push_back(each);
        }
        std::size_t at = 0;
        for (const auto& each : found) {
            if (at < accepted.size() && each == accepted[at]) {
                ++at;
            }
        }
        if (std::set<std::string>(found.begin(), found.end()).size() !=
            found.size()) {
            return "repeated";
        }
        return at == accepted.size() ? "" : accepted[at];
    }

    bool all_hold_accepted(duration limit = 10s)
    {
        const time_point end = monotonic_clock::now() + limit;
        while (monotonic_clock::now() < end) {
            std::set<std::string> lists;
            for (auto& each : replicas) {
                lists.insert(each->request("list", "list "));
            }
            if (lists.size() == 1 && first_missing(*lists.begin()).empty()) {
                return true;
            }
            std::this_thread::sleep_for(20ms);
        }
        return false;
    }

    /// Waits until the leader's configuration has three voters again.
    bool has_three_voters(duration limit = 5s)
    {
        const time_point end = monotonic_clock::now() + limit;
        while (monotonic_clock::now() < end) {
            const int index = leader();
            if (index >= 0 &&
                replicas[index]->request("voters", "voters ") == "3") {
                return true;
            }
            std::this_thread::sleep_for(10ms);
        }
        return false;
    }

    temporary_folder folder;
    std::unique_ptr<child_process> replicas[3];
    std::set<int> stopped;
    std::vector<std::string> accepted;

private:
    tests::reserved_ports reserved_{3};
    std::string ports_;
};

} // namespace

// A replica killed at any point must neither lose nor repeat an accepted
// command.
TEST_CASE_FIXTURE(process_fixture, "replica_process_killed_keeps_accepted")
{
    REQUIRE(commit("first"));
    std::mt19937 random(7);
    int number = 0;
    for (int round = 0; round < 8; ++round) {
        CAPTURE(round);
        const int leader_index = leader();
        REQUIRE(leader_index >= 0);
        // The process is killed while proposals are in flight.
        for (int i = 0; i < 20; ++i) {
            replicas[leader_index]->write(fmt::format("propose u{}", number++));
        }
        const auto victim = random() % 2 == 0
                                ? static_cast<std::size_t>(leader_index)
                                : random() % 3;
        std::this_thread::sleep_for(std::chrono::microseconds(random() % 5000));
        replicas[victim]->signal(SIGKILL);
        replicas[victim].reset();
        for (int i = 0; i < 5; ++i) {
            CHECK(commit(fmt::format("c{}", number++)));
        }
        start(victim);
    }
    CHECK(all_hold_accepted());
}

// A leader that resumes after a pause must not report a valid lease.
TEST_CASE_FIXTURE(process_fixture, "replica_process_paused_leader_has_no_lease")
{
    REQUIRE(commit("first"));
    for (int round = 0; round < 3; ++round) {
        const int old_leader = leader();
        REQUIRE(old_leader >= 0);
        replicas[old_leader]->signal(SIGSTOP);
        stopped = {old_leader};
        // The first input that the process reads after resuming.
        replicas[old_leader]->write("status");
        CHECK(commit(fmt::format("c{}", round)));
        std::this_thread::sleep_for(300ms);
        stopped = {};
        replicas[old_leader]->signal(SIGCONT);
        const std::string status = replicas[old_leader]->request("", "status ");
        CAPTURE(status);
        REQUIRE(status.size() > 3);
        CHECK(status.substr(2, 1) == "0");
    }
    CHECK(all_hold_accepted());
}

// A replica that rejoins with an emptied disk must not keep its vote.
TEST_CASE_FIXTURE(process_fixture, "replica_process_emptied_folder_catches_up")
{
    for (int i = 0; i < 50; ++i) {
        REQUIRE(commit(fmt::format("c{}", i)));
    }
    for (int round = 0; round < 2; ++round) {
        const auto victim = static_cast<std::size_t>(leader());
        replicas[victim].reset();
        std::filesystem::remove_all(data(victim));
        start(victim);
        // Waits for the election and the demotion of the emptied replica.
        CHECK(commit(fmt::format("d{}", round)));
        CHECK(all_hold_accepted());
        CHECK(has_three_voters());
    }
    CHECK(commit("last"));
    CHECK(all_hold_accepted());
}
