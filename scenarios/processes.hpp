#pragma once

#include "flamingoseam/core/clock.hpp"

#include <sys/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingoseam::scenario {

/// The processes that a scenario has started. All of them are ended with it.
class process_table {
public:
    explicit process_table(std::string log_folder) : log_folder_(std::move(log_folder)) {}
    ~process_table();
    process_table(const process_table&) = delete;
    process_table& operator=(const process_table&) = delete;

    /// Starts a program with its output in a file named `name` in the log folder.
    pid_t start(const std::string& name, const std::vector<std::string>& command);

    /// Sends a signal to a process of this table.
    void signal(pid_t pid, int number);

    /// Waits for a process to end; returns its exit code, 128 + n for signal n, none after `limit`.
    std::optional<int> wait_exit(pid_t pid, milliseconds limit);

private:
    std::string log_folder_;
    std::map<pid_t, std::string> running_;
};

} // namespace flamingoseam::scenario
