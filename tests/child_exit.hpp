#pragma once

#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdint>
#include <fstream>
#include <string>

namespace flamingoseam {

/// Whether this is a build with a sanitizer that maps much address space of its own, so that limits
/// of address space end it.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
inline constexpr bool has_sanitizer = true;
#else
inline constexpr bool has_sanitizer = false;
#endif

/// Returns a number of /proc/self/status, for example "Threads", or "VmSize" in kB.
inline std::int64_t own_status(const std::string& name)
{
    std::ifstream status("/proc/self/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with(name + ":")) {
            return std::stoll(line.substr(name.size() + 1));
        }
    }
    return -1;
}

/// Limits the address space of this process, for good, to what it uses and `further_bytes`.
inline void limit_address_space(std::int64_t further_bytes)
{
    const auto limit = static_cast<rlim_t>(1'024 * own_status("VmSize") + further_bytes);
    const rlimit limits{.rlim_cur = limit, .rlim_max = limit};
    ::setrlimit(RLIMIT_AS, &limits);
}

/// How a child process ended.
struct child_end {
    int code = -1;  ///< Its exit code, or -1 after a signal.
    int signal = 0; ///< The signal that ended it, or 0.
};

/// Runs `body` in a child process, which exits with its result, and waits for the end. A child that
/// takes longer than 10 s is ended by SIGALRM.
template <typename Body> child_end exit_of_child(const Body& body)
{
    constexpr unsigned longest_seconds = 10;
    const auto child = ::fork();
    if (child == 0) {
        ::alarm(longest_seconds);
        ::_exit(body());
    }
    int status = 0;
    ::waitpid(child, &status, 0);
    return {.code = WIFEXITED(status) ? WEXITSTATUS(status) : -1,
            .signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0};
}

} // namespace flamingoseam
