#pragma once

#include "flamingoseam/core/clock.hpp"

#include <sys/resource.h>
#include <sys/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingoseam::scenario {

/// The child processes of a scenario. The destructor kills those that are still running.
class process_table {
public:
    explicit process_table(std::string log_folder) : log_folder_(std::move(log_folder)) {}
    ~process_table();
    process_table(const process_table&) = delete;
    process_table& operator=(const process_table&) = delete;

    /// Starts a program and appends its output to the file `name`.log in the log folder. Its
    /// environment is ours with `variables`, each NAME=VALUE.
    /// Throws std::runtime_error if the program can't be started.
    pid_t start(const std::string& name, const std::vector<std::string>& command,
                const std::vector<std::string>& variables = {});

    /// Sends a signal to a process. Throws std::runtime_error if it isn't in this table.
    void signal(pid_t pid, int number);

    /// Limits a resource of a running process, as setrlimit() does; `resource` is one of its
    /// constants. Throws std::runtime_error if the process isn't in this table.
    void limit(pid_t pid, int resource, rlim_t most);

    /// Waits until a process ends and returns its exit code, or 128 + n if signal n ended it.
    /// Returns nothing if the process is still running after `timeout`.
    std::optional<int> wait_exit(pid_t pid, milliseconds timeout);

private:
    void expect_own(pid_t pid) const;

    std::string log_folder_;
    std::map<pid_t, std::string> running_;
};

} // namespace flamingoseam::scenario
