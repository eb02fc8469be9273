#pragma once

#include "flamingoseam/log/log.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <sstream>
#include <string>
#include <vector>

namespace flamingoseam {

/// How a child process ended, and what it wrote to standard error.
struct ended_process {
    int status = 0;
    std::string output;

    /// Returns the lines of JSON in which the member `name` has the value `value`.
    [[nodiscard]] std::vector<nlohmann::json> lines_with(const std::string& name,
                                                         const std::string& value) const
    {
        std::vector<nlohmann::json> found;
        std::istringstream lines(output);
        for (std::string text; std::getline(lines, text);) {
            auto line = nlohmann::json::parse(text, nullptr, false);
            if (line.is_object() && line.value(name, "") == value) {
                found.push_back(std::move(line));
            }
        }
        return found;
    }
};

/// Sets a limit of the process.
inline void set_limit(__rlimit_resource resource, rlim_t value)
{
    rlimit limit{};
    ::getrlimit(resource, &limit);
    limit.rlim_cur = value;
    ::setrlimit(resource, &limit);
}

/// Returns all that can be read from a descriptor until its other end is closed.
inline std::string read_to_end(int descriptor)
{
    std::string text;
    std::array<char, 4'096> buffer{};
    for (ssize_t size = 0; (size = ::read(descriptor, buffer.data(), buffer.size())) > 0;) {
        text.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return text;
}

/// Runs `task` in a child process that logs as our programs do and ends with status 0 after it.
inline ended_process run_in_child(const std::function<void()>& task)
{
    std::array<int, 2> ends{};
    REQUIRE(::pipe(ends.data()) == 0);
    const auto child = ::fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        ::dup2(ends[1], STDERR_FILENO);
        ::close_range(STDERR_FILENO + 1, ~0U, 0);
        set_limit(RLIMIT_CORE, 0);
        ::alarm(30); // Ends a child that hangs.
        init_logging("/some/folder/flamingoseam-node");
        task();
        ::_exit(0);
    }
    ::close(ends[1]);
    ended_process ended{.output = read_to_end(ends[0])};
    ::close(ends[0]);
    ::waitpid(child, &ended.status, 0);
    return ended;
}

} // namespace flamingoseam
