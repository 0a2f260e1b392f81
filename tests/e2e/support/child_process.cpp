#include "support/child_process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <stdexcept>
#include <utility>

namespace bamboogate::tests {

child_process::child_process(const std::filesystem::path& program,
                             const std::vector<std::string>& arguments,
                             const std::filesystem::path& log)
{
    std::vector<std::string> argument_list{program.string()};
    argument_list.insert(argument_list.end(), arguments.begin(),
                         arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(argument_list.size() + 1);
    for (auto& argument : argument_list) {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int problem = posix_spawn(&id_, program.c_str(), &actions, nullptr,
                                    pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (problem != 0) {
        throw std::runtime_error("cannot start " + program.string());
    }
}

child_process::~child_process()
{
    kill();
}

child_process::child_process(child_process&& other) noexcept
    : id_(std::exchange(other.id_, -1)), exit_code_(other.exit_code_)
{}

child_process& child_process::operator=(child_process&& other) noexcept
{
    if (this != &other) {
        kill();
        id_ = std::exchange(other.id_, -1);
        exit_code_ = other.exit_code_;
    }
    return *this;
}

void child_process::send_signal(int signal) const
{
    if (id_ > 0) {
        ::kill(id_, signal);
    }
}

void child_process::kill()
{
    if (id_ <= 0) {
        return;
    }
    // SIGKILL also ends a stopped process.
    ::kill(id_, SIGKILL);
    waitpid(id_, nullptr, 0);
    id_ = -1;
}

bool child_process::running()
{
    if (id_ <= 0) {
        return false;
    }
    int status = 0;
    if (waitpid(id_, &status, WNOHANG) != id_) {
        return true;
    }
    id_ = -1;
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return false;
}

} // namespace bamboogate::tests
