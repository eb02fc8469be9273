#include "scenarios/processes.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <stdexcept>
#include <thread>

extern char** environ;

namespace flamingoseam::scenario {

namespace {

constexpr milliseconds poll_interval{10};

/// Returns pointers to the strings, and a null pointer after them.
std::vector<char*> pointers_to(std::vector<std::string>& strings)
{
    std::vector<char*> pointers;
    for (auto& string : strings) {
        pointers.push_back(string.data());
    }
    pointers.push_back(nullptr);
    return pointers;
}

/// Returns our environment with `variables`.
std::vector<std::string> environment_with(const std::vector<std::string>& variables)
{
    auto environment = variables;
    for (char** variable = environ; *variable != nullptr; ++variable) {
        environment.emplace_back(*variable);
    }
    return environment;
}

} // namespace

process_table::~process_table()
{
    for (const auto& [pid, name] : running_) {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
}

pid_t process_table::start(const std::string& name, const std::vector<std::string>& command,
                           const std::vector<std::string>& variables)
{
    auto copy = command;
    auto arguments = pointers_to(copy);
    auto environment = environment_with(variables);
    auto environment_pointers = pointers_to(environment);
    const auto log = log_folder_ + "/" + name + ".log";
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_CREAT | O_WRONLY | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t pid = 0;
    const int error_number = ::posix_spawn(&pid, arguments[0], &actions, nullptr, arguments.data(),
                                           environment_pointers.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error_number != 0) {
        throw std::runtime_error("can't start " + command.at(0));
    }
    running_[pid] = name;
    return pid;
}

/// Throws std::runtime_error if the process isn't in this table.
void process_table::expect_own(pid_t pid) const
{
    if (!running_.contains(pid)) {
        throw std::runtime_error("process " + std::to_string(pid) +
                                 " was not started by this scenario");
    }
}

void process_table::signal(pid_t pid, int number)
{
    expect_own(pid);
    ::kill(pid, number);
}

void process_table::limit(pid_t pid, int resource, rlim_t most)
{
    expect_own(pid);
    rlimit limits{};
    ::prlimit(pid, static_cast<__rlimit_resource>(resource), nullptr, &limits);
    limits.rlim_cur = std::min(most, limits.rlim_max);
    if (::prlimit(pid, static_cast<__rlimit_resource>(resource), &limits, nullptr) != 0) {
        throw std::runtime_error("can't limit a resource of process " + std::to_string(pid));
    }
}

std::optional<int> process_table::wait_exit(pid_t pid, milliseconds timeout)
{
    const auto deadline = now() + timeout;
    while (now() < deadline) {
        int status = 0;
        if (::waitpid(pid, &status, WNOHANG) == pid) {
            running_.erase(pid);
            return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return std::nullopt;
}

} // namespace flamingoseam::scenario
